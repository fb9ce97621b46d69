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
	"catkinstep/core/connection/wire"
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
	limited.workspaceLimiter.SetLeaderReachable(time.Now(), true)
	for name, r := range map[string]*Router{"without": open, "withKeyAndAllowance": limited} {
		b.Run(name, func(b *testing.B) {
			q := callerRequest("/x", nil)
			for b.Loop() {
				q.Header = http.Header{names.Default().APIKey: {"k1"}}
				req, rejection := r.resolve(r.current.Load(), q, "id", nil)
				if rejection != nil {
					b.Fatal(rejection.Status)
				}
				if _, ok := r.workspaceLimiter.Admit(time.Now(), req.identity.workspace); ok {
					r.workspaceLimiter.Return(time.Now(), req.identity.workspace)
				}
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
	for b.Loop() {
		r.handle(b.Context(), callerRequest("/x", keyHeader("k1")))
	}
}

// BenchmarkManyWorkspaces measures what ten thousand workspaces cost a daemon and the leader.
func BenchmarkManyWorkspaces(b *testing.B) {
	const workspaces, limited = 10_000, 100
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
	limiter.SetLeaderReachable(now, true)
	for _, w := range c.Workspaces {
		limiter.Admit(now, w)
	}
	withCounts := heapMB()
	counts := limiter.TakeCounts()
	report, limits := &wire.Gossip{}, &wire.Limits{}
	for i, n := range counts {
		report.Usages = append(report.Usages, &wire.Usage{Workspace: n.Workspace, Asked: 40, Admitted: 40})
		if i < limited {
			limits.Workspaces = append(limits.Workspaces, &wire.WorkspaceLimit{Workspace: n.Workspace, Part: 0.3, WaitMillis: 700})
		}
	}
	controller := quota.NewController(now)
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		controller.Add(counts)
		controller.Close(now, 1, c.WorkspaceNamed)
	}
	b.ReportMetric(withDirectory-empty, "directoryMB")
	b.ReportMetric(withCounts-withDirectory, "countsMB")
	b.ReportMetric(float64(len(encoded))/1e6, "configMB")
	b.ReportMetric(float64(proto.Size(report))/workspaces, "reportBytes/workspace")
	b.ReportMetric(float64(proto.Size(limits))/limited, "limitBytes/workspace")
	runtime.KeepAlive(c)
}
