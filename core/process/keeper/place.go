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
			k.saver.now = true
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
	s := &share{service: service, balanced: now, firstKeysAt: now, moveTakes: moveTakes}
	from, sum := 0, 0
	k.seq++
	for _, v := range fit {
		sum += v.Slots
		to := Buckets*sum/slots*bucketKeys - 1 // loads are counted by bucket
		s.spans = append(s.spans, &span{
			Range: grant.Range{From: from, To: to, Next: holder(v)},
			step:  saving, intent: k.seq, origin: grant.First,
		})
		from = to + 1
	}
	return s
}

// moving counts the ranges that are on their way.
func (k *Keeper) moving(s *share) int {
	n := 0
	for _, sp := range s.spans {
		if sp.step != held {
			n++
		}
	}
	return n
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

// keyWeight is the load of a key that nobody asked for, in slots, so that
// ranges without requests are spread too.
const keyWeight = 1e-6

func (k *Keeper) load(s *share, from, to int) float64 {
	sum := keyWeight * float64(to-from+1)
	if s.work == nil {
		return sum
	}
	for key := from; key <= to; {
		end := min(bucketEnd(key), to)
		sum += s.work[key/bucketKeys] * float64(end-key+1) / bucketKeys
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
	for _, v := range k.fleet.ByService(service) {
		if k.fits(v) {
			fit = append(fit, v)
		}
	}
	return fit
}

func holder(v fleet.Server) grant.Holder {
	return grant.Holder{Server: v.ID, StartMillis: v.StartMillis, Address: v.Address}
}
