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
	sentAt := l.sendFor(d, removedAt.Add(15*time.Second))
	leaving.crash()
	return l.countLate(leaving, d, removedAt, sentAt)
}

// sendFor sends usual requests to a daemon until a time, and returns when each was sent.
func (l *lab) sendFor(d *daemon, end time.Time) map[string]time.Time {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	for i := range 8 {
		wg.Go(func() {
			c := &caller{lab: l, daemon: d}
			defer c.close()
			for time.Now().Before(end) {
				method, path := http.MethodGet, "/intake/parcel"
				if i%2 == 0 {
					method, path = http.MethodPost, "/intake-order/label"
				}
				res := c.send(method, path, 1500*time.Millisecond, "")
				mu.Lock()
				sentAt[res.id] = res.sentAt
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return sentAt
}

// countLate counts the requests that a server whose entry was removed got from a machine in touch later than drainS
// after the removal.
func (l *lab) countLate(v *server, d *daemon, removedAt time.Time, sentAt map[string]time.Time) verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	late := 0
	for _, r := range v.runs {
		if _, inTouch := sentAt[r.id]; inTouch && r.at.Sub(removedAt) > drain {
			late++
		}
	}
	l.record("server %s: %d of %d requests that daemon %s took while it was in touch reached it later than %v after the removal of its entry", v.id, late, len(sentAt), d.name, drain)
	switch {
	case len(sentAt) == 0:
		return notRun
	case late > 0:
		return broken
	}
	return held
}
