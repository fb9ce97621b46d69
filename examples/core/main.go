// Command core drives the decisions of two daemons from outside, with a clock,
// a network, a platform and a backend server of its own, through one small
// failure: the daemon that leads and dispatches is lost. It prints what the
// core decides. docs/CORE.md explains the seam that it uses.
package main

import (
	"fmt"
	"os"
	"time"

	"catkinstep/core/connection/queue"
	"catkinstep/core/connection/wire"
	"catkinstep/core/process/daemon"
	"catkinstep/core/version/route"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

const (
	tick   = 50 * time.Millisecond
	server = "10.0.0.9:9000"
	place  = "duluth"
)

// world is what the core meets: everything in it is the driver's.
type world struct {
	now     time.Time
	objects map[string]*wire.Object // the platform
	version uint64
	daemons map[string]*host
	order   []string
	pending []func() // messages that wait until all earlier commands are carried out
	busy    bool
	replies map[uint64]func(daemon.Cmd)
	calls   uint64
}

// host is one daemon's control state and its dispatcher.
type host struct {
	model  daemon.Model
	self   table.Daemon
	queue  *queue.Queue
	route  *route.Route
	watch  bool
	seen   uint64
	gone   bool
	sender bool
}

func main() {
	w := &world{now: time.Unix(0, 0), objects: map[string]*wire.Object{}, daemons: map[string]*host{}, replies: map[uint64]func(daemon.Cmd){}}
	s := site.Site{Name: "example",
		Services: []site.Service{{Name: "workshop", Keyed: true, Slots: 3, Connections: 10, ChecksTokens: true, Shards: 4,
			Deadline: 2 * time.Second, OrderDeadline: time.Second, RememberIDs: time.Minute}},
		DataCentres: []site.DataCentre{{Name: place, Servers: []site.Server{{Address: server, Service: "workshop"}}}},
		Presets:     []site.Preset{{Name: "ordinary", InForce: true, Queue: 8}},
	}
	data, err := s.Marshal()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	w.write(daemon.SiteObject, 0, data)
	w.start("10.0.0.1:7100", "10.0.0.2:7100")
	w.run(3 * time.Second)
	w.lose(w.leader())
	w.run(3 * time.Second)
	if !w.served() {
		fmt.Fprintln(os.Stderr, "nobody dispatches to the server")
		os.Exit(1)
	}
}

// start makes daemons that know each other's addresses.
func (w *world) start(addresses ...string) {
	for i, a := range addresses {
		self := table.Daemon{Address: a, Incarnation: 1}
		w.daemons[a] = &host{self: self, model: daemon.New(self, place, addresses, daemon.WithSeed(uint64(i)))}
		w.order = append(w.order, a)
	}
}

// run lets the virtual time pass: one tick for every core, then what they want.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, a := range w.order {
			h := w.daemons[a]
			if h.gone {
				continue
			}
			w.poll(h)
			w.tell(h, daemon.TickMsg{})
			if h.queue != nil {
				w.feed(h, queue.TickMsg{})
				w.tell(h, daemon.ServersMsg{Reports: []*wire.ServerReport{h.queue.Report(w.now)}})
			}
		}
	}
}

// tell gives a daemon's core a message. Its commands are carried out in order,
// and what comes of them is told only afterwards: a snapshot made before a write
// must not be adopted after the one that the write's outcome brings.
func (w *world) tell(h *host, m daemon.Msg) {
	w.later(func() {
		var cmds []daemon.Cmd
		h.model, cmds = h.model.Update(w.now, m)
		for _, c := range cmds {
			w.carryOut(h, c)
		}
	})
}

// feed gives a dispatcher a message, in the same manner.
func (w *world) feed(h *host, m queue.Msg) {
	w.later(func() {
		for _, c := range h.queue.Update(w.now, m) {
			w.serve(h, c)
		}
	})
}

func (w *world) later(do func()) {
	w.pending = append(w.pending, do)
	if w.busy {
		return
	}
	w.busy = true
	for len(w.pending) > 0 {
		next := w.pending[0]
		w.pending = w.pending[1:]
		next()
	}
	w.busy = false
}

// call gives another daemon a message that it answers with a command.
func (w *world) call(to *host, m func(call uint64) daemon.Msg, done func(daemon.Cmd)) {
	w.calls++
	w.replies[w.calls] = done
	w.tell(to, m(w.calls))
}

func (w *world) carryOut(h *host, c daemon.Cmd) {
	switch c := c.(type) {
	case daemon.ReadCmd:
		w.tell(h, daemon.ReadMsg{Name: c.Name, Object: w.objects[c.Name], Asked: w.now})
	case daemon.WriteCmd:
		m := daemon.WroteMsg{Name: c.Name, Result: daemon.Conflict, Asked: w.now}
		if o := w.write(c.Name, c.IfVersion, c.Value); o != nil {
			m.Object, m.Result = o, daemon.Written
		}
		w.tell(h, m)
	case daemon.WatchCmd:
		h.watch, h.seen = c.On, 0
	case daemon.LeadCmd:
		w.say(h, "leads %v, epoch %d", c.Leading, c.Epoch)
	case daemon.BeatCmd:
		to := w.daemons[c.To.Address]
		if to.gone {
			w.tell(h, daemon.BeatFailedMsg{To: c.To, Sent: w.now, Refused: true})
			return
		}
		sent := w.now
		w.call(to, func(call uint64) daemon.Msg { return daemon.BeatMsg{Call: call, Beat: c.Beat} }, func(r daemon.Cmd) {
			w.tell(h, daemon.BeatReplyMsg{To: c.To, Sent: sent, Reply: r.(daemon.BeatReplyCmd).Reply})
		})
	case daemon.SyncCmd:
		if to := w.daemons[c.To]; to != nil && !to.gone {
			w.call(to, func(call uint64) daemon.Msg { return daemon.SyncMsg{Call: call, Sync: c.Sync} }, func(r daemon.Cmd) {
				w.tell(h, daemon.SyncReplyMsg{From: c.To, Sync: r.(daemon.SyncReplyCmd).Sync})
			})
		}
	case daemon.ProbeCmd:
		if w.daemons[c.Daemon.Address].gone {
			w.tell(h, daemon.GoneMsg(c))
		}
	case daemon.BeatReplyCmd:
		w.replies[c.Call](c)
	case daemon.SyncReplyCmd:
		w.replies[c.Call](c)
	case daemon.RouteCmd:
		w.adopt(h, c.Route)
	}
}

// adopt is what traffic does with a new snapshot.
func (w *world) adopt(h *host, r *route.Route) {
	h.route = r
	d, mine := r.Mine()[server]
	if mine && !h.sender {
		w.say(h, "dispatches to %s under token %d", server, d.Token)
	}
	h.sender = mine
	if mine && h.queue == nil {
		h.queue = queue.New(server, nil)
	}
	if h.queue != nil {
		w.feed(h, queue.RouteMsg{Route: r})
	}
}

// serve carries out a dispatcher's command. The server takes every token at once.
func (w *world) serve(h *host, c queue.Cmd) {
	switch c := c.(type) {
	case queue.GrantCmd:
		w.feed(h, queue.GrantedMsg{Token: c.Token, Incarnation: 1, Clock: time.Duration(w.now.UnixNano())})
	case queue.CopyCmd:
		w.feed(h, queue.CopiedMsg{ID: c.ID, OK: true})
	case queue.PullCmd:
		w.feed(h, queue.PulledMsg{ID: c.ID})
	case queue.QuietCmd:
		w.tell(h, daemon.QuietMsg(c))
	}
}

// poll stands in for the watch of the platform.
func (w *world) poll(h *host) {
	if !h.watch {
		return
	}
	for _, o := range w.objects {
		if o.Version > h.seen {
			w.tell(h, daemon.ReadMsg{Name: o.Name, Object: o, Asked: w.now})
		}
	}
	h.seen = w.version
}

func (w *world) write(name string, ifVersion uint64, value []byte) *wire.Object {
	if have := w.objects[name]; have != nil && have.Version != ifVersion || have == nil && ifVersion != 0 {
		return nil
	}
	w.version++
	o := &wire.Object{Name: name, Version: w.version, Value: value}
	w.objects[name] = o
	return o
}

func (w *world) leader() *host {
	for _, a := range w.order {
		if w.daemons[a].model.Leading() {
			return w.daemons[a]
		}
	}
	return w.daemons[w.order[0]]
}

func (w *world) lose(h *host) {
	w.say(h, "is lost")
	h.gone = true
}

func (w *world) served() bool {
	for _, a := range w.order {
		h := w.daemons[a]
		if !h.gone && h.queue != nil && h.queue.Report(w.now).State == wire.ServerState_SERVER_STATE_OK {
			return true
		}
	}
	return false
}

func (w *world) say(h *host, format string, args ...any) {
	fmt.Printf("%5.2fs %s "+format+"\n", append([]any{w.now.Sub(time.Unix(0, 0)).Seconds(), h.self.Address}, args...)...)
}
