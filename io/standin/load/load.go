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
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

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
