package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/connection/names"
)

// request holds what the method and the headers of a request say.
type request struct {
	id         string
	key        int
	deadline   time.Time
	idempotent bool
	// sinceFirstSent is how long ago the first request with this ID was sent; zero if the
	// sender does not say.
	sinceFirstSent time.Duration
}

func parseRequest(r *http.Request, now time.Time) request {
	n := names.Default()
	q := request{id: r.Header.Get(n.ID), deadline: now.Add(defaultTimeout), idempotent: r.Method == http.MethodGet || r.Method == http.MethodHead, sinceFirstSent: timeSinceFirstSent(r)}
	if ms, err := strconv.ParseInt(r.Header.Get(n.Timeout), 10, 64); err == nil {
		q.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if key, err := strconv.Atoi(r.Header.Get(n.Key)); err == nil {
		q.key = key
	}
	return q
}

// writeDeclined writes the response to a request that the server declines, which says that the
// request did not run.
func writeDeclined(w http.ResponseWriter, r *http.Request, status int) {
	n := names.Default()
	w.Header().Set(n.ID, r.Header.Get(n.ID))
	w.Header().Set(n.NotRun, "1")
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // it only fails if the caller has closed the connection
}
