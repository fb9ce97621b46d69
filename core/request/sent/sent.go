package sent

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash stands for the id of a request about a key: callers that do not know of each other
// may use the same id for different keys. Two of one hash do no harm: the second counts as
// sent earlier than it was, which matters only once its holder is lost.
func Hash(service string, key int, id string) uint64 {
	return xxhash.Sum64String(service + " " + strconv.Itoa(key) + " " + id)
}

// Memory holds when ids were first sent, each for at least a time and at most twice that.
type Memory struct {
	keep    time.Duration
	turned  time.Time
	now     map[uint64]time.Time
	earlier map[uint64]time.Time
}

// New returns a Memory that keeps ids for a time.
func New(keep time.Duration) *Memory {
	return &Memory{keep: keep, now: map[uint64]time.Time{}, earlier: map[uint64]time.Time{}}
}

// Note remembers that an id is sent now, and returns when it first was; again tells
// whether that was before.
func (m *Memory) Note(now time.Time, hash uint64) (first time.Time, again bool) {
	m.turn(now)
	if first, again = m.first(hash); again {
		return first, true
	}
	m.now[hash] = now
	return now, false
}

// Learn takes in that an id was sent at a time, and tells whether that was news.
func (m *Memory) Learn(now time.Time, hash uint64, at time.Time) (news bool) {
	m.turn(now)
	if first, ok := m.first(hash); ok && !at.Before(first) {
		return false
	}
	m.now[hash] = at
	return true
}

// Has tells whether an id is remembered.
func (m *Memory) Has(hash uint64) bool {
	_, ok := m.first(hash)
	return ok
}

// Forget drops an id whose request surely did not run.
func (m *Memory) Forget(hash uint64) {
	delete(m.now, hash)
	delete(m.earlier, hash)
}

// Count is how many ids are remembered.
func (m *Memory) Count() int { return len(m.now) + len(m.earlier) }

func (m *Memory) first(hash uint64) (time.Time, bool) {
	at, ok := m.now[hash]
	if !ok {
		at, ok = m.earlier[hash]
	}
	return at, ok
}

// turn drops the ids of the time before last.
func (m *Memory) turn(now time.Time) {
	if now.Sub(m.turned) < m.keep {
		return
	}
	m.earlier, m.now, m.turned = m.now, map[uint64]time.Time{}, now
}
