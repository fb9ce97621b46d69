package keeper

import (
	"cmp"
	"slices"
	"time"

	"catkinstep/core/process/queue"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// estimate weighs the servers of one service by the requests that they are expected
// not to answer within their aim.
type estimate struct {
	share  *share
	loads  map[grant.Holder]float64
	queues map[string]queue.Server // by server
	// moveCosts is what a move must save at least, in requests.
	moveCosts float64
}

func (k *Keeper) estimateOf(s *share) estimate {
	costs := max(moveCosts, moveCostsEach*float64(k.daemons))
	return estimate{share: s, loads: k.loads(s), queues: map[string]queue.Server{}, moveCosts: costs}
}

// lost is how many requests a second a server loses if its load changes by so
// many busy slots.
func (est estimate) lost(v fleet.Server, change float64) float64 {
	q, ok := est.queues[v.ID]
	if !ok {
		q = est.share.queueOf(v)
		est.queues[v.ID] = q
	}
	return q.LostRate(est.share.rate(max(0, est.loads[holder(v)]+change)))
}

// rate is how many requests a second keep so many slots of usual speed busy.
func (s *share) rate(load float64) float64 {
	if s.each <= 0 {
		return 0 // no request was counted yet
	}
	return load / s.each
}

// queueOf is a server as package queue sees it.
func (s *share) queueOf(v fleet.Server) queue.Server {
	most := 0.0
	if v.ColdLeft > 0 {
		most = s.coldRate
	}
	return queue.New(v.Slots, s.each*s.factor(v), s.aim.Seconds(), most)
}

// factor is how slow a server is; 1 where that is not known.
func (s *share) factor(v fleet.Server) float64 {
	if f := s.factors[v.ID]; f > 0 {
		return f
	}
	return 1
}

// leastLoaded is the fitting server that loses least by a range.
func (k *Keeper) leastLoaded(s *share, sp *span) (grant.Holder, bool) {
	est, load := k.estimateOf(s), k.load(s, sp.From, sp.To)
	best, least, found := fleet.Server{}, 0.0, false
	for _, v := range k.fitting(s.service) {
		if holder(v) == sp.Holder {
			continue
		}
		more := est.lost(v, load) - est.lost(v, 0)
		if !found || more < least-sameLoss || more < least+sameLoss && s.busy(est.loads, v) < s.busy(est.loads, best) {
			best, least, found = v, more, true
		}
	}
	return holder(best), found
}

// power is how many slots of usual speed a server has.
func (s *share) power(v fleet.Server) float64 { return float64(max(1, v.Slots)) / s.factor(v) }

// busy is the share of a server's slots that its keys keep busy.
func (s *share) busy(loads map[grant.Holder]float64, v fleet.Server) float64 {
	return loads[holder(v)] / s.power(v)
}

// balance moves pieces to where fewer of their requests are lost, a few at a time:
// keys that became hot to a fast server of their own, other keys away from it, and
// from slow servers so much that they still answer in time. A server without keys
// gets some too. Servers that take part in a move already are left out until it
// has ended.
func (k *Keeper) balance(now time.Time, s *share) {
	if k.keep || now.Sub(s.balanced) < balanceEvery {
		return
	}
	s.balanced = now
	k.join(now, s)
	fit := k.fitting(s.service)
	most := max(movesAtOnce, len(fit)/serversAMove)
	firstKeys := now.Sub(s.firstKeysAt) >= firstKeysEvery
	if firstKeys {
		s.firstKeysAt = now
	}
	for n := k.moving(s); n < most; n++ {
		settled := k.settledOf(s, fit)
		if firstKeys && k.giveFirstKeys(s, settled) {
			continue
		}
		if !k.relieve(s, settled) {
			return
		}
	}
}

// join makes one range of neighbours that one server holds: each costs a renewal
// of its own, and moves for balance leave many.
func (k *Keeper) join(now time.Time, s *share) {
	out := s.spans[:1]
	for _, sp := range s.spans[1:] {
		last := out[len(out)-1]
		if !last.idle() || !sp.idle() || last.Holder != sp.Holder || last.handover != "" || sp.handover != "" {
			out = append(out, sp)
			continue
		}
		last.To, last.until = sp.To, later(last.until, sp.until)
		last.Fence, last.renewal, last.due = k.mint(), false, now
		k.saver.later, k.publisher.due = true, true
	}
	clear(s.spans[len(out):])
	s.spans = out
}

// idle tells whether nothing happens to a range.
func (sp *span) idle() bool { return sp.step == held && !sp.busy && !sp.Pending }

// settledOf leaves out servers that a move takes keys from or to.
func (k *Keeper) settledOf(s *share, fit []fleet.Server) []fleet.Server {
	moved := map[grant.Holder]bool{}
	for _, sp := range s.spans {
		if sp.step != held {
			moved[sp.Holder], moved[sp.Next] = true, true
		}
	}
	return slices.DeleteFunc(slices.Clone(fit), func(v fleet.Server) bool { return moved[holder(v)] })
}

// relieve makes the one move that helps most.
func (k *Keeper) relieve(s *share, fit []fleet.Server) bool {
	if len(fit) < 2 || s.each <= 0 {
		return false // nowhere to move to, or no request was counted yet
	}
	est := k.estimateOf(s)
	best := noPiece
	to := est.cheapestTargets(fit)
	for _, from := range est.worstServers(fit) {
		if est.lost(from, 0)*loadLasts.Seconds() <= est.moveCosts {
			break // no move could save enough there, nor at the rest
		}
		for _, p := range k.pieces(s, from, est.loads[holder(from)]) {
			best = est.bestTarget(from, to, p, best)
		}
	}
	if best.at < 0 {
		return false
	}
	k.move(s, s.split(best), holder(best.target), "balance")
	return true
}

// bestTarget returns a piece with the server that it helps most to move it to, or
// the best one so far.
func (est estimate) bestTarget(from fleet.Server, to []fleet.Server, p, best piece) piece {
	saved := est.lost(from, 0) - est.lost(from, -p.load)
	for _, v := range to {
		if v.ID == from.ID {
			continue
		}
		p.target, p.worth = v, est.share.worth(saved-(est.lost(v, p.load)-est.lost(v, 0)), p, est.moveCosts)
		if p.worth > best.worth {
			best = p
		}
	}
	return best
}

// worth is how many requests a move saves while loads stay as they are, less those
// that are refused while the keys are on their way, and less what it costs to hand
// the keys over and to tell all daemons. So one hot bucket is moved rather than the
// whole range around it, and nothing is moved for a gain that is next to nothing.
func (s *share) worth(saved float64, p piece, moveCosts float64) float64 {
	keys := float64(p.to-p.from+1) / (grant.LastKey + 1)
	return saved*loadLasts.Seconds() - s.rate(p.load)*s.moveTakes.Seconds() - moveCosts - keys*allKeysCost
}

// worstServers lists the servers that lose most.
func (est estimate) worstServers(fit []fleet.Server) []fleet.Server {
	return firstBy(fit, func(v fleet.Server) float64 { return -est.lost(v, 0) })
}

// cheapestTargets lists the servers that lose least by a share of the load more.
func (est estimate) cheapestTargets(fit []fleet.Server) []fleet.Server {
	total := 0.0
	for _, v := range fit {
		total += est.loads[holder(v)]
	}
	part := total / float64(4*len(fit))
	return firstBy(fit, func(v fleet.Server) float64 { return est.lost(v, part) - est.lost(v, 0) })
}

// firstBy lists the few servers with the least value, ties in order.
func firstBy(fit []fleet.Server, value func(fleet.Server) float64) []fleet.Server {
	type valued struct {
		fleet.Server
		value float64
	}
	all := make([]valued, 0, len(fit))
	for _, v := range fit {
		all = append(all, valued{v, value(v)})
	}
	slices.SortStableFunc(all, func(a, b valued) int { return cmp.Compare(a.value, b.value) })
	out := make([]fleet.Server, 0, candidates)
	for _, v := range all[:min(candidates, len(all))] {
		out = append(out, v.Server)
	}
	return out
}

// giveFirstKeys gives a server without keys, or one that got few since it was cold, the piece after which the busier of the two
// servers is least busy, from the busiest one.
func (k *Keeper) giveFirstKeys(s *share, fit []fleet.Server) bool {
	est := k.estimateOf(s)
	bare := slices.IndexFunc(fit, func(v fleet.Server) bool {
		return est.loads[holder(v)] == 0 || v.ColdLeft == 0 && k.fewKeys[holder(v)]
	})
	if len(fit) < 2 || bare < 0 {
		return false
	}
	to := fit[bare]
	from := slices.MaxFunc(fit, func(a, b fleet.Server) int { return cmp.Compare(s.busy(est.loads, a), s.busy(est.loads, b)) })
	have := est.loads[holder(from)]
	best := noPiece
	best.worth = -have / s.power(from)
	for _, p := range k.pieces(s, from, have) {
		if to.ColdLeft > 0 && s.rate(p.load) > s.coldRate*coldStart {
			continue // it would refuse most of the requests until it is warm
		}
		if p.worth = -max((have-p.load)/s.power(from), p.load/s.power(to)); p.worth > best.worth {
			best = p
		}
	}
	delete(k.fewKeys, holder(to))
	if best.at < 0 {
		return false
	}
	if to.ColdLeft > 0 {
		k.fewKeys[holder(to)] = true
	}
	k.move(s, s.split(best), holder(to), "server without keys")
	return true
}
