package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// moveStep is the progress of a range's move to another holder.
type moveStep int

const (
	held      moveStep = iota
	saving             // the intent is being stored
	releasing          // the holder is asked to release the range
	granting           // the new holder has not confirmed yet
)

// rangeState is a range with the leader's state for it.
type rangeState struct {
	grant.Range
	step moveStep
	// intentSeq is the sequence number of the first table that contains the intent.
	intentSeq uint64
	// fenceConfirmed is set once the holder has confirmed a grant with the present fence.
	fenceConfirmed bool
	// callInFlight is set while a call to the holder has no result yet.
	callInFlight bool
	// expiresAt is when the holder's last grant has certainly expired; zero means that
	// no grant can be in force.
	expiresAt time.Time
	// nextExpiresAt is when the grant that the previous leader may have sent to Next has
	// certainly expired. It is zero for intents of this leader.
	nextExpiresAt time.Time
	// nextCallAt is the earliest time of the next call to the holder.
	nextCallAt time.Time
	handover   string
	origin     grant.Origin
	// releasedBy is the server that released the range before Holder got it. The stored table
	// still names it as the holder, so that a new leader, which does not have the handover,
	// asks it again. It is empty once Holder has confirmed its grant.
	releasedBy grant.Holder
	// closedSince is when a planned move closed the range to callers; zero while the range is
	// open, or if its holder was lost.
	closedSince time.Time
}

// serviceState is the state of one service's keys.
type serviceState struct {
	service    string
	ranges     []*rangeState
	balancedAt time.Time
	// firstKeysRoundAt is the time of the last round that gave keys to servers without any.
	firstKeysRoundAt   time.Time
	busySlots          []float64          // by bucket; see LoadMsg
	slowdowns          map[string]float64 // by server ID; see LoadMsg
	serviceTimeSeconds float64            // time that a request occupies a slot of a server of typical speed
	latencyTarget      time.Duration
	coldRate           float64
	// moveDuration is the average time for which a move closes a range.
	moveDuration time.Duration
}

// publisher decides when the table is published to all daemons.
type publisher struct {
	pending     bool
	publishedAt time.Time
}

// Keeper decides which server holds which range, during one term of a leader, which is one epoch.
type Keeper struct {
	grantTTL, leaderLease time.Duration

	epoch                 uint64
	leader                grant.Leader
	seq                   uint64
	fencesIssued          uint64
	revision              uint64
	startedAt             time.Time
	epochConfirmedAt      time.Time // when the epoch was last known to be current
	tickedAt              time.Time
	previousLeaderStopped bool

	services            []*serviceState
	fleet               *fleet.Fleet
	keyedServices       []string
	excludedDataCentres map[string]bool
	rebalancingDisabled bool      // no moves to balance load
	daemonCount         int       // daemons that each change is published to
	fleetUnchangedSince time.Time // when the number of servers last changed
	serverCount         int
	endedInstances      map[grant.Holder]bool
	// unansweredAt is when a server last failed to answer a call; it has no entry once
	// it has answered again.
	unansweredAt map[grant.Holder]time.Time
	// firstKeysWhileCold holds servers that were cold when they got their first keys, and
	// so got few.
	firstKeysWhileCold map[grant.Holder]bool

	saver     saver
	publisher publisher
	limiter   limiter
	cmds      []Cmd
}

// New returns the Keeper of a term that began with a conditional update of the stored
// table t, which is now at the given revision.
func New(now time.Time, t grant.Table, revision uint64, opts ...Option) *Keeper {
	k := &Keeper{
		grantTTL: DefaultGrantTTL, leaderLease: defaultLeaderLease,
		epoch: t.Epoch, leader: t.Leader, seq: t.Seq, revision: revision,
		startedAt: now, epochConfirmedAt: now, tickedAt: now, saver: saver{savedAt: now},
		fleet: fleet.New(nil), endedInstances: map[grant.Holder]bool{},
		unansweredAt: map[grant.Holder]time.Time{}, firstKeysWhileCold: map[grant.Holder]bool{},
		limiter: limiter{control: admit.NewController()}, publisher: publisher{pending: true},
	}
	for _, o := range opts {
		o(k)
	}
	for _, s := range t.Services {
		k.services = append(k.services, k.restoreService(now, s))
	}
	return k
}

// restoreService restores a service's state from the table of the previous leader. That
// leader may keep sending grants until its lease ends, so a range counts as granted
// until then, or until its holder answers a grant or release of this leader: from
// that point the holder refuses lower fences.
func (k *Keeper) restoreService(now time.Time, s grant.ServiceRanges) *serviceState {
	out := &serviceState{service: s.Service, balancedAt: now, firstKeysRoundAt: now, moveDuration: initialMoveDuration}
	for _, r := range s.Ranges {
		rs := &rangeState{Range: r, expiresAt: k.grantExpiry(now.Add(k.leaderLease + maxGrantDelay)), nextCallAt: now, origin: grant.Kept}
		rs.Fence = k.nextFence()
		switch {
		case r.Next.Server != "":
			rs.step, rs.intentSeq, rs.nextExpiresAt, rs.origin = releasing, k.seq, rs.expiresAt, originAfter(r.Holder)
		case r.Pending:
			rs.step, rs.origin = granting, grant.Lost
		}
		out.ranges = append(out.ranges, rs)
	}
	return out
}

// Update handles a message and returns the commands that it leads to.
func (k *Keeper) Update(now time.Time, m Msg) []Cmd {
	k.cmds = nil
	switch m := m.(type) {
	case TickMsg:
		k.tick(now)
	case FleetMsg:
		k.updateFleet(now, m)
	case LoadMsg:
		k.updateLoad(m)
	case GrantResultMsg:
		k.handleGrantResult(now, m)
	case ReleaseResultMsg:
		k.handleReleaseResult(now, m)
	case StoredTableMsg:
		k.handleStoredTable(now, m)
	case StoreFailedMsg:
		k.saver.callInFlight, k.saver.readPending, k.saver.notBefore = false, true, now.Add(storeRetryDelay)
	case EpochSeenMsg:
		k.updateEpoch(m)
	case PreviousLeaderStoppedMsg:
		k.boundPreviousGrants(m.At)
	}
	k.publish(now)
	return k.cmds
}

// Table returns the table in the form that is published to daemons.
func (k *Keeper) Table() grant.Table { return k.table(false) }

// table returns the stored or the published form of the table. The stored form contains
// the intent of a move before the first call for it is made, and until the next holder has
// confirmed its grant, since until then only this leader has the handover. The published
// form contains the intent only while the range is closed to callers.
func (k *Keeper) table(stored bool) grant.Table {
	t := grant.Table{Epoch: k.epoch, Seq: k.seq, Leader: k.leader}
	for _, s := range k.services {
		out := grant.ServiceRanges{Service: s.service, Ranges: make([]grant.Range, 0, len(s.ranges))}
		for _, rs := range s.ranges {
			r := rs.Range
			switch {
			case !stored && rs.step == saving:
				r.Next = grant.Holder{}
			case stored && rs.releasedBy.Server != "":
				r.Holder, r.Next, r.Pending = rs.releasedBy, rs.Holder, false
			}
			out.Ranges = append(out.Ranges, r)
		}
		t.Services = append(t.Services, out)
	}
	return t
}

func (k *Keeper) tick(now time.Time) {
	sinceTick := now.Sub(k.tickedAt)
	k.tickedAt = now
	if sinceTick > suspendThreshold {
		k.log(LogCmd{Text: "clock jumped; checking the epoch before the next call", Reason: sinceTick.String()})
		k.saver.readPending, k.saver.notBefore = true, now
		k.epochConfirmedAt = now.Add(-k.leaderLease)
	}
	k.saver.readPending = k.saver.readPending || now.Sub(k.epochConfirmedAt) > k.leaderLease/checksPerLease
	k.syncStore(now)
	if now.Sub(k.epochConfirmedAt) >= k.leaderLease {
		return // another leader may have been elected: grant nothing until the epoch is confirmed
	}
	k.placeNewServices(now)
	k.updateLimits(now)
	for _, s := range k.services {
		k.balance(now, s)
		for _, rs := range s.ranges {
			k.planMove(now, s, rs)
			k.callHolder(now, s, rs)
		}
	}
	k.syncStore(now)
}

func (k *Keeper) updateFleet(now time.Time, m FleetMsg) {
	if len(m.Fleet.All()) != k.serverCount || k.fleetUnchangedSince.IsZero() {
		k.fleetUnchangedSince, k.serverCount = now, len(m.Fleet.All())
	}
	k.fleet, k.keyedServices, k.excludedDataCentres, k.rebalancingDisabled, k.daemonCount = m.Fleet, m.KeyedServices, m.ExcludedDataCentres, m.RebalancingDisabled, m.DaemonCount
	for h := range k.endedInstances {
		if s, ok := k.fleet.Find(h.Server); (!ok || s.StartMillis != h.StartMillis) && !k.isReferenced(h) {
			delete(k.endedInstances, h)
		}
	}
	for h := range k.firstKeysWhileCold {
		if s, ok := k.fleet.Find(h.Server); !ok || holderOf(s) != h {
			delete(k.firstKeysWhileCold, h)
		}
	}
	for h := range k.unansweredAt {
		if s, ok := k.fleet.Find(h.Server); !ok || holderOf(s) != h {
			delete(k.unansweredAt, h)
		}
	}
}

// isReferenced reports whether a server instance is the holder or next holder of a range.
func (k *Keeper) isReferenced(h grant.Holder) bool {
	for _, s := range k.services {
		for _, rs := range s.ranges {
			if rs.Holder == h || rs.Next == h {
				return true
			}
		}
	}
	return false
}

func (k *Keeper) updateLoad(m LoadMsg) {
	for _, r := range m.Reports {
		k.limiter.control.Report(r.Server, r.LoadReports, r.LongQueueReports)
	}
	for _, s := range k.services {
		if s.service == m.Service {
			s.busySlots, s.slowdowns, s.serviceTimeSeconds, s.latencyTarget, s.coldRate = m.BusySlots, m.Slowdowns, m.ServiceTimeSeconds, m.LatencyTarget, m.ColdRate
		}
	}
}

func (k *Keeper) updateEpoch(m EpochSeenMsg) {
	if m.Epoch == k.epoch && m.At.After(k.epochConfirmedAt) {
		k.epochConfirmedAt = m.At
	}
	if m.Epoch > k.epoch {
		k.stepDown("another daemon leads with a newer epoch")
	}
}

// boundPreviousGrants shortens the expiry times of the previous leader's grants, now that it is
// known to have stopped by the given time.
func (k *Keeper) boundPreviousGrants(at time.Time) {
	if k.previousLeaderStopped {
		return
	}
	k.previousLeaderStopped = true
	bound := k.grantExpiry(at.Add(maxGrantDelay))
	for _, s := range k.services {
		for _, rs := range s.ranges {
			rs.expiresAt = earlier(rs.expiresAt, bound)
			rs.nextExpiresAt = earlier(rs.nextExpiresAt, bound)
		}
	}
}

func (k *Keeper) publish(now time.Time) {
	if !k.publisher.pending || now.Sub(k.publisher.publishedAt) < publishInterval {
		return // a later tick publishes it
	}
	k.publisher.pending, k.publisher.publishedAt = false, now
	k.seq++
	k.cmds = append(k.cmds, PublishCmd{Table: k.table(false)})
}

func (k *Keeper) stepDown(reason string) {
	k.cmds = append(k.cmds, StepDownCmd{Reason: reason})
}

func (k *Keeper) log(c LogCmd) { k.cmds = append(k.cmds, c) }

// nextFence returns a fence above all earlier ones of this epoch and of older epochs.
func (k *Keeper) nextFence() uint64 {
	k.fencesIssued++
	return k.epoch<<fenceShift | k.fencesIssued
}

// grantExpiry returns when a grant whose call ended at callEnd has certainly expired.
func (k *Keeper) grantExpiry(callEnd time.Time) time.Time {
	return callEnd.Add(time.Duration(float64(k.grantTTL)*maxClockRatio) + expiryMargin)
}
