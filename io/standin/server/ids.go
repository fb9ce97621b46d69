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
	// keepIDs is how long the id of a booking is kept, with its answer.
	keepIDs = 2 * time.Minute
	// purgeEvery paces the search for ids that are too old.
	purgeEvery = time.Second
	// transit bounds the time in which a booking with its age gets here.
	transit = time.Second
)

// bookingID names a booking. Callers that do not know of each other may use the same id for
// different keys.
type bookingID struct {
	key int
	id  string
}

// booking is one request that must run once, from its arrival on.
type booking struct {
	// path is what was booked; another request may not use its id.
	path string
	at   time.Time
	// done is closed once what follows is final.
	done chan struct{}
	// answer is what the caller gets, each time that the booking is sent.
	answer *Answer
	// refused means that it did not run.
	refused bool
}

// bookings are those that a life of a server knows of.
type bookings struct {
	byID   map[bookingID]*booking
	purged time.Time
	// since is from when on all bookings of a key are known; all ever made where it is
	// zero. A key that is not in it is unknown.
	since map[int]time.Time
}

func newBookings() *bookings {
	return &bookings{byID: map[bookingID]*booking{}, since: map[int]time.Time{}}
}

// begin returns the booking of an id, and whether it is new.
func (b *bookings) begin(now time.Time, id bookingID, path string) (*booking, bool) {
	b.purge(now)
	if v := b.byID[id]; v != nil {
		return v, false
	}
	v := &booking{path: path, at: now, done: make(chan struct{})}
	b.byID[id] = v
	return v, true
}

// refuse forgets a booking that did not run: it may be sent again.
func (b *bookings) refuse(id bookingID) {
	if v := b.byID[id]; v != nil {
		v.refused = true
		close(v.done)
		delete(b.byID, id)
	}
}

// end keeps the answer of a booking; one without an answer never gets another.
func (b *bookings) end(id bookingID, a *Answer) {
	if v := b.byID[id]; v != nil {
		v.answer = a
		close(v.done)
	}
}

// knewAt tells whether a booking of a key that was sent at a time would be known.
func (b *bookings) knewAt(now time.Time, key int, at time.Time) bool {
	since, ok := b.since[key]
	return ok && since.Before(at.Add(-transit)) && now.Sub(at) < keepIDs
}

func (b *bookings) purge(now time.Time) {
	if now.Sub(b.purged) < purgeEvery {
		return
	}
	b.purged = now
	for id, v := range b.byID {
		if now.Sub(v.at) > keepIDs {
			delete(b.byID, id)
		}
	}
}

// handover is what the next holder of some keys is given.
type handover struct {
	// AllForMillis is for how long all bookings of these keys have been known; negative
	// where none was ever missed.
	AllForMillis int64    `json:"allForMillis"`
	Bookings     []handed `json:"bookings"`
}

type handed struct {
	ID        string `json:"id"`
	Key       int    `json:"key"`
	Path      string `json:"path"`
	AgoMillis int64  `json:"agoMillis"`
	// Answer is missing where the booking got none.
	Answer *Answer `json:"answer,omitempty"`
}

// handText is the text of a handover.
func (b *bookings) handText(now time.Time, from, to int) string {
	text, _ := json.Marshal(b.hand(now, from, to)) // strings and numbers always marshal
	return string(text)
}

// hand lists what is known of a range whose work has ended.
func (b *bookings) hand(now time.Time, from, to int) handover {
	h := handover{AllForMillis: -1}
	for key := from; key <= to; key++ {
		since, ok := b.since[key]
		if !ok {
			since = now
		}
		if since.IsZero() {
			continue
		}
		if ago := now.Sub(since).Milliseconds(); h.AllForMillis < 0 || ago < h.AllForMillis {
			h.AllForMillis = ago
		}
	}
	for id, v := range b.byID {
		if id.key < from || id.key > to {
			continue
		}
		select {
		case <-v.done:
			h.Bookings = append(h.Bookings, handed{ID: id.id, Key: id.key, Path: v.path, AgoMillis: now.Sub(v.at).Milliseconds(), Answer: v.answer})
		default: // it waits for a slot, and will be refused
		}
	}
	return h
}

// take notes how a range came to this server. A life that never held a key knows nothing
// of it, also where the leader takes it for the one that did.
func (b *bookings) take(now time.Time, from, to int, origin grant.Origin, text string) error {
	since := now
	switch origin {
	case grant.First:
		since = time.Time{}
	case grant.Handed, grant.Lost:
		var h handover
		if text != "" {
			if err := json.Unmarshal([]byte(text), &h); err != nil {
				return err
			}
			b.adopt(now, h)
		}
		switch {
		case text == "" || origin == grant.Lost:
		case h.AllForMillis < 0:
			since = time.Time{}
		default:
			since = now.Add(-time.Duration(h.AllForMillis) * time.Millisecond)
		}
	case grant.Kept:
	}
	for key := from; key <= to; key++ {
		if _, held := b.since[key]; !held || origin != grant.Kept {
			b.since[key] = since
		}
	}
	return nil
}

func (b *bookings) adopt(now time.Time, h handover) {
	for _, v := range h.Bookings {
		id := bookingID{key: v.Key, id: v.ID}
		if b.byID[id] != nil {
			continue
		}
		n := &booking{path: v.Path, at: now.Add(-time.Duration(v.AgoMillis) * time.Millisecond), done: make(chan struct{}), answer: v.Answer}
		close(n.done)
		b.byID[id] = n
	}
}

// serveBooking runs a booking unless its id is known. One that is under way is awaited;
// one that is not known, and may have been sent to a holder that was lost, is not run.
func (s *Server) serveBooking(v *life, w http.ResponseWriter, r *http.Request, q request) {
	for {
		now := time.Now()
		s.mu.Lock()
		if !v.held[q.key].until.After(now) {
			s.mu.Unlock()
			refuse(w, r, http.StatusMisdirectedRequest)
			return
		}
		if v.bookings.byID[q.booking()] == nil && q.age > 0 && !v.bookings.knewAt(now, q.key, now.Add(-q.age)) {
			s.mu.Unlock()
			answerLost(w, q)
			return
		}
		b, isNew := v.bookings.begin(now, q.booking(), r.URL.Path)
		s.mu.Unlock()
		if isNew {
			s.run(v, w, r, q)
			return
		}
		if b.path != r.URL.Path {
			w.Header().Set(names.Default().ID, q.id)
			http.Error(w, "the id belongs to another booking of this key", http.StatusUnprocessableEntity)
			return
		}
		select {
		case <-b.done:
		case <-r.Context().Done():
			return
		case <-time.After(time.Until(q.until)):
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		if b.refused {
			continue
		}
		if b.answer == nil {
			answerLost(w, q)
			return
		}
		s.write(w, q, *b.answer, Faults{})
		return
	}
}

// noteEnd keeps the answer of a booking that has ended; nil where it got none.
func (v *life) noteEnd(q request, a *Answer) {
	if !q.idempotent {
		v.bookings.end(q.booking(), a)
	}
}

// answerLost says that nobody can tell whether the booking ran, and that it will not.
func answerLost(w http.ResponseWriter, q request) {
	w.Header().Set(names.Default().ID, q.id)
	w.Header().Set(names.Default().OutcomeLost, "1")
	w.WriteHeader(http.StatusConflict)
}

func (q request) booking() bookingID { return bookingID{key: q.key, id: q.id} }

// ageOf is how long ago the request was first sent under its id, or 0.
func ageOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(names.Default().FirstSent), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(max(1, ms)) * time.Millisecond
}
