package main

import "time"

// playOdd writes an entry of another writer under the ID of a backend server that is up. It names a service that is not
// in the configuration.
func playOdd(l *lab) verdict {
	l.store.putConfig(7, smallServices)
	l.addDaemons(smallZones...)
	l.addWorkshops()
	l.addServer(serverConfig{id: "i-0", service: "intake", zone: smallZones[0], work: 100 * time.Millisecond}, "")
	l.startDaemons()
	ended := make(chan struct{})
	overlaps := l.watchHolders(ended)
	stop := l.sendKeys()
	l.at(9)
	v := l.servers[0]
	if l.trouble {
		l.store.put("servers", v.id, map[string]any{"address": l.freeAddress(), "born": v.born - 60_000,
			"info":   map[string]any{"service": "annex", "version": "v1", "zone": v.zone, "capacity": 3},
			"status": map[string]any{"state": "ready", "sequence": 1, "warmupLeftS": 0}})
		l.record("store: another writer has written an entry under the ID of %s", v.id)
	}
	time.Sleep(6 * time.Second)
	stop()
	close(ended)
	return l.judgeHolders(overlaps())
}
