package keeper

import (
	"fmt"
	"time"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

// A grant or a release names a server, not one of its instances. Sent on a new connection, it reaches
// whichever instance is running at the address. A restarted one has seen no fence, so it accepts what the
// instance before it refused: also the grants of a leader that has been replaced and does not know it.
//
// Therefore a leader makes calls on new connections only while its epoch is confirmed (mayConnect), and
// its successor takes a range for free only once no such call can arrive any more (mayBeRegranted).

// mayConnect reports whether calls may be made that can reach another instance than the one meant. It
// asks for a read of the stored table if the store has not confirmed the epoch lately. Witnesses can't take its place:
// if they are lost with their leader, the successor would have to wait for the whole leader lease.
func (k *Keeper) mayConnect(now time.Time) bool {
	if now.Sub(k.storeConfirmedAt) < lease.StoreTTL {
		return true
	}
	k.storeState.readPending, k.connectPending = true, true
	return false
}

// logConnectWait logs once that calls on new connections wait, since the store does not answer.
func (k *Keeper) logConnectWait(now time.Time) {
	if !k.connectPending || k.connectWaitLogged {
		return
	}
	k.connectWaitLogged = true
	k.log(LogCmd{Text: "calls on new connections wait for the store", Reason: fmt.Sprintf("epoch %d, confirmed %v ago", k.epoch, now.Sub(k.storeConfirmedAt))})
}

// boundConnects shortens the time until which calls of earlier leaders may arrive on new connections, once
// more is known of the ends of their terms. The store has not confirmed their epochs since this term began.
func (k *Keeper) boundConnects() {
	if len(k.terms) == 0 {
		return
	}
	var at time.Time
	for _, t := range k.terms {
		at = later(at, t.endsBy)
	}
	at = earlier(at, k.startedAt.Add(maxClockTime(lease.StoreTTL)))
	k.connectsUntil = earlier(k.connectsUntil, at.Add(maxGrantDelay))
}

// mayBeRegranted reports whether an earlier leader may have granted the range, or may still grant it, to
// an instance of the holder that started after the last answer to this leader.
func (k *Keeper) mayBeRegranted(now time.Time, rs *rangeState) bool {
	if rs.fencedOff || now.After(k.previousGrantsExpiry()) {
		return false
	}
	return !k.records.ended[rs.Holder] && (now.Before(k.connectsUntil) || !k.hasLeft(rs.Holder))
}

// fenceOff records an answer of the holder, if the call began after the last call of an earlier leader on
// a new connection could arrive. The instance that answered refuses that leader's renewals, and later
// instances get no grants of it.
func (k *Keeper) fenceOff(rs *rangeState, sendBefore time.Time) {
	if !sendBefore.Add(-sendWindow).Before(k.connectsUntil) {
		rs.fencedOff = true
	}
}

// fenceOffUnsent fences off a range whose holder has answered this leader before, if nothing listens at its
// address any more and no other instance is listed there.
func (k *Keeper) fenceOffUnsent(now time.Time, rs *rangeState, sendBefore time.Time) {
	if !k.addressReused(rs.Holder) && now.After(rs.expiresAt) {
		k.fenceOff(rs, sendBefore)
	}
}

// instanceEnded reports whether a server instance is known to have ended. The zero Holder, which
// stands for no holder, counts as ended.
func (k *Keeper) instanceEnded(h grant.Holder) bool {
	if h.Server == "" || k.records.ended[h] {
		return true
	}
	srv, ok := k.fleet.Find(h.Server)
	return ok && srv.StartMillis != h.StartMillis
}

// hasLeft reports whether a server instance is known to have ended and none has replaced it at its address.
func (k *Keeper) hasLeft(h grant.Holder) bool { return k.instanceEnded(h) && !k.addressReused(h) }

// addressReused reports whether a new instance of the server answers at the address of
// one that has ended. A grant meant for the old instance may have reached the new one,
// which may then hold the range and has to release it like any holder.
func (k *Keeper) addressReused(h grant.Holder) bool {
	srv, ok := k.fleet.Find(h.Server)
	return ok && srv.StartMillis != h.StartMillis && srv.Address == h.Address && !k.records.ended[h]
}

// isFree reports whether the holder certainly runs no more requests for keys of the range. It
// returns false while a call to the holder is in flight, since its result is not known yet.
func (k *Keeper) isFree(now time.Time, rs *rangeState) bool {
	if rs.callInFlight || k.mayBeRegranted(now, rs) {
		return false
	}
	return rs.expiresAt.IsZero() || k.hasLeft(rs.Holder) || now.After(rs.expiresAt)
}

func (k *Keeper) markInstanceEnded(h grant.Holder) {
	if k.records.ended[h] {
		return
	}
	k.records.ended[h] = true
	k.log(LogCmd{Text: "server instance has ended", Holder: h, Reason: "another instance answers at its address"})
}
