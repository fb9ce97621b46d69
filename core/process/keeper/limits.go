package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/request/permit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// limitState is the state of the request limits for overloaded holders.
type limitState struct {
	control *admit.Controller
	// limitsActive is set if the last round resulted in limits or contended servers.
	limitsActive bool
	lastRoundAt  time.Time
}

// updateLimits tells the daemons what fraction of the requests they may send to holders
// that receive more than they can answer in time. It sends an empty LimitCmd once no
// holder is overloaded any more.
func (k *Keeper) updateLimits(now time.Time) {
	if now.Sub(k.limitState.lastRoundAt) < limitInterval {
		return
	}
	k.limitState.lastRoundAt = now
	k.limitState.control.EndRound(now)
	cmd := LimitCmd{}
	for _, s := range k.services {
		limits := k.serviceLimits(now, s)
		s.limited = len(limits) > 0
		cmd.Limits = append(cmd.Limits, limits...)
		cmd.Contended = append(cmd.Contended, k.contendedServers(now, s)...)
	}
	active := len(cmd.Limits) > 0 || len(cmd.Contended) > 0
	if active || k.limitState.limitsActive {
		k.cmds = append(k.cmds, cmd)
	}
	k.limitState.limitsActive = active
}

// contendedServers returns the servers of one service for which daemons need permits.
func (k *Keeper) contendedServers(now time.Time, s *serviceState) []string {
	var out []string
	for _, srv := range k.fleet.ByService(s.service) {
		if k.usesPermits(s, srv) && k.limitState.control.Contended(now, srv.ID) {
			out = append(out, srv.ID)
		}
	}
	return out
}

// usesPermits reports whether daemons should need permits for a server while it is contended.
// They should not if each daemon sees the server's queue itself, or if requests are short.
func (k *Keeper) usesPermits(s *serviceState, srv fleet.Server) bool {
	return permit.QueueVisibility(k.daemonCount, srv.Slots) < 1 && permit.Worthwhile(time.Duration(s.serviceTimeSeconds*s.slowdown(srv)*float64(time.Second)))
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
	for _, srv := range k.fleet.ByService(s.service) {
		out = append(out, k.serverLimits(now, s, srv, buckets[holderOf(srv)])...)
	}
	return out
}

// maxBusyShare returns the share of a holder's slots that limited requests may keep busy.
func (k *Keeper) maxBusyShare(s *serviceState, srv fleet.Server) float64 {
	if k.usesPermits(s, srv) {
		return baseBusyShare + permitExtraShare
	}
	return baseBusyShare + knownQueueExtraShare*permit.QueueVisibility(k.daemonCount, srv.Slots)
}

// serverLimits returns the limits of the buckets that one server holds.
func (k *Keeper) serverLimits(now time.Time, s *serviceState, srv fleet.Server, buckets []int) []admit.Limit {
	demands, sum := make([]float64, 0, len(buckets)), 0.0
	for _, b := range buckets {
		demands = append(demands, s.busySlots[b])
		sum += s.busySlots[b]
	}
	capacity, limited := k.limitState.control.Capacity(now, srv.ID, k.maxBusyShare(s, srv)*s.effectiveSlots(srv), sum)
	if named := s.rateLimits[srv.ID] * rateLimitHeadroom * s.serviceTimeSeconds; named > 0 && sum > named && (!limited || named < capacity) {
		capacity, limited = named, true
	}
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
