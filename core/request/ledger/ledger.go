package ledger

import (
	"maps"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
)

// State is what a Book knows of an id.
type State int

// States of an id.
const (
	// Unseen ids were never begun, as far as can be known.
	Unseen State = iota
	// Begun ids were given to the server, or are about to be; whether they ran
	// is not known.
	Begun
	// Answered ids have run, and their answer is kept.
	Answered
	// Lost means that the id is not here, but earlier ids of its shard are
	// missing, so it may have run.
	Lost
	// Pending means that the earlier ids of the shard are still being fetched.
	Pending
)

// Found is the result of looking for an id.
type Found struct {
	State  State
	Answer *wire.Answer
	// Until is when a Lost shard is trusted again.
	Until time.Time
}

// Book holds the ids of one server's shards.
type Book struct {
	keep    time.Duration
	entries map[key]*entry
	oldest  []dated
	number  uint64            // of the last change
	covered map[uint32]uint64 // the epoch of each covered shard
	lost    map[uint32]lostShard
}

type key struct {
	shard uint32
	id    string
}

type entry struct {
	answer *wire.Answer
	at     time.Time
	number uint64
}

// lostShard is a shard whose earlier ids are gone, until they would be too old
// to be kept in any case.
type lostShard struct {
	until time.Time
	epoch uint64
}

type dated struct {
	key key
	at  time.Time
}

// New returns an empty Book that keeps each id for a time.
func New(keep time.Duration) *Book {
	return &Book{keep: keep, entries: map[key]*entry{}, covered: map[uint32]uint64{}, lost: map[uint32]lostShard{}}
}

// Len returns the number of ids held.
func (b *Book) Len() int { return len(b.entries) }

// Find looks for an id.
func (b *Book) Find(now time.Time, shard uint32, id string) Found {
	b.expire(now)
	if e, ok := b.entries[key{shard, id}]; ok {
		if e.answer != nil {
			return Found{State: Answered, Answer: e.answer}
		}
		return Found{State: Begun}
	}
	if l, ok := b.lost[shard]; ok && now.Before(l.until) {
		return Found{State: Lost, Until: l.until}
	}
	if !b.Covered(shard) {
		return Found{State: Pending}
	}
	return Found{State: Unseen}
}

// Begin notes an id before its order may be written. Like Finish and Forget, it
// returns what the backup must be told.
func (b *Book) Begin(now time.Time, shard uint32, id string) *wire.LedgerEntry {
	return b.Finish(now, shard, id, nil)
}

// Finish keeps the answer of an id.
func (b *Book) Finish(now time.Time, shard uint32, id string, a *wire.Answer) *wire.LedgerEntry {
	b.number++
	b.set(now, shard, id, a, b.number)
	return &wire.LedgerEntry{Shard: shard, Id: id, Answer: a, Number: b.number}
}

// Forget removes an id whose order was provably not run, so that the caller's
// next try may run.
func (b *Book) Forget(shard uint32, id string) *wire.LedgerEntry {
	b.number++
	delete(b.entries, key{shard, id})
	return &wire.LedgerEntry{Shard: shard, Id: id, Forget: true, Number: b.number}
}

// Covered tells whether all earlier ids of a shard are here.
func (b *Book) Covered(shard uint32) bool {
	_, ok := b.covered[shard]
	return ok
}

// CoveredAt tells whether all ids of a shard up to an epoch of it are here. A
// book that covered the shard at another time does not count: the shard was
// elsewhere in between.
func (b *Book) CoveredAt(shard uint32, epoch uint64) bool {
	have, ok := b.covered[shard]
	return ok && have == epoch
}

// Known tells whether it is settled for a shard what the Book can know.
func (b *Book) Known(shard uint32) bool {
	_, lost := b.lost[shard]
	return lost || b.Covered(shard)
}

// Cover notes that all ids of a shard from before its epoch are here.
func (b *Book) Cover(shard uint32, epoch uint64) {
	b.covered[shard] = epoch
	delete(b.lost, shard)
}

// Lose notes that earlier ids of a shard cannot be had. After the keeping time
// none of them would be here any more in any case.
func (b *Book) Lose(now time.Time, shard uint32, epoch uint64) {
	if !b.Covered(shard) {
		b.lost[shard] = lostShard{until: now.Add(b.keep), epoch: epoch}
	}
}

// Missing tells whether any shard's earlier ids were given up.
func (b *Book) Missing() bool { return len(b.lost) > 0 }

// Drop removes a shard that has gone to another server.
func (b *Book) Drop(shard uint32) {
	delete(b.covered, shard)
	delete(b.lost, shard)
	for k := range b.entries {
		if k.shard == shard {
			delete(b.entries, k)
		}
	}
}

// CoveredShards lists the shards whose ids are all here, with their epochs.
func (b *Book) CoveredShards() []*wire.Shard {
	out := make([]*wire.Shard, 0, len(b.covered))
	for _, s := range slices.Sorted(maps.Keys(b.covered)) {
		out = append(out, &wire.Shard{Shard: s, Epoch: b.covered[s]})
	}
	return out
}

// Ledger gives the ids of some shards, with those of them that are covered at
// the epoch named.
func (b *Book) Ledger(now time.Time, shards []*wire.Shard) (entries []*wire.LedgerEntry, covered []uint32) {
	numbers := make([]uint32, len(shards))
	for i, s := range shards {
		numbers[i] = s.Shard
		if b.CoveredAt(s.Shard, s.Epoch) {
			covered = append(covered, s.Shard)
		}
	}
	return b.Entries(now, numbers), covered
}

// Entries gives the ids of some shards, or of all when shards is nil, with
// their ages instead of times, since clocks of two hosts never compare.
func (b *Book) Entries(now time.Time, shards []uint32) []*wire.LedgerEntry {
	b.expire(now)
	var wanted map[uint32]bool
	if shards != nil {
		wanted = make(map[uint32]bool, len(shards))
		for _, s := range shards {
			wanted[s] = true
		}
	}
	var out []*wire.LedgerEntry
	for k, e := range b.entries {
		if wanted == nil || wanted[k.shard] {
			out = append(out, &wire.LedgerEntry{Shard: k.shard, Id: k.id, Answer: e.answer, AgeMillis: now.Sub(e.at).Milliseconds(), Number: e.number})
		}
	}
	return out
}

// Take adds ids from another Book. An answer is never replaced by less, and a
// change that comes after a later one of the same id is void: a forgetting, held
// up in the network, must not remove the id's next try.
func (b *Book) Take(now time.Time, entries []*wire.LedgerEntry) {
	for _, e := range entries {
		b.number = max(b.number, e.Number)
		k := key{e.Shard, e.Id}
		if have, ok := b.entries[k]; ok && (have.answer != nil || have.number > e.Number) {
			continue
		}
		if e.Forget {
			delete(b.entries, k)
			continue
		}
		b.set(now.Add(-time.Duration(e.AgeMillis)*time.Millisecond), e.Shard, e.Id, e.Answer, e.Number)
	}
}

func (b *Book) set(at time.Time, shard uint32, id string, a *wire.Answer, number uint64) {
	k := key{shard, id}
	b.entries[k] = &entry{answer: a, at: at, number: number}
	b.oldest = append(b.oldest, dated{k, at})
}

func (b *Book) expire(now time.Time) {
	n := 0
	for n < len(b.oldest) && now.Sub(b.oldest[n].at) > b.keep {
		d := b.oldest[n]
		if e, ok := b.entries[d.key]; ok && !e.at.After(d.at) {
			delete(b.entries, d.key)
		}
		n++
	}
	b.oldest = b.oldest[n:]
	for s, l := range b.lost {
		if !now.Before(l.until) {
			b.Cover(s, l.epoch)
		}
	}
}
