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
		to := Buckets*sum/slots*bucketKeys - 1 // loads are counted by bucket
		s.spans = append(s.spans, &span{
			Range: grant.Range{From: from, To: to, Next: holder(v)},
			step:  saving, intent: k.seq,
		})
		from = to + 1
	}
	return s
}

// roomiest is the fitting server with the least load for its power.
func (k *Keeper) roomiest(s *share, not grant.Holder) (grant.Holder, bool) {
	loads := k.loads(s)
	best, found := fleet.Server{}, false
	for _, v := range k.fitting(s.service) {
		if holder(v) == not {
			continue
		}
		if !found || s.busy(loads, v) < s.busy(loads, best) {
			best, found = v, true
		}
	}
	return holder(best), found
}

// power is how many slots of usual speed a server has.
func (s *share) power(v fleet.Server) float64 {
	slots := float64(max(1, v.Slots))
	if f := s.factors[v.ID]; f > 0 {
		return slots / f
	}
	return slots
}

// busy is the share of a server's slots that its keys keep busy.
func (s *share) busy(loads map[grant.Holder]float64, v fleet.Server) float64 {
	return loads[holder(v)] / s.power(v)
}

// balance moves pieces from the busiest server to the idlest, a few at a time.
// A hot key cannot be divided: its neighbours leave it alone on its server, and
// it goes to a faster one if that helps. A server without keys gets some too.
// Servers that take part in a move already are left out until it has ended.
func (k *Keeper) balance(now time.Time, s *share) {
	if k.keep || now.Sub(s.balanced) < balanceEvery {
		return
	}
	s.balanced = now
	k.join(now, s)
	fit := k.fitting(s.service)
	most := max(movesAtOnce, len(fit)/serversAMove)
	for n := k.moving(s); n < most; n++ {
		if !k.relieve(s, k.settledOf(s, fit)) {
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
		if !last.calm() || !sp.calm() || last.Holder != sp.Holder || last.handover != "" || sp.handover != "" {
			out = append(out, sp)
			continue
		}
		last.To, last.until = sp.To, later(last.until, sp.until)
		last.Fence, last.renewal, last.due = k.mint(), false, now
		k.lazy, k.visible = true, true
	}
	clear(s.spans[len(out):])
	s.spans = out
}

// calm tells whether nothing happens to a range.
func (sp *span) calm() bool { return sp.step == held && !sp.busy && !sp.Pending }

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

// relieve makes the one move that helps the busiest server most.
func (k *Keeper) relieve(s *share, fit []fleet.Server) bool {
	if len(fit) < 2 {
		return false
	}
	loads := k.loads(s)
	total, power := 0.0, 0.0
	most, least := fit[0], fit[0]
	for _, v := range fit {
		total += loads[holder(v)]
		power += s.power(v)
		if s.busy(loads, v) > s.busy(loads, most) {
			most = v
		}
		if s.busy(loads, v) < s.busy(loads, least) {
			least = v
		}
	}
	mean := total / power
	bare := loads[holder(least)] == 0
	if !bare && (s.busy(loads, most) < max(busyEnough, unevenness*mean)) {
		return false
	}
	return k.cut(s, loads, most, least, bare)
}

// piece is a part of a range that may move: its first or its last keys.
type piece struct {
	at       int // the range's place
	from, to int
	worst    float64 // the busier of the two servers after the move
}

// cut moves the piece after which the busier of the two servers is least busy.
func (k *Keeper) cut(s *share, loads map[grant.Holder]float64, from, to fleet.Server, bare bool) bool {
	have, get := loads[holder(from)], loads[holder(to)]
	limit := improvement
	if bare {
		limit = 1
	}
	best := piece{at: -1, worst: have / s.power(from) * limit}
	for i, sp := range s.spans {
		if sp.Holder != holder(from) || sp.step != held || sp.busy {
			continue
		}
		all := k.load(s, sp.From, sp.To)
		sum := 0.0
		for key := sp.From; key <= sp.To; {
			end := min(bucketEnd(key), sp.To)
			sum += k.load(s, key, end)
			best = best.better(piece{i, sp.From, end, max((have-sum)/s.power(from), (get+sum)/s.power(to))})
			rest := all - sum
			best = best.better(piece{i, end + 1, sp.To, max((have-rest)/s.power(from), (get+rest)/s.power(to))})
			key = end + 1
		}
	}
	if best.at < 0 {
		return false
	}
	k.move(s, s.split(best), holder(to), "balance")
	return true
}

func (p piece) better(o piece) piece {
	if o.from <= o.to && o.worst < p.worst {
		return o
	}
	return p
}

// split makes a piece a range of its own.
func (s *share) split(p piece) *span {
	sp := s.spans[p.at]
	if p.from == sp.From && p.to == sp.To {
		return sp
	}
	rest := *sp
	if p.from == sp.From {
		sp.To, rest.From = p.to, p.to+1
		s.spans = slices.Insert(s.spans, p.at+1, &rest)
		return sp
	}
	sp.To, rest.From = p.from-1, p.from
	s.spans = slices.Insert(s.spans, p.at+1, &rest)
	return &rest
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
	for _, v := range k.fleet.Of(service) {
		if k.fits(v) {
			fit = append(fit, v)
		}
	}
	return fit
}

func holder(v fleet.Server) grant.Holder {
	return grant.Holder{Server: v.ID, Born: v.Born, Address: v.Address}
}
