package keeper

import (
	"cmp"
	"slices"
	"time"

	"catkinstep/core/process/queue"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// lossEstimate estimates how many requests the servers of one service fail to answer
// within the latency target.
type lossEstimate struct {
	service     *serviceState
	loads       map[grant.Holder]float64
	queueModels map[string]queue.Server // by server
	// moveCost is the fixed cost of one move, in requests.
	moveCost float64
}

func (k *Keeper) newLossEstimate(s *serviceState) lossEstimate {
	moveCost := max(minMoveCost, moveCostPerDaemon*float64(k.daemonCount))
	return lossEstimate{service: s, loads: k.loads(s), queueModels: map[string]queue.Server{}, moveCost: moveCost}
}

// lostPerSecond returns how many requests a second a server would answer late or refuse if
// its load changed by the given number of busy slots.
func (est lossEstimate) lostPerSecond(v fleet.Server, change float64) float64 {
	q, ok := est.queueModels[v.ID]
	if !ok {
		q = est.service.queueModel(v)
		est.queueModels[v.ID] = q
	}
	return q.LostRate(est.service.requestRate(max(0, est.loads[holderOf(v)]+change)))
}

// requestRate returns the requests a second that keep load slots of typical speed busy.
func (s *serviceState) requestRate(load float64) float64 {
	if s.serviceTimeSeconds <= 0 {
		return 0 // no request counted yet
	}
	return load / s.serviceTimeSeconds
}

// queueModel returns the queueing model of a server.
func (s *serviceState) queueModel(v fleet.Server) queue.Server {
	maxRate := 0.0
	if v.ColdLeft > 0 {
		maxRate = s.coldRate
	}
	return queue.New(v.Slots, s.serviceTimeSeconds*s.slowdown(v), s.latencyTarget.Seconds(), maxRate)
}

// slowdown returns the ratio of a server's service times to the typical ones; 1 if unknown.
func (s *serviceState) slowdown(v fleet.Server) float64 {
	if f := s.slowdowns[v.ID]; f > 0 {
		return f
	}
	return 1
}

// leastLossTarget returns the eligible server on which a range adds the fewest lost
// requests; among those that add the same, the least utilised one.
func (k *Keeper) leastLossTarget(s *serviceState, rs *rangeState) (grant.Holder, bool) {
	est, load := k.newLossEstimate(s), k.load(s, rs.From, rs.To)
	best, least, found := fleet.Server{}, 0.0, false
	for _, v := range k.eligibleServers(s.service) {
		if holderOf(v) == rs.Holder {
			continue
		}
		addedLoss := est.lostPerSecond(v, load) - est.lostPerSecond(v, 0)
		if !found || addedLoss < least-lossTolerance || addedLoss < least+lossTolerance && s.utilisation(est.loads, v) < s.utilisation(est.loads, best) {
			best, least, found = v, addedLoss, true
		}
	}
	return holderOf(best), found
}

// effectiveSlots returns how many slots of typical speed a server's slots are worth.
func (s *serviceState) effectiveSlots(v fleet.Server) float64 {
	return float64(max(1, v.Slots)) / s.slowdown(v)
}

// utilisation returns the share of a server's slots that requests for its keys keep busy.
func (s *serviceState) utilisation(loads map[grant.Holder]float64, v fleet.Server) float64 {
	return loads[holderOf(v)] / s.effectiveSlots(v)
}

// balance moves pieces of ranges to where fewer of their requests are lost, a few at a
// time. As a result a hot key gets a fast server, other keys leave that server, and a
// slow server keeps only as many keys as it can serve in time. Servers without keys
// get some in separate rounds. A server takes part in one move at a time.
func (k *Keeper) balance(now time.Time, s *serviceState) {
	if k.rebalancingDisabled || now.Sub(s.balancedAt) < balanceInterval {
		return
	}
	s.balancedAt = now
	k.mergeRanges(now, s)
	eligible := k.eligibleServers(s.service)
	maxMoves := max(minMoveLimit, len(eligible)/serversPerMove)
	firstKeys := now.Sub(s.firstKeysRoundAt) >= firstKeysInterval
	if firstKeys {
		s.firstKeysRoundAt = now
	}
	for n := k.countMoving(s); n < maxMoves; n++ {
		available := k.withoutMovingServers(s, eligible)
		if firstKeys && k.giveFirstKeys(s, available) {
			continue
		}
		if !k.moveBestPiece(s, available) {
			return
		}
	}
}

// mergeRanges merges adjacent ranges of the same holder. Balancing splits ranges, and each
// range is renewed by a call of its own.
func (k *Keeper) mergeRanges(now time.Time, s *serviceState) {
	out := s.ranges[:1]
	for _, rs := range s.ranges[1:] {
		last := out[len(out)-1]
		if !last.isIdle() || !rs.isIdle() || last.Holder != rs.Holder || last.handover != "" || rs.handover != "" {
			out = append(out, rs)
			continue
		}
		last.To, last.expiresAt = rs.To, later(last.expiresAt, rs.expiresAt)
		last.Fence, last.fenceConfirmed, last.nextCallAt = k.nextFence(), false, now
		k.saver.lazySavePending, k.publisher.pending = true, true
	}
	clear(s.ranges[len(out):])
	s.ranges = out
}

// isIdle reports whether a range is neither moving nor part of a call.
func (rs *rangeState) isIdle() bool { return rs.step == held && !rs.callInFlight && !rs.Pending }

// withoutMovingServers returns the servers that are neither source nor target of a move.
func (k *Keeper) withoutMovingServers(s *serviceState, eligible []fleet.Server) []fleet.Server {
	moving := map[grant.Holder]bool{}
	for _, rs := range s.ranges {
		if rs.step != held {
			moving[rs.Holder], moving[rs.Next] = true, true
		}
	}
	return slices.DeleteFunc(slices.Clone(eligible), func(v fleet.Server) bool { return moving[holderOf(v)] })
}

// moveBestPiece starts the move with the largest benefit, if there is one.
func (k *Keeper) moveBestPiece(s *serviceState, available []fleet.Server) bool {
	if len(available) < 2 || s.serviceTimeSeconds <= 0 {
		return false // no target, or no request counted yet
	}
	est := k.newLossEstimate(s)
	best := noPiece
	targets := est.cheapestTargets(available)
	for _, from := range est.worstSources(available) {
		if est.lostPerSecond(from, 0)*loadHorizon.Seconds() <= est.moveCost {
			break // neither this server nor the rest lose enough for a move to pay off
		}
		for _, p := range k.pieces(s, from, est.loads[holderOf(from)]) {
			best = est.bestTarget(from, targets, p, best)
		}
	}
	if best.index < 0 {
		return false
	}
	k.startMove(s, s.splitOff(best), holderOf(best.target), "balance")
	return true
}

// bestTarget returns piece p with the target that gives the largest benefit, or best if
// that is better.
func (est lossEstimate) bestTarget(from fleet.Server, targets []fleet.Server, p, best piece) piece {
	relief := est.lostPerSecond(from, 0) - est.lostPerSecond(from, -p.load)
	for _, v := range targets {
		if v.ID == from.ID {
			continue
		}
		p.target, p.benefit = v, est.service.benefit(relief-(est.lostPerSecond(v, p.load)-est.lostPerSecond(v, 0)), p, est.moveCost)
		if p.benefit > best.benefit {
			best = p
		}
	}
	return best
}

// benefit returns how many requests a move saves over loadHorizon, less those that are
// refused while the keys move, and less the cost of handing the keys over and of
// publishing the change. The costs make a single hot bucket move rather than the whole
// range around it, and rule out moves with a negligible gain.
func (s *serviceState) benefit(savedPerSecond float64, p piece, moveCost float64) float64 {
	keys := float64(p.to-p.from+1) / (grant.LastKey + 1)
	return savedPerSecond*loadHorizon.Seconds() - s.requestRate(p.load)*s.moveDuration.Seconds() - moveCost - keys*allKeysHandoverCost
}

// worstSources returns the servers that lose the most requests.
func (est lossEstimate) worstSources(servers []fleet.Server) []fleet.Server {
	return lowestBy(servers, func(v fleet.Server) float64 { return -est.lostPerSecond(v, 0) })
}

// cheapestTargets returns the servers that lose the fewest additional requests from a small
// added load.
func (est lossEstimate) cheapestTargets(servers []fleet.Server) []fleet.Server {
	total := 0.0
	for _, v := range servers {
		total += est.loads[holderOf(v)]
	}
	sample := total / float64(4*len(servers))
	return lowestBy(servers, func(v fleet.Server) float64 { return est.lostPerSecond(v, sample) - est.lostPerSecond(v, 0) })
}

// lowestBy returns up to maxCandidates servers with the lowest values, in stable order.
func lowestBy(servers []fleet.Server, value func(fleet.Server) float64) []fleet.Server {
	type valued struct {
		fleet.Server
		value float64
	}
	all := make([]valued, 0, len(servers))
	for _, v := range servers {
		all = append(all, valued{v, value(v)})
	}
	slices.SortStableFunc(all, func(a, b valued) int { return cmp.Compare(a.value, b.value) })
	out := make([]fleet.Server, 0, maxCandidates)
	for _, v := range all[:min(maxCandidates, len(all))] {
		out = append(out, v.Server)
	}
	return out
}

// giveFirstKeys moves a piece from the most utilised server to one without keys, or to one
// that got few because it was cold and is warm now. It takes the piece that leaves the
// busier of the two servers least utilised.
func (k *Keeper) giveFirstKeys(s *serviceState, available []fleet.Server) bool {
	est := k.newLossEstimate(s)
	targetIndex := slices.IndexFunc(available, func(v fleet.Server) bool {
		return est.loads[holderOf(v)] == 0 || v.ColdLeft == 0 && k.firstKeysWhileCold[holderOf(v)]
	})
	if len(available) < 2 || targetIndex < 0 {
		return false
	}
	to := available[targetIndex]
	from := slices.MaxFunc(available, func(a, b fleet.Server) int {
		return cmp.Compare(s.utilisation(est.loads, a), s.utilisation(est.loads, b))
	})
	sourceLoad := est.loads[holderOf(from)]
	best := noPiece
	best.benefit = -sourceLoad / s.effectiveSlots(from)
	for _, p := range k.pieces(s, from, sourceLoad) {
		if to.ColdLeft > 0 && s.requestRate(p.load) > s.coldRate*coldRateShare {
			continue // a cold target would refuse most of these requests
		}
		if p.benefit = -max((sourceLoad-p.load)/s.effectiveSlots(from), p.load/s.effectiveSlots(to)); p.benefit > best.benefit {
			best = p
		}
	}
	delete(k.firstKeysWhileCold, holderOf(to))
	if best.index < 0 {
		return false
	}
	if to.ColdLeft > 0 {
		k.firstKeysWhileCold[holderOf(to)] = true
	}
	k.startMove(s, s.splitOff(best), holderOf(to), "server without keys")
	return true
}
