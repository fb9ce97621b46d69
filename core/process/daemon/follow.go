package daemon

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/leader"
	"catkinstep/core/version/route"
	"catkinstep/core/version/table"
)

// follow sends heartbeats to the leader, and steps in for a leader that is lost.
func (u *update) follow() {
	if u.lead != nil {
		u.lead.Heard(u.now, u.makeBeat())
		return
	}
	l := u.table().Leader
	if l.Address != "" && l.Address != u.self.Address {
		u.sendBeat(l)
	}
	if u.version(u.tableObject()) > 0 && l.Address != "" && !u.leaderLost() {
		u.beat.suspect = time.Time{}
		return
	}
	if u.beat.suspect.IsZero() {
		u.beat.suspect = u.now
	}
	if !u.leaving.IsZero() || u.now.Before(u.beat.suspect.Add(u.rank())) || u.now.Before(u.platform.next) {
		return
	}
	u.ask(u.tableObject())
}

func (u *update) sendBeat(l table.Daemon) {
	if u.now.Before(u.beat.next) || !u.beat.sent.IsZero() && u.now.Sub(u.beat.sent) < u.beatPatience {
		return
	}
	if u.beat.ok.IsZero() {
		u.beat.ok = u.now // a fresh daemon waits as long as any other
	}
	u.beat.sent = u.now
	u.beat.next = u.now.Add(u.beatEvery)
	u.do(BeatCmd{To: l, Beat: u.makeBeat()})
	u.urgent = false
	u.clearLoads()
}

func (u *update) leaderLost() bool {
	if u.table().Leader.Address == u.self.Address {
		return true // an earlier run of this very daemon
	}
	return u.beat.refused || !u.beat.ok.IsZero() && u.now.Sub(u.beat.ok) > u.beatPatience
}

// rank staggers the candidates, so that one write usually settles who leads
// and the others need no call of the platform at all.
func (u *update) rank() time.Duration {
	others := slices.DeleteFunc(slices.Clone(u.table().Daemons), func(d table.Daemon) bool { return d == u.table().Leader })
	at := slices.Index(others, u.self)
	if at < 0 {
		at = len(others) + int(u.self.Incarnation%4)
	}
	delay := time.Duration(at) * u.rankDelay
	if u.alone() {
		// More likely it is this daemon that is cut off. It would take the lead
		// back each time the others have taken it, and neither could lead.
		delay += u.aloneDelay
	}
	return delay
}

// tryLead writes this daemon into the table as its leader, if that is still
// what the data centre needs. The write is conditional on the version just
// read, so of several candidates one wins.
func (u *update) tryLead(o *wire.Object) {
	if u.lead != nil || u.beat.suspect.IsZero() || !u.leaving.IsZero() || !u.free(u.tableObject()) {
		return
	}
	if u.now.Before(u.beat.suspect.Add(u.rank())) {
		return
	}
	t := u.table()
	if o == nil && u.version(u.tableObject()) > 0 {
		return // the platform knows less than we do: not to be built on
	}
	if o != nil && o.Version < u.version(u.tableObject()) {
		return
	}
	if t.Leader.Address != "" && !u.leaderLost() {
		return
	}
	u.lostLeader = table.Daemon{}
	if u.beat.refused {
		u.lostLeader = t.Leader // its process has ended: no need to wait for it
	}
	next := t.Clone()
	next.DataCentre = u.dataCentre
	next.Leader = u.self
	next.Epoch = max(t.Epoch, u.homes.Floors[u.dataCentre]) + 1
	next.Daemons = slices.DeleteFunc(next.Daemons, func(d table.Daemon) bool { return d.Address == u.self.Address })
	next.Daemons = append(next.Daemons, u.self)
	u.write(u.tableObject(), u.version(u.tableObject()), next.Marshal())
}

// checkLead begins or ends the leading as the table in force says.
func (u *update) checkLead() {
	t := u.table()
	leads := t.Leader == u.self && u.version(u.tableObject()) > 0
	switch {
	case leads && u.lead == nil:
		u.lead = leader.New(u.self, u.dataCentre, u.now, u.leader...)
		u.lead.Heard(u.now, u.makeBeat())
		if u.lostLeader.Address != "" {
			u.lead.Gone(u.now, u.lostLeader)
		}
		u.beat = beating{}
		u.do(WatchCmd{On: true})
		u.do(LeadCmd{Leading: true, Epoch: t.Epoch})
		u.ask(HomesObject)
		u.ask(SiteObject)
	case !leads && u.lead != nil:
		u.lead = nil
		u.decision = leader.Decision{}
		u.beat = beating{}
		u.do(WatchCmd{On: false})
		u.do(LeadCmd{Leading: false, Epoch: t.Epoch})
	case !leads:
		if l := t.Leader; l.Address != "" && u.beat.refused {
			u.beat.refused = false
			u.beat.ok = u.now
		}
	}
}

func (u *update) makeBeat() *wire.Beat {
	b := &wire.Beat{
		From: u.self.Address, Incarnation: u.self.Incarnation, DataCentre: u.dataCentre,
		Leaving: !u.leaving.IsZero(), Urgent: u.urgent, Digest: u.digest(), Servers: u.reports,
	}
	for _, server := range slices.Sorted(maps.Keys(u.quiet)) {
		b.Released = append(b.Released, u.quiet[server])
	}
	return b
}

// digest sums up the versions that this daemon holds.
func (u *update) digest() uint64 {
	d := xxhash.New()
	for _, v := range u.Versions() {
		_, _ = d.WriteString(v.Name)
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, v.Version))
	}
	return d.Sum64()
}

// beaten answers a heartbeat to this daemon.
func (u *update) beaten(msg BeatMsg) {
	leading := u.lead != nil && (u.site.Hold == 0 || u.now.Before(u.leaseEnd()))
	reply := &wire.BeatReply{Leading: leading, Epoch: u.table().Epoch}
	if u.lead != nil {
		u.lead.Heard(u.now, msg.Beat)
		u.lead.Count(u.site, msg.Beat)
		if len(msg.Beat.Released) > 0 || msg.Beat.Urgent || len(u.decision.Nudge) > 0 {
			u.decide()
		}
		reply.Wanted = u.decision.Wanted[msg.Beat.From]
	}
	if msg.Beat.Digest != u.digest() {
		reply.Versions = u.Versions()
	}
	u.do(BeatReplyCmd{Call: msg.Call, Reply: reply})
}

func (u *update) beatAnswered(msg BeatReplyMsg) {
	u.beat.sent = time.Time{}
	if len(msg.Reply.Versions) > 0 {
		// One of us lacks something. Heartbeats carry no lists of versions: with
		// a hundred daemons those would be most of the leader's traffic.
		u.do(SyncCmd{To: msg.To.Address, Sync: &wire.Sync{
			From: u.self.Address, Versions: u.Versions(), Objects: u.newerThan(msg.Reply.Versions),
		}})
	}
	if u.lead != nil || msg.To != u.table().Leader {
		return
	}
	if !msg.Reply.Leading {
		return // as good as silent
	}
	u.beat.refused = false
	if msg.Sent.After(u.beat.ok) {
		u.beat.ok = msg.Sent
	}
	u.stale = u.stale || u.site.Hold > 0
	u.hold(msg.Reply.Wanted)
}

func (u *update) beatFailed(msg BeatFailedMsg) {
	u.beat.sent = time.Time{}
	if msg.To == u.table().Leader {
		u.beat.refused = u.beat.refused || msg.Refused
	}
}

// hold asks traffic to stop for what the leader wants released, and lets it go
// on where the leader has changed its mind. What the leader was told is
// released stays so: a write that builds on it may be under way.
func (u *update) hold(wanted []*wire.Release) {
	next := map[string]route.Hold{}
	for server, q := range u.quiet {
		next[server] = addHold(route.Hold{}, q)
	}
	for _, r := range wanted {
		next[r.Server] = addHold(next[r.Server], r)
	}
	u.setHolds(next)
}

// dropHolds lets traffic go on where the table has moved on: the term is
// another, so that no write can build on the release any more, or what was
// released has gone, or come back.
func (u *update) dropHolds() {
	for server, r := range u.quiet {
		if r = u.standing(r); r == nil {
			delete(u.quiet, server)
			continue
		}
		u.quiet[server] = r
	}
	next := map[string]route.Hold{}
	for server, h := range u.holds {
		next[server] = h
	}
	u.setHolds(next)
}

// setHolds numbers what has changed, and drops what does not stand.
func (u *update) setHolds(next map[string]route.Hold) {
	for server, h := range next {
		r := u.standing(releaseOf(server, h))
		if r == nil {
			delete(next, server)
			continue
		}
		next[server] = addHold(route.Hold{}, r)
	}
	if maps.EqualFunc(next, u.holds, sameHold) {
		return
	}
	u.stale = true
	for server, h := range next {
		if have, ok := u.holds[server]; ok && sameHold(have, h) {
			h.Number = have.Number
		} else {
			u.holdNumber++
			h.Number = u.holdNumber
		}
		next[server] = h
	}
	u.holds = next
}

// standing returns the part of a release that the table in force still has a
// use for; nil when there is none.
func (u *update) standing(r *wire.Release) *wire.Release {
	t := u.table()
	d := t.Dispatches[r.Server]
	if d.Daemon != u.self || t.Term() != (table.Term{Epoch: r.Epoch, Freed: r.Freed}) {
		return nil
	}
	out := &wire.Release{Server: r.Server, All: r.All && r.Token == d.Token, Token: d.Token, Epoch: r.Epoch, Freed: r.Freed}
	service := t.ServiceOf(r.Server)
	for _, s := range r.Shards {
		if epoch, ok := t.OwnerEpoch(service, s.Shard, r.Server); ok && epoch == s.Epoch {
			out.Shards = append(out.Shards, s)
		}
	}
	if !out.All && len(out.Shards) == 0 {
		return nil
	}
	return out
}

func addHold(h route.Hold, r *wire.Release) route.Hold {
	sum := route.Hold{All: h.All || r.All, Token: r.Token, Shards: maps.Clone(h.Shards), Term: table.Term{Epoch: r.Epoch, Freed: r.Freed}}
	if sum.Shards == nil {
		sum.Shards = map[uint32]uint64{}
	}
	for _, s := range r.Shards {
		sum.Shards[s.Shard] = s.Epoch
	}
	return sum
}

func releaseOf(server string, h route.Hold) *wire.Release {
	r := &wire.Release{Server: server, All: h.All, Token: h.Token, Epoch: h.Term.Epoch, Freed: h.Term.Freed}
	for _, s := range slices.Sorted(maps.Keys(h.Shards)) {
		r.Shards = append(r.Shards, &wire.Shard{Shard: s, Epoch: h.Shards[s]})
	}
	return r
}

func sameHold(a, b route.Hold) bool {
	return a.All == b.All && a.Token == b.Token && a.Term == b.Term && maps.Equal(a.Shards, b.Shards)
}

// quieted notes that what a hold asked for has stopped, and tells the leader
// at once: every millisecond until then the shards have no owner at work.
func (u *update) quieted(msg QuietMsg) {
	h, ok := u.holds[msg.Server]
	if !ok || h.Number != msg.Number {
		return
	}
	part := route.Hold{All: h.All && msg.All, Token: h.Token, Shards: map[uint32]uint64{}, Term: h.Term}
	for _, s := range msg.Shards {
		if epoch, ok := h.Shards[s]; ok {
			part.Shards[s] = epoch
		}
	}
	u.quiet[msg.Server] = releaseOf(msg.Server, part)
	if u.lead != nil {
		u.lead.Heard(u.now, u.makeBeat())
		u.decide()
		return
	}
	u.beatNow()
}

// beatNow sends a heartbeat without waiting for its turn.
func (u *update) beatNow() {
	u.beat.next = u.now
	if l := u.table().Leader; u.lead == nil && l.Address != "" && l.Address != u.self.Address {
		u.sendBeat(l)
	}
}

func (u *update) clearLoads() {
	reports := make([]*wire.ServerReport, len(u.reports))
	for i, r := range u.reports {
		reports[i] = &wire.ServerReport{Server: r.Server, State: r.State, Limit: r.Limit, LatencyMicros: r.LatencyMicros, IdsMissing: r.IdsMissing}
	}
	u.reports = reports
}

// changedState tells whether a server's state has changed, or its answers take
// twice the time: news that the leader should not wait for.
func changedState(have, next []*wire.ServerReport) bool {
	was := map[string]*wire.ServerReport{}
	for _, r := range have {
		was[r.Server] = r
	}
	for _, r := range next {
		old := was[r.Server]
		if old != nil && (old.State != r.State || r.LatencyMicros > 2*old.LatencyMicros && old.LatencyMicros > 0) {
			return true
		}
	}
	return false
}

// mergeReports keeps loads that no heartbeat has carried yet.
func mergeReports(have, next []*wire.ServerReport) []*wire.ServerReport {
	waiting := map[string][]*wire.ShardLoad{}
	for _, r := range have {
		waiting[r.Server] = r.Loads
	}
	out := make([]*wire.ServerReport, len(next))
	for i, r := range next {
		out[i] = &wire.ServerReport{Server: r.Server, State: r.State, Limit: r.Limit, LatencyMicros: r.LatencyMicros, IdsMissing: r.IdsMissing, Loads: append(waiting[r.Server], r.Loads...)}
	}
	return out
}
