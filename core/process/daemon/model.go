package daemon

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/leader"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// Names of the platform objects.
const (
	SiteObject  = "site"
	HomesObject = "homes"
	TablePrefix = "dc/"
)

// Model is the control state of a daemon. Update returns the next one.
type Model struct {
	settings
	self       table.Daemon
	dataCentre string
	seeds      []string
	random     *rand.Rand

	objects map[string]*wire.Object
	site    site.Site
	homes   shard.Homes
	tables  map[string]table.Table

	lead     *leader.Leader
	decision leader.Decision
	writing  map[string]uint64 // by object: the version a write under way builds on

	platform   contact
	beat       beating
	syncAt     time.Time
	decideAt   time.Time // the next regular decision of a leader
	syncNear   bool      // the next exchange is with the own data centre
	nearAt     time.Time // the last contact with a daemon of it other than the leader
	holds      map[string]route.Hold
	quiet      map[string]*wire.Release
	holdNumber uint64
	reports    []*wire.ServerReport
	urgent     bool // the reports hold news that should not wait
	leaving    time.Time
	probed     map[table.Daemon]time.Time
	lostLeader table.Daemon   // whose place this daemon wants to take, its process having ended
	nudged     map[string]int // how much was wanted of a daemon when it was last asked
	left       bool
}

// contact is what is known of the platform.
type contact struct {
	ok      time.Time // when it last answered, counted from the question
	failing bool
	wait    time.Duration // between reads while it fails
	next    time.Time     // the next read
	reading map[string]bool
}

// beating is the state of the heartbeats to the leader.
type beating struct {
	next    time.Time
	sent    time.Time // zero when none is under way
	ok      time.Time // when a beat was sent that the leader answered
	refused bool
	suspect time.Time // since when the leader is taken for lost; zero: it is not
}

// New returns the state of a daemon that has just started and knows nothing.
func New(self table.Daemon, dataCentre string, seeds []string, opts ...Option) Model {
	m := Model{
		settings:   defaults(),
		self:       self,
		dataCentre: dataCentre,
		seeds:      seeds,
		objects:    map[string]*wire.Object{},
		tables:     map[string]table.Table{},
		writing:    map[string]uint64{},
		holds:      map[string]route.Hold{},
		quiet:      map[string]*wire.Release{},
		probed:     map[table.Daemon]time.Time{},
		nudged:     map[string]int{},
		platform:   contact{reading: map[string]bool{}},
	}
	for _, o := range opts {
		o(&m.settings)
	}
	m.random = rand.New(rand.NewPCG(m.seed, self.Incarnation))
	return m
}

// Leading tells whether this daemon leads its data centre, as far as it knows.
func (m Model) Leading() bool { return m.lead != nil }

// Versions lists what this daemon holds, for status.
func (m Model) Versions() []*wire.Version {
	out := make([]*wire.Version, 0, len(m.objects))
	for _, o := range m.objects {
		out = append(out, &wire.Version{Name: o.Name, Version: o.Version})
	}
	slices.SortFunc(out, func(a, b *wire.Version) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// PlatformFailing tells whether the platform did not answer when last asked.
func (m Model) PlatformFailing() bool { return m.platform.failing }

// Leader returns the leader of the daemon's data centre, as far as known.
func (m Model) Leader() table.Daemon { return m.table().Leader }

func (m *Model) table() table.Table { return m.tables[m.dataCentre] }

func (m *Model) tableObject() string { return TablePrefix + m.dataCentre }

func (m *Model) version(name string) uint64 {
	if o := m.objects[name]; o != nil {
		return o.Version
	}
	return 0
}
