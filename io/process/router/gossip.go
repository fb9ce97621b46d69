package router

import (
	"context"
	"errors"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/crew"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
	"catkinstep/io/connection/mesh"
)

// tableKind is asked for to get the published table.
const tableKind = "published"

// hail tells the other daemons what is known here, each at its pace.
func (c *control) hail(now time.Time) {
	if c.due(now, crew.Near, hailNear) {
		c.hailSome(now, c.crew.Addresses(now, crew.Near), true)
		c.sendHeat(now)
	}
	if c.due(now, crew.Later, hailLater) {
		c.hailSome(now, c.crew.Addresses(now, crew.Later), false)
	}
	if !c.due(now, crew.Far, hailFar) {
		return
	}
	if leader := c.crew.AddressOf(c.r.current.Load().table.Leader.Daemon); leader != "" {
		c.hailSome(now, []string{leader}, false)
	}
	if c.crew.Count() == 1 {
		c.hailSome(now, c.seeds, false)
	}
}

// due tells whether it is time for a kind of word, and notes it.
func (c *control) due(now time.Time, reach crew.Reach, pace time.Duration) bool {
	if now.Sub(c.hailed[reach]) < pace {
		return false
	}
	c.hailed[reach] = now
	return true
}

// hailAll tells everybody at once, after a change.
func (c *control) hailAll(now time.Time) {
	c.hailSome(now, c.crew.Addresses(now, crew.Near), true)
	c.hailSome(now, c.crew.Addresses(now, crew.Far), false)
}

func (c *control) hailSome(now time.Time, addresses []string, near bool) {
	for _, a := range addresses {
		if a == c.r.self.Address || c.calling[a] {
			continue
		}
		c.calling[a] = true
		h := c.word(now, near)
		go c.r.sendHail(a, h)
	}
}

// word is what this daemon says.
func (c *control) word(now time.Time, near bool) *wire.Hail {
	t := c.r.current.Load().table
	h := &wire.Hail{
		Name: c.r.self.Name, Address: c.r.self.Address, DataCentre: c.r.self.DataCentre, Incarnation: c.r.self.Incarnation,
		Leaving: c.leaving || c.keeper != nil && c.crew.GivesWay(now), StoredAgeMillis: age(now, c.crew.LastStored()), Epoch: t.Epoch, Seq: t.Seq,
	}
	for _, k := range news.Kinds {
		s := c.shelves[k]
		h.Known = append(h.Known, &wire.Known{Kind: string(k), Through: s.Through(), AgeMillis: age(now, s.At())})
	}
	h.Suspects = c.r.suspectNews()
	if near {
		c.r.mu.Lock()
		for id, n := range c.r.spread.Own() {
			h.UnderWay = append(h.UnderWay, &wire.UnderWay{Server: id, Requests: uint32(n)})
		}
		c.r.mu.Unlock()
	}
	return h
}

func (r *Router) sendHail(address string, h *wire.Hail) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
	defer cancel()
	reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Hail{Hail: h}})
	r.post(calledMsg{address: address})
	if err != nil {
		var e *mesh.Error
		if errors.As(err, &e) && e.Kind == mesh.Refused {
			r.post(refusedMsg{address: address})
		}
		return
	}
	if reply.GetHail() != nil {
		r.post(hailMsg{hail: reply.GetHail()})
	}
}

// heard takes in another daemon's word, and fetches what it knows and we do not.
func (c *control) heard(now time.Time, m hailMsg) {
	h := m.hail
	if m.reply != nil {
		m.reply <- c.word(now, h.DataCentre == c.r.self.DataCentre)
	}
	before := c.crew.Count()
	c.crew.Heard(now, crew.Member{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Incarnation: h.Incarnation},
		crew.Word{Leaving: h.Leaving, Stored: ago(now, h.StoredAgeMillis), Epoch: h.Epoch})
	if c.crew.Count() != before {
		c.share()
	}
	c.underWay(now, h)
	c.r.heardOfLosses(h.Suspects)
	if c.keeper != nil {
		c.heats.add(h.Name, h)
	}
	t := c.r.current.Load().table
	if (grant.Table{Epoch: h.Epoch, Seq: h.Seq}).Newer(t) {
		c.fetch(h.Address, tableKind, 0)
	}
	for _, k := range h.Known {
		shelf := c.shelves[news.Kind(k.Kind)]
		if shelf == nil {
			continue
		}
		if k.Through > shelf.Through() {
			c.fetch(h.Address, k.Kind, shelf.Through())
		} else if k.Through == shelf.Through() && k.Through > 0 {
			before := shelf.At()
			shelf.Merge(news.Delta{Kind: news.Kind(k.Kind), Through: k.Through, At: ago(now, k.AgeMillis)})
			c.gap(now, news.Kind(k.Kind), before)
		}
	}
}

// underWay sums what the other daemons of this data centre have at servers.
func (c *control) underWay(now time.Time, h *wire.Hail) {
	if h.DataCentre != c.r.self.DataCentre || h.Name == c.r.self.Name {
		return
	}
	at := map[string]int{}
	for _, u := range h.UnderWay {
		at[u.Server] = int(u.Requests)
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.spread.Others(now, h.Name, at)
}

// fetch asks another daemon for changes; one call for each kind at a time.
func (c *control) fetch(address, kind string, since uint64) {
	if c.fetching[kind] {
		return
	}
	c.fetching[kind] = true
	go c.r.sendFetch(address, kind, since)
}

func (r *Router) sendFetch(address, kind string, since uint64) {
	defer r.post(fetchedMsg{kind: kind})
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
	defer cancel()
	asked := r.now()
	reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Fetch{Fetch: &wire.Fetch{Kind: kind, Since: since}}})
	if err != nil || reply.GetDelta() == nil {
		r.log.Debug("mesh: fetch failed", "from", address, "kind", kind, "err", err)
		return
	}
	d := reply.GetDelta()
	if kind == tableKind {
		t, err := grant.Unmarshal(d.Table)
		if err != nil {
			r.log.Warn("mesh: table not readable", "from", address, "err", err)
			return
		}
		r.post(tableMsg{table: t})
		return
	}
	out := news.Delta{Kind: news.Kind(kind), Through: d.Through, Whole: d.Whole, At: ago(asked, d.AgeMillis)}
	for _, it := range d.Items {
		out.Items = append(out.Items, news.Item{Name: it.Name, Revision: it.Revision, Removed: it.Removed, Value: it.Value})
	}
	r.post(deltaMsg{delta: out})
}

// fetched answers another daemon's fetch.
func (c *control) fetched(now time.Time, f *wire.Fetch) *wire.Delta {
	if f.Kind == tableKind {
		data, err := c.r.current.Load().table.Marshal()
		if err != nil {
			c.r.log.Error("keys: table not written", "err", err)
		}
		return &wire.Delta{Kind: f.Kind, Table: data}
	}
	shelf := c.shelves[news.Kind(f.Kind)]
	if shelf == nil {
		return &wire.Delta{Kind: f.Kind}
	}
	d := shelf.Since(f.Since)
	out := &wire.Delta{Kind: f.Kind, Through: d.Through, Whole: d.Whole, AgeMillis: age(now, d.At)}
	for _, it := range d.Items {
		out.Items = append(out.Items, &wire.Item{Name: it.Name, Revision: it.Revision, Removed: it.Removed, Value: it.Value})
	}
	return out
}

// call asks another daemon, and counts what that costs.
func (r *Router) call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	r.meters.addBytes(bytesOut, call)
	reply, err := r.mesh.Call(ctx, address, call)
	if err == nil {
		r.meters.addBytes(bytesIn, reply)
	}
	return reply, err
}

// answerMesh answers another daemon's call, and counts what that costs.
func (r *Router) answerMesh(ctx context.Context, call *wire.Call) *wire.Reply {
	r.meters.addBytes(bytesIn, call)
	reply := r.answerCall(ctx, call)
	r.meters.addBytes(bytesOut, reply)
	return reply
}

func (r *Router) answerCall(ctx context.Context, call *wire.Call) *wire.Reply {
	switch k := call.Kind.(type) {
	case *wire.Call_Hail:
		reply := make(chan *wire.Hail, 1)
		if !r.post(hailMsg{hail: k.Hail, reply: reply}) {
			return &wire.Reply{Error: "stopping"}
		}
		select {
		case h := <-reply:
			return &wire.Reply{Hail: h}
		case <-ctx.Done():
		}
	case *wire.Call_Fetch:
		reply := make(chan *wire.Delta, 1)
		if !r.post(fetchMsg{fetch: k.Fetch, reply: reply}) {
			return &wire.Reply{Error: "stopping"}
		}
		select {
		case d := <-reply:
			return &wire.Reply{Delta: d}
		case <-ctx.Done():
		}
	case *wire.Call_Status:
		if s, ok := r.ownStatus(ctx); ok {
			return &wire.Reply{Status: s.own}
		}
	}
	return &wire.Reply{Error: "not answered"}
}

// sendHeat tells the leader which keys were asked for and how slow servers
// were, once a second.
func (c *control) sendHeat(now time.Time) {
	if now.Sub(c.heated) < heatEvery {
		return
	}
	c.heated = now
	h := c.word(now, false)
	h.Heat, h.Paces = c.r.takeHeat()
	if c.keeper != nil {
		c.heats.add(h.Name, h)
		return
	}
	leader := c.r.current.Load().table.Leader
	if address := c.crew.AddressOf(leader.Daemon); address != "" && len(h.Heat) > 0 {
		go c.r.sendHail(address, h)
	}
}

// takeHeat returns the counts since it last did.
func (r *Router) takeHeat() ([]*wire.Heat, []*wire.Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heat []*wire.Heat
	for k, n := range r.heat {
		heat = append(heat, &wire.Heat{Service: k.service, Bucket: k.bucket, Requests: n.requests, WorkMillis: uint32(n.work.Milliseconds())})
	}
	clear(r.heat)
	keyed := map[string]bool{}
	for _, s := range r.current.Load().keyed() {
		keyed[s] = true
	}
	var paces []*wire.Pace
	for _, p := range r.spread.Paces() {
		if v, ok := r.current.Load().fleet.Find(p.Server); ok && keyed[v.Service] {
			paces = append(paces, &wire.Pace{Server: p.Server, Factor: float32(p.Factor), Answers: uint32(p.Answers)})
		}
	}
	return heat, paces
}

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

func ago(now time.Time, millis int64) time.Time {
	if millis < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
