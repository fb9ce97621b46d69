// Package load stands in for callers: an open-loop stream of lookups and
// bookings over skewed keys, through whichever entry hosts the balancer has.
// Latency counts from the moment a request was due, so that a system that
// stalls does not hide it by slowing the callers down.
//
// # Usage
//
//	g := load.New(load.Config{Service: "intake", Rate: 400}, balancer, oracle)
//	g.Run(ctx)
//	r := g.Result()
//
// What goes wrong is counted in the Result and reported to the oracle; nothing
// fails.
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

// Balancer names a live entry host; it stands in for the platform's.
type Balancer interface {
	// Pick returns the address of an entry host.
	Pick(n uint64) string
	// Killed tells whether an entry host was killed, not stopped as planned,
	// so that its callers' connections may have broken.
	WasKilled(address string) bool
}

// Judge learns what callers got; oracle.Oracle is one.
type Recorder interface{ RecordResult(oracle.CallerResult) }

// Config describes one service's callers.
type Config struct {
	Service string
	// Path makes a request's path from its key.
	Path string
	// Rate is requests a second; Bookings the share that must run at most once.
	Rate               float64
	NonIdempotentShare float64
	// Keys is the number of keys; Skew their Zipf exponent, above 1, or 0 for even.
	Keys         uint64
	ZipfExponent float64
	// RunsOnce means that a booking is safely sent again under its id.
	DedupByID bool
	// Timeout is what callers allow.
	Timeout time.Duration
	Seed    uint64
}

// Result is what one service's callers saw.
type Result struct {
	Service              string
	Requests             uint64
	Answered             uint64
	NotRun               uint64
	Unknown              uint64
	Retries              uint64
	ErrorCodes           map[string]uint64
	AllLatency           *hdrhistogram.Histogram // of all lookups; one not answered counts as the time limit
	AnsweredLatency      *hdrhistogram.Histogram // of lookups that were answered, in microseconds
	NonIdempotentLatency *hdrhistogram.Histogram // of bookings that were answered
	LongestOutage        time.Duration           // the longest time that a key was asked for and not served
}

// Generator makes the load.
type Generator struct {
	config      Config
	balancer    Balancer
	recorder    Recorder
	client      *http.Client
	lastRequest uint64 // requests ever made: an id is never used for another one

	mu           sync.Mutex
	result       Result
	failingSince map[int]time.Time
}

// Histogram bounds: 1 microsecond to 60 s with three digits.
const (
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
	maxAttempts      = 3
)

// New returns a Generator.
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

// Reset forgets what was counted, so that a part of a run can be measured.
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

// Result returns what was counted since the last Reset.
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

// Run makes requests until the context ends, and waits for their answers.
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
		k := uint64(0)
		if zipf != nil {
			k = zipf.Uint64()
		} else {
			k = rng.Uint64N(g.config.Keys)
		}
		call := call{
			id: fmt.Sprintf("%s-%d-%d", g.config.Service, g.config.Seed, number), dueAt: dueAt, number: number,
			key: fmt.Sprintf("%s-%d", g.config.Service, k), nonIdempotent: rng.Float64() < g.config.NonIdempotentShare,
		}
		wg.Go(func() { g.send(call) })
	}
}

// call is one request of a caller, with all its resends.
type call struct {
	id, key       string
	number        uint64
	nonIdempotent bool
	dueAt         time.Time
}

// outcome is what one try brought.
type attemptResult struct {
	callerResult oracle.CallerResult
	code         string
	retry        bool
}

func (g *Generator) send(c call) {
	var o attemptResult
	mayHaveRun := false // whether an earlier try may have run
	for attempt := range uint64(maxAttempts) {
		o = g.attempt(c, attempt)
		mayHaveRun = mayHaveRun || o.callerResult.Outcome == "unknown"
		if !o.retry {
			break
		}
		g.mu.Lock()
		g.result.Retries++
		g.mu.Unlock()
	}
	if mayHaveRun && o.callerResult.Outcome == "notRun" {
		o.callerResult.Outcome = "unknown" // it is the last try that did not run
	}
	latency := time.Since(c.dueAt)
	g.recorder.RecordResult(o.callerResult)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.result
	r.Requests++
	if !c.nonIdempotent {
		counted := latency
		if o.callerResult.Outcome != "answered" {
			counted = max(latency, g.config.Timeout)
		}
		_ = r.AllLatency.RecordValue(min(max(1, counted.Microseconds()), maxLatencyMicros))
	}
	switch o.callerResult.Outcome {
	case "answered":
		r.Answered++
		h := r.AnsweredLatency
		if c.nonIdempotent {
			h = r.NonIdempotentLatency
		}
		_ = h.RecordValue(min(max(1, latency.Microseconds()), maxLatencyMicros))
		if since, ok := g.failingSince[bucketOf(c.key)]; ok {
			r.LongestOutage = max(r.LongestOutage, time.Since(since))
			delete(g.failingSince, bucketOf(c.key))
		}
		r.LongestOutage = max(r.LongestOutage, outageFromLatency(latency))
	case "notRun":
		r.NotRun++
		r.ErrorCodes[o.code]++
		g.recordFailure(c, o.code)
	default:
		r.Unknown++
		r.ErrorCodes[o.code]++
		g.recordFailure(c, o.code)
	}
}

// fails notes that the keys of a bucket were not served. Too little room is no
// outage, and a lost answer says nothing of whether others are served.
func (g *Generator) recordFailure(c call, code string) {
	switch code {
	case "allBusy", "serverNotHoldingOrFull", "coldServer", "deadlineTooNear", "attemptFailed", "hostLost":
		return
	}
	if _, ok := g.failingSince[bucketOf(c.key)]; !ok {
		g.failingSince[bucketOf(c.key)] = c.dueAt
	}
}

// buckets is how finely outages are counted.
const outageBuckets = 256

func bucketOf(key string) int { return grant.KeyOf(key) * outageBuckets / (grant.LastKey + 1) }

// longWait counts a wait as an outage when no queue explains it.
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
	path := "http://" + host + "/" + g.config.Service + strings.ReplaceAll(g.config.Path, "KEY", c.key)
	req, err := http.NewRequestWithContext(ctx, method, path, io.NopCloser(bytes.NewReader([]byte(body))))
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
	o := parseResponse(c, resp, data)
	o.retry = c.nonIdempotent && g.config.DedupByID && o.callerResult.Outcome == "unknown" && o.code != "outcomeLost"
	return o
}

// broken is a connection that brought no answer. That of a killed host is made
// up for by sending again, as callers do; that of any other was cut.
func (g *Generator) connectionFailed(c call, host string, err error) attemptResult {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	if refused || g.balancer.WasKilled(host) {
		// A booking that was read may have run. Where it would run a second time only its
		// caller can decide to book anew.
		callerResult := oracle.CallerResult{ID: c.id, Outcome: "unknown"}
		if refused {
			callerResult.Outcome = "notRun"
		}
		return attemptResult{callerResult: callerResult, code: "hostLost", retry: refused || !c.nonIdempotent || g.config.DedupByID}
	}
	return attemptResult{callerResult: oracle.CallerResult{ID: c.id, Outcome: "unknown", ConnectionLost: !timedOut}, code: "noAnswer"}
}

func parseResponse(c call, resp *http.Response, data []byte) attemptResult {
	callerResult := oracle.CallerResult{ID: c.id, Outcome: resp.Header.Get("Catkinstep-Outcome")}
	if callerResult.Outcome == "answered" {
		var a struct {
			ID, Path string
		}
		callerResult.WrongResponse = json.Unmarshal(data, &a) != nil || a.ID != c.id || !strings.Contains(a.Path, c.key)
		return attemptResult{callerResult: callerResult}
	}
	var f struct{ Code string }
	_ = json.Unmarshal(data, &f)
	return attemptResult{callerResult: callerResult, code: f.Code}
}

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
