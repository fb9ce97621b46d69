package router

import (
	"context"
	"errors"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/member"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
	"catkinstep/io/connection/mesh"
)

// publishedTableKind is the kind of a fetch of the published table. The stored table has the
// kind object.Tables.
const publishedTableKind = "published"

// gossip sends this daemon's state to those other daemons for which it is due. A daemon
// gossips with the relays of its data centre. Relays also gossip with the relays of other
// data centres, with the leader, and with all daemons of their data centre, so that daemons
// which lost contact are found again. A daemon that has led gossips with the leader as well,
// and one that knows no other daemon gossips with the seeds.
func (c *control) gossip(now time.Time) {
	isRelay := c.members.IsRelay(now)
	if c.due(now, &c.lastRuns.localGossip, c.members.GossipInterval()) {
		c.gossipTo(now, c.members.LocalRelays(now), true)
		c.sendCounts(now, isRelay)
	}
	if c.members.Count() == 1 && c.due(now, &c.lastRuns.seedGossip, leaderGossipInterval) {
		c.gossipTo(now, c.seeds, false)
	}
	if !isRelay && !c.leadership.hasLed {
		return
	}
	if c.due(now, &c.lastRuns.leaderGossip, leaderGossipInterval) {
		if leader := c.members.AddressOf(c.r.current.Load().table.Leader.Daemon); leader != "" {
			c.gossipTo(now, []string{leader}, false)
		}
	}
	if isRelay && c.due(now, &c.lastRuns.remoteGossip, remoteGossipInterval) {
		c.gossipTo(now, c.members.RemoteRelaysAfterSelf(now), false)
		c.gossipTo(now, c.members.LocalPeers(now), true)
	}
}

// lastRuns holds when each periodic task last ran.
type lastRuns struct{ localGossip, leaderGossip, remoteGossip, seedGossip, issuerList, standbyCheck, storedTableFetch, reachCheck, carryOffer, usageReport, witnessGossip time.Time }

// due reports whether a task that last ran at *last is due again. If so, it sets *last to now.
func (c *control) due(now time.Time, last *time.Time, interval time.Duration) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// propagateChange gossips at once, so that others learn of a change. The daemon that read
// it from the store or made it (isOrigin) gossips with all relays and its own data centre.
// A relay that learns of it gossips with its own data centre.
func (c *control) propagateChange(now time.Time, isOrigin bool) {
	if isOrigin || c.members.IsRelay(now) {
		c.propagateTo(now, c.members.LocalPeers(now), true)
	}
	if isOrigin {
		c.propagateTo(now, c.members.RemoteRelays(now), false)
	}
}

// propagateToAll gossips with all other daemons at once. It is meant for rare changes that
// cannot wait.
func (c *control) propagateToAll(now time.Time) { c.propagateTo(now, c.members.AllPeers(now), false) }

// propagateTo gossips with the given addresses about a change. Those with a gossip call in flight
// are sent another one once it has ended.
func (c *control) propagateTo(now time.Time, addresses []string, withLoad bool) {
	for _, a := range addresses {
		if c.pendingGossip.has(a) {
			c.pendingGossip.repeatLater(a, withLoad)
		}
	}
	c.gossipTo(now, addresses, withLoad)
}

// gossipTo gossips with the given addresses, except those with a gossip call in flight.
// If withLoad is set, the gossip includes the requests that this daemon has in flight.
func (c *control) gossipTo(now time.Time, addresses []string, withLoad bool) {
	for _, a := range addresses {
		if a == c.r.self.Address || c.pendingGossip.has(a) {
			continue
		}
		g := c.newGossip(now)
		if withLoad {
			c.addLoad(now, g, "")
		}
		c.startGossip(a, g)
	}
}

// startGossip starts a gossip call to an address, unless one is in flight.
func (c *control) startGossip(address string, g *wire.Gossip) {
	if c.pendingGossip.begin(address) {
		go c.r.sendGossip(address, g)
	}
}

// endGossip records that the gossip call to an address has ended, and repeats it if there was a
// change meanwhile.
func (c *control) endGossip(now time.Time, address string) {
	if call := c.pendingGossip.end(address); call.repeat {
		c.gossipTo(now, []string{address}, call.withLoad)
	}
}

// newGossip returns the part of the gossip that is the same for all receivers.
func (c *control) newGossip(now time.Time) *wire.Gossip {
	t := c.r.current.Load().table
	g := &wire.Gossip{
		Name: c.r.self.Name, Address: c.r.self.Address, DataCentre: c.r.self.DataCentre, Incarnation: c.r.self.Incarnation, Strength: c.r.self.CPUCapacity,
		Region: c.r.self.Region, CutOff: c.reach.CutOff(),
		Leaving: c.stopping || (c.keeper != nil || c.members.IsSelf(t.Leader)) && c.members.ShouldStepDown(now), StoredAgeMillis: ageMillis(now, c.members.LastStoreResponse()), StoreFailedAgeMillis: ageMillis(now, c.members.LastStoreFailure()), Epoch: t.Epoch, Seq: t.Seq,
		Leader: t.Leader.Daemon, LeaderIncarnation: t.Leader.Incarnation, LeaderAgeMillis: c.leaderAge(now, t.Leader),
	}
	for _, k := range object.Kinds {
		cache := c.caches[k]
		if cache.IsFirstList() && !c.role.isReader.Load() {
			continue // others would fetch all of it, and the readers tell them what is new
		}
		g.Known = append(g.Known, &wire.Known{Kind: string(k), Through: cache.Through(), AgeMillis: ageMillis(now, cache.CurrentAt())})
	}
	g.Suspects, g.Sent = c.r.recentSuspects(), c.r.recentUnanswered()
	g.ServerLimits, g.ServerLimitsDigest = c.r.rateLimitNews(c.members.GossipInterval())
	g.LeavingServers, g.LeavingServersDigest = c.r.leavingNews()
	g.LimitsEpoch, g.LimitsSeq = c.limits.epoch, c.limits.seq
	if c.members.IsRelay(now) {
		g.Live = uint32(c.members.LiveLocalCount(now))
	}
	return g
}

// addLoad adds the requests that this daemon has in flight at servers to a gossip message for
// a daemon of its data centre. In the reply to a peer's gossip, a relay instead adds the
// total of all daemons except that peer, so that the peer need not ask the others. peer is the
// name of that peer, and empty for a message that is not a reply.
func (c *control) addLoad(now time.Time, g *wire.Gossip, peer string) {
	isRelay := c.members.IsRelay(now)
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	loads := c.r.balancer.OwnLoad()
	if peer != "" && isRelay {
		loads, g.Summed = c.r.balancer.TotalLoad(now, peer), true
	}
	for id, n := range loads {
		g.UnderWay = append(g.UnderWay, &wire.UnderWay{Server: id, Requests: uint32(n)})
	}
}

// leaderAge returns how long ago, in milliseconds, the leader was last heard from. It is -1 if
// that is unknown, or if the leader is an earlier incarnation of this daemon.
func (c *control) leaderAge(now time.Time, l grant.Leader) int64 {
	if l.Daemon == c.r.self.Name {
		if l.Incarnation == c.r.self.Incarnation {
			return 0
		}
		return -1
	}
	return ageMillis(now, c.members.LastHeard(l.Daemon))
}

func (r *Router) sendGossip(address string, g *wire.Gossip) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
	defer cancel()
	sentAt := r.now()
	reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Gossip{Gossip: g}})
	r.post(gossipEndedMsg{address: address})
	if err != nil {
		var e *mesh.Error
		if errors.As(err, &e) && e.Kind == mesh.ConnectionRefused {
			r.post(connectionRefusedMsg{address: address})
		}
		r.post(callUnansweredMsg{address: address})
		return
	}
	if reply.GetGossip() != nil {
		r.post(gossipMsg{gossip: reply.GetGossip(), sentAt: sentAt})
	}
}

// applyGossip applies another daemon's gossip, and fetches the changes that the other daemon
// has and this one does not.
func (c *control) applyGossip(now time.Time, m gossipMsg) {
	g := m.gossip
	if m.reply != nil {
		m.reply <- c.replyTo(now, g)
	}
	c.recordSender(now, g)
	c.recordWitness(now, m)
	c.applyPeerLoad(now, g)
	c.r.mergeUnanswered(g.Sent)
	c.r.mergeRateLimits(g.ServerLimits)
	c.receiveLeaving(now, g.LeavingServers)
	if c.r.mergeSuspects(g.Suspects) {
		c.propagateChange(now, false)
	}
	c.receiveCounts(now, g)
	c.receiveLimits(now, g.Limits)
	c.fetchIfNewer(now, version{address: g.Address, kind: publishedTableKind, epoch: g.Epoch, number: g.Seq})
	for _, k := range g.Known {
		c.compareObjects(now, g, k)
	}
}

// replyTo returns the reply to another daemon's gossip.
func (c *control) replyTo(now time.Time, g *wire.Gossip) *wire.Gossip {
	reply := c.newGossip(now)
	if g.DataCentre == c.r.self.DataCentre {
		c.addLoad(now, reply, g.Name)
	}
	if g.ServerLimitsDigest != reply.ServerLimitsDigest {
		reply.ServerLimits = c.r.someRateLimits()
	}
	if g.LeavingServersDigest != reply.LeavingServersDigest {
		reply.LeavingServers = c.r.someLeaving()
	}
	if c.limits.newerThan(holderLimits{epoch: g.LimitsEpoch, seq: g.LimitsSeq}) {
		reply.Limits = c.limits.toWire(now)
	}
	return reply
}

// recordSender records what another daemon's gossip says of itself, of the leader and of its data
// centre.
func (c *control) recordSender(now time.Time, g *wire.Gossip) {
	before := c.members.Count()
	c.members.RecordGossip(now, member.Member{Name: g.Name, Address: g.Address, DataCentre: g.DataCentre, Incarnation: g.Incarnation, Region: g.Region, CPUCapacity: g.Strength},
		member.Status{Leaving: g.Leaving, LastStoreResponse: timeFromAge(now, g.StoredAgeMillis), LastStoreFailure: timeFromAge(now, g.StoreFailedAgeMillis), Epoch: g.Epoch, CutOff: g.CutOff})
	if g.Leader != g.Name && g.LeaderAgeMillis >= 0 {
		c.members.RecordIndirectContact(g.Leader, g.LeaderIncarnation, timeFromAge(now, g.LeaderAgeMillis))
	}
	if c.members.Count() != before {
		c.updateShares()
	}
	if g.Live > 0 {
		c.liveCounts[g.DataCentre] = liveCount{daemons: int(g.Live), at: now}
	}
}

// compareObjects fetches the objects of one kind from another daemon if that knows newer ones, and
// takes its word for how current they are if it knows the same.
func (c *control) compareObjects(now time.Time, g *wire.Gossip, k *wire.Known) {
	cache := c.caches[object.Kind(k.Kind)]
	if cache == nil {
		return
	}
	c.fetchIfNewer(now, version{address: g.Address, kind: k.Kind, epoch: g.Epoch, number: k.Through})
	if k.Through == cache.Through() && k.Through > 0 {
		c.merge(now, cache, object.Delta{Kind: object.Kind(k.Kind), Through: k.Through, CurrentAt: timeFromAge(now, k.AgeMillis)})
	}
}

// applyPeerLoad records the requests that other daemons of this data centre have in
// flight at servers. A relay gets the count of each daemon and ignores the total of
// another relay.
func (c *control) applyPeerLoad(now time.Time, g *wire.Gossip) {
	if g.DataCentre != c.r.self.DataCentre || g.Name == c.r.self.Name || g.Summed && c.members.IsRelay(now) {
		return
	}
	if len(g.UnderWay) == 0 && !g.Summed {
		return // this gossip carries no load; the recorded one expires soon
	}
	loads := map[string]int{}
	for _, u := range g.UnderWay {
		loads[u.Server] = int(u.Requests)
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if g.Summed {
		c.r.balancer.SetPeerTotal(now, loads)
		return
	}
	c.r.balancer.SetPeerLoad(now, g.Name, loads)
}

// ageMillis returns the time since t in milliseconds, or -1 if t is zero.
func ageMillis(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

// timeFromAge is the inverse of ageMillis.
func timeFromAge(now time.Time, millis int64) time.Time {
	if millis < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
