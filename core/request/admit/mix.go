package admit

import (
	"math"
	"time"

	"catkinstep/core/request/class"
)

const (
	// mixTime is the time constant of the average of recent demand. It is a few seconds, as loads
	// last for seconds.
	mixTime = 4 * time.Second
	// minHistory is how many requests an average covers at least, however long ago they arrived. At a
	// daemon that gets a request per second, the average over mixTime would follow chance.
	minHistory = 30
	// priorRequests is the weight of the service's mix in that of a bucket, in requests: so many that
	// chance among the few requests of a daemon has little effect, and so few that a hot key's own
	// requests soon outweigh them.
	priorRequests = 8
	// concentration is that of the Dirichlet distribution (the same for each rank) from which the mix
	// of a bucket is taken to come if it is not the service's. It is far below 1, since a hot key is
	// often requested by one route alone.
	concentration = 0.1
)

// byRank holds a value for each rank.
type byRank [class.MaxRank + 1]float64

// mix is the recent demand of each rank.
type mix struct {
	counts, seconds byRank  // requests, and their service times
	requests        float64 // the sum of counts
	addedAt         time.Time
}

// add counts a request with its service time.
func (m *mix) add(now time.Time, rank int, serviceTime time.Duration) {
	if elapsed := now.Sub(m.addedAt); elapsed > 0 && m.requests > minHistory {
		m.scale(max(math.Exp(-elapsed.Seconds()/mixTime.Seconds()), minHistory/m.requests))
	}
	m.addedAt = now
	m.counts[clampRank(rank)]++
	m.seconds[clampRank(rank)] += serviceTime.Seconds()
	m.requests++
}

func (m *mix) scale(factor float64) {
	m.requests *= factor
	for i := range m.counts {
		m.counts[i] *= factor
		m.seconds[i] *= factor
	}
}

// demands returns the demand for a bucket by rank: its own, and that of a few requests with the
// service's mix, which is nil if it is not known.
func (m *mix) demands(service *mix) byRank {
	out := m.seconds
	if service == nil || service.requests == 0 {
		return out
	}
	weight := priorRequests * m.likelihood(service) / service.requests
	for i, s := range service.seconds {
		out[i] += weight * s
	}
	return out
}

// likelihood returns how likely the bucket's counts are if its requests have the service's mix,
// relative to any other mix, at most 1. With many daemons each of them gets few requests for a hot
// key. If rank 0 alone requests it, a prior of constant weight would keep them sending too many for many
// seconds.
func (m *mix) likelihood(service *mix) float64 {
	logRatio, total := 0.0, 0.0
	for i, n := range m.counts {
		if n == 0 && service.counts[i] == 0 {
			continue
		}
		logRatio += n*math.Log(service.counts[i]/service.requests) - logGamma(n+concentration) + logGamma(concentration)
		total += concentration
	}
	return math.Exp(min(0, logRatio+logGamma(m.requests+total)-logGamma(total)))
}

func logGamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}

// fraction returns the part of a rank's requests that may be sent if the given fraction of all may
// be. If no other rank has any demand, it is exactly that fraction.
func (d byRank) fraction(rank int, ofAll float64) float64 {
	others := false
	for i, demand := range d {
		others = others || i != clampRank(rank) && demand > 0
	}
	if !others {
		return ofAll
	}
	return class.Fractions(d[:], ofAll)[clampRank(rank)]
}

func clampRank(rank int) int { return max(0, min(rank, class.MaxRank)) }
