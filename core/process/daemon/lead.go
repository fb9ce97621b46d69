package daemon

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/leader"
	"catkinstep/core/version/table"
)

const (
	// decideAtMost bounds the time between two regular decisions, and
	// decidePerServer keeps their share of a core the same at any size. News that
	// cannot wait, a release or the proof of a loss, is decided on at once.
	decideAtMost    = 300 * time.Millisecond
	decidePerServer = 500 * time.Microsecond
)

func (u *update) decideEvery() time.Duration {
	d, _ := u.site.DataCentre(u.dataCentre)
	return min(decideAtMost, time.Duration(len(d.Servers))*decidePerServer)
}

// decide lets the leader compare what it heard with what is in force, and
// begins the writes that follow. One write of an object at a time: the next
// one builds on what became of it.
func (u *update) decide() {
	if u.lead == nil || u.version(SiteObject) == 0 {
		return
	}
	d := u.lead.Decide(u.now, leader.View{
		Site:  u.site,
		Homes: u.homes, HomesVersion: u.version(HomesObject),
		Table: u.table(), TableVersion: u.version(u.tableObject()),
		Others: u.tables,
	})
	u.decision = d
	u.hold(d.Wanted[u.self.Address])
	u.nudge(d.Wanted)
	for _, to := range d.Nudge {
		u.do(SyncCmd{To: to.Address, Sync: &wire.Sync{From: u.self.Address, Versions: u.Versions(), Nudge: true}})
	}
	if u.platform.failing && u.now.Before(u.platform.next) {
		return
	}
	if d.Table != nil && u.free(u.tableObject()) {
		u.write(u.tableObject(), u.version(u.tableObject()), d.Table.Marshal())
	}
	if d.Homes != nil && u.free(HomesObject) {
		u.lead.Tried(u.version(HomesObject))
		next := *d.Homes
		next.Writer = u.writer()
		u.write(HomesObject, u.version(HomesObject), next.Marshal())
	}
	for _, p := range d.Probe {
		if u.now.Sub(u.probed[p]) >= u.beatEvery {
			u.probed[p] = u.now
			u.do(ProbeCmd{Daemon: p})
		}
	}
}

// nudge asks the daemons of which something new is wanted for a heartbeat now.
// At the next regular one, each step of a move would cost a quarter second.
func (u *update) nudge(wanted map[string][]*wire.Release) {
	for _, to := range slices.Sorted(maps.Keys(wanted)) {
		n := 0
		for _, r := range wanted[to] {
			n += len(r.Shards)
			if r.All {
				n++
			}
		}
		if to != u.self.Address && n > u.nudged[to] {
			u.do(SyncCmd{To: to, Sync: &wire.Sync{From: u.self.Address, Versions: u.Versions(), Nudge: true}})
		}
		u.nudged[to] = n
	}
	maps.DeleteFunc(u.nudged, func(to string, _ int) bool { return wanted[to] == nil })
}

// free tells whether nothing is under way for an object.
func (u *update) free(name string) bool {
	_, writing := u.writing[name]
	return !writing && !u.platform.reading[name]
}

func (u *update) write(name string, ifVersion uint64, value []byte) {
	u.writing[name] = ifVersion
	if u.platform.failing {
		u.platform.next = u.now.Add(u.platform.wait)
	}
	u.do(WriteCmd{Name: name, IfVersion: ifVersion, Value: value})
}

// writer makes a token that is unique to one write.
func (u *update) writer() string {
	return fmt.Sprintf("%s/%d/%d", u.self.Address, u.self.Incarnation, u.random.Uint64())
}

// spread passes news on: to the daemons of the data centre and to the leaders
// of the others, which may be cut off from the platform.
func (u *update) spread(news []*wire.Object) {
	for _, to := range u.neighbours() {
		u.do(SyncCmd{To: to, Sync: &wire.Sync{From: u.self.Address, Versions: u.Versions(), Objects: news}})
	}
}

func (u *update) near() []string {
	var out []string
	for _, d := range u.table().Daemons {
		if d.Address != u.self.Address {
			out = append(out, d.Address)
		}
	}
	return out
}

func (u *update) neighbours() []string {
	out := u.near()
	for _, name := range slices.Sorted(maps.Keys(u.tables)) {
		t := u.tables[name]
		if name != u.dataCentre && t.Leader.Address != "" {
			out = append(out, t.Leader.Address)
		}
	}
	return out
}

// gossip exchanges objects with one random peer now and then. It is what
// reaches a daemon that missed the spreading, and a fresh one while the
// platform is down.
func (u *update) gossip() {
	if u.now.Before(u.syncAt) {
		return
	}
	u.syncAt = u.now.Add(u.syncEvery + time.Duration(u.random.Int64N(int64(u.syncEvery)/4+1)))
	peers := u.near()
	if u.syncNear = !u.syncNear; u.syncNear || len(peers) == 0 {
		peers = u.neighbours()
		for _, s := range u.seeds {
			if s != u.self.Address {
				peers = append(peers, s)
			}
		}
	}
	if len(peers) == 0 {
		return
	}
	to := peers[u.random.IntN(len(peers))]
	u.do(SyncCmd{To: to, Sync: &wire.Sync{From: u.self.Address, Versions: u.Versions()}})
}

// met notes a contact with another daemon.
func (u *update) met(address string) {
	if address != u.table().Leader.Address && slices.Contains(u.near(), address) {
		u.nearAt = u.now
	}
}

// alone tells whether this daemon has lost all others of its data centre, the
// leader apart, though there are some.
func (u *update) alone() bool {
	others := slices.DeleteFunc(u.near(), func(a string) bool { return a == u.table().Leader.Address })
	return len(others) > 0 && u.now.Sub(u.nearAt) > u.aloneAfter
}

// synced takes in what a peer had, and gives it what it lacks.
func (u *update) synced(msg SyncReplyMsg) {
	u.met(msg.From)
	u.absorb(msg.Sync.Objects)
	if newer := u.newerThan(msg.Sync.Versions); len(newer) > 0 && msg.From != "" {
		u.do(SyncCmd{To: msg.From, Sync: &wire.Sync{From: u.self.Address, Versions: u.Versions(), Objects: newer}})
	}
}

func (u *update) newerThan(theirs []*wire.Version) []*wire.Object {
	have := map[string]uint64{}
	for _, v := range theirs {
		have[v.Name] = v.Version
	}
	var out []*wire.Object
	for _, name := range slices.Sorted(maps.Keys(u.objects)) {
		if o := u.objects[name]; o.Version > have[name] {
			out = append(out, o)
		}
	}
	return out
}

// leaveAlone is how long the last daemon of a data centre waits for another to
// hand its servers to.
const leaveAlone = time.Second

// leave ends a planned stop: servers first, then the lead, then LeftCmd.
func (u *update) leave() {
	if u.leaving.IsZero() || u.left {
		return
	}
	t := u.table()
	dispatching := false
	for _, d := range t.Dispatches {
		dispatching = dispatching || d.Daemon == u.self
	}
	alone := len(t.Daemons) <= 1 && u.now.Sub(u.leaving) > leaveAlone
	if dispatching && !alone {
		return
	}
	if u.lead != nil && !alone {
		if u.free(u.tableObject()) {
			next := t.Clone()
			next.Leader = table.Daemon{}
			u.write(u.tableObject(), u.version(u.tableObject()), next.Marshal())
		}
		return
	}
	u.left = true
	u.do(LeftCmd{})
}
