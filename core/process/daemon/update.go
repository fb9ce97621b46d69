package daemon

import (
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/route"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// update is one call of Update: the state and the commands so far.
type update struct {
	*Model
	now   time.Time
	cmds  []Cmd
	stale bool // the published route no longer holds
}

// Update takes in a message and returns the next state and what is to be done.
func (m Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	u := &update{Model: &m, now: now}
	switch msg := msg.(type) {
	case TickMsg:
		u.tick()
	case ReadMsg:
		u.read(msg)
	case WatchedMsg:
		if msg.Err != nil {
			u.platformFailed()
		} else {
			u.platformAnswered(msg.Asked)
		}
	case WroteMsg:
		u.wrote(msg)
	case BeatMsg:
		u.beaten(msg)
	case BeatReplyMsg:
		u.beatAnswered(msg)
	case BeatFailedMsg:
		u.beatFailed(msg)
	case GoneMsg:
		if m.lead != nil {
			m.lead.Gone(now, msg.Daemon)
			u.decide()
		}
	case SyncMsg:
		u.met(msg.Sync.From)
		u.absorb(msg.Sync.Objects)
		if msg.Sync.Nudge {
			u.beatNow()
		}
		u.do(SyncReplyCmd{Call: msg.Call, Sync: &wire.Sync{
			From: m.self.Address, Versions: m.Versions(), Objects: u.newerThan(msg.Sync.Versions),
		}})
	case SyncReplyMsg:
		u.synced(msg)
	case ServersMsg:
		urgent := changedState(m.reports, msg.Reports)
		m.reports = mergeReports(m.reports, msg.Reports)
		if urgent {
			m.urgent = true
			u.beatNow()
		}
		if m.lead != nil {
			m.lead.Count(m.site, u.makeBeat())
			u.clearLoads()
		}
	case QuietMsg:
		u.quieted(msg)
	case LeaveMsg:
		if m.leaving.IsZero() {
			m.leaving = now
			m.beat.next = now
			u.stale = true
		}
	}
	u.publish()
	return m, u.cmds
}

func (u *update) do(c Cmd) { u.cmds = append(u.cmds, c) }

func (u *update) tick() {
	u.startUp()
	u.follow()
	if !u.now.Before(u.decideAt) {
		u.decideAt = u.now.Add(u.decideEvery())
		u.decide()
	}
	u.gossip()
	u.leave()
}

// startUp reads what a fresh daemon lacks, until it has it.
func (u *update) startUp() {
	if u.lead != nil || u.now.Before(u.platform.next) || u.led() {
		return
	}
	for _, name := range []string{SiteObject, HomesObject, u.tableObject()} {
		if u.version(name) == 0 {
			u.ask(name)
		}
	}
}

// led tells whether a leader answers, which then passes on what it knows.
func (u *update) led() bool {
	return u.table().Leader.Address != "" && !u.beat.ok.IsZero() && u.now.Sub(u.beat.ok) < u.beatPatience
}

// ask reads one object, at most one at a time, and ever less often while the
// platform fails: a fleet that asks at full rate keeps a recovering platform
// down.
func (u *update) ask(name string) {
	if u.platform.reading[name] {
		return
	}
	u.platform.reading[name] = true
	u.platform.wait = max(u.platform.wait, u.readEvery)
	jitter := time.Duration(u.random.Int64N(int64(u.platform.wait)/2 + 1))
	u.platform.next = u.now.Add(u.platform.wait + jitter)
	u.do(ReadCmd{Name: name})
}

func (u *update) read(msg ReadMsg) {
	delete(u.platform.reading, msg.Name)
	if msg.Err != nil {
		u.platformFailed()
		return
	}
	wait := u.platform.wait
	u.platformAnswered(msg.Asked)
	if msg.Object != nil {
		u.absorb([]*wire.Object{msg.Object})
	} else {
		// Nothing is there yet: somebody will make it, and asking faster does
		// not help.
		u.platform.wait = min(2*max(wait, u.readEvery), u.readAtMost)
	}
	if msg.Name == u.tableObject() {
		u.tryLead(msg.Object)
	}
}

func (u *update) platformFailed() {
	u.platform.failing = true
	u.platform.wait = min(2*max(u.platform.wait, u.readEvery), u.readAtMost)
}

func (u *update) platformAnswered(asked time.Time) {
	u.platform.failing = false
	u.platform.wait = 0
	if asked.After(u.platform.ok) {
		u.platform.ok = asked
	}
	if u.lead != nil {
		u.stale = u.stale || u.site.Hold > 0
	}
}

func (u *update) wrote(msg WroteMsg) {
	delete(u.writing, msg.Name)
	switch msg.Result {
	case Written:
		u.platformAnswered(msg.Asked)
		u.absorb([]*wire.Object{msg.Object})
	case Conflict:
		u.platformAnswered(msg.Asked)
		u.ask(msg.Name)
	case Unsure:
		// The reply was lost, and the write may still land. What the object
		// says when read again is what counts: every write of ours is the whole
		// state, conditional on the version it was made from.
		u.platformFailed()
		u.ask(msg.Name)
	}
	if u.lead != nil {
		u.decide()
	}
}

// absorb takes in objects that are newer than what is held. Versions only go
// up: whoever brings an old configuration, it never comes into force again.
func (u *update) absorb(objects []*wire.Object) {
	var news []*wire.Object
	for _, o := range objects {
		if o.Version <= u.version(o.Name) || !u.parse(o) {
			continue
		}
		u.objects[o.Name] = o
		news = append(news, o)
	}
	if len(news) == 0 {
		return
	}
	u.stale = true
	u.dropHolds()
	led := u.lead != nil
	u.checkLead()
	if led || u.lead != nil {
		u.spread(news)
	}
	u.decide()
}

// parse reads an object's value; one that cannot be read is not taken in.
func (u *update) parse(o *wire.Object) bool {
	switch {
	case o.Name == SiteObject:
		s, err := site.Unmarshal(o.Value)
		if err != nil {
			return false
		}
		u.site = s
	case o.Name == HomesObject:
		h, err := shard.UnmarshalHomes(o.Value)
		if err != nil {
			return false
		}
		u.homes = h
	case len(o.Name) > len(TablePrefix) && o.Name[:len(TablePrefix)] == TablePrefix:
		t, err := table.Unmarshal(o.Value)
		if err != nil {
			return false
		}
		u.tables[o.Name[len(TablePrefix):]] = t
	default:
		return false
	}
	return true
}

// publish gives traffic a new snapshot when the last one no longer holds.
func (u *update) publish() {
	if !u.stale {
		return
	}
	tables := make(map[string]table.Table, len(u.tables))
	for k, v := range u.tables {
		tables[k] = v
	}
	holds := make(map[string]route.Hold, len(u.holds))
	for k, v := range u.holds {
		holds[k] = v
	}
	u.do(RouteCmd{Route: &route.Route{
		Self: u.self, DataCentre: u.dataCentre,
		Ready: u.version(SiteObject) > 0,
		Site:  u.site, SiteVersion: u.version(SiteObject),
		Homes: u.homes, HomesVersion: u.version(HomesObject),
		Tables: tables, TableVersion: u.version(u.tableObject()),
		Holds: holds, LeaseEnd: u.leaseEnd(), Stopping: !u.leaving.IsZero(),
	}})
}

// leaseEnd is when this daemon must stop sending without another word: one
// hold after its last answered heartbeat was sent or, for the leader, after it
// last asked the platform with success. Counting from before the sending makes
// the end come no later than its granter thinks.
func (u *update) leaseEnd() time.Time {
	if u.site.Hold == 0 {
		return time.Time{}
	}
	if u.lead != nil {
		return u.platform.ok.Add(u.site.Hold)
	}
	return u.beat.ok.Add(u.site.Hold)
}
