package proof

import (
	"errors"
	"time"

	"catkinstep/core/connection/queue"
	"catkinstep/core/connection/wire"
	"catkinstep/core/process/daemon"
	"catkinstep/core/request/ledger"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
	"catkinstep/core/version/table"
)

var errUnreachable = errors.New("unreachable")

// host is one entry host: the core of a daemon, its dispatchers, and a clock
// that can be stopped.
type host struct {
	w       *world
	self    table.Daemon
	place   string
	alive   bool
	paused  time.Time // until when it does nothing
	model   daemon.Model
	route   *route.Route
	queues  map[string]*queue.Queue
	names   []string // of queues, in order of their making
	shelf   *ledger.Shelf
	waiting map[string]map[uint64]func(*wire.Answer)
	nextSeq uint64
	watch   uint64 // revision seen by the watch; only while watching
	on      bool
	replies map[uint64]func(any)
	nextID  uint64
	left    bool   // nothing depends on it any more
	highest uint64 // version of the configuration in force
}

func (w *world) startDaemon(address string) {
	in := uint64(1)
	if old := w.daemons[address]; old != nil {
		in = old.self.Incarnation + 1
	}
	h := &host{
		w: w, self: table.Daemon{Address: address, Incarnation: in}, place: placeOf(address), alive: true,
		queues: map[string]*queue.Queue{}, shelf: ledger.NewShelf(10 * time.Minute),
		waiting: map[string]map[uint64]func(*wire.Answer){}, replies: map[uint64]func(any){},
	}
	h.model = daemon.New(h.self, h.place, w.order, daemon.WithSeed(w.random.Uint64()))
	w.daemons[address] = h
	h.tick()
	h.report()
}

// do runs something in the daemon's process: at once, or when it wakes. It is
// dropped when that process has ended.
func (h *host) do(f func()) {
	if !h.alive {
		return
	}
	if h.w.now.Before(h.paused) {
		h.w.after(h.paused.Sub(h.w.now), func() { h.do(f) })
		return
	}
	f()
}

func (h *host) tick() {
	h.do(func() {
		h.tell(daemon.TickMsg{})
		for _, name := range h.names {
			h.feed(name, queue.TickMsg{})
		}
	})
	if h.alive {
		h.w.after(50*time.Millisecond, h.tick)
	}
}

func (h *host) report() {
	h.do(func() {
		if h.route == nil {
			return
		}
		mine := h.route.Mine()
		var reports []*wire.ServerReport
		for _, name := range h.names {
			if _, ok := mine[name]; ok {
				reports = append(reports, h.queues[name].Report(h.w.now))
			}
		}
		h.tell(daemon.ServersMsg{Reports: reports})
	})
	if h.alive {
		h.w.after(50*time.Millisecond, h.report)
	}
}

func (h *host) tell(m daemon.Msg) {
	var cmds []daemon.Cmd
	h.model, cmds = h.model.Update(h.w.now, m)
	for _, c := range cmds {
		h.carryOut(c)
	}
}

func (h *host) carryOut(c daemon.Cmd) {
	switch c := c.(type) {
	case daemon.ReadCmd:
		h.read(c.Name)
	case daemon.WriteCmd:
		h.write(c)
	case daemon.WatchCmd:
		h.watch, h.on = 0, c.On
		if c.On {
			h.w.after(time.Millisecond, h.poll)
		}
	case daemon.BeatCmd:
		sent := h.w.now
		h.call(c.To.Address, func(to *host, reply func(any)) {
			to.nextID++
			to.replies[to.nextID] = reply
			to.tell(daemon.BeatMsg{Call: to.nextID, Beat: c.Beat})
		}, func(v any, refused bool) {
			if r, ok := v.(*wire.BeatReply); ok {
				h.tell(daemon.BeatReplyMsg{To: c.To, Sent: sent, Reply: r})
				return
			}
			h.tell(daemon.BeatFailedMsg{To: c.To, Sent: sent, Refused: refused})
		})
	case daemon.SyncCmd:
		h.call(c.To, func(to *host, reply func(any)) {
			to.nextID++
			to.replies[to.nextID] = reply
			to.tell(daemon.SyncMsg{Call: to.nextID, Sync: c.Sync})
		}, func(v any, _ bool) {
			if r, ok := v.(*wire.Sync); ok {
				h.tell(daemon.SyncReplyMsg{From: c.To, Sync: r})
			}
		})
	case daemon.ProbeCmd:
		h.call(c.Daemon.Address, func(to *host, reply func(any)) { reply(to.self) }, func(v any, refused bool) {
			if other, ok := v.(table.Daemon); refused || ok && other != c.Daemon {
				h.tell(daemon.GoneMsg(c))
			}
		})
	case daemon.BeatReplyCmd:
		h.answer(c.Call, c.Reply)
	case daemon.SyncReplyCmd:
		h.answer(c.Call, c.Sync)
	case daemon.RouteCmd:
		h.adopt(c.Route)
	case daemon.LeftCmd:
		h.left = true
	}
}

func (h *host) answer(id uint64, v any) {
	if reply := h.replies[id]; reply != nil {
		delete(h.replies, id)
		reply(v)
	}
}

func (h *host) adopt(r *route.Route) {
	h.route = r
	if r.SiteVersion < h.highest {
		h.w.find("%s went back from version %d to %d", h.self.Address, h.highest, r.SiteVersion)
	}
	h.highest = r.SiteVersion
	for _, d := range r.Site.DataCentres {
		for _, v := range d.Servers {
			if _, mine := r.Mine()[v.Address]; mine && h.queues[v.Address] == nil {
				h.queues[v.Address] = queue.New(v.Address, nil)
				h.names = append(h.names, v.Address)
				h.waiting[v.Address] = map[uint64]func(*wire.Answer){}
			}
		}
	}
	for _, name := range h.names {
		h.feed(name, queue.RouteMsg{Route: r})
	}
}

// call is a call of another daemon. Refused is told when its process has ended.
func (h *host) call(address string, handle func(to *host, reply func(any)), done func(v any, refused bool)) {
	h.callFor(600*time.Millisecond, address, handle, done)
}

func (h *host) callFor(patience time.Duration, address string, handle func(to *host, reply func(any)), done func(v any, refused bool)) {
	w, ended := h.w, false
	end := func(v any, refused bool) {
		if ended {
			return
		}
		ended = true
		h.do(func() { done(v, refused) })
	}
	w.after(patience, func() { end(nil, false) })
	w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() {
		to := w.daemons[address]
		if !w.reaches(h.self.Address, address) {
			return
		}
		if to == nil || !to.alive {
			w.after(time.Millisecond, func() { end(nil, true) })
			return
		}
		to.do(func() {
			handle(to, func(v any) {
				w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() {
					if w.reaches(h.self.Address, address) {
						end(v, false)
					}
				})
			})
		})
	})
}

func (h *host) read(name string) {
	w, asked := h.w, h.w.now
	w.after(w.between(time.Millisecond, 5*time.Millisecond), func() {
		if !w.reachesPlatform(h.self.Address) {
			w.after(100*time.Millisecond, func() {
				h.do(func() { h.tell(daemon.ReadMsg{Name: name, Err: errUnreachable, Asked: asked}) })
			})
			return
		}
		o := w.plat.objects[name]
		w.after(time.Millisecond, func() { h.do(func() { h.tell(daemon.ReadMsg{Name: name, Object: o, Asked: asked}) }) })
	})
}

// write may lose its reply, or land long after its writer has given up.
func (h *host) write(c daemon.WriteCmd) {
	w, asked := h.w, h.w.now
	delay := w.between(time.Millisecond, 5*time.Millisecond)
	if w.plat.slowWrites && w.random.IntN(3) == 0 {
		delay = w.between(300*time.Millisecond, 3*time.Second)
	}
	ended := false
	end := func(m daemon.WroteMsg) {
		if !ended {
			ended = true
			h.do(func() { h.tell(m) })
		}
	}
	w.after(2*time.Second, func() { end(daemon.WroteMsg{Name: c.Name, Result: daemon.Unsure, Asked: asked}) })
	w.after(delay, func() {
		if !w.reachesPlatform(h.self.Address) {
			end(daemon.WroteMsg{Name: c.Name, Result: daemon.Unsure, Asked: asked})
			return
		}
		o := w.write(c.Name, c.IfVersion, c.Value)
		if w.plat.loseReplies && w.random.IntN(2) == 0 {
			end(daemon.WroteMsg{Name: c.Name, Result: daemon.Unsure, Asked: asked})
			return
		}
		if o == nil {
			end(daemon.WroteMsg{Name: c.Name, Result: daemon.Conflict, Asked: asked})
			return
		}
		end(daemon.WroteMsg{Name: c.Name, Object: o, Result: daemon.Written, Asked: asked})
	})
}

func (h *host) poll() {
	if !h.on || !h.alive || h.w.daemons[h.self.Address] != h {
		return
	}
	w, asked := h.w, h.w.now
	h.do(func() {
		if !w.reachesPlatform(h.self.Address) {
			h.tell(daemon.WatchedMsg{Err: errUnreachable, Asked: asked})
			return
		}
		for _, name := range w.names() {
			if o := w.plat.objects[name]; o.Version > h.watch {
				h.tell(daemon.ReadMsg{Name: name, Object: o, Asked: asked})
			}
		}
		h.watch = w.plat.revision
		h.tell(daemon.WatchedMsg{Asked: asked})
	})
	w.after(20*time.Millisecond, h.poll)
}

// feed gives a queue a message and carries out what it wants done.
func (h *host) feed(name string, m queue.Msg) {
	for _, c := range h.queues[name].Update(h.w.now, m) {
		h.serve(name, c)
	}
}

func (h *host) serve(name string, c queue.Cmd) {
	w := h.w
	switch c := c.(type) {
	case queue.AnswerCmd:
		if f := h.waiting[name][c.Seq]; f != nil {
			delete(h.waiting[name], c.Seq)
			f(c.Answer)
		}
	case queue.SendCmd:
		h.send(name, c)
	case queue.GrantCmd:
		h.reachServer(name, func(s *server, reply func(queue.Msg)) { reply(s.grant(c.Token)) }, queue.GrantFailedMsg{}, queue.GrantFailedMsg{Refused: true})
	case queue.CopyCmd:
		h.call(c.To.Address, func(to *host, reply func(any)) {
			if to.self != c.To {
				return
			}
			to.shelf.Take(w.now, &wire.Copy{Server: name, Token: c.Token, Whole: c.Whole, Entries: c.Entries, Covered: c.Covered})
			reply(true)
		}, func(v any, _ bool) { h.feed(name, queue.CopiedMsg{ID: c.ID, OK: v != nil}) })
	case queue.PullCmd:
		h.pull(name, c)
	case queue.QuietCmd:
		w.after(0, func() {
			h.do(func() {
				h.tell(daemon.QuietMsg(c))
			})
		})
	}
}

// reachServer calls a server. A pause of the daemon between its decision and
// the writing delays the writing, as it would in life.
func (h *host) reachServer(name string, ask func(s *server, reply func(queue.Msg)), silent, refused queue.Msg) {
	w, ended := h.w, false
	end := func(m queue.Msg) {
		if !ended {
			ended = true
			h.do(func() { h.feed(name, m) })
		}
	}
	w.after(w.between(0, time.Millisecond), func() {
		h.do(func() {
			w.after(w.between(100*time.Microsecond, time.Millisecond), func() {
				s := w.servers[name]
				if !s.alive {
					end(refused)
					return
				}
				if w.now.Before(s.breaking) && w.random.IntN(2) == 0 {
					w.after(w.between(time.Millisecond, 30*time.Millisecond), func() { end(silent) })
				}
				s.do(func() {
					ask(s, func(m queue.Msg) { w.after(w.between(100*time.Microsecond, time.Millisecond), func() { end(m) }) })
				})
			})
			w.after(1100*time.Millisecond, func() { end(silent) })
		})
	})
}

func (h *host) send(name string, c queue.SendCmd) {
	h.reachServer(name, func(s *server, reply func(queue.Msg)) { s.order(c, reply) },
		queue.UnsureMsg{Seq: c.Seq, Code: retry.OutcomeLost}, queue.NotRunMsg{Seq: c.Seq, Code: retry.ServerDown})
}

func (h *host) ledger(now time.Time, server string, token uint64, shards []*wire.Shard) (e []*wire.LedgerEntry, covered []uint32) {
	if q := h.queues[server]; q != nil {
		e, covered = q.Ledger(now, token, shards)
	}
	more, also := h.shelf.Ledger(now, server, token, shards)
	return append(e, more...), append(covered, also...)
}

// pull asks all daemons of the place at once and takes what came in time.
func (h *host) pull(name string, c queue.PullCmd) {
	m := queue.PulledMsg{ID: c.ID}
	m.Entries, m.Covered = h.ledger(h.w.now, c.From.Server, c.From.Token, c.Shards)
	for _, a := range h.w.order {
		if placeOf(a) != c.From.DataCentre || a == h.self.Address {
			continue
		}
		h.call(a, func(to *host, reply func(any)) {
			e, covered := to.ledger(h.w.now, c.From.Server, c.From.Token, c.Shards)
			reply(&wire.Ledger{Entries: e, Covered: covered})
		}, func(v any, _ bool) {
			if l, ok := v.(*wire.Ledger); ok {
				m.Entries = append(m.Entries, l.Entries...)
				m.Covered = append(m.Covered, l.Covered...)
			}
		})
	}
	h.w.after(30*time.Millisecond, func() { h.do(func() { h.feed(name, m) }) })
}
