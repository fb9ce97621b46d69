package keeper

import (
	"cmp"
	"slices"
	"time"

	"catkinstep/core/process/queue"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// lossEstimate estimates how many requests are lost at the servers of one service, which
// means refused or answered after the latency target.
type lossEstimate struct {
	service     *serviceState
	loads       map[grant.Holder]float64
	queueModels map[string]queue.Server // by server
	// moveCost is the fixed cost of one move, in lost requests.
	moveCost float64
}

func (k *Keeper) newLossEstimate(s *serviceState) lossEstimate {
	moveCost := max(minMoveCost, moveCostPerDaemon*float64(k.daemonCount))
	return lossEstimate{service: s, loads: k.loads(s), queueModels: map[string]queue.Server{}, moveCost: moveCost}
}

// lostPerSecond returns how many requests a second a server would answer late or refuse if
// its load changed by the given number of busy slots.
func (est lossEstimate) lostPerSecond(srv fleet.Server, change float64) float64 {
	q, ok := est.queueModels[srv.ID]
	if !ok {
		q = est.service.queueModel(srv)
		est.queueModels[srv.ID] = q
	}
	return q.LostRate(est.service.requestRate(max(0, est.loads[holderOf(srv)]+change)))
}

// requestRate returns how many requests a second keep that many slots of typical speed busy.
func (s *serviceState) requestRate(load float64) float64 {
	if s.serviceTimeSeconds <= 0 {
		return 0 // no request counted yet
	}
	return load / s.serviceTimeSeconds
}

// queueModel returns the queueing model of a server.
func (s *serviceState) queueModel(srv fleet.Server) queue.Server {
	return queue.New(srv.Slots, s.serviceTimeSeconds*s.slowdown(srv), s.latencyTarget.Seconds(), s.maxRate(srv))
}

// maxRate returns how many requests a second may be sent to a server, or 0 if there is no limit.
func (s *serviceState) maxRate(srv fleet.Server) float64 {
	limit := s.rateLimits[srv.ID]
	if srv.ColdLeft > 0 && s.coldRate > 0 && (limit == 0 || s.coldRate < limit) {
		return s.coldRate
	}
	return limit
}

// slowdown returns the ratio of a server's service times to the typical ones; 1 if unknown.
func (s *serviceState) slowdown(srv fleet.Server) float64 {
	if f := s.slowdowns[srv.ID]; f > 0 {
		return f
	}
	return 1
}

// leastLossTarget returns the eligible server to which the range can move at the cost of the fewest
// additional lost requests. Among servers that are equal in this it returns the least utilised one.
func (k *Keeper) leastLossTarget(s *serviceState, rs *rangeState) (grant.Holder, bool) {
	est, load := k.newLossEstimate(s), k.load(s, rs.From, rs.To)
	best, least, found := fleet.Server{}, 0.0, false
	for _, srv := range k.eligibleServers(s.service) {
		if holderOf(srv) == rs.Holder {
			continue
		}
		addedLoss := est.lostPerSecond(srv, load) - est.lostPerSecond(srv, 0)
		if !found || addedLoss < least-lossTolerance || addedLoss < least+lossTolerance && s.utilisation(est.loads, srv) < s.utilisation(est.loads, best) {
			best, least, found = srv, addedLoss, true
		}
	}
	return holderOf(best), found
}

// effectiveSlots returns how many slots of typical speed a server's slots are worth.
func (s *serviceState) effectiveSlots(srv fleet.Server) float64 {
	return float64(max(1, srv.Slots)) / s.slowdown(srv)
}

// utilisation returns the share of a server's slots that requests for its keys keep busy.
func (s *serviceState) utilisation(loads map[grant.Holder]float64, srv fleet.Server) float64 {
	return loads[holderOf(srv)] / s.effectiveSlots(srv)
}

// balance moves pieces of ranges to servers where fewer requests are lost, a few pieces at
// a time. As a result a hot key moves to a fast server, other keys move away from that
// server, and a slow server keeps only as many keys as it can serve in time. At longer
// intervals, a round begins with moves to servers without keys. A server takes part in one
// move at a time. Where no single move gains much, an exchange of pieces may.
func (k *Keeper) balance(now time.Time, s *serviceState) {
	if k.rebalancingDisabled {
		s.exchange = nil
		return
	}
	if s.exchange != nil {
		k.advanceExchange(now, s, k.eligibleServers(s.service))
	}
	if now.Sub(s.balancedAt) < balanceInterval {
		return
	}
	s.balancedAt = now
	k.mergeRanges(now, s)
	eligible := k.eligibleServers(s.service)
	maxMoves := k.maxMoves(s, eligible)
	firstKeys := s.firstKeysDue(now.Sub(s.firstKeysRoundAt))
	if firstKeys {
		s.firstKeysRoundAt = now
	}
	mayStartExchange, models := true, map[string]queue.Server{} // the models stay the same for a round
	for n := k.countMoving(s); n < maxMoves; n++ {
		available := s.withoutExchange(k.withoutMovingServers(s, eligible))
		if firstKeys && (k.giveFirstKeys(s, available) || k.tryUnproved(s, available)) {
			continue
		}
		if len(available) < 2 || s.serviceTimeSeconds <= 0 {
			return // no target, or no request counted yet
		}
		est := k.newLossEstimate(s)
		est.queueModels = models
		c := est.candidates(available)
		best := k.bestPiece(s, est, c)
		if mayStartExchange && k.startExchange(now, s, est, c, best.benefit) {
			k.advanceExchange(now, s, eligible)
			continue
		}
		mayStartExchange = false // once a round, which bounds its processor time
		if best.index < 0 {
			return
		}
		best, reason := k.keepHotBucket(s, est, c, best)
		k.startMove(s, s.splitOff(best), holderOf(best.target), reason)
	}
}

// mergeRanges merges adjacent ranges of the same holder. Balancing splits ranges, and each
// range is renewed by a call of its own.
func (k *Keeper) mergeRanges(now time.Time, s *serviceState) {
	out := s.ranges[:1]
	for _, rs := range s.ranges[1:] {
		last := out[len(out)-1]
		if !last.isSettled() || !rs.isSettled() || last.Holder != rs.Holder || last.handover != "" || rs.handover != "" || !k.mayConnect(now) {
			out = append(out, rs)
			continue
		}
		last.To, last.expiresAt, last.fencedOff = rs.To, later(last.expiresAt, rs.expiresAt), last.fencedOff && rs.fencedOff
		last.Fence, last.fenceConfirmed, last.nextCallAt = k.nextFence(), false, now
		k.storeState.lazySavePending, k.publishState.pending = true, true
	}
	clear(s.ranges[len(out):])
	s.ranges = out
}

// isSettled reports whether a range is not moving and no call for it is in flight.
func (rs *rangeState) isSettled() bool { return rs.step == held && !rs.callInFlight && !rs.Pending }

// withoutMovingServers returns the servers that are neither source nor target of a move.
func (k *Keeper) withoutMovingServers(s *serviceState, eligible []fleet.Server) []fleet.Server {
	moving := map[grant.Holder]bool{}
	for _, rs := range s.ranges {
		if rs.step != held {
			moving[rs.Holder], moving[rs.Next] = true, true
		}
	}
	return slices.DeleteFunc(slices.Clone(eligible), func(srv fleet.Server) bool { return moving[holderOf(srv)] })
}

// candidates are the servers that are considered for the moves of a round.
type candidates struct{ available, sources, targets []fleet.Server }

func (est lossEstimate) candidates(available []fleet.Server) candidates {
	return candidates{available: available, sources: est.worstSources(available), targets: est.cheapestTargets(available)}
}

// bestPiece returns the move with the largest benefit, or noPiece if none pays.
func (k *Keeper) bestPiece(s *serviceState, est lossEstimate, c candidates) piece {
	best := noPiece
	for _, from := range c.sources {
		if est.lostPerSecond(from, 0)*loadHorizon.Seconds() <= est.moveCost {
			break // too few requests are lost at this server and the rest for a move to pay off
		}
		for _, p := range k.pieces(s, from, est.loads[holderOf(from)]) {
			best = est.bestTarget(from, c.targets, p, best)
		}
	}
	return best
}

// bestTarget returns piece p with the target that gives the largest benefit, or best if the
// benefit of best is at least as large.
func (est lossEstimate) bestTarget(from fleet.Server, targets []fleet.Server, p, best piece) piece {
	relief := est.lostPerSecond(from, 0) - est.lostPerSecond(from, -p.load)
	for _, srv := range targets {
		if srv.ID == from.ID {
			continue
		}
		p.target, p.benefit = srv, est.service.benefit(relief-(est.lostPerSecond(srv, p.load)-est.lostPerSecond(srv, 0)), p, est.moveCost)
		if p.benefit > best.benefit {
			best = p
		}
	}
	return best
}

// benefit returns how many fewer requests are lost within loadHorizon because of a move. The
// requests that are refused while the keys move are subtracted, and so are the costs of the
// handover and of publishing the change. Because of these costs a hot bucket moves alone
// rather than with the range around it, and moves with a negligible gain are not made.
func (s *serviceState) benefit(savedPerSecond float64, p piece, moveCost float64) float64 {
	keys := float64(p.to-p.from+1) / (grant.LastKey + 1)
	return savedPerSecond*loadHorizon.Seconds() - s.requestRate(p.load)*s.moveDuration.Seconds() - moveCost - keys*allKeysHandoverCost
}

// worstSources returns the servers at which the most requests are lost.
func (est lossEstimate) worstSources(servers []fleet.Server) []fleet.Server {
	return lowestBy(servers, func(srv fleet.Server) float64 { return -est.lostPerSecond(srv, 0) })
}

// cheapestTargets returns the servers at which a small additional load adds the fewest lost
// requests.
func (est lossEstimate) cheapestTargets(servers []fleet.Server) []fleet.Server {
	total := 0.0
	for _, srv := range servers {
		total += est.loads[holderOf(srv)]
	}
	sample := total / float64(4*len(servers))
	return lowestBy(servers, func(srv fleet.Server) float64 { return est.lostPerSecond(srv, sample) - est.lostPerSecond(srv, 0) })
}

// lowestBy returns up to maxCandidates servers with the lowest values, in stable order.
func lowestBy(servers []fleet.Server, value func(fleet.Server) float64) []fleet.Server {
	type valued struct {
		index int
		value float64
	}
	all := make([]valued, 0, len(servers))
	for i, srv := range servers {
		all = append(all, valued{i, value(srv)})
	}
	slices.SortFunc(all, func(a, b valued) int { return cmp.Or(cmp.Compare(a.value, b.value), a.index-b.index) })
	out := make([]fleet.Server, 0, maxCandidates)
	for _, v := range all[:min(maxCandidates, len(all))] {
		out = append(out, servers[v.index])
	}
	return out
}

// mostUtilised returns the server whose slots are the busiest.
func (est lossEstimate) mostUtilised(servers []fleet.Server) fleet.Server {
	return slices.MaxFunc(servers, func(a, b fleet.Server) int {
		return cmp.Compare(est.service.utilisation(est.loads, a), est.service.utilisation(est.loads, b))
	})
}

// giveFirstKeys moves a piece from the most utilised server to one without keys, or to one
// that got few because it was cold and is warm now. It chooses the piece after whose move the
// higher utilisation of the two servers is lowest.
func (k *Keeper) giveFirstKeys(s *serviceState, available []fleet.Server) bool {
	est := k.newLossEstimate(s)
	targetIndex := slices.IndexFunc(available, func(srv fleet.Server) bool {
		return est.loads[holderOf(srv)] == 0 || srv.ColdLeft == 0 && k.records.fewFirstKeys[holderOf(srv)]
	})
	if len(available) < 2 || targetIndex < 0 {
		return false
	}
	to := available[targetIndex]
	from := est.mostUtilised(available)
	sourceLoad := est.loads[holderOf(from)]
	best := noPiece
	best.benefit = -sourceLoad / s.effectiveSlots(from)
	for _, p := range k.pieces(s, from, sourceLoad) {
		if to.ColdLeft > 0 && s.requestRate(p.load) > s.coldRate*coldRateShare {
			continue // a cold target would refuse most of these requests
		}
		if limit := s.rateLimits[to.ID]; limit > 0 && s.requestRate(p.load) > limit {
			continue // and so would a target that takes fewer
		}
		if p.benefit = -max((sourceLoad-p.load)/s.effectiveSlots(from), p.load/s.effectiveSlots(to)); p.benefit > best.benefit {
			best = p
		}
	}
	delete(k.records.fewFirstKeys, holderOf(to))
	if best.index < 0 {
		return false
	}
	if to.ColdLeft > 0 {
		k.records.fewFirstKeys[holderOf(to)] = true
	}
	k.startMove(s, s.splitOff(best), holderOf(to), "server without keys")
	return true
}
