package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// drain is drainS of the settings.
	drain = 2 * time.Second
	// staleBy is how old the store's serializable answers are.
	staleBy = 3 * time.Second
	// leavesAfter is how long after the removal of its entry the server exits.
	leavesAfter = 15 * time.Second
	// slowBy is how many times as long the store's answers take while it is slow.
	slowBy = 60
)

// playStale stops and starts a daemon as planned while the store is slow. A server whose entry was removed just before
// goes on serving for some seconds.
func playStale(l *lab) verdict {
	zones := smallZones
	l.store.lag = staleBy
	l.store.putConfig(7, smallServices)
	l.addDaemons(zones...)
	for i := range 8 {
		l.addServer(serverConfig{id: fmt.Sprintf("i-%d", i), service: "intake", zone: zones[i%len(zones)], work: 100 * time.Millisecond}, "")
	}
	d, leaving := l.daemons[1], l.servers[1]
	l.addWorkshops()
	l.startDaemons()
	l.at(7)
	d.signal(syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond)
	removedAt := leaving.leave()
	time.Sleep(300 * time.Millisecond)
	slowUntil := time.Now()
	if l.trouble {
		l.store.setSlow(slowBy)
		slowUntil = slowUntil.Add(4500 * time.Millisecond)
	}
	d.awaitEnd()
	time.Sleep(300 * time.Millisecond)
	restartedAt := time.Now()
	d.start()
	time.Sleep(time.Until(slowUntil))
	l.store.setSlow(1)
	d.awaitReady(5 * time.Second)
	inTouchFrom := restartedAt.Add(stable)
	if t := slowUntil.Add(stable); t.After(inTouchFrom) {
		inTouchFrom = t
	}
	time.Sleep(time.Until(inTouchFrom))
	l.record("daemon %s is in touch again", d.name)
	endAt := removedAt.Add(leavesAfter)
	time.AfterFunc(time.Until(endAt), leaving.end)
	results := l.sendFor(d, endAt.Add(time.Second))
	return l.countLate(leaving, d, removedAt, results)
}

// sendFor sends usual requests to a daemon until a time, and returns what became of each.
func (l *lab) sendFor(d *daemon, end time.Time) map[string]result {
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[string]result{}
	for i := range 8 {
		wg.Go(func() {
			c := &caller{lab: l, daemon: d}
			defer c.close()
			time.Sleep(time.Duration(i) * 15 * time.Millisecond) // so that they don't go in step
			for time.Now().Before(end) {
				method, path := http.MethodGet, "/intake/parcel"
				if i%2 == 0 {
					method, path = http.MethodPost, "/intake-order/label"
				}
				res := c.send(method, path, 1500*time.Millisecond, "")
				mu.Lock()
				results[res.id] = res
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return results
}

// countLate counts the requests that a server whose entry was removed got from a machine in touch later than drainS
// after the removal. It records how many of them had no success, too, as the server ended while it was at work on them.
func (l *lab) countLate(v *server, d *daemon, removedAt time.Time, results map[string]result) verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	late := 0
	var lost []string
	for _, r := range v.runs {
		res, inTouch := results[r.id]
		if !inTouch || r.at.Sub(removedAt) <= drain {
			continue
		}
		late++
		if res.status != http.StatusOK {
			lost = append(lost, fmt.Sprintf("%s: %d", r.id, res.status))
		}
	}
	l.record("server %s: %d of %d requests that daemon %s took while it was in touch reached it later than %v after the removal of its entry", v.id, late, len(results), d.name, drain)
	l.record("of these, it had begun and never finished, and their callers got no success for: %d %v", len(lost), lost)
	switch {
	case len(results) == 0:
		return notRun
	case late > 0:
		return broken
	}
	return held
}
