package router

import (
	"context"
	"errors"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/member"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
	"catkinstep/io/connection/mesh"
)

// tableKind is asked for to get the published table.
const tableKind = "published"

// gossip tells the other daemons what is known here. A daemon talks to the relays
// of its data centre; relays also talk to those of others and to the leader, and
// look for the lost.
func (c *control) gossip(now time.Time) {
	relay := c.members.IsRelay(now)
	if c.due(now, &c.paces.near, c.members.GossipInterval()) {
		c.gossipTo(now, c.members.LocalRelays(now), true)
		c.sendCounts(now, relay)
	}
	if c.members.Count() == 1 && c.due(now, &c.paces.seeds, leaderGossip) {
		c.gossipTo(now, c.seeds, false)
	}
	if !relay && !c.lead.led {
		return
	}
	if c.due(now, &c.paces.leader, leaderGossip) {
		if leader := c.members.AddressOf(c.r.current.Load().table.Leader.Daemon); leader != "" {
			c.gossipTo(now, []string{leader}, false)
		}
	}
	if relay && c.due(now, &c.paces.far, farGossip) {
		c.gossipTo(now, c.members.RemoteRelaysAfterSelf(now), false)
		c.gossipTo(now, c.members.LocalPeers(now), true)
	}
}

// paces are when gossip of each kind last went out.
type paces struct{ near, leader, far, seeds, issuers, spare time.Time }

// due tells whether it is time for a kind of gossip, and notes it.
func (c *control) due(now time.Time, last *time.Time, pace time.Duration) bool {
	if now.Sub(*last) < pace {
		return false
	}
	*last = now
	return true
}

// spreadNews passes a change on at once. Who read it from the store, or made it,
// tells all relays and its own data centre; a relay that learns of it tells its own.
func (c *control) spreadNews(now time.Time, first bool) {
	if first || c.members.IsRelay(now) {
		c.gossipTo(now, c.members.LocalPeers(now), true)
	}
	if first {
		c.gossipTo(now, c.members.RemoteRelays(now), false)
	}
}

// gossipToAll tells everybody at once; only for what is rare and cannot wait.
func (c *control) gossipToAll(now time.Time) { c.gossipTo(now, c.members.AllPeers(now), false) }

// gossipTo tells some; near ones also learn what this daemon has under way.
func (c *control) gossipTo(now time.Time, addresses []string, near bool) {
	for _, a := range addresses {
		if a == c.r.self.Address || c.calling[a] {
			continue
		}
		h := c.gossipNow(now)
		if near {
			c.addUnderWay(now, h, "")
		}
		c.send(a, h)
	}
}

// send gossips to a daemon; one call at a time.
func (c *control) send(address string, h *wire.Gossip) {
	c.calling[address] = true
	go c.r.sendGossip(address, h)
}

// gossipNow is what this daemon says to everybody.
func (c *control) gossipNow(now time.Time) *wire.Gossip {
	t := c.r.current.Load().table
	h := &wire.Gossip{
		Name: c.r.self.Name, Address: c.r.self.Address, DataCentre: c.r.self.DataCentre, Incarnation: c.r.self.Incarnation, Strength: c.r.self.Strength,
		Leaving: c.leaving || c.keeper != nil && c.members.ShouldStepDown(now), StoredAgeMillis: age(now, c.members.LastStoreResponse()), StoreFailedAgeMillis: age(now, c.members.LastStoreFailure()), Epoch: t.Epoch, Seq: t.Seq,
		Leader: t.Leader.Daemon, LeaderIncarnation: t.Leader.Incarnation, LeaderAgeMillis: c.leaderAge(now, t.Leader),
	}
	for _, k := range news.Kinds {
		s := c.caches[k]
		h.Known = append(h.Known, &wire.Known{Kind: string(k), Through: s.Through(), AgeMillis: age(now, s.CurrentAt())})
	}
	h.Suspects, h.Sent = c.r.recentSuspects(), c.r.unansweredSent()
	h.LimitsEpoch, h.LimitsSeq = c.limits.epoch, c.limits.seq
	return h
}

// addUnderWay adds what this daemon has under way, for others of its data centre. To
// one that asks, a relay adds up what all the rest have, so that it need not ask
// them.
func (c *control) addUnderWay(now time.Time, h *wire.Gossip, asker string) {
	relay := c.members.IsRelay(now)
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	at := c.r.spread.OwnLoad()
	if asker != "" && relay {
		at, h.Summed = c.r.spread.TotalLoad(now, asker), true
	}
	for id, n := range at {
		h.UnderWay = append(h.UnderWay, &wire.UnderWay{Server: id, Requests: uint32(n)})
	}
}

func (c *control) leaderAge(now time.Time, l grant.Leader) int64 {
	if l.Daemon == c.r.self.Name {
		if l.Incarnation == c.r.self.Incarnation {
			return 0
		}
		return -1
	}
	return age(now, c.members.LastHeard(l.Daemon))
}

func (r *Router) sendGossip(address string, h *wire.Gossip) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
	defer cancel()
	reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Gossip{Gossip: h}})
	r.post(calledMsg{address: address})
	if err != nil {
		var e *mesh.Error
		if errors.As(err, &e) && e.Kind == mesh.ConnectionRefused {
			r.post(refusedMsg{address: address})
		}
		r.post(missedMsg{address: address})
		return
	}
	if reply.GetGossip() != nil {
		r.post(gossipMsg{gossip: reply.GetGossip()})
	}
}

// applyGossip takes in what another daemon said, and fetches what it knows and we do not.
func (c *control) applyGossip(now time.Time, m gossipMsg) {
	h := m.gossip
	if m.reply != nil {
		reply := c.gossipNow(now)
		if h.DataCentre == c.r.self.DataCentre {
			c.addUnderWay(now, reply, h.Name)
		}
		if c.limits.newerThan(holderLimits{epoch: h.LimitsEpoch, seq: h.LimitsSeq}) {
			reply.Limits = c.limits.toWire(now)
		}
		m.reply <- reply
	}
	before := c.members.Count()
	c.members.RecordGossip(now, member.Member{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Incarnation: h.Incarnation, Strength: h.Strength},
		member.Status{Leaving: h.Leaving, LastStoreResponse: ago(now, h.StoredAgeMillis), LastStoreFailure: ago(now, h.StoreFailedAgeMillis), Epoch: h.Epoch})
	if h.Leader != h.Name && h.LeaderAgeMillis >= 0 {
		c.members.RecordIndirectContact(h.Leader, h.LeaderIncarnation, ago(now, h.LeaderAgeMillis))
	}
	if c.members.Count() != before {
		c.share()
	}
	c.underWay(now, h)
	c.r.mergeSent(h.Sent)
	if c.r.mergeLosses(h.Suspects) {
		c.spreadNews(now, false)
	}
	c.receiveCounts(now, h)
	c.receiveLimits(now, h.Limits)
	t := c.r.current.Load().table
	if (grant.Table{Epoch: h.Epoch, Seq: h.Seq}).Newer(t) {
		c.fetch(now, h.Address, &wire.Fetch{Kind: tableKind, Since: t.Seq, Epoch: t.Epoch})
	}
	for _, k := range h.Known {
		cache := c.caches[news.Kind(k.Kind)]
		if cache == nil {
			continue
		}
		if k.Through > cache.Through() {
			c.fetch(now, h.Address, &wire.Fetch{Kind: k.Kind, Since: cache.Through()})
		} else if k.Through == cache.Through() && k.Through > 0 {
			before := cache.CurrentAt()
			cache.Merge(news.Delta{Kind: news.Kind(k.Kind), Through: k.Through, CurrentAt: ago(now, k.AgeMillis)})
			c.gap(now, news.Kind(k.Kind), before)
		}
	}
}

// underWay takes in what others of this data centre have at servers. A relay has
// each one's own count and needs no sum of another relay.
func (c *control) underWay(now time.Time, h *wire.Gossip) {
	if h.DataCentre != c.r.self.DataCentre || h.Name == c.r.self.Name || h.Summed && c.members.IsRelay(now) {
		return
	}
	if len(h.UnderWay) == 0 && !h.Summed {
		return // gossip that says nothing of it; older ones lose their weight soon
	}
	at := map[string]int{}
	for _, u := range h.UnderWay {
		at[u.Server] = int(u.Requests)
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if h.Summed {
		c.r.spread.SetPeerTotal(now, at)
		return
	}
	c.r.spread.SetPeerLoad(now, h.Name, at)
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
