package keeper

import (
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// planMove starts a move if the holder cannot keep the range.
func (k *Keeper) planMove(now time.Time, s *serviceState, rs *rangeState) {
	if rs.callInFlight || rs.step == saving || rs.step == releasing {
		return
	}
	reason := k.moveReason(now, rs)
	if reason == "" && rs.isUnanswered() {
		reason = "next holder does not answer"
	}
	if reason == "" {
		return
	}
	to, ok := k.leastLossTarget(s, rs)
	if !ok {
		return
	}
	k.startMove(s, rs, to, reason)
}

// moveReason returns why a range must leave its holder, or "" if it may stay.
func (k *Keeper) moveReason(now time.Time, rs *rangeState) string {
	srv, ok := k.fleet.Find(rs.Holder.Server)
	switch {
	case !ok:
		return "holder is not in the server list"
	case k.instanceEnded(rs.Holder):
		return "holder instance has ended"
	case srv.Draining:
		return "holder is draining"
	case k.excludedDataCentres[srv.DataCentre]:
		return "data centre is out of service"
	case !rs.expiresAt.IsZero() && now.After(rs.expiresAt):
		return "grant expired without an answer"
	}
	return ""
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

// isEligible reports whether a server may get keys.
func (k *Keeper) isEligible(srv fleet.Server) bool {
	return !srv.Draining && !k.excludedDataCentres[srv.DataCentre] && !k.records.ended[holderOf(srv)] && !k.isUnresponsive(holderOf(srv))
}

// recordCallResult records whether a server answered a call. A call that was not sent counts as
// unanswered, unless it is a renewal: a renewal is not sent when its connection has been closed,
// which says nothing about the server.
func (k *Keeper) recordCallResult(now time.Time, h grant.Holder, r grant.Result, renewal bool) {
	switch r {
	case grant.Done, grant.Fenced, grant.Ended:
		k.records.calls[h] = callRecord{hasAnswered: true}
	case grant.OutcomeUnknown:
		k.records.calls[h] = k.records.calls[h].withFailure(now)
	case grant.NotSent:
		if !renewal {
			k.records.calls[h] = k.records.calls[h].withFailure(now)
		}
	}
}

// startMove records the intent to move a range. No call is made for it before the intent
// is stored.
func (k *Keeper) startMove(s *serviceState, rs *rangeState, to grant.Holder, reason string) {
	k.seq++
	if !rs.neverGranted() { // otherwise the handover, and who made it, are still true
		rs.origin, rs.releasedBy = originAfter(rs.Holder), grant.Holder{}
	}
	rs.Next, rs.step, rs.intentSeq, rs.unansweredReleases = to, saving, k.seq, 0
	k.storeState.savePending = true
	k.log(LogCmd{Text: "range is to move", Service: s.service, From: rs.From, To: rs.To,
		Holder: rs.Holder, Next: rs.Next, Fence: rs.Fence, Reason: reason})
}

// originAfter returns the origin of the next grant of a range that its holder h has not handed
// over.
func originAfter(h grant.Holder) grant.Origin {
	if h.Server == "" {
		return grant.First
	}
	return grant.Lost
}

// callHolder completes a release once the range is free, and then makes the next call to the
// holder if it is due.
func (k *Keeper) callHolder(now time.Time, s *serviceState, rs *rangeState) {
	if rs.step == releasing && k.isFree(now, rs) {
		k.assignNextHolder(now, s, rs)
	}
	if rs.callInFlight || now.Before(rs.nextCallAt) {
		return
	}
	if rs.Holder.Server == "" || rs.step == releasing && k.hasLeft(rs.Holder) {
		return
	}
	isRenewal := rs.fenceConfirmed && rs.step != releasing
	if !isRenewal && !k.mayConnect(now) {
		return
	}
	if rs.step == releasing {
		rs.callInFlight = true
		k.cmds = append(k.cmds, ReleaseCmd{Indirect: k.indirectTry(rs), Service: s.service, Holder: rs.Holder, SendBefore: now.Add(sendWindow),
			Call: grant.Call{Address: rs.Holder.Address, From: rs.From, To: rs.To, Fence: k.nextFence()}})
		return
	}
	rs.callInFlight = true
	k.cmds = append(k.cmds, GrantCmd{Renewal: rs.fenceConfirmed, Conn: rs.confirmedOn, Service: s.service, Holder: rs.Holder, SendBefore: now.Add(sendWindow),
		Call: grant.Call{Address: rs.Holder.Address, From: rs.From, To: rs.To, Fence: rs.Fence, TTL: k.grantTTL, Handover: rs.handover, Origin: rs.origin}})
}

// assignNextHolder makes the next holder the holder. Its grant is still to be confirmed.
func (k *Keeper) assignNextHolder(now time.Time, s *serviceState, rs *rangeState) {
	k.log(LogCmd{Text: "range is free", Service: s.service, From: rs.From, To: rs.To, Holder: rs.Holder, Next: rs.Next, Fence: rs.Fence})
	if rs.handover == "" {
		rs.closedSince = time.Time{} // no handover, as from a lost holder: only moves with one are measured
	}
	if rs.origin == grant.Handed && rs.releasedBy.Server == "" {
		rs.releasedBy = rs.Holder
	}
	rs.Holder, rs.Next, rs.Pending = rs.Next, grant.Holder{}, true
	rs.Fence, rs.fenceConfirmed, rs.nextCallAt = k.nextFence(), false, now
	rs.step, rs.unansweredReleases, rs.unansweredGrants = granting, 0, 0
	rs.fencedOff = rs.nextExpiresAt.IsZero() // otherwise the previous leader may have sent grants to it
	rs.expiresAt, rs.nextExpiresAt = rs.nextExpiresAt, time.Time{}
	k.storeState.lazySavePending, k.publishState.pending = true, true
}

// handleGrantResult handles the result of a grant. Unless the result shows that the server did not
// accept the grant, the server may hold the range until the grant expires.
func (k *Keeper) handleGrantResult(now time.Time, m GrantResultMsg) {
	k.recordCallResult(now, m.Cmd.Holder, m.Result, m.Cmd.Renewal)
	rs := k.findRange(m.Cmd.Service, m.Cmd.From, m.Cmd.To)
	if rs == nil || rs.Holder != m.Cmd.Holder || !k.isOwnFence(m.Cmd.Fence) {
		return
	}
	rs.callInFlight = false
	rs.countGrant(m.Result)
	if m.Result != grant.NotSent && m.Result != grant.Ended && m.Result != grant.Fenced {
		rs.expiresAt = later(rs.expiresAt, k.grantExpiry(m.EndedAt))
	}
	switch m.Result {
	case grant.Done:
		k.confirmGrant(now, rs, m)
	case grant.Ended:
		k.markInstanceEnded(m.Cmd.Holder)
	case grant.Fenced:
		// Another leader has granted the range, or a newer grant of this leader reached the
		// server first. The next grant waits until the epoch is confirmed.
		rs.Fence, rs.nextCallAt = k.nextFence(), now.Add(callRetryDelay)
		k.fenced = true
		k.doubtEpoch(now)
		k.log(LogCmd{Text: "server has seen a higher fence", Service: m.Cmd.Service, From: rs.From, To: rs.To, Holder: rs.Holder, Fence: m.Cmd.Fence})
	case grant.OutcomeUnknown:
		// The next grant gets a new fence; once answered, it makes the server refuse this one.
		rs.Fence, rs.nextCallAt = k.nextFence(), now.Add(callRetryDelay)
	case grant.NotSent:
		rs.Fence, rs.nextCallAt = k.nextFence(), now.Add(callRetryDelay)
		if m.Cmd.Renewal {
			rs.nextCallAt = now
		}
	}
	rs.fenceConfirmed = m.Result == grant.Done
}

// isOwnFence reports whether a call was made in this leader's term. A daemon that loses the lead and
// regains it may still get results of its earlier term's calls. The leader in between may have granted
// the range again, so they say nothing about it.
func (k *Keeper) isOwnFence(fence uint64) bool { return EpochOf(fence) == k.epoch }

func (k *Keeper) confirmGrant(now time.Time, rs *rangeState, m GrantResultMsg) {
	// From now on the server refuses grants with a lower fence, both this leader's unanswered
	// ones and the previous leader's. They no longer count, so the expiry may become earlier.
	rs.expiresAt = k.grantExpiry(m.EndedAt)
	k.fenceOff(rs, m.Cmd.SendBefore)
	rs.nextCallAt = now.Add(k.grantTTL / renewalsPerTTL)
	if !m.Cmd.Renewal {
		rs.confirmedOn = m.Conn
	}
	if rs.step == releasing {
		rs.nextCallAt = now
		return
	}
	rs.handover = ""
	if rs.step != granting {
		return
	}
	rs.origin, rs.releasedBy = grant.Kept, grant.Holder{}
	rs.step, rs.Pending = held, false
	k.storeState.lazySavePending, k.publishState.pending = true, true
	k.recordMoveDuration(now, m.Cmd.Service, rs)
	k.log(LogCmd{Text: "range is held", Service: m.Cmd.Service, From: rs.From, To: rs.To, Holder: rs.Holder, Fence: rs.Fence})
}

// recordMoveDuration updates the average time for which moves close a range. Each service has
// its own average, since a release takes as long as the requests that are running on the range.
func (k *Keeper) recordMoveDuration(now time.Time, service string, rs *rangeState) {
	if rs.closedSince.IsZero() {
		return
	}
	duration := now.Sub(rs.closedSince)
	rs.closedSince = time.Time{}
	for _, s := range k.services {
		if s.service == service {
			s.moveDuration += time.Duration(moveDurationWeight * float64(duration-s.moveDuration))
		}
	}
}

func (k *Keeper) handleReleaseResult(now time.Time, m ReleaseResultMsg) {
	if m.Cmd.Indirect == 0 { // otherwise it does not show whether the server answers this daemon
		k.recordCallResult(now, m.Cmd.Holder, m.Result, false)
	}
	rs := k.findRange(m.Cmd.Service, m.Cmd.From, m.Cmd.To)
	if rs == nil || rs.Holder != m.Cmd.Holder || rs.step != releasing || !k.isOwnFence(m.Cmd.Fence) {
		return
	}
	rs.callInFlight = false
	switch m.Result {
	case grant.Done:
		// The server now refuses fences below that of the release, so neither a late grant
		// nor the previous leader can make it hold the range again. A later instance can, see mayBeRegranted.
		rs.handover, rs.origin, rs.expiresAt = m.Handover, grant.Handed, time.Time{}
		if k.addressReused(rs.Holder) { // the answer is that of another instance
			rs.handover, rs.origin = "", grant.Lost
		}
		k.fenceOff(rs, m.Cmd.SendBefore)
		rs.nextCallAt = later(k.connectsUntil, now.Add(callRetryDelay)) // if it is not fenced off
	case grant.Ended:
		k.markInstanceEnded(m.Cmd.Holder)
	default:
		if m.Result == grant.NotSent {
			k.fenceOffUnsent(now, rs, m.Cmd.SendBefore)
		}
		rs.nextCallAt = now.Add(callRetryDelay)
		if k.countUnanswered(rs, m) {
			rs.nextCallAt = now
		}
	}
}

func (k *Keeper) findRange(service string, from, to int) *rangeState {
	for _, s := range k.services {
		if s.service != service {
			continue
		}
		for _, rs := range s.ranges {
			if rs.From == from && rs.To == to {
				return rs
			}
		}
	}
	return nil
}

// earlier returns the earlier time. If one is the zero time, which means that no grant can be
// in force, it returns that.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
