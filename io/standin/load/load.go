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
	Killed(address string) bool
}

// Judge learns what callers got; oracle.Oracle is one.
type Judge interface{ Got(oracle.Reply) }

// Config describes one service's callers.
type Config struct {
	Service string
	// Path makes a request's path from its key.
	Path string
	// Rate is requests a second; Bookings the share that must run at most once.
	Rate     float64
	Bookings float64
	// Keys is the number of keys; Skew their Zipf exponent, above 1, or 0 for even.
	Keys uint64
	Skew float64
	// RunsOnce means that a booking is safely sent again under its id.
	RunsOnce bool
	// Timeout is what callers allow.
	Timeout time.Duration
	Seed    uint64
}

// Result is what one service's callers saw.
type Result struct {
	Service       string
	Requests      uint64
	Answered      uint64
	NotRun        uint64
	Unknown       uint64
	Resent        uint64
	Codes         map[string]uint64
	All           *hdrhistogram.Histogram // of all lookups; one not answered counts as the time limit
	Latency       *hdrhistogram.Histogram // of lookups that were answered, in microseconds
	Bookings      *hdrhistogram.Histogram // of bookings that were answered
	LongestOutage time.Duration           // the longest time that a key was asked for and not served
}

// Generator makes the load.
type Generator struct {
	config   Config
	balancer Balancer
	judge    Judge
	client   *http.Client
	made     uint64 // requests ever made: an id is never used for another one

	mu      sync.Mutex
	result  Result
	failing map[int]time.Time
}

// Histogram bounds: 1 microsecond to 60 s with three digits.
const (
	histogramMost   = 60_000_000
	histogramDigits = 3
	resends         = 3
)

// New returns a Generator.
func New(c Config, b Balancer, j Judge) *Generator {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	g := &Generator{
		config: c, balancer: b, judge: j, failing: map[int]time.Time{},
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
		Service: g.config.Service, Codes: map[string]uint64{},
		All:      hdrhistogram.New(1, histogramMost, histogramDigits),
		Latency:  hdrhistogram.New(1, histogramMost, histogramDigits),
		Bookings: hdrhistogram.New(1, histogramMost, histogramDigits),
	}
}

// Result returns what was counted since the last Reset.
func (g *Generator) Result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.All = hdrhistogram.Import(r.All.Export())
	r.Latency = hdrhistogram.Import(r.Latency.Export())
	r.Bookings = hdrhistogram.Import(r.Bookings.Export())
	r.Codes = map[string]uint64{}
	for k, v := range g.result.Codes {
		r.Codes[k] = v
	}
	return r
}

// Run makes requests until the context ends, and waits for their answers.
func (g *Generator) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.config.Seed, 11))
	var zipf *rand.Zipf
	if g.config.Skew > 1 {
		zipf = rand.NewZipf(random, g.config.Skew, 8, g.config.Keys-1)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	due := time.Now()
	for {
		g.made++
		n := g.made
		due = due.Add(time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if !until(ctx, due) {
			return
		}
		k := uint64(0)
		if zipf != nil {
			k = zipf.Uint64()
		} else {
			k = random.Uint64N(g.config.Keys)
		}
		call := call{
			id: fmt.Sprintf("%s-%d-%d", g.config.Service, g.config.Seed, n), due: due, n: n,
			key: fmt.Sprintf("%s-%d", g.config.Service, k), booking: random.Float64() < g.config.Bookings,
		}
		wg.Go(func() { g.make(call) })
	}
}

// call is one request of a caller, with all its resends.
type call struct {
	id, key string
	n       uint64
	booking bool
	due     time.Time
}

// outcome is what one try brought.
type outcome struct {
	reply oracle.Reply
	code  string
	again bool
}

func (g *Generator) make(c call) {
	var o outcome
	unknown := false // whether an earlier try may have run
	for try := range uint64(resends) {
		o = g.try(c, try)
		unknown = unknown || o.reply.Outcome == "unknown"
		if !o.again {
			break
		}
		g.mu.Lock()
		g.result.Resent++
		g.mu.Unlock()
	}
	if unknown && o.reply.Outcome == "notRun" {
		o.reply.Outcome = "unknown" // it is the last try that did not run
	}
	took := time.Since(c.due)
	g.judge.Got(o.reply)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.result
	r.Requests++
	if !c.booking {
		all := took
		if o.reply.Outcome != "answered" {
			all = max(took, g.config.Timeout)
		}
		_ = r.All.RecordValue(min(max(1, all.Microseconds()), histogramMost))
	}
	switch o.reply.Outcome {
	case "answered":
		r.Answered++
		h := r.Latency
		if c.booking {
			h = r.Bookings
		}
		_ = h.RecordValue(min(max(1, took.Microseconds()), histogramMost))
		if since, ok := g.failing[bucketOf(c.key)]; ok {
			r.LongestOutage = max(r.LongestOutage, time.Since(since))
			delete(g.failing, bucketOf(c.key))
		}
		r.LongestOutage = max(r.LongestOutage, longWait(took))
	case "notRun":
		r.NotRun++
		r.Codes[o.code]++
		g.fails(c, o.code)
	default:
		r.Unknown++
		r.Codes[o.code]++
		g.fails(c, o.code)
	}
}

// fails notes that the keys of a bucket were not served. Too little room is no
// outage, and a lost answer says nothing of whether others are served.
func (g *Generator) fails(c call, code string) {
	switch code {
	case "allBusy", "serverNotHoldingOrFull", "coldServer", "deadlineTooNear", "attemptFailed", "hostLost":
		return
	}
	if _, ok := g.failing[bucketOf(c.key)]; !ok {
		g.failing[bucketOf(c.key)] = c.due
	}
}

// buckets is how finely outages are counted.
const buckets = 256

func bucketOf(key string) int { return grant.HashKey(key) * buckets / (grant.LastKey + 1) }

// longWait counts a wait as an outage when no queue explains it.
func longWait(took time.Duration) time.Duration {
	if took < 250*time.Millisecond {
		return 0
	}
	return took
}

func (g *Generator) try(c call, try uint64) outcome {
	host := g.balancer.Pick(c.n + try*7919)
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout+time.Second)
	defer cancel()
	method, body := http.MethodGet, ""
	if c.booking {
		method, body = http.MethodPost, "{}"
	}
	path := "http://" + host + "/" + g.config.Service + strings.ReplaceAll(g.config.Path, "KEY", c.key)
	req, err := http.NewRequestWithContext(ctx, method, path, io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		return outcome{reply: oracle.Reply{ID: c.id, Outcome: "notRun"}, code: err.Error()}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Catkinstep-Request-Id", c.id)
	req.Header.Set("Catkinstep-Timeout", g.config.Timeout.String())
	resp, err := g.client.Do(req)
	if err != nil {
		return g.broken(c, host, err)
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return g.broken(c, host, err)
	}
	o := read(c, resp, data)
	o.again = c.booking && g.config.RunsOnce && o.reply.Outcome == "unknown" && o.code != "outcomeLost"
	return o
}

// broken is a connection that brought no answer. That of a killed host is made
// up for by sending again, as callers do; that of any other was cut.
func (g *Generator) broken(c call, host string, err error) outcome {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	var timeout net.Error
	late := errors.As(err, &timeout) && timeout.Timeout()
	if refused || g.balancer.Killed(host) {
		// A booking that was read may have run. Where it would run a second time only its
		// caller can decide to book anew.
		reply := oracle.Reply{ID: c.id, Outcome: "unknown"}
		if refused {
			reply.Outcome = "notRun"
		}
		return outcome{reply: reply, code: "hostLost", again: refused || !c.booking || g.config.RunsOnce}
	}
	return outcome{reply: oracle.Reply{ID: c.id, Outcome: "unknown", Cut: !late}, code: "noAnswer"}
}

func read(c call, resp *http.Response, data []byte) outcome {
	reply := oracle.Reply{ID: c.id, Outcome: resp.Header.Get("Catkinstep-Outcome")}
	if reply.Outcome == "answered" {
		var a struct {
			ID, Path string
		}
		reply.Wrong = json.Unmarshal(data, &a) != nil || a.ID != c.id || !strings.Contains(a.Path, c.key)
		return outcome{reply: reply}
	}
	var f struct{ Code string }
	_ = json.Unmarshal(data, &f)
	return outcome{reply: reply, code: f.Code}
}

func until(ctx context.Context, due time.Time) bool {
	d := time.Until(due)
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
