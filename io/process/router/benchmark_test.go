package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/names"
	"catkinstep/core/process/quota"
	"catkinstep/core/version/config"
	"catkinstep/core/version/space"
)

// BenchmarkCaller measures what a request costs until it is admitted, without and with a key and
// an allowance.
func BenchmarkCaller(b *testing.B) {
	open := newTestRouter()
	open.current.Store(open.current.Load().withConfig(config.Config{Services: []config.Service{{Name: "s"}}, Routes: []config.Route{
		{Name: "closed", Host: "h", Prefix: "/", Destinations: []config.Destination{{Service: "s", Weight: 1}}, Timeout: time.Second, LatencyTarget: time.Second}}}.WithIndex()))
	limited := newTestRouter()
	limited.applyWorkspaces(1, t0, limitedWorkspace)
	limited.tickUntilBooted()
	limited.lendToSelf()
	for name, r := range map[string]*Router{"without": open, "withKeyAndAllowance": limited} {
		b.Run(name, func(b *testing.B) {
			q := callerRequest("/x", nil)
			for b.Loop() {
				q.Header = http.Header{names.Default().APIKey: {"k1"}}
				req, rejection := r.resolve(r.current.Load(), q, "id", nil)
				if rejection != nil {
					b.Fatal(rejection.Status())
				}
				if r.admitToAllowance(b.Context(), req) != nil {
					b.Fatal("refused")
				}
				r.returnToken(req)
				if r.updateWorkspace(r.current.Load(), req) != nil {
					b.Fatal("key not found")
				}
			}
		})
	}
}

// BenchmarkRefusal measures what a request beyond its allowance costs.
func BenchmarkRefusal(b *testing.B) {
	r := newLimitedRouter()
	r.useUp()
	for b.Loop() {
		r.handle(b.Context(), callerRequest("/x", keyHeader("k1")))
	}
}

// BenchmarkManyWorkspaces measures what ten thousand workspaces cost a daemon and the leader.
func BenchmarkManyWorkspaces(b *testing.B) {
	const workspaces = 10_000
	heapMB := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1e6
	}
	empty := heapMB()
	c := config.Config{KeysRequired: true}
	for i := range workspaces {
		name := fmt.Sprintf("ws%05d", i)
		c.Workspaces = append(c.Workspaces, space.Workspace{Name: name, KeyHashes: []space.KeyHash{space.HashKey(name + "a"), space.HashKey(name + "b")}, Allowance: space.Allowance{Rate: 300, Burst: 300}})
	}
	c = c.WithIndex()
	withDirectory := heapMB()
	encoded, err := json.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	limiter, now := quota.NewLimiter(1), time.Unix(1000, 0)
	for _, w := range c.Workspaces {
		for range 20 {
			limiter.Ask(now, w)
		}
	}
	withDemands := heapMB()
	pool, demands := quota.NewPool(now, 1), limiter.Demands(now)
	pool.SetDaemons(now, 1, true)
	renewal := quota.Renewal{Daemon: "e", Incarnation: 1, Pool: 1, Loan: time.Hour, Demands: demands}
	var grant quota.Grant
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		renewal.Seq++
		grant, _ = pool.Renew(now, renewal, c.WorkspaceNamed)
	}
	b.ReportMetric(withDirectory-empty, "directoryMB")
	b.ReportMetric(withDemands-withDirectory, "demandsMB")
	b.ReportMetric(float64(len(encoded))/1e6, "configMB")
	b.ReportMetric(float64(proto.Size(renewalToWire(renewal)))/workspaces, "renewalBytes/workspace")
	b.ReportMetric(float64(proto.Size(grantToWire(grant)))/float64(max(1, len(grant.Leases))), "leaseBytes")
	runtime.KeepAlive(c)
}
