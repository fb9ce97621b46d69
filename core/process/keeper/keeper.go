package keeper

import (
	"time"

	"catkinstep/core/process/lease"
	"catkinstep/core/request/admit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// moveStep is the progress of a range's move to another holder. The value held means that
// the range is not moving.
type moveStep int

const (
	held      moveStep = iota
	saving             // the intent, which names both holders, is being stored
	releasing          // the holder is asked to release the range
	granting           // the next holder is now the holder, but has not confirmed its grant
)

// rangeState is a range with the leader's state for it.
type rangeState struct {
	grant.Range
	step moveStep
	// intentSeq is the sequence number of the first table that contains the intent.
	intentSeq uint64
	// fenceConfirmed is set once the holder has confirmed a grant with the present fence, and
	// confirmedOn is the connection on which it did.
	fenceConfirmed bool
	confirmedOn    uint64
	// callInFlight is set while a call to the holder has no result yet.
	callInFlight bool
	// expiresAt is when the holder's last grant has certainly expired; zero means that
	// no grant can be in force.
	expiresAt time.Time
	// fencedOff is set once no instance of the holder can hold the range by a grant of an earlier leader that
	// this leader does not know of.
	fencedOff bool
	// nextExpiresAt is when the grant that the previous leader may have sent to Next has
	// certainly expired. It is zero for intents of this leader.
	nextExpiresAt time.Time
	// nextCallAt is the earliest time of the next call to the holder.
	nextCallAt time.Time
	// unansweredGrants counts the grants of the present move to Holder that failed in a row.
	unansweredGrants int
	// unansweredReleases counts the releases of the present move that got no answer.
	unansweredReleases int
	// handover is the state of the keys that the last holder returned with its release. It is
	// sent with the grants to Holder until one is confirmed.
	handover string
	// origin is what the next grant tells the holder about who held the range before.
	origin grant.Origin
	// releasedBy is the server that released the range before Holder got it. The stored table
	// still names it as the holder, so that a new leader, which does not have the handover,
	// asks it again. It is empty once Holder has confirmed its grant.
	releasedBy grant.Holder
	// closedSince is when a move closed the range to callers; zero while the range is open, or
	// once it has been assigned to the next holder without a handover.
	closedSince time.Time
}

// serviceState is the state of one service's keys.
type serviceState struct {
	service    string
	ranges     []*rangeState
	balancedAt time.Time
	// firstKeysRoundAt is the time of the last round that gave keys to servers without any.
	firstKeysRoundAt time.Time
	// The fields from busySlots to rateLimits are those of the latest LoadMsg for the service,
	// which describes them.
	busySlots          []float64
	slowdowns          map[string]float64
	serviceTimeSeconds float64
	latencyTarget      time.Duration
	coldRate           float64
	rateLimits         map[string]float64
	// limited is set while requests for keys of overloaded holders are refused.
	limited bool
	// moveDuration is the average time for which a move closes a range.
	moveDuration time.Duration
	exchangeState
}

// publishState is the state of publishing the table to all daemons.
type publishState struct {
	// pending is set while the published table lacks a change.
	pending     bool
	publishedAt time.Time
}

// siteView is what the keeper last learnt of the site.
type siteView struct {
	fleet                     *fleet.Fleet
	keyedServices             []string
	excludedDataCentres       map[string]bool
	rebalancingDisabled       bool // no moves to balance load
	daemonCount               int  // daemons that each change is published to
	indirectReleases          bool // releases may go through other daemons
	slowdowns                 map[string]float64
	serverCountUnchangedSince time.Time
	serverCount               int
}

// serverRecords is what the keeper remembers of server instances.
type serverRecords struct {
	// ended holds instances that are known to have ended because another instance answered at
	// their address.
	ended map[grant.Holder]bool
	// calls holds how servers have answered calls.
	calls map[grant.Holder]callRecord
	// fewFirstKeys holds servers that got few keys at first, since they were cold or had not
	// answered. They are given more once they are warm and have answered.
	fewFirstKeys map[grant.Holder]bool
}

// Keeper decides which server holds which range, during one term of a leader, which is one epoch.
type Keeper struct {
	grantTTL, leaderLease time.Duration

	term
	leaseState
	siteView
	services []*serviceState
	records  serverRecords

	storeState   storeState
	publishState publishState
	limitState   limitState
	cmds         []Cmd
}

// New returns the Keeper of a term that began with a conditional update of the stored
// table t, which is now at the given revision.
func New(now time.Time, t grant.Table, revision uint64, opts ...Option) *Keeper {
	k := &Keeper{
		grantTTL: DefaultGrantTTL, leaderLease: defaultLeaderLease,
		term:       term{epoch: t.Epoch, leader: t.Leader, seq: t.Seq, revision: revision, startedAt: now, epochConfirmedAt: now, tickedAt: now},
		leaseState: leaseState{support: lease.NewSupport(t.Witnesses), storeConfirmedAt: now},
		siteView:   siteView{fleet: fleet.New(nil)},
		records:    serverRecords{ended: map[grant.Holder]bool{}, calls: map[grant.Holder]callRecord{}, fewFirstKeys: map[grant.Holder]bool{}},
		storeState: storeState{savedAt: now},
		limitState: limitState{control: admit.NewController()}, publishState: publishState{pending: true},
	}
	for _, o := range opts {
		o(k)
	}
	k.restoreTerms(now, t.Earlier)
	for _, s := range t.Services {
		k.services = append(k.services, k.restoreService(now, s))
	}
	return k
}

// restoreService restores a service's state from the table of the previous leader. Earlier
// leaders may keep sending grants until their leases end, so a range counts as granted
// until then, or until its holder answers a grant or release of this leader: from
// that point the holder refuses lower fences.
func (k *Keeper) restoreService(now time.Time, s grant.ServiceRanges) *serviceState {
	out := &serviceState{service: s.Service, balancedAt: now, firstKeysRoundAt: now, moveDuration: initialMoveDuration}
	for _, r := range s.Ranges {
		rs := &rangeState{Range: r, expiresAt: k.previousGrantsExpiry(), nextCallAt: now, origin: grant.Kept}
		rs.Fence, rs.fencedOff = k.nextFence(), r.Holder.Server == "" || k.connectsUntil.IsZero()
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
		k.storeState.callInFlight, k.storeState.readPending, k.storeState.notBefore = false, true, now.Add(storeRetryDelay)
		k.logConnectWait(now)
	case EpochSeenMsg:
		k.handleEpochSeen(m)
	case EarlierLeaderStoppedMsg:
		k.handleTermEnd(now, m)
	case SupportMsg:
		k.support.Record(m.Witness, m.At)
	case WitnessesMsg:
		k.changeWitnesses(m)
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
	if stored {
		t.Witnesses, t.Earlier = k.support.Latest(), k.storedTerms(k.tickedAt)
	}
	for _, s := range k.services {
		out := grant.ServiceRanges{Service: s.service, Ranges: make([]grant.Range, 0, len(s.ranges))}
		for _, rs := range s.ranges {
			r := rs.Range
			switch {
			case !stored && rs.step == saving:
				r.Next = grant.Holder{}
			case stored && rs.releasedBy.Server != "":
				r.Holder, r.Next, r.Pending = rs.releasedBy, rs.latestHolder(), false
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
		k.log(LogCmd{Text: "host was possibly suspended; checking the epoch before the next call", Reason: sinceTick.String()})
		k.doubtEpoch(now)
	}
	k.storeState.readPending = k.storeState.readPending || now.Sub(k.epochConfirmedAt) > k.leaderLease/checksPerLease
	k.checkSupport(now)
	k.dropEndedTerms(now)
	k.syncStore(now)
	if !k.mayCall(now) {
		return // another leader may have been elected: call no server until the epoch is confirmed
	}
	k.placeNewServices(now)
	k.updateLimits(now)
	for _, s := range k.services {
		if !now.Before(k.connectsUntil) { // until then a move closes its range for longer than it gains
			k.balance(now, s)
		}
		for _, rs := range s.ranges {
			k.planMove(now, s, rs)
			k.callHolder(now, s, rs)
		}
	}
	k.syncStore(now) // saves the intents of this tick, whose moves wait for it
}

func (k *Keeper) updateFleet(now time.Time, m FleetMsg) {
	if len(m.Fleet.All()) != k.serverCount || k.serverCountUnchangedSince.IsZero() {
		k.serverCountUnchangedSince, k.serverCount = now, len(m.Fleet.All())
	}
	k.fleet, k.keyedServices, k.excludedDataCentres, k.rebalancingDisabled, k.daemonCount, k.slowdowns = m.Fleet, m.KeyedServices, m.ExcludedDataCentres, m.RebalancingDisabled, m.DaemonCount, m.Slowdowns
	k.indirectReleases = m.IndirectReleases
	for h := range k.records.ended {
		if s, ok := k.fleet.Find(h.Server); (!ok || s.StartMillis != h.StartMillis) && !k.isReferenced(h) {
			delete(k.records.ended, h)
		}
	}
	for h := range k.records.fewFirstKeys {
		if s, ok := k.fleet.Find(h.Server); !ok || holderOf(s) != h {
			delete(k.records.fewFirstKeys, h)
		}
	}
	for h := range k.records.calls {
		if s, ok := k.fleet.Find(h.Server); !ok || holderOf(s) != h {
			delete(k.records.calls, h)
		}
	}
}

// updateLoad records the load of one service. The queue reports in the message cover the
// servers of all services.
func (k *Keeper) updateLoad(m LoadMsg) {
	for _, r := range m.Reports {
		k.limitState.control.Report(r.Server, r.LoadReports, r.LongQueueReports)
	}
	for _, s := range k.services {
		if s.service == m.Service {
			s.busySlots, s.slowdowns, s.serviceTimeSeconds, s.latencyTarget = m.BusySlots, m.Slowdowns, m.ServiceTimeSeconds, m.LatencyTarget
			s.coldRate, s.rateLimits = m.ColdRate, m.RateLimits
		}
	}
}

func (k *Keeper) publish(now time.Time) {
	if !k.publishState.pending || now.Sub(k.publishState.publishedAt) < publishInterval {
		return // a later tick publishes it
	}
	k.publishState.pending, k.publishState.publishedAt = false, now
	k.seq++
	k.cmds = append(k.cmds, PublishCmd{Table: k.table(false)})
}

// requestStepDown asks the caller of Update to end this leader's term.
func (k *Keeper) requestStepDown(reason string) {
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
