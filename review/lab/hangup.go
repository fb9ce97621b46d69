package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playHangup stops a daemon as planned while callers wait for answers, and tells it half a second later that its
// settings file has changed.
func playHangup(l *lab) verdict {
	l.store.putConfig(7, smallServices)
	l.addDaemons(smallZones...)
	for i := range 8 {
		l.addServer(serverConfig{id: fmt.Sprintf("i-%d", i), service: "intake", zone: smallZones[i%len(smallZones)], work: 900 * time.Millisecond}, "")
	}
	l.addWorkshops()
	l.startDaemons()
	time.Sleep(3500 * time.Millisecond) // stableS and some more

	var mu sync.Mutex
	var lost []result // sent whole, and the connection ended without an answer
	var wg sync.WaitGroup
	d, termAt := l.daemons[0], time.Time{}
	end := time.Now().Add(4 * time.Second)
	for i := range 8 {
		wg.Go(func() {
			c := &caller{lab: l, daemon: d}
			defer c.close()
			for time.Now().Before(end) {
				method, path := http.MethodGet, "/intake/parcel"
				if i%2 == 0 {
					method, path = http.MethodPost, "/intake-order/label"
				}
				res := c.send(method, path, 2*time.Second, "")
				if res.sent && res.status == 0 {
					mu.Lock()
					lost = append(lost, res)
					mu.Unlock()
				}
				if res.err != nil && !res.sent {
					return // the daemon has ended, and the platform sends its callers elsewhere
				}
			}
		})
	}
	time.Sleep(2200 * time.Millisecond)
	termAt = time.Now()
	d.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		d.changeSettings()
		d.signal(syscall.SIGHUP)
	}
	wg.Wait()
	d.awaitEnd()
	l.record("daemon %s ended %.3f s after the SIGTERM; graceS is 6", d.name, time.Since(termAt).Seconds())
	begun := 0
	for _, res := range lost {
		if l.hasRun(res.id) {
			begun++
		}
	}
	l.record("requests that were sent whole, and whose connection ended without an answer: %d; of these, backend servers were at work on %d", len(lost), begun)
	if begun > 0 {
		return broken
	}
	return held
}
