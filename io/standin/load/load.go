// Package load is a load generator that stands in for callers. It sends an open-loop
// stream of idempotent and non-idempotent requests, with a skewed distribution of keys,
// through the entry hosts that a balancer picks. Latency is measured from the time at
// which a request was due, so that a system that stalls can't hide it by slowing the
// callers down (coordinated omission).
//
// # Usage
//
//	g := load.New(load.Config{Service: "intake", Rate: 400}, balancer, oracle)
//	g.Run(ctx)
//	r := g.Result()
//
// Its functions do not fail: failures of requests are counted in the Result and reported
// to the recorder.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkinstep/core/version/grant"
	"catkinstep/io/standin/oracle"
)

// Balancer picks the entry host for a request, as the platform's load balancer does.
type Balancer interface {
	// Pick returns the address of an entry host. Different n spread requests over the hosts.
	Pick(n uint64) string
	// WasKilled reports whether an entry host was killed rather than stopped gracefully,
	// so that its callers' connections may have broken.
	WasKilled(address string) bool
}

// Recorder receives the final result of each request. It is implemented by oracle.Oracle.
type Recorder interface{ RecordResult(oracle.CallerResult) }

// Config describes the load on one service.
type Config struct {
	Service string
	// Path is the path of requests; KEY in it is replaced by the key.
	Path string
	// Rate is the number of requests per second.
	Rate float64
	// NonIdempotentShare is the share of requests that must run at most once.
	NonIdempotentShare float64
	// Keys is the number of keys.
	Keys uint64
	// ZipfExponent sets the Zipf distribution of keys; up to 1, the distribution is uniform.
	ZipfExponent float64
	// DedupByID is set if the service recognises a request that is sent again under its ID, so
	// that retries of a non-idempotent request are safe.
	DedupByID bool
	// Timeout is how long callers wait for a reply; 2s by default.
	Timeout time.Duration
	Seed    uint64
}

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

// Generator sends the requests to one service.
type Generator struct {
	config      Config
	balancer    Balancer
	recorder    Recorder
	client      *http.Client
	lastRequest uint64 // not cleared by Reset, so that no request ID is used twice

	mu           sync.Mutex
	result       Result
	failingSince map[int]time.Time
}

const (
	// Latencies are recorded from 1 microsecond up to 60 s with three significant digits.
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
	maxAttempts      = 3
)

// New returns a Generator that does not run yet.
func New(c Config, b Balancer, r Recorder) *Generator {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	g := &Generator{
		config: c, balancer: b, recorder: r, failingSince: map[int]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	g.Reset()
	return g
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

// Run sends requests until the context ends, and waits for their results.
func (g *Generator) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.config.Seed, 11))
	var zipf *rand.Zipf
	if g.config.ZipfExponent > 1 {
		zipf = rand.NewZipf(rng, g.config.ZipfExponent, 8, g.config.Keys-1)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	dueAt := time.Now()
	for {
		g.lastRequest++
		number := g.lastRequest
		dueAt = dueAt.Add(time.Duration(rng.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if !waitUntil(ctx, dueAt) {
			return
		}
		keyIndex := uint64(0)
		if zipf != nil {
			keyIndex = zipf.Uint64()
		} else {
			keyIndex = rng.Uint64N(g.config.Keys)
		}
		c := call{
			id: fmt.Sprintf("%s-%d-%d", g.config.Service, g.config.Seed, number), dueAt: dueAt, number: number,
			key: fmt.Sprintf("%s-%d", g.config.Service, keyIndex), nonIdempotent: rng.Float64() < g.config.NonIdempotentShare,
		}
		wg.Go(func() { g.send(c) })
	}
}

// call is one request of a caller, with all its attempts.
type call struct {
	id, key       string
	number        uint64
	nonIdempotent bool
	dueAt         time.Time
}

// attemptResult is the result of one attempt. The code says why the request was not answered.
type attemptResult struct {
	callerResult oracle.CallerResult
	code         string
	retry        bool
}

func (g *Generator) send(c call) {
	var lastAttempt attemptResult
	mayHaveRun := false // an attempt may have run
	for attempt := range uint64(maxAttempts) {
		lastAttempt = g.attempt(c, attempt)
		mayHaveRun = mayHaveRun || lastAttempt.callerResult.Outcome == "unknown"
		if !lastAttempt.retry {
			break
		}
		g.mu.Lock()
		g.result.Retries++
		g.mu.Unlock()
	}
	if mayHaveRun && lastAttempt.callerResult.Outcome == "notRun" {
		lastAttempt.callerResult.Outcome = "unknown" // only the last attempt is known not to have run
	}
	latency := time.Since(c.dueAt)
	g.recorder.RecordResult(lastAttempt.callerResult)
	g.mu.Lock()
	defer g.mu.Unlock()
	totals := &g.result
	totals.Requests++
	if !c.nonIdempotent {
		counted := latency
		if lastAttempt.callerResult.Outcome != "answered" {
			counted = max(latency, g.config.Timeout)
		}
		_ = totals.AllLatency.RecordValue(min(max(1, counted.Microseconds()), maxLatencyMicros))
	}
	switch lastAttempt.callerResult.Outcome {
	case "answered":
		totals.Answered++
		histogram := totals.AnsweredLatency
		if c.nonIdempotent {
			histogram = totals.NonIdempotentLatency
		}
		_ = histogram.RecordValue(min(max(1, latency.Microseconds()), maxLatencyMicros))
		if since, ok := g.failingSince[bucketOf(c.key)]; ok {
			totals.LongestOutage = max(totals.LongestOutage, time.Since(since))
			delete(g.failingSince, bucketOf(c.key))
		}
		totals.LongestOutage = max(totals.LongestOutage, outageFromLatency(latency))
	case "notRun":
		totals.NotRun++
		totals.ErrorCodes[lastAttempt.code]++
		g.recordFailure(c, lastAttempt.code)
	default:
		totals.Unknown++
		totals.ErrorCodes[lastAttempt.code]++
		g.recordFailure(c, lastAttempt.code)
	}
}

// recordFailure starts an outage of the key's bucket, unless the code says that there is none:
// a lack of capacity is no outage, and a lost reply does not mean that other requests fail.
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

func (g *Generator) attempt(c call, attempt uint64) attemptResult {
	host := g.balancer.Pick(c.number + attempt*7919)
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout+time.Second)
	defer cancel()
	method, body := http.MethodGet, ""
	if c.nonIdempotent {
		method, body = http.MethodPost, "{}"
	}
	url := "http://" + host + "/" + g.config.Service + strings.ReplaceAll(g.config.Path, "KEY", c.key)
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		return attemptResult{callerResult: oracle.CallerResult{ID: c.id, Outcome: "notRun"}, code: err.Error()}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Catkinstep-Request-Id", c.id)
	req.Header.Set("Catkinstep-Timeout", g.config.Timeout.String())
	resp, err := g.client.Do(req)
	if err != nil {
		return g.connectionFailed(c, host, err)
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return g.connectionFailed(c, host, err)
	}
	result := parseReply(c, resp, data)
	result.retry = c.nonIdempotent && g.config.DedupByID && result.callerResult.Outcome == "unknown" && result.code != "outcomeLost"
	return result
}

// connectionFailed returns the result of an attempt that got no reply. If the host refused the
// connection or was killed, the request is retried if that is safe, as callers do. Otherwise, the
// host has lost the request, unless the attempt timed out.
func (g *Generator) connectionFailed(c call, host string, err error) attemptResult {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	if refused || g.balancer.WasKilled(host) {
		// Unless the connection was refused, a non-idempotent request may have run. If the
		// service does not recognise its ID, a retry could run it a second time.
		callerResult := oracle.CallerResult{ID: c.id, Outcome: "unknown"}
		if refused {
			callerResult.Outcome = "notRun"
		}
		return attemptResult{callerResult: callerResult, code: "hostLost", retry: refused || !c.nonIdempotent || g.config.DedupByID}
	}
	return attemptResult{callerResult: oracle.CallerResult{ID: c.id, Outcome: "unknown", ConnectionLost: !timedOut}, code: "noAnswer"}
}

// parseReply returns the result of an attempt that got a reply. The reply to an answered request
// must contain the request's ID and key.
func parseReply(c call, resp *http.Response, data []byte) attemptResult {
	callerResult := oracle.CallerResult{ID: c.id, Outcome: resp.Header.Get("Catkinstep-Outcome")}
	if callerResult.Outcome == "answered" {
		var answered struct {
			ID, Path string
		}
		callerResult.WrongReply = json.Unmarshal(data, &answered) != nil || answered.ID != c.id || !strings.Contains(answered.Path, c.key)
		return attemptResult{callerResult: callerResult}
	}
	var failure struct{ Code string }
	_ = json.Unmarshal(data, &failure)
	return attemptResult{callerResult: callerResult, code: failure.Code}
}

// waitUntil blocks until the deadline. It returns false if the context ends first.
func waitUntil(ctx context.Context, deadline time.Time) bool {
	d := time.Until(deadline)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
