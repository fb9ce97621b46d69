package keeper

import (
	"fmt"
	"math/rand/v2"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// world plays servers that enforce grants, a store with conditional updates, and
// daemons that lead, over a network that loses, delays and refuses. It knows
// nothing of how the keeper decides. Late grants are the worst that servers may
// do: only a fence that they have seen, of a grant or a release, shuts them out.
type world struct {
	random  *rand.Rand
	now     time.Time
	calm    bool
	servers []*server
	daemons []*daemon
	table   grant.Table
	stored  uint64
	// published is the newest table that a leader published.
	published grant.Table
	events    []event
	trace     []string
	bad       string
}

type event struct {
	at time.Time
	do func()
}

// server is one life of a backend server.
type server struct {
	fleet.Server
	alive  bool
	listed bool
	fence  [Buckets]uint64
	until  [Buckets]time.Time
	work   [Buckets]time.Time // when the work that runs there ends
	slow   float64            // its clock's share of true time
}

type daemon struct {
	name    string
	life    uint64
	keeper  *Keeper
	frozen  time.Time
	inbox   []Msg
	before  grant.Leader
	blind   time.Time
	blocked map[string]time.Time // servers that it does not reach, and until when
}

const (
	worldServers = 4
	worldDaemons = 3
	worldStep    = 10 * time.Millisecond
	worldHold    = 2 * time.Second
	worldRight   = 4 * time.Second
	oneService   = "k"
)

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0)}
	for i := range worldServers {
		w.birth(fmt.Sprintf("s%d", i))
	}
	for i := range worldDaemons {
		w.daemons = append(w.daemons, &daemon{name: fmt.Sprintf("d%d", i), life: 1, blocked: map[string]time.Time{}})
	}
	return w
}

func (w *world) birth(id string) {
	v := &server{Server: fleet.Server{ID: id, Address: id, Service: oneService, DataCentre: "a", Slots: 3, StartMillis: w.now.UnixMilli()},
		alive: true, listed: true, slow: 1 + 0.02*w.random.Float64()}
	w.servers = append(w.servers, v)
}

func (w *world) chance(p float64) bool { return !w.calm && w.random.Float64() < p }

func (w *world) span(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now.Add(d), do: do})
}

func (w *world) say(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// run plays for a time and stops at the first violation.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.bad == ""; {
		w.now = w.now.Add(worldStep)
		w.happen()
		w.faults()
		for _, d := range w.daemons {
			w.step(d)
		}
		w.check()
	}
}

func (w *world) happen() {
	var left []event
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) {
			left = append(left, e)
			continue
		}
		e.do()
	}
	w.events = append(w.events, left...)
}

// check finds keys that two servers hold, or that one holds while another still
// works on them.
func (w *world) check() {
	// An eighth of the buckets at each step, other ones each time: moves last
	// longer than that.
	var alive []*server
	for _, v := range w.servers {
		if v.alive {
			alive = append(alive, v)
		}
	}
	for b := int(w.now.UnixMilli()/10) % 8; b < Buckets; b += 8 {
		holders, busy := 0, 0
		for _, v := range alive {
			if v.until[b].After(w.now) {
				holders++
			} else if v.work[b].After(w.now) {
				busy++
			}
		}
		if holders > 1 || holders == 1 && busy > 0 {
			w.bad = fmt.Sprintf("bucket %d has %d holders, and %d others work on it", b, holders, busy)
			w.say("%s", w.bad)
			return
		}
	}
}

// step lets a daemon take in what came, and tick.
func (w *world) step(d *daemon) {
	if w.now.Before(d.frozen) {
		return
	}
	if d.keeper == nil {
		d.inbox = nil
		if w.mayTry(d) {
			w.takeLead(d)
		}
		return
	}
	inbox := d.inbox
	d.inbox = nil
	for _, m := range inbox {
		w.update(d, m)
	}
	if d.keeper == nil || w.now.UnixMilli()%50 != 0 {
		return
	}
	w.update(d, FleetMsg{Fleet: w.fleet(), Keyed: []string{oneService}})
	if d.keeper != nil && w.gaveWay(d) {
		w.update(d, OldLeaderMsg{At: w.now})
	}
	if d.keeper != nil {
		w.update(d, TickMsg{})
	}
}

func (w *world) fleet() *fleet.Fleet {
	var out []fleet.Server
	for _, v := range w.servers {
		if v.listed {
			out = append(out, v.Server)
		}
	}
	return fleet.New(out)
}

// gaveWay tells whether the leader before this one is known to have stopped.
func (w *world) gaveWay(d *daemon) bool {
	if d.before.Daemon == "" {
		return true
	}
	for _, o := range w.daemons {
		if o.name == d.before.Daemon {
			return !w.now.Before(o.frozen) && (o.life > d.before.Incarnation || o.keeper == nil)
		}
	}
	return false
}

func (w *world) update(d *daemon, m Msg) {
	if d.keeper == nil {
		return
	}
	for _, c := range d.keeper.Update(w.now, m) {
		w.carryOut(d, c)
	}
}

// send delivers a message to the life of a daemon that asked for it.
func (w *world) send(d *daemon, life uint64, m Msg) {
	if d.life == life {
		d.inbox = append(d.inbox, m)
	}
}

func (w *world) carryOut(d *daemon, c Cmd) {
	life := d.life
	switch c := c.(type) {
	case GrantCmd:
		w.after(w.span(0, 20*time.Millisecond), func() { w.grant(d, life, c) })
	case ReleaseCmd:
		w.after(w.span(0, 20*time.Millisecond), func() { w.release(d, life, c) })
	case SaveCmd:
		w.after(w.span(0, 20*time.Millisecond), func() { w.save(d, life, c) })
	case ReadCmd:
		w.after(w.span(0, 20*time.Millisecond), func() { w.read(d, life) })
	case PublishCmd:
		if c.Table.Newer(w.published) {
			w.published = c.Table
		}
	case ResignCmd:
		w.say("%s resigns: %s", d.name, c.Reason)
		d.keeper = nil
	case NoteCmd:
		w.say("%s: %s %d-%d %v -> %v %s", d.name, c.Text, c.From, c.To, c.Holder, c.Next, c.Reason)
	}
}
