package speed

const (
	// priorWeight is the weight, in responses, of the assumption that a server has a slowdown
	// of 1.
	priorWeight = 4.0
	// maxWeight is how many responses a server's slowdown averages over. With a few responses a
	// second from a server, these are the responses of the last minute. Other processes on the
	// host slow a server down for short periods. Keys that are moved away because of one would
	// soon have to be moved back.
	maxWeight = 200.0
)

// Sample is how slow a server was, as a mean over a number of responses. Its slowdown is the
// server's service time divided by the typical one.
type Sample struct {
	Slowdown  float64
	Responses int
}

// With returns the weighted mean of two samples.
func (s Sample) With(o Sample) Sample {
	n := s.Responses + o.Responses
	if n == 0 {
		return s
	}
	return Sample{Slowdown: (s.Slowdown*float64(s.Responses) + o.Slowdown*float64(o.Responses)) / float64(n), Responses: n}
}

// Estimator averages the samples of each server. It is not safe for concurrent use.
type Estimator struct{ servers map[string]weightedMean }

// weightedMean is a mean in which older responses lose their weight. Its weight is in responses.
type weightedMean struct{ slowdown, weight float64 }

// New returns an Estimator without any samples.
func New() *Estimator { return &Estimator{servers: map[string]weightedMean{}} }

// Add adds what a daemon measured at a server since its last report.
func (e *Estimator) Add(server string, sample Sample) {
	if sample.Responses <= 0 {
		return
	}
	mean, n := e.servers[server], float64(sample.Responses)
	oldWeight := min(mean.weight, max(0, maxWeight-n))
	e.servers[server] = weightedMean{slowdown: (mean.slowdown*oldWeight + sample.Slowdown*n) / (oldWeight + n), weight: oldWeight + n}
}

// Slowdowns returns the slowdown of each server. The fewer responses there are from a server, the
// closer its slowdown is to 1.
func (e *Estimator) Slowdowns() map[string]float64 {
	out := make(map[string]float64, len(e.servers))
	for server, mean := range e.servers {
		out[server] = (mean.slowdown*mean.weight + priorWeight) / (mean.weight + priorWeight)
	}
	return out
}

// Retain removes the servers for which keep returns false.
func (e *Estimator) Retain(keep func(server string) bool) {
	for server := range e.servers {
		if !keep(server) {
			delete(e.servers, server)
		}
	}
}
