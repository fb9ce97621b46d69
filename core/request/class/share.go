package class

const (
	// MinShare is how often each rank is served at least, as a share of how often all requests are.
	// Required is a quarter; the rest is a margin for chance.
	MinShare = 0.3
	// WaitShare is how long a request may wait for a slot, as a share of what a request of the next
	// more urgent rank may wait. The difference is the room that is left to the more urgent ones.
	WaitShare = 0.6
)

// Fractions divides the given fraction of all requests among the ranks, whose demands are
// indexed by rank and may have any unit. Every rank gets MinShare of the fraction, and the rest goes
// to the ranks in order of urgency. The result holds the fraction of each rank's requests that may be
// sent. A rank without demand gets the given fraction, and so do all if none has any.
func Fractions(demands []float64, fraction float64) []float64 {
	out := make([]float64, len(demands))
	total := 0.0
	for i, d := range demands {
		total += d
		out[i] = min(1, fraction)
	}
	if total <= 0 || fraction >= 1 {
		return out
	}
	left := total * fraction * (1 - MinShare)
	for i, d := range demands {
		if d <= 0 {
			continue
		}
		more := min(left, d*(1-MinShare*fraction))
		out[i] = MinShare*fraction + more/d
		left -= more
	}
	return out
}
