package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPath is the request that crashes the servers that begin to run it.
	poisonPath = "/intake/parcel-that-crashes"
	// poisonPause is the pause of the caller that sends it again and again.
	poisonPause = 250 * time.Millisecond
	// poisonTime is for how long it does.
	poisonTime = 70 * time.Second
	// backAfter is after how long a crashed server is back, under another ID.
	backAfter = 3 * time.Second
	// stable is stableS of the settings.
	stable = 3 * time.Second
)

// poison is what has become of the request that crashes servers.
type poison struct {
	lab *lab

	mu      sync.Mutex
	runs    []time.Time
	starts  int
	carried int // requests of others that ran at a server that crashed
}

// run is called for each request that begins to run.
func (p *poison) run(v *server, r *http.Request) bool {
	if r.URL.Path != poisonPath {
		return true
	}
	p.mu.Lock()
	p.runs = append(p.runs, time.Now())
	n := len(p.runs)
	p.mu.Unlock()
	p.lab.record("the request has reached a server for the %d. time: %s", n, v.id)
	if !p.lab.trouble {
		return true
	}
	v.mu.Lock()
	others := v.running - 1
	v.mu.Unlock()
	p.mu.Lock()
	p.carried += others
	p.mu.Unlock()
	v.crash()
	go func() {
		time.Sleep(backAfter)
		p.start(v.zone, v.address)
	}()
	return false
}

// start starts a server with a new ID.
func (p *poison) start(zone, address string) {
	p.mu.Lock()
	p.starts++
	id := fmt.Sprintf("i-%04d", p.starts)
	p.mu.Unlock()
	p.lab.addServer(serverConfig{id: id, service: "intake", zone: zone, work: 120 * time.Millisecond, onRun: p.run}, address)
}

// playPoison sends a request that crashes its servers again and again, at any daemon, beside usual requests.
func playPoison(l *lab) verdict {
	zones := smallZones
	l.store.putConfig(7, smallServices)
	l.addDaemons(zones...)
	p := &poison{lab: l}
	for i := range 12 {
		p.start(zones[i%len(zones)], "")
	}
	l.addWorkshops()
	l.startDaemons()
	time.Sleep(4 * time.Second)

	end := time.Now().Add(poisonTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for i := range 6 {
		wg.Go(func() {
			c := &caller{lab: l, daemon: l.daemons[i%len(l.daemons)]}
			defer c.close()
			for time.Now().Before(end) {
				res := c.send(http.MethodPost, "/intake-order/label", 2*time.Second, "")
				mu.Lock()
				statuses[fmt.Sprint("order ", res.status)]++
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		c := &caller{lab: l, daemon: l.daemons[i%len(l.daemons)]}
		res := c.send(http.MethodGet, poisonPath, 1500*time.Millisecond, "")
		c.close()
		mu.Lock()
		statuses[fmt.Sprint("crashing request ", res.status)]++
		mu.Unlock()
		time.Sleep(poisonPause)
	}
	wg.Wait()
	l.record("answers: %v", statuses)
	return p.verdict()
}

// verdict counts how often the request reached servers later than stableS after it had crashed the third.
func (p *poison) verdict() verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lab.trouble {
		p.lab.record("the request crashed no server; it ran %d times", len(p.runs))
		return held
	}
	if len(p.runs) < 3 {
		return notRun
	}
	var late []string
	for _, at := range p.runs[3:] {
		if at.Sub(p.runs[2]) > stable {
			late = append(late, fmt.Sprintf("%.1f", p.lab.since(at)))
		}
	}
	p.lab.record("the request crashed the third server at %.1f, and reached servers %d times later than %v after that: %s; other requests ran at the servers that it crashed: %d",
		p.lab.since(p.runs[2]), len(late), stable, strings.Join(late, ", "), p.carried)
	if len(late) > 3 {
		return broken
	}
	return held
}
