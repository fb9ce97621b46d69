package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkinstep/core/version/grant"
)

const (
	// Latencies are recorded from 1 microsecond up to 60 s with three significant digits.
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
)

// Result is what the callers of one service saw. Latencies are in microseconds.
type Result struct {
	Service              string
	Requests             uint64
	Answered             uint64
	NotRun               uint64
	Unknown              uint64
	Retries              uint64
	ErrorCodes           map[string]uint64
	AllLatency           *hdrhistogram.Histogram // of all idempotent requests; one that was not answered counts as at least the timeout
	AnsweredLatency      *hdrhistogram.Histogram // of answered idempotent requests
	NonIdempotentLatency *hdrhistogram.Histogram // of answered non-idempotent requests
	LongestOutage        time.Duration           // longest time that requests for a bucket of keys failed
}

// Reset clears the results, so that a part of a run can be measured.
func (g *Generator) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result = Result{
		Service: g.config.Service, ErrorCodes: map[string]uint64{},
		AllLatency:           hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		AnsweredLatency:      hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		NonIdempotentLatency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
}

// Result returns a copy of the results since the last Reset.
func (g *Generator) Result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.AllLatency = hdrhistogram.Import(r.AllLatency.Export())
	r.AnsweredLatency = hdrhistogram.Import(r.AnsweredLatency.Export())
	r.NonIdempotentLatency = hdrhistogram.Import(r.NonIdempotentLatency.Export())
	r.ErrorCodes = map[string]uint64{}
	for k, v := range g.result.ErrorCodes {
		r.ErrorCodes[k] = v
	}
	return r
}

func (g *Generator) countRetry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Retries++
}

// record counts a request by the result of its last attempt.
func (g *Generator) record(c call, last attemptResult, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	totals := &g.result
	totals.Requests++
	if !c.nonIdempotent {
		counted := latency
		if last.callerResult.Outcome != "answered" {
			counted = max(latency, g.config.Timeout)
		}
		recordLatency(totals.AllLatency, counted)
	}
	switch last.callerResult.Outcome {
	case "answered":
		g.recordAnswer(c, latency)
		return
	case "notRun":
		totals.NotRun++
	default:
		totals.Unknown++
	}
	totals.ErrorCodes[last.code]++
	g.recordFailure(c, last.code)
}

// recordAnswer counts an answered request, which ends an outage of its key's bucket. g.mu must be
// held.
func (g *Generator) recordAnswer(c call, latency time.Duration) {
	totals := &g.result
	totals.Answered++
	histogram := totals.AnsweredLatency
	if c.nonIdempotent {
		histogram = totals.NonIdempotentLatency
	}
	recordLatency(histogram, latency)
	if since, ok := g.failingSince[bucketOf(c.key)]; ok {
		totals.LongestOutage = max(totals.LongestOutage, time.Since(since))
		delete(g.failingSince, bucketOf(c.key))
	}
	totals.LongestOutage = max(totals.LongestOutage, outageFromLatency(latency))
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(1, latency.Microseconds()), maxLatencyMicros))
}

// recordFailure starts an outage of the key's bucket, unless the code says that there is none:
// a lack of capacity is no outage, and a lost reply does not mean that other requests fail. g.mu
// must be held.
func (g *Generator) recordFailure(c call, code string) {
	switch code {
	case "allBusy", "serverNotHoldingOrFull", "coldServer", "deadlineTooNear", "attemptFailed", "hostLost":
		return
	}
	if _, ok := g.failingSince[bucketOf(c.key)]; !ok {
		g.failingSince[bucketOf(c.key)] = c.dueAt
	}
}

// outageBuckets is the number of buckets of keys whose outages are measured separately.
const outageBuckets = 256

func bucketOf(key string) int { return grant.HashKey(key) * outageBuckets / (grant.LastKey + 1) }

// outageFromLatency returns the latency of an answered request if it counts as an outage, and
// zero otherwise. Below 250 ms, queueing explains the latency.
func outageFromLatency(latency time.Duration) time.Duration {
	if latency < 250*time.Millisecond {
		return 0
	}
	return latency
}
