package ledger

import (
	"time"

	"catkinstep/core/connection/wire"
)

// Shelf holds the copies that a backup keeps for dispatchers elsewhere.
type Shelf struct {
	keep  time.Duration
	books map[shelfKey]*shelved
}

type shelfKey struct {
	server string
	token  uint64
}

type shelved struct {
	book *Book
	at   time.Time
}

// NewShelf returns an empty Shelf. A copy that nobody adds to is dropped after
// the keeping time.
func NewShelf(keep time.Duration) *Shelf {
	return &Shelf{keep: keep, books: map[shelfKey]*shelved{}}
}

// Take adds a copy. Ids may come before the whole book does; only the whole
// book makes shards covered.
func (s *Shelf) Take(now time.Time, c *wire.Copy) {
	for k, v := range s.books {
		if now.Sub(v.at) > s.keep {
			delete(s.books, k)
		}
	}
	k := shelfKey{c.Server, c.Token}
	v := s.books[k]
	if v == nil {
		v = &shelved{book: New(s.keep)}
		s.books[k] = v
	}
	v.at = now
	v.book.Take(now, c.Entries)
	if c.Whole {
		for _, n := range c.Covered {
			v.book.Cover(n.Shard, n.Epoch)
		}
	}
}

// Ledger gives the ids of some shards of a server under a token, with the
// shards whose ids are all there.
func (s *Shelf) Ledger(now time.Time, server string, token uint64, shards []*wire.Shard) (entries []*wire.LedgerEntry, covered []uint32) {
	v := s.books[shelfKey{server, token}]
	if v == nil {
		return nil, nil
	}
	return v.book.Ledger(now, shards)
}
