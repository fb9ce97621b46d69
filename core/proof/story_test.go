package proof

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/process/daemon"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// settled makes a world whose shards all have owners.
func settled(seed uint64, places, daemons, servers int, checks bool) *world {
	w := newWorld(seed, places, daemons, servers, checks)
	w.run(4 * time.Second)
	return w
}

// tableOf returns the assignments of a data centre at the platform.
func (w *world) tableOf(place string) table.Table {
	t, err := table.Unmarshal(w.plat.objects[daemon.TablePrefix+place].Value)
	if err != nil {
		panic(err)
	}
	return t
}

// dispatcher returns the host that dispatches to a server.
func (w *world) dispatcher(server string) *host {
	return w.daemons[w.tableOf(placeOf(server)).Dispatches[server].Daemon.Address]
}

// ask sends a request now and returns a place for its outcome.
func (w *world) ask(key string, lookup bool) *request {
	r := w.request(lookup, 0)
	r.key, r.made = key, true
	return r
}

// keyAt returns a key that a server owns.
func (w *world) keyAt(server string) string {
	t := w.tableOf(placeOf(server))
	for i := range 1000 {
		key := "/key" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		if o, ok := t.Owner("k", shard.Of(key, shardCount)); ok && o == server {
			return key
		}
	}
	panic("no key at " + server)
}

// outage keeps asking for a key until it is answered, and returns how long that
// took from now.
func (w *world) outage(key string) time.Duration {
	began := w.now
	for w.now.Sub(began) < time.Minute {
		r := w.ask(key, true)
		for r.pending > 0 {
			w.run(10 * time.Millisecond)
		}
		if r.told[0] == "answered" {
			return w.now.Sub(began)
		}
	}
	return w.now.Sub(began)
}

func (w *world) violations() []string {
	v := w.oracle.Verdict()
	return append(v.Findings, w.findings...)
}

// A daemon is paused by its host while it holds orders for a server. The leader
// gives the server to another dispatcher, which sends a booking; then the first
// wakes and writes what it held. The caller must not be charged twice: the
// server took the higher token and refuses the late order.
func TestPausedDispatcherWakesBehindItsSuccessor(t *testing.T) {
	Convey("The late order of a paused dispatcher is refused by its token", t, func() {
		w := settled(1, 1, 3, 2, true)
		server := w.site.DataCentres[0].Servers[0].Address
		old := w.dispatcher(server)
		key := w.keyAt(server)
		r := w.ask(key, false)
		old.paused = w.now.Add(5 * time.Second)
		w.run(2 * time.Second)
		So(w.dispatcher(server).self, ShouldNotEqual, old.self)
		So(w.outage(key), ShouldBeLessThan, 500*time.Millisecond)
		w.run(10 * time.Second)
		So(r.told, ShouldHaveLength, 1)
		So(w.violations(), ShouldBeEmpty)
	})
}

// The same with servers that do not check tokens. Nothing but the daemon itself
// can stop its late orders, so that its server must wait for it: another
// dispatcher beside it would let two orders for one booking through.
func TestPausedDispatcherOfUncheckingServersKeepsThem(t *testing.T) {
	Convey("Silence alone does not replace the dispatcher of an unchecking server", t, func() {
		w := settled(2, 1, 3, 2, false)
		server := w.site.DataCentres[0].Servers[0].Address
		old := w.dispatcher(server)
		old.paused = w.now.Add(5 * time.Second)
		w.run(4 * time.Second)
		So(w.dispatcher(server).self, ShouldEqual, old.self)
		w.run(2 * time.Second)
		So(w.outage(w.keyAt(server)), ShouldBeLessThan, 200*time.Millisecond)
		So(w.violations(), ShouldBeEmpty)
	})
	Convey("The proof that its process has ended does, within two seconds", t, func() {
		w := settled(2, 1, 3, 2, false)
		server := w.site.DataCentres[0].Servers[0].Address
		key := w.keyAt(server)
		w.dispatcher(server).alive = false
		So(w.outage(key), ShouldBeLessThan, 2*time.Second)
		So(w.violations(), ShouldBeEmpty)
	})
}

// A backend server freezes with a booking inside. Its keys move to another
// server; then it thaws. If it went on with the booking, two servers would work
// on one key. The order's deadline, on the server's own clock, has passed.
func TestFrozenServerThawsAfterItsKeysMoved(t *testing.T) {
	Convey("A thawed server runs nothing for keys that have moved", t, func() {
		w := settled(3, 1, 2, 3, true)
		server := w.site.DataCentres[0].Servers[1].Address
		key := w.keyAt(server)
		for range 6 {
			w.ask(key, false)
		}
		w.run(4 * time.Millisecond)
		w.servers[server].frozen = w.now.Add(6 * time.Second)
		So(w.outage(key), ShouldBeLessThan, 2*time.Second)
		w.run(10 * time.Second)
		So(w.violations(), ShouldBeEmpty)
	})
}

// A data centre loses the leader while the platform is down. Nobody can be made
// leader, and nothing may change owner; but what is assigned must go on being
// served, through the daemons that are left.
func TestLeaderLostWhileThePlatformIsDown(t *testing.T) {
	Convey("Existing assignments are served without leader and platform", t, func() {
		w := settled(4, 1, 3, 2, true)
		w.plat.down = true
		leader := w.tableOf("p0").Leader.Address
		w.daemons[leader].alive = false
		w.run(30 * time.Minute)
		for _, v := range w.site.DataCentres[0].Servers {
			if w.dispatcher(v.Address).self.Address == leader {
				continue // waits for the platform, as the operator's page says
			}
			So(w.outage(w.keyAt(v.Address)), ShouldBeLessThan, 200*time.Millisecond)
		}
		w.plat.down = false
		w.run(8 * time.Second)
		for _, v := range w.site.DataCentres[0].Servers {
			So(w.outage(w.keyAt(v.Address)), ShouldBeLessThan, 200*time.Millisecond)
		}
		So(w.violations(), ShouldBeEmpty)
	})
}

// A leader is cut off from its peers but not from the platform, then heals. The
// others elect a second one. For a while there are two; only one may change
// assignments, since each write is conditional on the version it was made from.
func TestTwoLeadersInOneDataCentre(t *testing.T) {
	Convey("Of two leaders one can write, and the keys keep one owner", t, func() {
		w := settled(5, 1, 3, 2, true)
		leader := w.tableOf("p0").Leader.Address
		for _, a := range w.order {
			if a != leader {
				w.cutPair[[2]string{leader, a}] = true
			}
		}
		w.callers(w.now.Add(8 * time.Second))
		w.run(5 * time.Second)
		So(w.tableOf("p0").Leader.Address, ShouldNotEqual, leader)
		clear(w.cutPair)
		w.run(8 * time.Second)
		leading := 0
		for _, a := range w.order {
			if w.daemons[a].model.Leading() {
				leading++
			}
		}
		So(leading, ShouldEqual, 1)
		So(w.violations(), ShouldBeEmpty)
	})
}

// A leader gives shards to another data centre; its write of the homes is
// delayed in the network. A new leader of its data centre sees the mark, takes
// the shards in again, and assigns them. If the delayed write then landed, two
// data centres would own them. It finds the homes at a later version.
func TestDelayedHomesWriteOfAReplacedLeader(t *testing.T) {
	Convey("A write of the homes that comes late gives nothing away", t, func() {
		for seed := uint64(1); seed <= 12; seed++ {
			w := settled(seed, 2, 3, 2, true)
			w.callers(w.now.Add(12 * time.Second))
			w.plat.slowWrites = true
			w.change(func(s site.Site) (site.Site, error) { return s.WithOut(site.Out{DataCentre: "p0"}) })
			w.run(time.Duration(40+seed*30) * time.Millisecond)
			w.daemons[w.tableOf("p0").Leader.Address].paused = w.now.Add(3 * time.Second)
			w.change(func(s site.Site) (site.Site, error) { return s.WithIn(site.Out{DataCentre: "p0"}) })
			w.run(6 * time.Second)
			w.plat.slowWrites = false
			w.run(10 * time.Second)
			So(w.violations(), ShouldBeEmpty)
		}
	})
}

// A caller books, the dispatcher that remembers the id dies, and the caller
// sends the booking again through another host. The backup has the id: the
// caller gets the first answer, and pays once.
func TestResentAfterTheLedgersDaemonDied(t *testing.T) {
	Convey("A resent id is answered from the backup's copy", t, func() {
		w := settled(6, 1, 3, 2, true)
		server := w.site.DataCentres[0].Servers[0].Address
		r := w.ask(w.keyAt(server), false)
		w.run(1100 * time.Millisecond)
		So(r.told, ShouldResemble, []string{"answered"})
		w.dispatcher(server).alive = false
		w.run(2 * time.Second)
		r.made = false
		r.pending++
		w.try(r, false)
		w.run(3 * time.Second)
		So(r.told, ShouldResemble, []string{"answered", "answered"})
		So(w.violations(), ShouldBeEmpty)
	})
	Convey("With dispatcher and backup both lost it is told that nobody knows", t, func() {
		w := settled(6, 1, 3, 2, true)
		server := w.site.DataCentres[0].Servers[0].Address
		r := w.ask(w.keyAt(server), false)
		w.run(1100 * time.Millisecond)
		d := w.tableOf("p0").Dispatches[server]
		w.daemons[d.Daemon.Address].alive = false
		w.daemons[d.Backup.Address].alive = false
		w.run(6 * time.Second)
		r.made = false
		r.pending++
		w.try(r, false)
		w.run(5 * time.Second)
		So(r.told, ShouldResemble, []string{"answered", "unknown"})
		So(w.violations(), ShouldBeEmpty)
	})
}

// A daemon is replaced from nothing while the platform is down. It must get the
// configuration in force from its peers, not wait, and never an older one.
func TestFreshDaemonWhileThePlatformIsDown(t *testing.T) {
	Convey("A fresh daemon serves callers with its peers' configuration", t, func() {
		w := settled(7, 2, 2, 2, true)
		w.change(func(s site.Site) (site.Site, error) { return s.WithPreset("peak") })
		w.run(time.Second)
		w.plat.down = true
		w.daemons[w.order[1]].alive = false
		w.startDaemon(w.order[1])
		w.run(3 * time.Second)
		h := w.daemons[w.order[1]]
		So(h.highest, ShouldEqual, w.accepted[len(w.accepted)-1])
		So(h.route.Site.Preset().Name, ShouldEqual, "peak")
	})
}

// A data centre is cut off from all others and the platform; the operator marks
// it out; it cannot know. It goes on serving its own callers, nobody takes its
// keys, and when it is back it gives them up in an orderly way.
func TestDataCentreOutWhileCutOff(t *testing.T) {
	Convey("Keys stay home until the cut-off data centre can let them go", t, func() {
		w := settled(8, 2, 2, 2, true)
		w.cutDC["p0"] = true
		w.run(time.Second)
		w.change(func(s site.Site) (site.Site, error) { return s.WithOut(site.Out{DataCentre: "p0"}) })
		w.run(10 * time.Second)
		homes, err := shard.UnmarshalHomes(w.plat.objects[daemon.HomesObject].Value)
		So(err, ShouldBeNil)
		So(homes.Rows["k"], ShouldContain, 0)
		delete(w.cutDC, "p0")
		w.run(5 * time.Second)
		homes, err = shard.UnmarshalHomes(w.plat.objects[daemon.HomesObject].Value)
		So(err, ShouldBeNil)
		So(homes.Rows["k"], ShouldNotContain, 0)
		So(w.violations(), ShouldBeEmpty)
	})
	Convey("The operator's word that it is lost moves them at once", t, func() {
		w := settled(8, 2, 2, 2, true)
		for _, a := range w.order[:2] {
			w.daemons[a].alive = false
		}
		for _, v := range w.site.DataCentres[0].Servers {
			w.servers[v.Address].kill()
		}
		w.change(func(s site.Site) (site.Site, error) { return s.WithOut(site.Out{DataCentre: "p0", Lost: true}) })
		w.run(2 * time.Second)
		homes, err := shard.UnmarshalHomes(w.plat.objects[daemon.HomesObject].Value)
		So(err, ShouldBeNil)
		So(homes.Rows["k"], ShouldNotContain, 0)
	})
}

// All daemons are replaced one after the other under load, as a release does.
// No caller may lose an answer by it, and no booking may run twice.
func TestRollingReplacement(t *testing.T) {
	Convey("Replacing every daemon in turn refuses and loses nothing", t, func() {
		w := settled(9, 2, 2, 2, true)
		w.callers(w.now.Add(50 * time.Second))
		for _, a := range w.order {
			h := w.daemons[a]
			h.tell(daemon.LeaveMsg{})
			w.run(4 * time.Second)
			So(h.left, ShouldBeTrue)
			h.alive = false
			w.startDaemon(a)
			w.run(3 * time.Second)
		}
		w.run(10 * time.Second)
		So(w.violations(), ShouldBeEmpty)
	})
}

// A data centre comes back that has no shard of its own. Its leader once
// panicked there, since a spread of nothing has no fullest owner.
func TestReturnOfADataCentreWithoutShards(t *testing.T) {
	Convey("A returning data centre gets its share back", t, func() {
		w := settled(10, 2, 2, 2, true)
		w.change(func(s site.Site) (site.Site, error) { return s.WithOut(site.Out{DataCentre: "p0"}) })
		w.run(5 * time.Second)
		w.change(func(s site.Site) (site.Site, error) { return s.WithIn(site.Out{DataCentre: "p0"}) })
		w.run(8 * time.Second)
		homes, err := shard.UnmarshalHomes(w.plat.objects[daemon.HomesObject].Value)
		So(err, ShouldBeNil)
		So(homes.Rows["k"], ShouldContain, 0)
		So(w.violations(), ShouldBeEmpty)
	})
}

// A server dies at the moment at which it gets shards from another, before its
// dispatcher has fetched their ids. The dispatcher waited for the server to take
// its token before it would fetch, and could not let the shards go without their
// ids: the keys were not served until the server came back.
func TestServerDiesBeforeItsIdsCame(t *testing.T) {
	Convey("Shards move on from a server that died as it got them", t, func() {
		for after := range 60 {
			w := settled(uint64(after), 1, 2, 3, true)
			servers := w.site.DataCentres[0].Servers
			w.change(func(s site.Site) (site.Site, error) { return s.WithOut(site.Out{Host: servers[0].Address}) })
			w.run(time.Duration(after) * time.Millisecond)
			w.servers[servers[1].Address].kill()
			w.run(2 * time.Second)
			for n := range keyCount {
				So(w.outage("/key"+string(rune('a'+n))), ShouldBeLessThan, 2*time.Second)
			}
		}
	})
}

// A dispatcher dies while its backup is paused. The next one finds nobody who
// has the ids; then the backup wakes and becomes the next one's backup, under
// another token. Bookings of before must be answered from its copy again. They
// were not: the next dispatcher looked for the ids under its own last token.
func TestPausedBackupWakesWithTheIDs(t *testing.T) {
	Convey("Ids come back with the daemon that has them", t, func() {
		w := settled(11, 1, 3, 2, true)
		server := w.site.DataCentres[0].Servers[0].Address
		r := w.ask(w.keyAt(server), false)
		w.run(1100 * time.Millisecond)
		So(r.told, ShouldResemble, []string{"answered"})
		d := w.tableOf("p0").Dispatches[server]
		w.daemons[d.Daemon.Address].alive = false
		w.daemons[d.Backup.Address].paused = w.now.Add(4 * time.Second)
		w.run(12 * time.Second)
		r.made = false
		r.pending++
		w.try(r, false)
		w.run(3 * time.Second)
		So(r.told, ShouldResemble, []string{"answered", "answered"})
		So(w.violations(), ShouldBeEmpty)
	})
}

// A data centre gives a shard away; the reply to its write is lost, and its
// leader is paused before it looks again. Bookings run elsewhere; the shard comes
// home. The leader wakes, sees its shard at home as before, and takes the ids
// from where they were before: bookings of the time in between would run again.
func TestShardComesHomeUnseen(t *testing.T) {
	Convey("Ids are taken from the home in between", t, func() {
		for seed := uint64(1); seed <= 16; seed++ {
			w := settled(seed, 2, 2, 1, true)
			key := w.keyAt(w.site.DataCentres[0].Servers[0].Address)
			n := shard.Of(key, shardCount)
			w.plat.loseReplies = true
			w.change(func(s site.Site) (site.Site, error) { return s.WithOut(site.Out{DataCentre: "p0"}) })
			for limit := 0; !w.tableOf("p0").Rows["k"].Leaving[n] && limit < 3000; limit++ {
				w.run(time.Millisecond)
			}
			for _, a := range w.order[:2] {
				w.daemons[a].paused = w.now.Add(5 * time.Second)
				for _, b := range w.order[2:] {
					w.cutPair[[2]string{a, b}] = true
				}
			}
			w.run(time.Second)
			w.plat.loseReplies = false
			var all []*request
			for range 12 {
				all = append(all, w.ask(key, false))
			}
			w.run(500 * time.Millisecond)
			w.change(func(s site.Site) (site.Site, error) { return s.WithIn(site.Out{DataCentre: "p0"}) })
			w.run(6 * time.Second)
			clear(w.cutPair)
			w.run(2 * time.Second)
			for _, r := range all {
				if len(r.told) == 0 || r.told[0] != "answered" {
					continue
				}
				r.made = false
				r.pending++
				w.try(r, false)
				w.run(100 * time.Millisecond)
			}
			w.run(3 * time.Second)
			So(w.violations(), ShouldBeEmpty)
		}
	})
}
