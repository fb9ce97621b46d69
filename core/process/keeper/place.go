package keeper

import (
	"slices"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// place divides the keys of services that nobody holds any of yet.
func (k *Keeper) place(now time.Time) {
	if k.settled.IsZero() || now.Sub(k.settled) < settle {
		return
	}
	for _, service := range k.keyed {
		if slices.ContainsFunc(k.shares, func(s *share) bool { return s.service == service }) {
			continue
		}
		if s := k.divide(now, service); s != nil {
			k.shares = append(k.shares, s)
			k.dirty = true
		}
	}
}

// divide gives each fitting server a stretch in proportion to its slots.
func (k *Keeper) divide(now time.Time, service string) *share {
	fit := k.fitting(service)
	slots := 0
	for _, v := range fit {
		slots += v.Slots
	}
	if slots == 0 {
		return nil
	}
	s := &share{service: service, balanced: now}
	from, sum := 0, 0
	k.seq++
	for _, v := range fit {
		sum += v.Slots
		to := (grant.LastKey+1)*sum/slots - 1
		s.spans = append(s.spans, &span{
			Range: grant.Range{From: from, To: to, Next: holder(v)},
			step:  saving, intent: k.seq,
		})
		from = to + 1
	}
	return s
}

// roomiest is the fitting server with the least load for its slots.
func (k *Keeper) roomiest(s *share, not grant.Holder) (grant.Holder, bool) {
	loads := k.loads(s)
	best, found := fleet.Server{}, false
	for _, v := range k.fitting(s.service) {
		if holder(v) == not {
			continue
		}
		if !found || loads[holder(v)]/slotsOf(v) < loads[holder(best)]/slotsOf(best) {
			best, found = v, true
		}
	}
	return holder(best), found
}

// balance moves a piece from the server with the most load for its slots to the
// one with the least, one at a time. A server without keys gets some that way.
func (k *Keeper) balance(now time.Time, s *share) {
	if now.Sub(s.balanced) < balanceEvery || k.moving(s) {
		return
	}
	fit := k.fitting(s.service)
	if len(fit) < 2 {
		return
	}
	loads := k.loads(s)
	total, slots := 0.0, 0.0
	var most, least fleet.Server
	for i, v := range fit {
		l := loads[holder(v)] / slotsOf(v)
		total += loads[holder(v)]
		slots += slotsOf(v)
		if i == 0 || l > loads[holder(most)]/slotsOf(most) {
			most = v
		}
		if i == 0 || l < loads[holder(least)]/slotsOf(least) {
			least = v
		}
	}
	fair := total / slots
	excess := loads[holder(most)] - fair*slotsOf(most)
	room := fair*slotsOf(least) - loads[holder(least)]
	if loads[holder(most)] < unevenness*fair*slotsOf(most) && room < fair*slotsOf(least)/2 {
		return
	}
	if k.cut(s, holder(most), holder(least), min(excess, room)) {
		s.balanced = now
	}
}

// cut takes a piece of about a load off one of a holder's ranges and moves it.
func (k *Keeper) cut(s *share, from, to grant.Holder, load float64) bool {
	best, bestAt, bestGap := -1, 0, load/2
	for i, sp := range s.spans {
		if sp.Holder != from || sp.step != held || sp.busy {
			continue
		}
		sum := 0.0
		for key := sp.From; key <= sp.To; {
			end := min(bucketEnd(key), sp.To)
			sum += k.load(s, key, end)
			if gap := abs(sum - load); gap < bestGap {
				best, bestAt, bestGap = i, end, gap
			}
			key = end + 1
		}
	}
	if best < 0 {
		return false
	}
	sp := s.spans[best]
	if bestAt < sp.To {
		rest := *sp
		rest.From = bestAt + 1
		sp.To = bestAt
		s.spans = slices.Insert(s.spans, best+1, &rest)
	}
	k.move(s, sp, to, "balance")
	return true
}

func (k *Keeper) moving(s *share) bool {
	return slices.ContainsFunc(s.spans, func(sp *span) bool { return sp.step != held })
}

// loads sums the load of each holder, counting ranges where they are to go.
func (k *Keeper) loads(s *share) map[grant.Holder]float64 {
	sums := map[grant.Holder]float64{}
	for _, sp := range s.spans {
		h := sp.Holder
		if sp.Next.Server != "" {
			h = sp.Next
		}
		sums[h] += k.load(s, sp.From, sp.To)
	}
	return sums
}

// keyWeight is the load of a key that nobody asked for, in requests a second,
// so that ranges without requests are spread too.
const keyWeight = 1e-5

func (k *Keeper) load(s *share, from, to int) float64 {
	sum := keyWeight * float64(to-from+1)
	if s.rates == nil {
		return sum
	}
	for key := from; key <= to; {
		end := min(bucketEnd(key), to)
		sum += s.rates[key/bucketKeys] * float64(end-key+1) / bucketKeys
		key = end + 1
	}
	return sum
}

const bucketKeys = (grant.LastKey + 1) / Buckets

// Bucket is where a key's requests are counted.
func Bucket(key int) int { return key / bucketKeys }

func bucketEnd(key int) int { return (key/bucketKeys+1)*bucketKeys - 1 }

func (k *Keeper) fitting(service string) []fleet.Server {
	var fit []fleet.Server
	for _, v := range k.fleet.Of(service) {
		if k.fits(v) {
			fit = append(fit, v)
		}
	}
	return fit
}

func holder(v fleet.Server) grant.Holder { return grant.Holder{Server: v.ID, Born: v.Born} }

func slotsOf(v fleet.Server) float64 { return float64(max(1, v.Slots)) }

func abs(x float64) float64 { return max(x, -x) }
