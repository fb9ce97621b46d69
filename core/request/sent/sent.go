package sent

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash returns a hash of a request's ID together with its service and key, because independent
// callers may use the same ID for different keys. A collision is harmless: the second request
// counts as sent earlier than it was, which matters only if the holder of its key is lost.
func Hash(service string, key int, id string) uint64 {
	return xxhash.Sum64String(service + " " + strconv.Itoa(key) + " " + id)
}

// History holds when IDs were first sent. It keeps each ID for at least its retention time and
// at most twice that time.
type History struct {
	retention time.Duration
	rotatedAt time.Time
	current   map[uint64]time.Time
	previous  map[uint64]time.Time
}

// New returns a History with a retention time.
func New(retention time.Duration) *History {
	return &History{retention: retention, current: map[uint64]time.Time{}, previous: map[uint64]time.Time{}}
}

// Record records that an ID is sent now, and returns when it was first sent and whether it had
// been sent before.
func (h *History) Record(now time.Time, hash uint64) (firstSentAt time.Time, repeated bool) {
	h.rotate(now)
	if firstSentAt, repeated = h.firstSentAt(hash); repeated {
		return firstSentAt, true
	}
	h.current[hash] = now
	return now, false
}

// RecordAt records that an ID was sent at sentAt, and reports whether the ID was new or sentAt
// is earlier than the time known before.
func (h *History) RecordAt(now time.Time, hash uint64, sentAt time.Time) (changed bool) {
	h.rotate(now)
	if firstSentAt, ok := h.firstSentAt(hash); ok && !sentAt.Before(firstSentAt) {
		return false
	}
	h.current[hash] = sentAt
	return true
}

// Has reports whether an ID is recorded.
func (h *History) Has(hash uint64) bool {
	_, ok := h.firstSentAt(hash)
	return ok
}

// Forget removes an ID whose request certainly did not run.
func (h *History) Forget(hash uint64) {
	delete(h.current, hash)
	delete(h.previous, hash)
}

// Count returns the number of recorded IDs. An ID that is in both generations counts twice.
func (h *History) Count() int { return len(h.current) + len(h.previous) }

func (h *History) firstSentAt(hash uint64) (time.Time, bool) {
	sentAt, ok := h.current[hash]
	if !ok {
		sentAt, ok = h.previous[hash]
	}
	return sentAt, ok
}

// rotate starts a new generation of IDs once the current one has reached the retention time, and
// drops the one before the current one.
func (h *History) rotate(now time.Time) {
	if now.Sub(h.rotatedAt) < h.retention {
		return
	}
	h.previous, h.current, h.rotatedAt = h.current, map[uint64]time.Time{}, now
}
