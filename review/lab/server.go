package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two reports of a backend server to the store.
const heartbeat = 870 * time.Millisecond

const (
	// coldTime and coldPerSecond are warmupS and warmupPerS of the configuration.
	coldTime      = 3 * time.Second
	coldPerSecond = 2.4
	// trafficAfter is from when a server that starts counts as starting during traffic.
	trafficAfter = time.Second
)

// grantTime is what a server knows of a key: the highest fence, and until when it holds the key.
type grantTime struct {
	fence uint64
	until time.Time
}

// serverConfig describes a backend server.
type serverConfig struct {
	id, service, zone string
	keyed             bool
	// work is how long a request runs.
	work time.Duration
	// onRun, if set, is called when a request begins to run. It returns false if the server ends by that.
	onRun func(v *server, r *http.Request) bool
}

// server stands in for one instance of a backend server.
type server struct {
	serverConfig
	lab     *lab
	address string
	born    int64
	http    *http.Server

	mu       sync.Mutex
	sequence int
	running  int
	state    string
	ended    bool
	silent   bool // it reports nothing more
	// coldUntil is until when the server is cold, since it started during traffic.
	coldUntil time.Time
	grants    map[int]grantTime
	runs      []run
}

// run is a request that a server began to run. The daemon is the one that its caller had sent it to.
type run struct {
	at         time.Time
	id, daemon string
}

// slots is how many requests a server runs at once.
const slots = 4

// addServer starts a server at an address, or at a free one, and registers it.
func (l *lab) addServer(c serverConfig, at string) *server {
	v := &server{serverConfig: c, lab: l, state: "ready", grants: map[int]grantTime{}}
	if at == "" {
		at = l.ip + ":0"
	}
	listener, err := net.Listen("tcp", at)
	must(err)
	v.address, v.born = listener.Addr().String(), time.Now().UnixMilli()
	if time.Since(l.startedAt) > trafficAfter {
		v.coldUntil = time.Now().Add(coldTime)
	}
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(listener) }()
	l.mu.Lock()
	l.servers = append(l.servers, v)
	l.mu.Unlock()
	l.record("server %s of %s starts at %s, born %d", v.id, v.service, v.address, v.born)
	v.report()
	go v.beat()
	return v
}

// beat reports to the store until the server ends.
func (v *server) beat() {
	for {
		time.Sleep(heartbeat)
		v.mu.Lock()
		over := v.ended || v.silent
		v.mu.Unlock()
		if over {
			return
		}
		v.report()
	}
}

// entry is what the server says of itself.
func (v *server) entry() any {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	return map[string]any{"address": v.address, "born": v.born,
		"info":   map[string]any{"service": v.service, "version": "v1", "zone": v.zone, "capacity": slots},
		"status": map[string]any{"state": v.state, "sequence": v.sequence, "warmupLeftS": max(0, time.Until(v.coldUntil).Seconds())}}
}

func (v *server) report() { v.lab.store.put("servers", v.id, v.entry()) }

// missedReports is after how many reports that did not come the store removes an entry.
const missedReports = 3

// crash ends the server at once: connections break and nothing is said any more. Its entry is removed after a while,
// unless the server has started again.
func (v *server) crash() {
	v.end()
	go func() {
		time.Sleep(missedReports * heartbeat)
		v.lab.store.removeEntry(v.id, v.born)
	}()
}

// exit ends the server after a planned shutdown, with which its entry is removed.
func (v *server) exit() {
	v.end()
	v.lab.store.removeEntry(v.id, v.born)
}

func (v *server) end() {
	v.mu.Lock()
	wasUp := !v.ended
	v.ended = true
	v.mu.Unlock()
	if wasUp {
		v.lab.record("server %s ends", v.id)
		_ = v.http.Close()
	}
}

// leave makes the server's entry vanish, while it goes on serving.
func (v *server) leave() time.Time {
	v.mu.Lock()
	v.silent = true
	v.mu.Unlock()
	at := v.lab.store.put("servers", v.id, nil)
	v.lab.record("server %s: its entry is removed, it goes on serving", v.id)
	return at
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", v.id)
	if id := r.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if id := r.Header.Get("Expected-Instance"); id != "" && id != v.id {
		v.decline(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Backend-Load", v.load())
	case r.URL.Path == "/api/grant":
		v.grant(w, r)
	case r.URL.Path == "/api/release":
		v.release(w, r)
	default:
		v.serve(w, r)
	}
}

func (v *server) load() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", v.running, slots)
}

func (v *server) decline(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Backend-Load", v.load())
	w.WriteHeader(status)
}

// keyRange is the body of a grant or a release.
type keyRange struct {
	StartKey int     `json:"startKey"`
	To       int     `json:"to"`
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"holdS"`
}

func (v *server) grant(w http.ResponseWriter, r *http.Request) {
	var b keyRange
	arrivedAt := time.Now()
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for key := b.StartKey; key <= b.To; key++ {
		if v.grants[key].fence > b.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := arrivedAt.Add(time.Duration(b.HoldS * float64(time.Second)))
	if v.grants[b.StartKey].fence != b.Fence {
		v.lab.record("server %s (born %d) gets keys %d to %d, fence %d, for %gs", v.id, v.born, b.StartKey, b.To, b.Fence, b.HoldS)
	}
	for key := b.StartKey; key <= b.To; key++ {
		v.grants[key] = grantTime{fence: b.Fence, until: until}
	}
}

func (v *server) release(w http.ResponseWriter, r *http.Request) {
	var b keyRange
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.lab.record("server %s (born %d) releases keys %d to %d, fence %d", v.id, v.born, b.StartKey, b.To, b.Fence)
	v.mu.Lock()
	for key := b.StartKey; key <= b.To; key++ {
		v.grants[key] = grantTime{fence: max(b.Fence, v.grants[key].fence)}
	}
	v.mu.Unlock()
	for {
		v.mu.Lock()
		running := v.running
		v.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Handover", "5c0e7a21d94b36f8")
}

// holds reports whether the server is up and holds a key.
func (v *server) holds(key int, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.ended && v.grants[key].until.After(now)
}

func (v *server) serve(w http.ResponseWriter, r *http.Request) {
	id, from := r.Header.Get("Attempt-Id"), r.Header.Get("From-Daemon")
	if v.keyed {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !v.holds(key, time.Now()) {
			v.decline(w, http.StatusMisdirectedRequest)
			return
		}
	}
	v.mu.Lock()
	if v.running >= slots {
		v.mu.Unlock()
		v.decline(w, http.StatusServiceUnavailable)
		return
	}
	v.running++
	v.runs = append(v.runs, run{at: time.Now(), id: id, daemon: from})
	v.mu.Unlock()
	v.lab.record("server %s runs %s %s %s %s", v.id, id, r.Method, r.URL.Path, from)
	defer func() {
		v.mu.Lock()
		v.running--
		v.mu.Unlock()
	}()
	if v.onRun != nil && !v.onRun(v, r) {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		v.lab.record("server %s drops %s: its connection has ended", v.id, id)
		return
	}
	w.Header().Set("Backend-Signature", v.id+"."+id)
	w.Header().Set("Backend-Load", v.load())
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write([]byte(strings.Repeat(v.id+" ", 20)))
	v.lab.record("server %s has answered %s", v.id, id)
}

// hasRun reports whether any server began to run an attempt.
func (l *lab) hasRun(id string) bool {
	l.mu.Lock()
	servers := slices.Clone(l.servers)
	l.mu.Unlock()
	return slices.ContainsFunc(servers, func(v *server) bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return slices.ContainsFunc(v.runs, func(r run) bool { return r.id == id })
	})
}
