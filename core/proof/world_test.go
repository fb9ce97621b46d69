package proof

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/daemon"
	"catkinstep/core/version/site"
	"catkinstep/io/standin/oracle"
)

// world is everything outside the cores: time, network, platform, servers.
type world struct {
	now    time.Time
	events events
	seq    uint64
	random *rand.Rand

	daemons map[string]*host
	order   []string // addresses of daemons, for deterministic choices
	servers map[string]*server
	places  []string
	site    site.Site
	plat    platform
	cutDC   map[string]bool    // data centres without any contact to others
	cutPair map[[2]string]bool // daemons that do not reach each other

	oracle   *oracle.Oracle
	accepted []uint64 // versions of configurations that operators were told
	findings []string
	trace    []string
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// platform is the fake object API. Versions come from one revision counter.
type platform struct {
	revision    uint64
	objects     map[string]*wire.Object
	down        bool
	loseReplies bool
	slowWrites  bool
}

const (
	bookings   = 5 // in 10 requests
	shardCount = 8
	keyCount   = 12
)

// newWorld makes data centres with daemons and servers each.
func newWorld(seed uint64, places, daemons, servers int, checksTokens bool) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		daemons: map[string]*host{}, servers: map[string]*server{},
		plat:  platform{objects: map[string]*wire.Object{}},
		cutDC: map[string]bool{}, cutPair: map[[2]string]bool{}, oracle: oracle.New(),
	}
	w.site = site.Site{Name: "proof",
		Services: []site.Service{{Name: "k", Keyed: true, Shards: shardCount, Slots: 3, Connections: 10, ChecksTokens: checksTokens,
			Deadline: 4 * time.Second, OrderDeadline: time.Second, RememberIDs: time.Minute}},
		Presets: []site.Preset{{Name: "ordinary", InForce: true, Queue: 32, RetryShare: 0.1}, {Name: "peak", Queue: 64, RetryShare: 0.1}},
	}
	for p := range places {
		name := fmt.Sprintf("p%d", p)
		w.places = append(w.places, name)
		d := site.DataCentre{Name: name}
		for i := range servers {
			address := fmt.Sprintf("10.%d.9.%d:9000", p, i)
			d.Servers = append(d.Servers, site.Server{Address: address, Service: "k"})
			w.servers[address] = newServer(w, address, name, checksTokens)
		}
		w.site.DataCentres = append(w.site.DataCentres, d)
		for i := range daemons {
			w.order = append(w.order, fmt.Sprintf("10.%d.1.%d:7100", p, i))
		}
	}
	for _, a := range w.order {
		w.startDaemon(a)
	}
	w.change(func(site.Site) (site.Site, error) { return w.site, nil })
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) find(format string, args ...any) {
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
	w.note("FOUND "+format, args...)
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%7.3fs ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// follow notes what happens to the request that a flag names.
func (w *world) follow(id, format string, args ...any) {
	if *fuzzID == "*" || id == *fuzzID {
		w.note(id+" "+format, args...)
	}
}

func placeOf(address string) string { return "p" + address[3:4] }

// reaches tells whether a packet gets from one address to another.
func (w *world) reaches(a, b string) bool {
	if w.cutPair[[2]string{a, b}] || w.cutPair[[2]string{b, a}] {
		return false
	}
	return placeOf(a) == placeOf(b) || !w.cutDC[placeOf(a)] && !w.cutDC[placeOf(b)]
}

func (w *world) reachesPlatform(a string) bool { return !w.plat.down && !w.cutDC[placeOf(a)] }

// read and write are the platform's side of the API.
func (w *world) write(name string, ifVersion uint64, value []byte) *wire.Object {
	have := uint64(0)
	if o := w.plat.objects[name]; o != nil {
		have = o.Version
	}
	if have != ifVersion {
		return nil
	}
	w.plat.revision++
	o := &wire.Object{Name: name, Version: w.plat.revision, Value: value}
	w.plat.objects[name] = o
	return o
}

// change is an operator's conditional update, straight at the platform.
func (w *world) change(f func(site.Site) (site.Site, error)) {
	var old site.Site
	version := uint64(0)
	if o := w.plat.objects[daemon.SiteObject]; o != nil {
		old, _ = site.Unmarshal(o.Value)
		version = o.Version
	}
	next, err := f(old)
	if err != nil {
		return
	}
	data, err := next.Marshal()
	if err != nil {
		panic(err)
	}
	if o := w.write(daemon.SiteObject, version, data); o != nil {
		w.accepted = append(w.accepted, o.Version)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.plat.down, w.plat.loseReplies, w.plat.slowWrites = false, false, false
	clear(w.cutDC)
	clear(w.cutPair)
	for _, s := range w.servers {
		s.frozen, s.breaking = time.Time{}, time.Time{}
		if !s.alive {
			s.start()
		}
	}
	for _, a := range w.order {
		h := w.daemons[a]
		if !h.alive {
			w.startDaemon(a)
		}
	}
}

// state describes what is in force at the platform, for a failing run.
func (w *world) state() {
	for _, name := range w.names() {
		if name == daemon.SiteObject {
			continue
		}
		w.note("%s at %d: %s", name, w.plat.objects[name].Version, w.plat.objects[name].Value)
	}
	for _, a := range w.order {
		h := w.daemons[a]
		w.note("%s/%d leads %v, versions %v", a, h.self.Incarnation, h.model.Leading(), h.model.Versions())
		for _, name := range h.names {
			w.note("  %s: %v token %d holds %v", name, h.queues[name].Report(w.now), h.queues[name].Token(), h.route.Holds[name])
		}
	}
}
