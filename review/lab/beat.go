package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateBy is how long after it was sent a report is written whose answer is lost.
const lateBy = 5500 * time.Millisecond

// playBeat lets a server end and start again under its ID at another address. The store writes the last report of its
// earlier life late, after those of the new one.
func playBeat(l *lab) verdict {
	zones := smallZones
	l.store.putConfig(7, smallServices)
	l.addDaemons(zones...)
	l.addWorkshops()
	l.addServer(serverConfig{id: "i-0", service: "intake", zone: zones[0], work: 100 * time.Millisecond}, "")
	l.startDaemons()
	ended := make(chan struct{})
	overlaps := l.watchHolders(ended)
	stop := l.sendKeys()
	l.at(9)
	old := l.servers[0]
	old.mu.Lock()
	old.silent = true
	old.mu.Unlock()
	last := old.entry()
	l.record("server %s: its last report is sent, and gets no answer", old.id)
	lateAt := time.Now().Add(lateBy)
	old.crash()
	time.Sleep(700 * time.Millisecond)
	l.addServer(old.serverConfig, "")
	time.Sleep(time.Until(lateAt))
	if l.trouble {
		l.store.put("servers", old.id, last)
		l.record("store: the last report of %s's earlier life is written", old.id)
	}
	time.Sleep(8 * time.Second)
	stop()
	close(ended)
	return l.judgeHolders(overlaps())
}

// mayOverlap is the longest time for which the rule lets two servers hold a key.
const mayOverlap = 500 * time.Millisecond

// judgeHolders records the longest time for which two servers that were up held a key.
func (l *lab) judgeHolders(longest time.Duration, who string) verdict {
	l.record("longest time for which two servers that were up held a key: %v %s", longest, who)
	if longest > mayOverlap {
		return broken
	}
	return held
}

// sendKeys sends lookups of many keys at all daemons until the function that it returns is called.
func (l *lab) sendKeys() (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range 8 {
		wg.Go(func() {
			c := &caller{lab: l, daemon: l.daemons[i%len(l.daemons)]}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				key := (i*9973 + n*1217) % 65536
				c.send(http.MethodGet, "/workshop/queue", 2*time.Second, fmt.Sprintf("Shard-Key: %d\r\n", key))
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// watchHolders looks which servers hold which keys until a channel is closed. The function that it returns tells
// the longest time for which two servers held a key, and which they were.
func (l *lab) watchHolders(ended chan struct{}) func() (time.Duration, string) {
	type pair struct {
		key  int
		a, b *server
	}
	since, longest, text := map[pair]time.Time{}, time.Duration(0), ""
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
			l.mu.Lock()
			servers := append([]*server(nil), l.servers...)
			l.mu.Unlock()
			now := time.Now()
			for key := 0; key < 65536; key += 128 {
				var holders []*server
				for _, v := range servers {
					if v.holds(key, now) {
						holders = append(holders, v)
					}
				}
				for i := range holders {
					for _, b := range holders[i+1:] {
						p := pair{key, holders[i], b}
						if since[p].IsZero() {
							since[p] = now
							l.record("key %d is held by %s (born %d) and %s (born %d)", key, p.a.id, p.a.born, b.id, b.born)
						}
						if d := now.Sub(since[p]); d > longest {
							longest, text = d, fmt.Sprintf("(key %d, %s born %d and %s born %d)", key, p.a.id, p.a.born, b.id, b.born)
						}
					}
				}
			}
		}
	}()
	return func() (time.Duration, string) { <-finished; return longest, text }
}
