package leader

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// settled returns a leader of one data centre whose shards all have owners.
func settled(daemons, servers, shards int) (*Leader, View, time.Time, []*wire.Beat) {
	now := time.Unix(1000, 0)
	self := table.Daemon{Address: "10.0.0.0:7100", Incarnation: 1}
	s := site.Site{Services: []site.Service{{Name: "k", Keyed: true, Shards: shards, Slots: 3, ChecksTokens: true, OrderDeadline: time.Second}},
		DataCentres: []site.DataCentre{{Name: "p"}}, Presets: []site.Preset{{Name: "o", InForce: true}}}
	for i := range servers {
		s.DataCentres[0].Servers = append(s.DataCentres[0].Servers, site.Server{Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Service: "k"})
	}
	v := View{Site: s, HomesVersion: 1, TableVersion: 1, Table: table.Table{DataCentre: "p", Epoch: 1, Leader: self}.Clone()}
	l := New(self, "p", now)
	var beats []*wire.Beat
	for i := range daemons {
		beats = append(beats, &wire.Beat{From: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), Incarnation: 1, DataCentre: "p"})
	}
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		for i, b := range beats {
			b.Servers = nil
			for j, sv := range s.DataCentres[0].Servers {
				if j%daemons == i {
					b.Servers = append(b.Servers, &wire.ServerReport{Server: sv.Address, State: wire.ServerState_SERVER_STATE_OK, Limit: 1, LatencyMicros: 5000})
				}
			}
			l.Heard(now, b)
		}
		d := l.Decide(now, v)
		if d.Homes != nil {
			v.Homes = *d.Homes
			v.HomesVersion++
		}
		if d.Table != nil {
			v.Table = *d.Table
			v.TableVersion++
		}
	}
	return l, v, now, beats
}

// TestDecideSettles checks that a leader with nothing to do wants nothing: the
// platform's budget has no room for writes that change nothing.
func TestDecideSettles(t *testing.T) {
	l, v, now, beats := settled(4, 12, 64)
	for _, b := range beats {
		l.Heard(now, b)
	}
	if d := l.Decide(now, v); d.Table != nil || d.Homes != nil || len(d.Wanted) != 0 {
		t.Fatalf("wanted a change: %+v", d)
	}
	for s := range uint32(64) {
		if _, ok := v.Table.Owner("k", s); !ok {
			t.Fatalf("shard %d has no owner", s)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct{ daemons, servers, shards int }{
		{10, 50, 256}, {10, 50, 1024}, {10, 50, 4096}, {10, 50, 16384},
		{25, 125, 1024}, {50, 250, 1024}, {100, 500, 1024}, {100, 500, 4369},
	} {
		b.Run(fmt.Sprintf("daemons=%d/servers=%d/shards=%d", c.daemons, c.servers, c.shards), func(b *testing.B) {
			l, v, now, _ := settled(c.daemons, c.servers, c.shards)
			b.ReportAllocs()
			for b.Loop() {
				l.Decide(now, v)
			}
			b.ReportMetric(float64(len(v.Table.Marshal())), "tableBytes")
		})
	}
}

func BenchmarkBeat(b *testing.B) {
	for _, servers := range []int{1, 2, 5, 10} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			beat := &wire.Beat{From: "10.0.0.1:7100", Incarnation: 1796257482125381667, DataCentre: "duluth"}
			beat.Digest = 1<<63 + 17
			for i := range servers {
				beat.Servers = append(beat.Servers, &wire.ServerReport{Server: fmt.Sprintf("10.1.0.%d:9000", i), State: wire.ServerState_SERVER_STATE_OK, Limit: 1, LatencyMicros: 5000})
			}
			for b.Loop() {
				data, _ := proto.Marshal(beat)
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}

// A data centre comes back; its first shards have had no order yet, though the
// shards it had before have. Their sizes were zero over zero, no server was the
// emptiest, and the leader panicked.
func TestSpreadOfShardsWithoutOrders(t *testing.T) {
	w := &wish{loads: []float64{50, 0, 0}}
	got := w.spread([]int{shard.None, shard.None, shard.None}, []float64{1, 1}, []bool{false, true, true}, 0, 0, true)
	if got[1] < 0 || got[2] < 0 || got[1] == got[2] {
		t.Fatalf("spread to %v", got)
	}
}
