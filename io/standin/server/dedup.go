package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/grant"
)

const (
	// dedupRetention is how long a request ID is kept, with the response.
	dedupRetention = 2 * time.Minute
	purgeInterval  = time.Second
	// maxTransitTime is the longest time that a request is assumed to spend on the way to the
	// server. The sender states the request's age, so on arrival the request is older than
	// stated by up to this much.
	maxTransitTime = time.Second
)

// scopedID identifies a non-idempotent request. The ID alone does not suffice, because
// independent callers may use the same ID for different keys.
type scopedID struct {
	key int
	id  string
}

// dedupEntry records a non-idempotent request, which must run at most once, from its arrival on.
type dedupEntry struct {
	// path is that of the first request. Another request with the same ID and a different path
	// is rejected.
	path      string
	firstSeen time.Time
	// completed is closed once response and declined are final.
	completed chan struct{}
	// response is what each copy of the request gets; nil if the outcome is unknown.
	response *Response
	// declined is set if the server declined the request, which has not run.
	declined bool
}

// dedupTable holds the non-idempotent requests that one instance of a server knows of.
type dedupTable struct {
	entries   map[scopedID]*dedupEntry
	lastPurge time.Time
	// completeSince is, by key, the time since which the table has recorded every request. The
	// zero time means that it has recorded every request ever sent. A key that was never granted
	// to this instance is absent.
	completeSince map[int]time.Time
}

func newDedupTable() *dedupTable {
	return &dedupTable{entries: map[scopedID]*dedupEntry{}, completeSince: map[int]time.Time{}}
}

// getOrAdd returns the entry of an ID, and whether it was added by this call.
func (t *dedupTable) getOrAdd(now time.Time, id scopedID, path string) (*dedupEntry, bool) {
	t.purge(now)
	if e := t.entries[id]; e != nil {
		return e, false
	}
	e := &dedupEntry{path: path, firstSeen: now, completed: make(chan struct{})}
	t.entries[id] = e
	return e, true
}

// remove deletes the entry of a request that the server declined, so that it can be sent again.
func (t *dedupTable) remove(id scopedID) {
	if e := t.entries[id]; e != nil {
		e.declined = true
		close(e.completed)
		delete(t.entries, id)
	}
}

// complete stores the final response of a request. A nil response is final too: the request
// may have run, so it never runs again.
func (t *dedupTable) complete(id scopedID, resp *Response) {
	if e := t.entries[id]; e != nil {
		e.response = resp
		close(e.completed)
	}
}

// covers reports whether the table has recorded every request that was sent for the key at
// sentAt. If so, such a request without an entry has not run.
func (t *dedupTable) covers(now time.Time, key int, sentAt time.Time) bool {
	completeSince, ok := t.completeSince[key]
	return ok && completeSince.Before(sentAt.Add(-maxTransitTime)) && now.Sub(sentAt) < dedupRetention
}

func (t *dedupTable) purge(now time.Time) {
	if now.Sub(t.lastPurge) < purgeInterval {
		return
	}
	t.lastPurge = now
	for id, e := range t.entries {
		if now.Sub(e.firstSeen) > dedupRetention {
			delete(t.entries, id)
		}
	}
}

// handover is the part of the table that the next holder of a key range receives.
type handover struct {
	// CompleteForMillis is how long the table has recorded every request for these keys; -1
	// means that it has recorded every request ever sent.
	CompleteForMillis int64           `json:"allForMillis"`
	Entries           []handoverEntry `json:"bookings"`
}

type handoverEntry struct {
	ID        string `json:"id"`
	Key       int    `json:"key"`
	Path      string `json:"path"`
	AgeMillis int64  `json:"agoMillis"`
	// Response is omitted if the outcome of the request is unknown.
	Response *Response `json:"answer,omitempty"`
}

func (t *dedupTable) exportJSON(now time.Time, from, to int) string {
	data, _ := json.Marshal(t.export(now, from, to)) // strings and numbers always marshal
	return string(data)
}

// export returns the handover of a key range on which no request runs any more.
func (t *dedupTable) export(now time.Time, from, to int) handover {
	h := handover{CompleteForMillis: -1}
	for key := from; key <= to; key++ {
		completeSince, ok := t.completeSince[key]
		if !ok {
			completeSince = now
		}
		if completeSince.IsZero() {
			continue
		}
		if age := now.Sub(completeSince).Milliseconds(); h.CompleteForMillis < 0 || age < h.CompleteForMillis {
			h.CompleteForMillis = age
		}
	}
	for id, e := range t.entries {
		if id.key < from || id.key > to {
			continue
		}
		select {
		case <-e.completed:
			h.Entries = append(h.Entries, handoverEntry{ID: id.id, Key: id.key, Path: e.path, AgeMillis: now.Sub(e.firstSeen).Milliseconds(), Response: e.response})
		default: // the request waits for a slot, and is declined because the keys are released
		}
	}
	return h
}

// applyGrant records since when the table is complete for a granted range. An instance that
// never held a key knows none of the key's requests, even if the leader mistakes it for the
// instance that held the key before and sends grant.Kept.
func (t *dedupTable) applyGrant(now time.Time, from, to int, origin grant.Origin, handoverJSON string) error {
	completeSince := now
	switch origin {
	case grant.First:
		completeSince = time.Time{}
	case grant.Handed, grant.Lost:
		var h handover
		if handoverJSON != "" {
			if err := json.Unmarshal([]byte(handoverJSON), &h); err != nil {
				return err
			}
			t.addAll(now, h)
		}
		switch {
		case handoverJSON == "" || origin == grant.Lost:
		case h.CompleteForMillis < 0:
			completeSince = time.Time{}
		default:
			completeSince = now.Add(-time.Duration(h.CompleteForMillis) * time.Millisecond)
		}
	case grant.Kept:
	}
	for key := from; key <= to; key++ {
		if _, held := t.completeSince[key]; !held || origin != grant.Kept {
			t.completeSince[key] = completeSince
		}
	}
	return nil
}

func (t *dedupTable) addAll(now time.Time, h handover) {
	for _, e := range h.Entries {
		id := scopedID{key: e.Key, id: e.ID}
		if t.entries[id] != nil {
			continue
		}
		entry := &dedupEntry{path: e.Path, firstSeen: now.Add(-time.Duration(e.AgeMillis) * time.Millisecond), completed: make(chan struct{}), response: e.Response}
		close(entry.completed)
		t.entries[id] = entry
	}
}

// serveNonIdempotent runs a request unless its ID is known. A request with a known ID gets the
// response of the first run, once that has ended. If the ID is unknown, but an earlier holder of
// the key may have run the request without this server knowing of it, the request is not run.
func (s *Server) serveNonIdempotent(inst *instance, w http.ResponseWriter, r *http.Request, q request) {
	for {
		now := time.Now()
		s.mu.Lock()
		if !inst.grants[q.key].expiresAt.After(now) {
			s.mu.Unlock()
			writeDeclined(w, r, http.StatusMisdirectedRequest)
			return
		}
		if inst.dedupTable.entries[q.dedupID()] == nil && q.sinceFirstSent > 0 && !inst.dedupTable.covers(now, q.key, now.Add(-q.sinceFirstSent)) {
			s.mu.Unlock()
			writeOutcomeLost(w, q)
			return
		}
		entry, isNew := inst.dedupTable.getOrAdd(now, q.dedupID(), r.URL.Path)
		s.mu.Unlock()
		if isNew {
			s.runRequest(inst, w, r, q)
			return
		}
		if entry.path != r.URL.Path {
			w.Header().Set(names.Default().ID, q.id)
			http.Error(w, "request ID was already used for another path of this key", http.StatusUnprocessableEntity)
			return
		}
		select {
		case <-entry.completed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Until(q.deadline)):
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		if entry.declined {
			continue
		}
		if entry.response == nil {
			writeOutcomeLost(w, q)
			return
		}
		s.writeResponse(w, q, *entry.response, Faults{})
		return
	}
}

// completeEntry stores the response of a non-idempotent request; nil if the outcome is unknown.
func (inst *instance) completeEntry(q request, resp *Response) {
	if !q.idempotent {
		inst.dedupTable.complete(q.dedupID(), resp)
	}
}

// writeOutcomeLost writes a response that says that the outcome of the request is lost: it may
// or may not have run, and this server will not run it.
func writeOutcomeLost(w http.ResponseWriter, q request) {
	w.Header().Set(names.Default().ID, q.id)
	w.Header().Set(names.Default().OutcomeLost, "1")
	w.WriteHeader(http.StatusConflict)
}

func (q request) dedupID() scopedID { return scopedID{key: q.key, id: q.id} }

// timeSinceFirstSent returns how long ago the first request with this ID was sent; zero if the
// sender does not say.
func timeSinceFirstSent(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(names.Default().FirstSent), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(max(1, ms)) * time.Millisecond
}
