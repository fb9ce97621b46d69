package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/request/permit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// limiter computes request limits for overloaded holders.
type limiter struct {
	control *admit.Controller
	// limitsActive is set if the last round resulted in limits or contended servers.
	limitsActive bool
	roundAt      time.Time
}

// updateLimits tells the daemons what fraction of the requests they may send to holders
// that receive more than they can answer in time. It sends an empty LimitCmd once no
// holder is overloaded any more.
func (k *Keeper) updateLimits(now time.Time) {
	if now.Sub(k.limiter.roundAt) < limitInterval {
		return
	}
	k.limiter.roundAt = now
	k.limiter.control.EndRound(now)
	cmd := LimitCmd{}
	for _, s := range k.services {
		cmd.Limits = append(cmd.Limits, k.serviceLimits(now, s)...)
		cmd.Contended = append(cmd.Contended, k.contendedServers(now, s)...)
	}
	active := len(cmd.Limits) > 0 || len(cmd.Contended) > 0
	if active || k.limiter.limitsActive {
		k.cmds = append(k.cmds, cmd)
	}
	k.limiter.limitsActive = active
}

// contendedServers returns the servers of one service for which daemons need permits.
func (k *Keeper) contendedServers(now time.Time, s *serviceState) []string {
	var out []string
	for _, v := range k.fleet.ByService(s.service) {
		if k.usesPermits(s, v) && k.limiter.control.Contended(now, v.ID) {
			out = append(out, v.ID)
		}
	}
	return out
}

// usesPermits reports whether permits are worth their cost at a server.
func (k *Keeper) usesPermits(s *serviceState, v fleet.Server) bool {
	return permit.QueueVisibility(k.daemonCount, v.Slots) < 1 && permit.Worthwhile(time.Duration(s.serviceTimeSeconds*s.slowdown(v)*float64(time.Second)))
}

// serviceLimits returns the limits of one service. Moving ranges count for their next holder.
func (k *Keeper) serviceLimits(now time.Time, s *serviceState) []admit.Limit {
	if s.busySlots == nil {
		return nil
	}
	buckets := map[grant.Holder][]int{}
	for _, rs := range s.ranges {
		h := rs.Holder
		if rs.Next.Server != "" {
			h = rs.Next
		}
		for b := Bucket(rs.From); b <= Bucket(rs.To); b++ {
			buckets[h] = append(buckets[h], b)
		}
	}
	var out []admit.Limit
	for _, v := range k.fleet.ByService(s.service) {
		out = append(out, k.serverLimits(now, s, v, buckets[holderOf(v)])...)
	}
	return out
}

// fillShare returns the share of a holder's slots that limited requests may keep busy.
func (k *Keeper) fillShare(s *serviceState, v fleet.Server) float64 {
	if k.usesPermits(s, v) {
		return baseFillShare + permitExtraFill
	}
	return baseFillShare + knownQueueExtraFill*permit.QueueVisibility(k.daemonCount, v.Slots)
}

// serverLimits returns the limits of the buckets that one server holds.
func (k *Keeper) serverLimits(now time.Time, s *serviceState, v fleet.Server, buckets []int) []admit.Limit {
	demands, sum := make([]float64, 0, len(buckets)), 0.0
	for _, b := range buckets {
		demands = append(demands, s.busySlots[b])
		sum += s.busySlots[b]
	}
	capacity, limited := k.limiter.control.Capacity(now, v.ID, k.fillShare(s, v)*s.effectiveSlots(v), sum)
	if !limited {
		return nil
	}
	share := admit.FairShare(demands, capacity)
	var out []admit.Limit
	for i, b := range buckets {
		if fraction := share / demands[i]; fraction < 1 {
			out = append(out, admit.Limit{Service: s.service, Bucket: b, Fraction: fraction})
		}
	}
	return out
}
