package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/request/permit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// limiter works out limits for overloaded holders.
type limiter struct {
	control *admit.Controller
	// sent tells whether limits were sent at the last round.
	sent bool
	at   time.Time
}

// limit tells the daemons what part of the requests they may send to holders that are
// offered more than they can answer in time. It goes on until no holder is.
func (k *Keeper) limit(now time.Time) {
	if now.Sub(k.limiter.at) < limitEvery {
		return
	}
	k.limiter.at = now
	k.limiter.control.EndRound(now)
	cmd := LimitCmd{}
	for _, s := range k.shares {
		cmd.Limits = append(cmd.Limits, k.limitsOf(now, s)...)
		cmd.Contended = append(cmd.Contended, k.contendedOf(now, s)...)
	}
	some := len(cmd.Limits) > 0 || len(cmd.Contended) > 0
	if some || k.limiter.sent {
		k.cmds = append(k.cmds, cmd)
	}
	k.limiter.sent = some
}

// contendedOf lists the servers of one service for which daemons need permits.
func (k *Keeper) contendedOf(now time.Time, s *share) []string {
	var out []string
	for _, v := range k.fleet.ByService(s.service) {
		if k.permits(s, v) && k.limiter.control.Contended(now, v.ID) {
			out = append(out, v.ID)
		}
	}
	return out
}

// permits tells whether permits are worth asking for at a server.
func (k *Keeper) permits(s *share, v fleet.Server) bool {
	return permit.QueueVisibility(k.daemons, v.Slots) < 1 && permit.Worthwhile(time.Duration(s.each*s.factor(v)*float64(time.Second)))
}

// limitsOf returns the limits of one service. Keys on their way count where they go.
func (k *Keeper) limitsOf(now time.Time, s *share) []admit.Limit {
	if s.work == nil {
		return nil
	}
	buckets := map[grant.Holder][]int{}
	for _, sp := range s.spans {
		h := sp.Holder
		if sp.Next.Server != "" {
			h = sp.Next
		}
		for b := Bucket(sp.From); b <= Bucket(sp.To); b++ {
			buckets[h] = append(buckets[h], b)
		}
	}
	var out []admit.Limit
	for _, v := range k.fleet.ByService(s.service) {
		out = append(out, k.limitsAt(now, s, v, buckets[holder(v)])...)
	}
	return out
}

// fillable is the part of a holder's slots that limits let requests fill.
func (k *Keeper) fillable(s *share, v fleet.Server) float64 {
	if k.permits(s, v) {
		return fullAt + permitsMore
	}
	return fullAt + knownMore*permit.QueueVisibility(k.daemons, v.Slots)
}

// limitsAt returns the limits of the buckets that one server holds.
func (k *Keeper) limitsAt(now time.Time, s *share, v fleet.Server, buckets []int) []admit.Limit {
	demands, sum := make([]float64, 0, len(buckets)), 0.0
	for _, b := range buckets {
		demands = append(demands, s.work[b])
		sum += s.work[b]
	}
	capacity, limited := k.limiter.control.Capacity(now, v.ID, k.fillable(s, v)*s.power(v), sum)
	if !limited {
		return nil
	}
	level := admit.FairShare(demands, capacity)
	var out []admit.Limit
	for i, b := range buckets {
		if part := level / demands[i]; part < 1 {
			out = append(out, admit.Limit{Service: s.service, Bucket: b, Fraction: part})
		}
	}
	return out
}
