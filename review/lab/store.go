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

// usualAnswer is how long the store takes for an answer.
const usualAnswer = 4 * time.Millisecond

// change is one change of an object.
type change struct {
	at       time.Time
	revision uint64
	kind     string
	name     string
	spec     json.RawMessage
	removed  bool
}

// store stands in for the platform's metadata store.
type store struct {
	lab     *lab
	address string

	mu      sync.Mutex
	changes []change
	changed chan struct{}
	// slow is how many times as long answers take, and lag how old serializable reads are.
	slow float64
	lag  time.Duration
}

func newStore(l *lab) (*store, error) {
	listener, err := net.Listen("tcp", l.ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{lab: l, address: listener.Addr().String(), changed: make(chan struct{}), slow: 1}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// setSlow makes answers take x times as long as usual.
func (s *store) setSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
	s.lab.record("store: answers take %g times as long", x)
}

// put replaces an object, or removes it if spec is nil, as a backend server or the operator does. It returns when
// the store has acknowledged it.
func (s *store) put(kind, name string, spec any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if spec == nil {
		s.add(change{kind: kind, name: name, removed: true})
	} else {
		text, err := json.Marshal(spec)
		must(err)
		s.add(change{kind: kind, name: name, spec: text})
	}
	return time.Now()
}

// removeEntry removes the entry of a backend server if it is that of the instance that started at a time.
func (s *store) removeEntry(id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.stateAt("servers", time.Now())
	for _, c := range objects {
		var entry struct {
			Born int64 `json:"born"`
		}
		if c.name == id && json.Unmarshal(c.spec, &entry) == nil && entry.Born == born {
			s.add(change{kind: "servers", name: id, removed: true})
			s.lab.record("store: the entry of %s, born %d, is removed", id, born)
		}
	}
}

// add adds a change and returns it. s.mu must be held.
func (s *store) add(c change) change {
	c.at, c.revision = time.Now(), uint64(len(s.changes)+2)
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return c
}

// stateAt returns the objects of a kind as they were at a time, and the revision of the store then. s.mu must be held.
func (s *store) stateAt(kind string, at time.Time) (objects []change, revision uint64) {
	byName := map[string]change{}
	revision = 1
	for _, c := range s.changes {
		if c.at.After(at) {
			break
		}
		revision = c.revision
		if c.kind != kind {
			continue
		}
		byName[c.name] = c
		if c.removed {
			delete(byName, c.name)
		}
	}
	for _, c := range byName {
		objects = append(objects, c)
	}
	slices.SortFunc(objects, func(a, b change) int { return strings.Compare(a.name, b.name) })
	return objects, revision
}

// object is an object as the store sends it.
func object(c change) map[string]any {
	spec := c.spec
	if c.removed {
		spec = json.RawMessage("null")
	}
	return map[string]any{"metadata": map[string]any{"name": c.name, "revision": c.revision, "created": 1, "finalizers": []string{}, "deleting": false}, "spec": spec, "status": nil}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	status, answer := http.StatusBadRequest, any(nil)
	switch {
	case r.Method != http.MethodGet:
		status, answer = s.write(r, kind, name)
	case r.URL.Query().Has("watch"):
		status, answer = s.watch(r, kind)
	default:
		status, answer = s.read(r, kind, name)
	}
	s.mu.Lock()
	delay := time.Duration(s.slow * float64(usualAnswer))
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) read(r *http.Request, kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	if r.URL.Query().Get("serializable") == "1" {
		at = at.Add(-s.lag)
	}
	objects, revision := s.stateAt(kind, at)
	items := []any{}
	for _, c := range objects {
		if name == "" {
			items = append(items, object(c))
		} else if c.name == name {
			return http.StatusOK, object(c)
		}
	}
	if name != "" {
		return http.StatusNotFound, nil
	}
	if kind == "servers" {
		s.lab.record("store: list of servers, serializable %v: %d entries at revision %d", r.URL.Query().Get("serializable") == "1", len(items), revision)
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []any{}, uint64(len(s.changes)+1), s.changed
		for _, c := range s.changes[min(uint64(len(s.changes)), max(since, 1)-1):] {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"object": object(c), "removed": c.removed})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) write(r *http.Request, kind, name string) (int, any) {
	var o struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.stateAt(kind, time.Now())
	i := slices.IndexFunc(objects, func(c change) bool { return c.name == name })
	switch {
	case r.Method == http.MethodPost && i >= 0:
		return http.StatusConflict, object(objects[i])
	case r.Method == http.MethodPut && i < 0:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != objects[i].revision:
		return http.StatusConflict, object(objects[i])
	}
	c := s.add(change{kind: kind, name: name, spec: o.Spec})
	return http.StatusOK, object(c)
}

// putConfig writes a configuration with one service for each name; keyed ones are partitioned. A route leads to each
// by the prefix /NAME/ for lookups and /NAME-order/ for requests that must not run twice.
func (s *store) putConfig(version int, services map[string]bool) {
	var routes, clusters []any
	for name, keyed := range services {
		for _, kind := range []string{"idempotent", "non_idempotent"} {
			prefix := "/" + name + "/"
			if kind == "non_idempotent" {
				prefix = "/" + name + "-order/"
			}
			routes = append(routes, map[string]any{"name": "r-" + name + "-" + kind, "routeType": kind, "targetLatencyS": 0.8, "priority": 1,
				"match": map[string]any{"pathPrefix": prefix}, "action": map[string]any{"service": name, "timeoutS": 2.0, "maxAttempts": 2}})
		}
		cluster := map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "warmupS": coldTime.Seconds(), "warmupPerS": coldPerSecond}
		if keyed {
			cluster["partitioned"], cluster["warmS"], cluster["grants"] = true, 3.0, "request"
		}
		clusters = append(clusters, cluster)
	}
	s.put("config", "main", map[string]any{"version": fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": callerHost, "rules": routes}}, "clusters": clusters})
}
