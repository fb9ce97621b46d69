package keeper

import (
	"slices"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// placeNewServices divides the keys of services that have no ranges yet.
func (k *Keeper) placeNewServices(now time.Time) {
	if k.serverCountUnchangedSince.IsZero() || now.Sub(k.serverCountUnchangedSince) < fleetSettleTime {
		return
	}
	for _, service := range k.keyedServices {
		if slices.ContainsFunc(k.services, func(s *serviceState) bool { return s.service == service }) {
			continue
		}
		if s := k.divideKeys(now, service); s != nil {
			k.services = append(k.services, s)
			k.storeState.savePending = true
		}
	}
}

// divideKeys gives each eligible server a range in proportion to its slots, divided by its
// slowdown where that is known. With keepKeys no later move would correct a division by slots only.
func (k *Keeper) divideKeys(now time.Time, service string) *serviceState {
	eligible := k.eligibleServers(service)
	s := &serviceState{service: service, balancedAt: now, firstKeysRoundAt: now, moveDuration: initialMoveDuration, slowdowns: k.slowdowns}
	total := 0.0
	for _, srv := range eligible {
		total += s.divisionWeight(srv)
	}
	if total == 0 {
		return nil
	}
	from, sum := 0, 0.0
	k.seq++
	for _, srv := range eligible {
		sum += s.divisionWeight(srv)
		to := int(Buckets*sum/total)*keysPerBucket - 1 // whole buckets, as load is counted per bucket
		if to < from {
			continue // the server's share is less than a bucket
		}
		s.ranges = append(s.ranges, &rangeState{
			fencedOff: true,
			Range:     grant.Range{From: from, To: to, Next: holderOf(srv)},
			step:      saving, intentSeq: k.seq, origin: grant.First,
		})
		from = to + 1
	}
	return s
}

// divisionWeight returns a server's weight in the first division of the keys. A server without
// slots gets none.
func (s *serviceState) divisionWeight(srv fleet.Server) float64 {
	return float64(srv.Slots) / s.slowdown(srv)
}

// countMoving returns the number of ranges that are moving.
func (k *Keeper) countMoving(s *serviceState) int {
	n := 0
	for _, rs := range s.ranges {
		if rs.step != held {
			n++
		}
	}
	return n
}

// loads returns the load of each holder. Moving ranges count for their next holder.
func (k *Keeper) loads(s *serviceState) map[grant.Holder]float64 {
	sums := map[grant.Holder]float64{}
	for _, rs := range s.ranges {
		h := rs.Holder
		if rs.Next.Server != "" {
			h = rs.Next
		}
		sums[h] += k.load(s, rs.From, rs.To)
	}
	return sums
}

// idleKeyLoad is the load of a key without requests, in slots, so that ranges without
// requests are distributed too.
const idleKeyLoad = 1e-6

func (k *Keeper) load(s *serviceState, from, to int) float64 {
	sum := idleKeyLoad * float64(to-from+1)
	if s.busySlots == nil {
		return sum
	}
	for key := from; key <= to; {
		end := min(bucketEnd(key), to)
		sum += s.busySlots[key/keysPerBucket] * float64(end-key+1) / keysPerBucket
		key = end + 1
	}
	return sum
}

const keysPerBucket = (grant.LastKey + 1) / Buckets

// Bucket returns the bucket in which a key's requests are counted.
func Bucket(key int) int { return key / keysPerBucket }

func bucketEnd(key int) int { return (key/keysPerBucket+1)*keysPerBucket - 1 }

// eligibleServers returns the servers that may get keys. Unproved ones are among them only if there are no others.
func (k *Keeper) eligibleServers(service string) []fleet.Server {
	var eligible, unproved []fleet.Server
	for _, srv := range k.fleet.ByService(service) {
		switch {
		case !k.isEligible(srv):
		case k.isUnproved(srv):
			unproved = append(unproved, srv)
		default:
			eligible = append(eligible, srv)
		}
	}
	if len(eligible) == 0 {
		return unproved
	}
	return eligible
}

func holderOf(srv fleet.Server) grant.Holder {
	return grant.Holder{Server: srv.ID, StartMillis: srv.StartMillis, Address: srv.Address}
}
