package keeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// simulation simulates servers that enforce grants, a store with conditional updates, and
// daemons that compete for the lead, over a network that drops, delays and refuses calls.
// It checks the grants that the servers have accepted, not what a Keeper knows of them. The
// worst fault is a grant that a server applies late: the server refuses it only if it has seen
// a higher fence, of a grant or a release.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	faultFree bool
	// indirect lets leaders release through other daemons.
	indirect      bool
	servers       []*server
	daemons       []*daemon
	table         grant.Table
	storeRevision uint64
	// published is the newest table that a leader has published.
	published grant.Table
	events    []event
	trace     []string
	violation string
	// restarting makes servers restart while a leader is cut off, see restart_simulation_test.go.
	restarting bool
	// witnessed makes the other daemons the witnesses of each leader, see witness_simulation_test.go.
	witnessed bool
}

type event struct {
	at  time.Time
	run func()
}

// server is one instance of a backend server.
type server struct {
	fleet.Server
	running       bool
	listed        bool
	fences        [Buckets]uint64
	expiresAt     [Buckets]time.Time
	requestsEndAt [Buckets]time.Time // when the requests that run on a bucket's keys end
	clockRatio    float64            // real time divided by the time that the server's clock shows
}

type daemon struct {
	name                  string
	incarnation           uint64
	keeper                *Keeper
	suspendedUntil        time.Time
	inbox                 []Msg
	epoch                 uint64          // the newest that it knows, with witnesses
	endings               []*lease.Ending // of the terms before its own
	cutOffUntil           time.Time       // reaches no other daemon
	storeUnreachableUntil time.Time
	unreachableUntil      map[string]time.Time // by address of the server
}

const (
	simServerCount = 4
	simDaemonCount = 3
	simStep        = 10 * time.Millisecond
	simGrantTTL    = 2 * time.Second
	simLeaderLease = 4 * time.Second
	testService    = "k"
)

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0)}
	for i := range simServerCount {
		s.startServer(fmt.Sprintf("s%d", i))
	}
	for i := range simDaemonCount {
		s.daemons = append(s.daemons, &daemon{name: fmt.Sprintf("d%d", i), incarnation: 1, unreachableUntil: map[string]time.Time{}})
	}
	return s
}

func (s *simulation) startServer(id string) {
	srv := &server{Server: fleet.Server{ID: id, Address: id, Service: testService, DataCentre: "a", Slots: 3, StartMillis: s.now.UnixMilli()},
		running: true, listed: true, clockRatio: 1 + 0.02*s.rng.Float64()}
	s.servers = append(s.servers, srv)
}

func (s *simulation) chance(p float64) bool { return !s.faultFree && s.rng.Float64() < p }

func (s *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, event{at: s.now.Add(d), run: run})
}

func (s *simulation) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// run simulates a span of time, up to the first violation.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.violation == ""; {
		s.now = s.now.Add(simStep)
		s.runDueEvents()
		s.injectFaults()
		for _, d := range s.daemons {
			s.step(d)
		}
		s.checkHolders()
	}
}

func (s *simulation) runDueEvents() {
	var remaining []event
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at.After(s.now) {
			remaining = append(remaining, e)
			continue
		}
		e.run()
	}
	s.events = append(s.events, remaining...)
}

// checkHolders checks that no key has two holders, and that no server runs requests on a key
// that another one holds.
func (s *simulation) checkHolders() {
	// Each step checks another eighth of the buckets. Moves take longer than the eight
	// steps until a bucket is checked again.
	var running []*server
	for _, srv := range s.servers {
		if srv.running {
			running = append(running, srv)
		}
	}
	for b := int(s.now.UnixMilli()/10) % 8; b < Buckets; b += 8 {
		holders, busy := 0, 0
		for _, srv := range running {
			if srv.expiresAt[b].After(s.now) {
				holders++
			} else if srv.requestsEndAt[b].After(s.now) {
				busy++
			}
		}
		if holders > 1 || holders == 1 && busy > 0 {
			s.violation = fmt.Sprintf("bucket %d has %d holders, and %d other servers run requests on it", b, holders, busy)
			s.logf("%s", s.violation)
			return
		}
	}
}

// step makes a daemon handle its inbox and, every 50 ms, tick.
func (s *simulation) step(d *daemon) {
	if s.now.Before(d.suspendedUntil) {
		return
	}
	if d.keeper == nil {
		d.inbox = nil
		if s.witnessed {
			s.learnEpoch(d)
		}
		if s.mayTakeLead(d) {
			s.takeLead(d)
		}
		return
	}
	inbox := d.inbox
	d.inbox = nil
	for _, m := range inbox {
		s.update(d, m)
	}
	if d.keeper == nil || s.now.UnixMilli()%50 != 0 {
		return
	}
	if s.chance(0.003) {
		if s.restarting {
			s.restartServersDuringCut(d)
		} else {
			s.cutOffLeader(d)
		}
	}
	if s.witnessed {
		s.callWitnesses(d)
	}
	s.update(d, FleetMsg{Fleet: s.fleet(), KeyedServices: []string{testService}, IndirectReleases: s.indirect})
	if d.keeper != nil {
		s.reportEndings(d)
	}
	if d.keeper != nil {
		s.update(d, TickMsg{})
	}
}

func (s *simulation) fleet() *fleet.Fleet {
	var out []fleet.Server
	for _, srv := range s.servers {
		if srv.listed {
			out = append(out, srv.Server)
		}
	}
	return fleet.New(out)
}

func (s *simulation) update(d *daemon, m Msg) {
	if d.keeper == nil {
		return
	}
	for _, c := range d.keeper.Update(s.now, m) {
		s.execute(d, c)
	}
}

// send delivers a message to a daemon, unless it has restarted since it made the call.
func (s *simulation) send(d *daemon, incarnation uint64, m Msg) {
	if d.incarnation == incarnation {
		d.inbox = append(d.inbox, m)
	}
}

func (s *simulation) execute(d *daemon, c Cmd) {
	incarnation := d.incarnation
	switch c := c.(type) {
	case GrantCmd:
		s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.deliverGrant(d, incarnation, c) })
	case ReleaseCmd:
		s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.deliverRelease(d, incarnation, c) })
	case SaveCmd:
		s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.save(d, incarnation, c) })
	case ReadCmd:
		s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.read(d, incarnation) })
	case PublishCmd:
		if c.Table.Newer(s.published) {
			s.published = c.Table
		}
	case StepDownCmd:
		s.logf("%s steps down: %s", d.name, c.Reason)
		d.keeper = nil
	case LogCmd:
		s.logf("%s: %s %d-%d %v -> %v %s", d.name, c.Text, c.From, c.To, c.Holder, c.Next, c.Reason)
	}
}
