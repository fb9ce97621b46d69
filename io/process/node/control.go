package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/daemon"
	"catkinstep/core/version/route"
	"catkinstep/core/version/table"
	"catkinstep/io/connection/mesh"
	"catkinstep/io/connection/plat"
)

const (
	beatTimeout = 600 * time.Millisecond
	syncTimeout = time.Second
	// replyPatience bounds the wait for the control goroutine; it only passes
	// when the process was paused.
	replyPatience = time.Second
)

// tell hands a message to the control goroutine.
func (n *Node) tell(m daemon.Msg) {
	select {
	case n.messages <- m:
	case <-n.tomb.Dying():
	}
}

// control owns the control state.
func (n *Node) control() error {
	m := daemon.New(n.self, n.prefs.DataCentre, n.prefs.Peers, append([]daemon.Option{daemon.WithSeed(n.seed)}, n.core...)...)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var cmds []daemon.Cmd
	for {
		select {
		case <-n.tomb.Dying():
			n.watch(false)
			return nil
		case <-ticker.C:
			m, cmds = m.Update(time.Now(), daemon.TickMsg{})
		case msg := <-n.messages:
			m, cmds = m.Update(time.Now(), msg)
		}
		for _, c := range cmds {
			n.carryOut(c)
		}
		n.noteStatus(m)
	}
}

// carryOut does what a command asks; whatever takes time runs elsewhere.
func (n *Node) carryOut(c daemon.Cmd) {
	switch c := c.(type) {
	case daemon.ReadCmd:
		n.do(func(ctx context.Context) { n.read(ctx, c) })
	case daemon.WriteCmd:
		n.do(func(ctx context.Context) { n.write(ctx, c) })
	case daemon.WatchCmd:
		n.watch(c.On)
	case daemon.BeatCmd:
		n.do(func(ctx context.Context) { n.beat(ctx, c) })
	case daemon.SyncCmd:
		n.do(func(ctx context.Context) { n.sync(ctx, c) })
	case daemon.ProbeCmd:
		n.do(func(ctx context.Context) { n.probe(ctx, c.Daemon) })
	case daemon.BeatReplyCmd:
		n.reply(c.Call, c.Reply)
	case daemon.SyncReplyCmd:
		n.reply(c.Call, c.Sync)
	case daemon.RouteCmd:
		n.publish(c.Route)
	case daemon.LeadCmd:
		n.log.Info("leader: changed.", "leading", c.Leading, "epoch", c.Epoch)
	case daemon.LeftCmd:
		close(n.left)
	}
}

func (n *Node) do(f func(ctx context.Context)) {
	if !n.tomb.Alive() {
		return
	}
	ctx := n.tomb.Context(context.Background())
	go f(ctx)
}

func (n *Node) read(ctx context.Context, c daemon.ReadCmd) {
	asked := time.Now()
	n.metrics.Add("platform.reads", 1)
	o, err := n.platform.Read(ctx, c.Name)
	if err != nil {
		n.metrics.Add("platform.failures", 1)
		n.log.Warn("platform: read failed.", "object", c.Name, "error", err)
	}
	n.tell(daemon.ReadMsg{Name: c.Name, Object: o, Err: err, Asked: asked})
}

func (n *Node) write(ctx context.Context, c daemon.WriteCmd) {
	asked := time.Now()
	n.metrics.Add("platform.writes", 1)
	o, err := n.platform.Write(ctx, c.Name, c.IfVersion, c.Value)
	msg := daemon.WroteMsg{Name: c.Name, Object: o, Result: daemon.Written, Asked: asked}
	switch {
	case plat.Is(err, plat.Conflict):
		msg.Result = daemon.Conflict
		n.log.Info("platform: write lost a race.", "object", c.Name)
	case err != nil:
		msg.Result = daemon.Unsure
		n.metrics.Add("platform.failures", 1)
		n.log.Warn("platform: write has no answer.", "object", c.Name, "error", err)
	}
	n.tell(msg)
}

// watch starts or ends the long poll. Only the control goroutine calls it.
func (n *Node) watch(on bool) {
	if n.unwatch != nil {
		n.unwatch()
		n.unwatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(n.tomb.Context(context.Background()))
	n.unwatch = cancel
	go n.platform.Watch(ctx, func(asked time.Time, o *wire.Object, err error) {
		if o == nil {
			n.metrics.Add("platform.watches", 1)
			n.tell(daemon.WatchedMsg{Err: err, Asked: asked})
			return
		}
		n.tell(daemon.ReadMsg{Name: o.Name, Object: o, Asked: asked})
	})
}

func (n *Node) beat(ctx context.Context, c daemon.BeatCmd) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := n.call(ctx, c.To.Address, &wire.Call{Kind: &wire.Call_Beat{Beat: c.Beat}})
	if err != nil || reply.Beat == nil {
		n.tell(daemon.BeatFailedMsg{To: c.To, Sent: sent, Refused: mesh.Is(err, mesh.Refused)})
		return
	}
	n.tell(daemon.BeatReplyMsg{To: c.To, Sent: sent, Reply: reply.Beat})
}

func (n *Node) sync(ctx context.Context, c daemon.SyncCmd) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := n.call(ctx, c.To, &wire.Call{Kind: &wire.Call_Sync{Sync: c.Sync}})
	if err != nil || reply.Sync == nil {
		return // the next exchange makes up for it
	}
	n.tell(daemon.SyncReplyMsg{From: c.To, Sync: reply.Sync})
}

// probe finds out whether a daemon's process has ended. Only a refused
// connection, or an answer of another incarnation, proves it.
func (n *Node) probe(ctx context.Context, d table.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := n.call(ctx, d.Address, &wire.Call{Kind: &wire.Call_Status{Status: &wire.Status{}}})
	other := err == nil && reply.Status != nil && reply.Status.Incarnation != d.Incarnation
	if mesh.Is(err, mesh.Refused) || other {
		n.tell(daemon.GoneMsg{Daemon: d})
	}
}

// call counts the bytes that control costs.
func (n *Node) call(ctx context.Context, to string, c *wire.Call) (*wire.Reply, error) {
	n.metrics.Add("control.calls", 1)
	n.metrics.Add("control.bytesOut", int64(proto.Size(c)))
	reply, err := n.mesh.Call(ctx, to, c)
	if err == nil {
		n.metrics.Add("control.bytesIn", int64(proto.Size(reply)))
	}
	return reply, err
}

// ask has the control goroutine answer a call of another daemon.
func (n *Node) ask(ctx context.Context, message func(call uint64) daemon.Msg) any {
	c := newReply()
	n.mu.Lock()
	n.nextID++
	id := n.nextID
	n.replies[id] = c
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.replies, id)
		n.mu.Unlock()
	}()
	n.tell(message(id))
	t := time.NewTimer(replyPatience)
	defer t.Stop()
	select {
	case v := <-c:
		return v
	case <-ctx.Done():
	case <-t.C:
	case <-n.tomb.Dying():
	}
	return nil
}

func newReply() chan any { return make(chan any, 1) }

func (n *Node) reply(id uint64, v any) {
	n.mu.Lock()
	c := n.replies[id]
	n.mu.Unlock()
	if c != nil {
		c <- v
	}
}

// publish makes a snapshot the present one, and tells the queues and all
// requests that wait for news.
func (n *Node) publish(r *route.Route) {
	old := n.route.Swap(r)
	n.mu.Lock()
	for address := range r.Mine() {
		if n.desks[address] == nil {
			n.desks[address] = newDesk(n, address, r)
		}
	}
	changed := n.changed
	n.changed = make(chan struct{})
	n.mu.Unlock()
	if old == nil || old.SiteVersion != r.SiteVersion {
		n.log.Info("site: in force.", "version", r.SiteVersion, "preset", r.Site.Preset().Name)
	}
	for _, d := range n.allDesks() {
		d.adopt(r)
	}
	close(changed)
}

func (n *Node) noteStatus(m daemon.Model) {
	s := &wire.StatusReply{
		Daemon: n.self.Address, Incarnation: n.self.Incarnation, DataCentre: n.prefs.DataCentre,
		Leader: m.Leader().Address, PlatformReachable: !m.PlatformFailing(), Versions: m.Versions(),
	}
	if r := n.route.Load(); r != nil {
		s.Stopping = r.Stopping
		for address := range r.Mine() {
			s.Servers = append(s.Servers, address)
		}
	}
	n.status.Store(s)
}

// tick lets time pass for the queues and collects what they saw.
func (n *Node) tick() error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-n.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		desks := n.allDesks()
		for _, d := range desks {
			d.tick()
		}
		n.tell(daemon.ServersMsg{Reports: n.reports(desks)})
	}
}

func (n *Node) reports(desks []*desk) []*wire.ServerReport {
	r := n.route.Load()
	if r == nil {
		return nil
	}
	mine := r.Mine()
	var out []*wire.ServerReport
	for _, d := range desks {
		if _, ok := mine[d.address]; ok {
			out = append(out, d.report())
		}
	}
	return out
}
