package keeper

import (
	"maps"
	"slices"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

const (
	// hotSlotShare is the share of its holder's effective slots from which a bucket may be
	// exchanged, and hotBucketRatio how many times the mean load of all buckets it must have. In
	// a service with as many servers as buckets, each bucket fills a large part of a server.
	hotSlotShare   = 0.25
	hotBucketRatio = 4.0
	// minSpeedRatio is how many times the holder's effective slots the target of an exchange must
	// have. Slowdowns are measured, so those of equal servers differ by some percent.
	minSpeedRatio = 1.25
	// maxRoomMoves is how many moves may make room for a hot bucket. They run one after the other,
	// since the target takes part in each; with more of them the hot bucket would wait too long.
	maxRoomMoves = 4
	// maxExchangeTargets is how many targets are evaluated for each hot bucket, and maxRoomPieces
	// how many pieces of a target's ranges. They bound the processor time of a round.
	maxExchangeTargets = 2
	maxRoomPieces      = 96
	// singleMoveShare is the share of an exchange's benefit from which a single move is made
	// instead: the rest then follows by single moves.
	singleMoveShare = 0.5
	// keepHotShare is the share of the benefit of moving a hot bucket to a slower server from which
	// moves of other pieces are made instead. The count of a bucket that has just become hot is too
	// low, so that the slower server seems to suffice.
	keepHotShare = 0.75
	// exchangeTimeout is when an exchange whose hot bucket has not moved is given up. Each of its
	// moves takes less than a second unless a server does not respond.
	exchangeTimeout = 6 * time.Second
)

// Reasons of the moves of an exchange, as logged.
const (
	reasonMakeRoom  = "make room for a hot bucket"
	reasonHotBucket = "hot bucket after room was made"
)

// exchange is a plan in progress: pieces move away from the target until the hot bucket may move
// there. It is evaluated again before each of its moves. It is not stored: a new leader
// evaluates the table as it finds it.
type exchange struct {
	fromKey, toKey int // the keys of the hot bucket
	holder, target grant.Holder
	startedAt      time.Time
	roomMoves      int
}

// exchangeEstimate is what the moves of an exchange would gain.
type exchangeEstimate struct {
	hot     piece
	room    []piece // in the order of their benefit
	benefit float64 // of all moves together
}

// exchangeState is the exchange of a service that is in progress, if any, and when the next may start.
type exchangeState struct {
	exchange       *exchange
	nextExchangeAt time.Time
}

// startExchange starts the exchange with the largest benefit if no exchange is in progress and
// the best single move gains too little in comparison.
func (k *Keeper) startExchange(now time.Time, s *serviceState, est lossEstimate, c candidates, bestSingleBenefit float64) bool {
	if s.exchange != nil || now.Before(s.nextExchangeAt) {
		return false
	}
	var best exchangeEstimate
	var bestHolder fleet.Server
	for _, holder := range c.sources {
		if est.lostPerSecond(holder, 0)*loadHorizon.Seconds() <= est.moveCost {
			break
		}
		hot, ok := k.hottestBucket(s, holder)
		if !ok {
			continue
		}
		for _, target := range est.exchangeTargets(c.available, holder, hot.load) {
			if e := k.estimateExchange(est, c.targets, holder, target, hot); e.benefit > best.benefit {
				best, bestHolder = e, holder
			}
		}
	}
	if best.benefit*singleMoveShare <= max(0, bestSingleBenefit) || len(best.room) == 0 {
		return false
	}
	s.exchange = &exchange{fromKey: best.hot.from, toKey: best.hot.to, holder: holderOf(bestHolder), target: holderOf(best.hot.target), startedAt: now}
	return true
}

// hottestBucket returns the bucket of a server with the highest load, if it is hot.
func (k *Keeper) hottestBucket(s *serviceState, srv fleet.Server) (piece, bool) {
	total := 0.0
	for _, load := range s.busySlots {
		total += load
	}
	best, least := noPiece, max(hotSlotShare*s.effectiveSlots(srv), hotBucketRatio*total/Buckets)
	for i, rs := range s.ranges {
		if rs.Holder != holderOf(srv) || rs.step != held {
			continue
		}
		for key := rs.From; key <= rs.To; key = bucketEnd(key) + 1 {
			end := min(bucketEnd(key), rs.To)
			if load := k.load(s, key, end); load >= least && load > best.load {
				best = piece{index: i, from: key, to: end, load: load}
			}
		}
	}
	return best, best.index >= 0
}

// exchangeTargets returns the faster servers at which the hot bucket adds the fewest lost requests.
func (est lossEstimate) exchangeTargets(available []fleet.Server, holder fleet.Server, load float64) []fleet.Server {
	least := minSpeedRatio * est.service.effectiveSlots(holder)
	faster := slices.DeleteFunc(slices.Clone(available), func(srv fleet.Server) bool { return est.service.effectiveSlots(srv) < least })
	out := lowestBy(faster, func(srv fleet.Server) float64 { return est.lostPerSecond(srv, load) - est.lostPerSecond(srv, 0) })
	return out[:min(maxExchangeTargets, len(out))]
}

// estimateExchange returns the benefit of moving a hot bucket, and after it up to maxRoomMoves
// pieces of the target's ranges, each to the one of the other targets that loses least by it, or to
// the hot bucket's holder, which has free slots by then.
func (k *Keeper) estimateExchange(est lossEstimate, targets []fleet.Server, holder, target fleet.Server, hot piece) exchangeEstimate {
	after := est.copyFor(target)
	saved := est.lostPerSecond(holder, 0) + est.lostPerSecond(target, 0)
	after.loads[holderOf(holder)] -= hot.load
	after.loads[holderOf(target)] += hot.load
	saved -= after.lostPerSecond(holder, 0) + after.lostPerSecond(target, 0)
	hot.target, hot.benefit = target, est.service.benefit(saved, hot, est.moveCost)
	room, benefit := k.makeRoom(after, append(slices.Clone(targets), holder), target)
	return exchangeEstimate{hot: hot, room: room, benefit: hot.benefit + benefit}
}

// makeRoom returns up to maxRoomMoves pieces that are moved away from a server one after the other,
// and the benefit of these moves together. It changes the estimate, which must be a copy.
func (k *Keeper) makeRoom(est lossEstimate, targets []fleet.Server, srv fleet.Server) (room []piece, benefit float64) {
	for len(room) < maxRoomMoves {
		best := noPiece
		for _, p := range sample(k.pieces(est.service, srv, est.loads[holderOf(srv)]), maxRoomPieces) {
			best = est.bestTarget(srv, targets, p, best)
		}
		if best.index < 0 {
			break
		}
		room, benefit = append(room, best), benefit+best.benefit
		est.service.splitOff(best).Holder = holderOf(best.target)
		est.loads[holderOf(srv)] -= best.load
		est.loads[holderOf(best.target)] += best.load
	}
	return room, benefit
}

// keepHotBucket returns, in place of the move of a hot bucket to a slower server, the first of several
// moves of other pieces that gain about as much together. Without it the hot bucket would leave the fast
// server, since it is the largest piece, and come back later by an exchange.
func (k *Keeper) keepHotBucket(s *serviceState, est lossEstimate, c candidates, best piece) (piece, string) {
	const reason = "balance"
	if best.index < 0 || bucketEnd(best.from) < best.to || best.load < hotSlotShare*s.effectiveSlots(best.target) {
		return best, reason
	}
	holder := s.ranges[best.index].Holder
	i := slices.IndexFunc(c.sources, func(srv fleet.Server) bool { return holderOf(srv) == holder })
	if i < 0 || s.effectiveSlots(c.sources[i]) < minSpeedRatio*s.effectiveSlots(best.target) {
		return best, reason
	}
	after := est.copyFor(c.sources[i])
	hot, ok := k.heldPiece(after.service, best, holder)
	if !ok {
		return best, reason
	}
	after.service.splitOff(hot).Holder = grant.Holder{} // stays
	room, benefit := k.makeRoom(after, c.targets, c.sources[i])
	if len(room) == 0 || benefit < keepHotShare*best.benefit {
		return best, reason
	}
	first, ok := k.heldPiece(s, room[0], holder)
	if !ok || s.ranges[first.index].callInFlight {
		return best, reason
	}
	return first, reasonMakeRoom
}

// copyFor returns a copy with loads of its own, and with copies of one server's ranges.
func (est lossEstimate) copyFor(srv fleet.Server) lossEstimate {
	service := *est.service
	service.ranges = nil
	for _, rs := range est.service.ranges {
		if rs.Holder == holderOf(srv) && rs.step == held {
			service.ranges = append(service.ranges, &rangeState{Range: rs.Range})
		}
	}
	est.service, est.loads = &service, maps.Clone(est.loads)
	return est
}

// sample returns at most n of the pieces, at equal distances.
func sample(pieces []piece, n int) []piece {
	if len(pieces) <= n {
		return pieces
	}
	out := make([]piece, 0, n)
	for i := range n {
		out = append(out, pieces[i*len(pieces)/n])
	}
	return out
}

// advanceExchange starts the next move of the exchange in progress once its servers take part in
// no other move. It drops the exchange if the hot bucket has left its holder, a server has become
// ineligible, or the remaining moves no longer pay at the present load.
func (k *Keeper) advanceExchange(now time.Time, s *serviceState, eligible []fleet.Server) {
	x := s.exchange
	if x == nil {
		return
	}
	holder, target, ok := x.servers(eligible)
	hot, found := k.heldPiece(s, piece{from: x.fromKey, to: x.toKey}, x.holder)
	if !ok || !found {
		s.exchange = nil
		return
	}
	if now.Sub(x.startedAt) >= exchangeTimeout {
		s.exchange, s.nextExchangeAt = nil, now.Add(loadHorizon)
		return
	}
	available := k.withoutMovingServers(s, eligible)
	if _, _, free := x.servers(available); !free || k.countMoving(s) >= k.maxMoves(s, eligible) {
		return
	}
	est := k.newLossEstimate(s)
	e := k.estimateExchange(est, est.cheapestTargets(available), holder, target, hot)
	if e.benefit <= 0 {
		s.exchange, s.nextExchangeAt = nil, now.Add(loadHorizon)
		return
	}
	if len(e.room) == 0 || x.roomMoves == maxRoomMoves || e.hot.benefit >= singleMoveShare*e.benefit {
		if k.startHeldPiece(s, e.hot, x.holder, reasonHotBucket) {
			s.exchange = nil
		}
		return
	}
	if k.startHeldPiece(s, e.room[0], x.target, reasonMakeRoom) {
		x.roomMoves++
	}
}

// servers returns the holder and the target of the hot bucket if both are among the given servers.
func (x *exchange) servers(among []fleet.Server) (holder, target fleet.Server, ok bool) {
	found := 0
	for _, srv := range among {
		switch holderOf(srv) {
		case x.holder:
			holder, found = srv, found+1
		case x.target:
			target, found = srv, found+1
		}
	}
	return holder, target, found == 2
}

// heldPiece returns a piece with its present range and load, if its holder still holds all of it.
func (k *Keeper) heldPiece(s *serviceState, p piece, holder grant.Holder) (piece, bool) {
	p.index = slices.IndexFunc(s.ranges, func(rs *rangeState) bool {
		return rs.Holder == holder && rs.step == held && rs.From <= p.from && p.to <= rs.To
	})
	p.load = k.load(s, p.from, p.to)
	return p, p.index >= 0
}

// startHeldPiece starts the move of a piece, unless a call for its range is in flight, whose result would
// not be matched to a part of the range.
func (k *Keeper) startHeldPiece(s *serviceState, p piece, holder grant.Holder, reason string) bool {
	p, ok := k.heldPiece(s, p, holder)
	if !ok || s.ranges[p.index].callInFlight {
		return false
	}
	k.startMove(s, s.splitOff(p), holderOf(p.target), reason)
	return true
}

// withoutExchange returns the servers that take no part in the exchange in progress. Other moves to
// its target would fill the room that was made.
func (s *serviceState) withoutExchange(servers []fleet.Server) []fleet.Server {
	if s.exchange == nil {
		return servers
	}
	return slices.DeleteFunc(servers, func(srv fleet.Server) bool {
		return holderOf(srv) == s.exchange.holder || holderOf(srv) == s.exchange.target
	})
}
