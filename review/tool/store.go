package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is how many objects a list returns at once.
const pageSize = 500

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type storedObject struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	Object  storedObject `json:"object"`
	Removed bool         `json:"removed"`
	kind    string
	at      uint64
}

// store is a stand-in of the platform's metadata store: lists, reads, watches and conditional
// writes, as PROTOCOL.md describes them. It never fails.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storeEvent
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// put writes an object unconditionally, as the operator and the backends do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, storedObject{Metadata: metadata{Name: name}, Spec: data})
}

// write stores an object at the next revision. s.mu must be held.
func (s *store) write(kind string, o storedObject) storedObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, storeEvent{Object: o, kind: kind, at: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		s.serveWrite(w, r, kind, name)
	case r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case name != "":
		s.serveRead(w, kind, name)
	default:
		s.serveList(w, r, kind)
	}
}

func (s *store) serveRead(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storedObject{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, revision, events := s.changed, s.revision, []storeEvent{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].at > since })
		for _, e := range s.history[first:] {
			if e.kind == kind {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPost && exists:
		status, o = http.StatusConflict, old
	case r.Method == http.MethodPut && !exists:
		status = http.StatusNotFound
	case o.Metadata.Revision != 0 && old.Metadata.Revision != o.Metadata.Revision:
		status, o = http.StatusConflict, old
	default:
		o.Metadata.Name = name
		o = s.write(kind, o)
	}
	s.mu.Unlock()
	writeJSON(w, status, o)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has left
}
