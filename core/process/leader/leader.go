package leader

import (
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// Leader is what the leader of a data centre remembers between decisions.
type Leader struct {
	settings
	self       table.Daemon
	dataCentre string
	since      time.Time
	peers      map[string]*peer
	servers    map[string]*server
	want       map[string]*wish
	tried      uint64
	doubts     map[string]doubt // by server: since when its dispatcher is to be replaced
	freed      time.Time        // when unused releases were last given back
}

// View is what is in force when a decision is made.
type View struct {
	Site         site.Site
	Homes        shard.Homes
	HomesVersion uint64
	Table        table.Table
	TableVersion uint64
	// Others are the tables of the other data centres, as far as known.
	Others map[string]table.Table
}

// Decision is what a leader wants done.
type Decision struct {
	// Table is to be written conditionally on View.TableVersion; nil for none.
	Table *table.Table
	// Homes are to be written conditionally on View.HomesVersion; nil for none.
	Homes *shard.Homes
	// Wanted are the releases to ask for, by daemon address.
	Wanted map[string][]*wire.Release
	// Probe are silent daemons whose process may have ended.
	Probe []table.Daemon
	// Nudge are daemons that are to send a heartbeat now.
	Nudge []table.Daemon
}

// peer is what was heard of one daemon.
type peer struct {
	daemon   table.Daemon
	at       time.Time
	gone     bool
	leaving  bool
	released []*wire.Release
	reports  map[string]*wire.ServerReport
}

// server is what was heard of one backend server, whoever dispatches to it.
type server struct {
	okSince time.Time // zero while not ok
	lastOK  time.Time
	ramping bool
	// slow is set while it answers much more slowly than its fellows.
	slow      bool
	slowSince time.Time // since when it answers slowly
	fastSince time.Time // since when a slowed one answers as before
}

// doubt is since when the dispatcher under a token is to be replaced.
type doubt struct {
	token uint64
	at    time.Time
}

// wish is the plan for one service's shards, kept until its inputs change.
type wish struct {
	owner    []int
	weights  []float64
	mine     []bool
	loads    []float64
	counted  []float64
	balanced time.Time
}

// New returns a Leader that has just taken the lead. Daemons it has not heard
// of yet are given the benefit of the doubt from now on.
func New(self table.Daemon, dataCentre string, now time.Time, opts ...Option) *Leader {
	l := &Leader{
		settings:   defaults(),
		self:       self,
		dataCentre: dataCentre,
		since:      now,
		peers:      map[string]*peer{},
		servers:    map[string]*server{},
		want:       map[string]*wish{},
		doubts:     map[string]doubt{},
		freed:      now,
	}
	for _, o := range opts {
		o(&l.settings)
	}
	return l
}

// Heard takes in a daemon's heartbeat. A beat of an older incarnation is
// dropped: it was delayed by the network and its process has ended.
func (l *Leader) Heard(now time.Time, b *wire.Beat) {
	d := table.Daemon{Address: b.From, Incarnation: b.Incarnation}
	if p, ok := l.peers[b.From]; ok && p.daemon.Incarnation > d.Incarnation {
		return
	}
	p := &peer{daemon: d, at: now, leaving: b.Leaving, released: b.Released, reports: map[string]*wire.ServerReport{}}
	for _, r := range b.Servers {
		p.reports[r.Server] = r
	}
	l.peers[b.From] = p
}

// Count adds the loads of a heartbeat to the services' shards. It is apart
// from Heard so that a resent heartbeat is not counted twice.
func (l *Leader) Count(s site.Site, b *wire.Beat) {
	of := map[string]string{}
	if d, ok := s.DataCentre(l.dataCentre); ok {
		for _, v := range d.Servers {
			of[v.Address] = v.Service
		}
	}
	for _, r := range b.Servers {
		w := l.want[of[r.Server]]
		if w == nil {
			continue
		}
		for _, n := range r.Loads {
			if int(n.Shard) < len(w.counted) {
				w.counted[n.Shard] += float64(n.Orders)
			}
		}
	}
}

// Gone takes in the proof that a daemon's process has ended: its address
// refuses connections, or answers with another incarnation.
func (l *Leader) Gone(now time.Time, d table.Daemon) {
	p, ok := l.peers[d.Address]
	if !ok {
		l.peers[d.Address] = &peer{daemon: d, at: now, gone: true}
		return
	}
	if p.daemon == d {
		p.gone = true
	}
}

// Tried notes that the homes are being written conditionally on a version.
func (l *Leader) Tried(homesVersion uint64) { l.tried = max(l.tried, homesVersion) }

// Decide compares what was heard with what is in force.
func (l *Leader) Decide(now time.Time, v View) Decision {
	p := &plan{Leader: l, View: v, now: now, t: v.Table.Clone(), wanted: map[string]map[string]*wire.Release{}}
	p.prepare()
	p.homesWanted()
	p.observe()
	p.slowed()
	p.daemons()
	p.dispatches()
	p.shards()
	return p.decision()
}

func (l *Leader) silentFor(now time.Time, d table.Daemon) time.Duration {
	if d == l.self {
		return 0
	}
	if p, ok := l.peers[d.Address]; ok && p.daemon == d {
		return now.Sub(p.at)
	}
	return now.Sub(l.since)
}

// ended tells whether a daemon's process has provably ended.
func (l *Leader) ended(d table.Daemon) bool {
	if d == l.self {
		return false
	}
	p, ok := l.peers[d.Address]
	return ok && (p.daemon.Incarnation > d.Incarnation || p.daemon == d && p.gone)
}

func (l *Leader) working(now time.Time, d table.Daemon) bool {
	return d.Address != "" && !l.ended(d) && l.silentFor(now, d) < l.suspectAfter
}

func (l *Leader) leaving(d table.Daemon) bool {
	p, ok := l.peers[d.Address]
	return ok && p.daemon == d && p.leaving
}

func (l *Leader) report(d table.Daemon, server string) *wire.ServerReport {
	if p, ok := l.peers[d.Address]; ok && p.daemon == d {
		return p.reports[server]
	}
	return nil
}

func (l *Leader) fit(now time.Time, d table.Daemon) bool {
	return l.working(now, d) && !l.leaving(d)
}

func sortDaemons(ds []table.Daemon) {
	slices.SortFunc(ds, func(a, b table.Daemon) int {
		switch {
		case a.Address < b.Address:
			return -1
		case a.Address > b.Address:
			return 1
		}
		return 0
	})
}
