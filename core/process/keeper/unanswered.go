package keeper

import (
	"cmp"
	"slices"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

const (
	// maxUnsentGrants is how many grants to the next holder may fail in a row before the range gets another one, if
	// none of them can have reached it. A single one may be due to this host.
	maxUnsentGrants = 2
	// maxUnansweredGrants is the same if one may have reached it. The range then stays closed until that grant has
	// certainly expired, which takes longer than some more tries.
	maxUnansweredGrants = 4
	// maxPauseDoublings bounds the pauses of a server that has never answered: 5 minutes.
	maxPauseDoublings = 5
)

// callRecord is how a server has answered the calls of this leader.
type callRecord struct {
	hasAnswered bool
	// unansweredAt is when it last failed to answer; zero if it has answered since then.
	unansweredAt time.Time
	// pauses is the number of times for which it got no keys since then.
	pauses int
}

// withFailure returns the record after a call that the server did not answer.
func (r callRecord) withFailure(now time.Time) callRecord {
	if !r.isPaused(now) {
		r.pauses++
	}
	r.unansweredAt = now
	return r
}

// isPaused reports whether the server gets no keys for now. The entry of one that has never answered may name no
// server at all. Each try closes keys for a while, so that the pauses grow.
func (r callRecord) isPaused(now time.Time) bool {
	pause := unresponsivePeriod
	if !r.hasAnswered {
		pause <<= min(max(0, r.pauses-1), maxPauseDoublings)
	}
	return !r.unansweredAt.IsZero() && now.Sub(r.unansweredAt) < pause
}

// isUnresponsive reports whether a server recently failed to answer a call.
func (k *Keeper) isUnresponsive(h grant.Holder) bool { return k.records.calls[h].isPaused(k.tickedAt) }

// isUnproved reports whether a server has failed to answer and has never answered. Its entry may name no server.
func (k *Keeper) isUnproved(srv fleet.Server) bool {
	r := k.records.calls[holderOf(srv)]
	return !r.hasAnswered && r.pauses > 0
}

// tryUnproved moves a small piece to an unproved server whose pause is over. If it answers, it gets more.
func (k *Keeper) tryUnproved(s *serviceState, available []fleet.Server) bool {
	est := k.newLossEstimate(s)
	servers := k.fleet.ByService(s.service)
	target := slices.IndexFunc(servers, func(srv fleet.Server) bool {
		return k.isEligible(srv) && k.isUnproved(srv) && est.loads[holderOf(srv)] == 0
	})
	if target < 0 || len(available) == 0 {
		return false
	}
	from := est.mostUtilised(available)
	pieces := k.pieces(s, from, est.loads[holderOf(from)])
	if len(pieces) == 0 {
		return false
	}
	least := slices.MinFunc(pieces, func(a, b piece) int { return cmp.Compare(a.load, b.load) })
	to := holderOf(servers[target])
	k.records.fewFirstKeys[to] = true
	k.startMove(s, s.splitOff(least), to, "server that has not answered")
	return true
}

// countGrant counts the grants of a move that the next holder did not answer.
func (rs *rangeState) countGrant(r grant.Result) {
	if rs.step == granting && (r == grant.NotSent || r == grant.OutcomeUnknown) {
		rs.unansweredGrants++
		return
	}
	rs.unansweredGrants = 0
}

// isUnanswered reports whether the next holder has failed to answer so many grants that another server is to get
// the range. Otherwise its keys would stay closed for as long as the server is listed.
func (rs *rangeState) isUnanswered() bool {
	if rs.neverGranted() {
		return rs.unansweredGrants >= maxUnsentGrants
	}
	return rs.step == granting && rs.unansweredGrants >= maxUnansweredGrants
}

// neverGranted reports whether no grant of the range can have reached the present holder.
func (rs *rangeState) neverGranted() bool {
	return rs.step == granting && rs.expiresAt.IsZero() && !rs.callInFlight
}

// latestHolder is the server that is to have the range at the end of its moves.
func (rs *rangeState) latestHolder() grant.Holder {
	if rs.Next.Server != "" {
		return rs.Next
	}
	return rs.Holder
}
