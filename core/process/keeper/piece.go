package keeper

import (
	"slices"

	"catkinstep/core/version/fleet"
)

// piece is a part of a range that may move: its first or last keys, or one bucket
// that is hot.
type piece struct {
	at       int // the range's place
	from, to int
	load     float64
	target   fleet.Server
	worth    float64
}

// noPiece is worse than any piece that is worth a move.
var noPiece = piece{at: -1}

// pieces lists what may leave a server that has a load.
func (k *Keeper) pieces(s *share, v fleet.Server, have float64) []piece {
	var out []piece
	for i, sp := range s.spans {
		if sp.Holder == holder(v) && sp.step == held && !sp.busy {
			out = k.piecesOf(out, s, i, have*hotShare)
		}
	}
	return out
}

// piecesOf adds the pieces of one range. A bucket is a piece of its own from a
// load on.
func (k *Keeper) piecesOf(out []piece, s *share, at int, hot float64) []piece {
	sp := s.spans[at]
	all, sum := k.load(s, sp.From, sp.To), 0.0
	for key := sp.From; key <= sp.To; {
		end := min(bucketEnd(key), sp.To)
		load := k.load(s, key, end)
		sum += load
		out = append(out, piece{at: at, from: sp.From, to: end, load: sum})
		if end < sp.To {
			out = append(out, piece{at: at, from: end + 1, to: sp.To, load: all - sum})
		}
		if load >= hot {
			out = append(out, piece{at: at, from: key, to: end, load: load})
		}
		key = end + 1
	}
	return out
}

// split makes a piece a range of its own.
func (s *share) split(p piece) *span {
	at := p.at
	if p.from > s.spans[at].From {
		at = s.cut(at, p.from)
	}
	if p.to < s.spans[at].To {
		s.cut(at, p.to+1)
	}
	return s.spans[at]
}

// cut divides a range before a key, and returns the place of the second part.
func (s *share) cut(at, key int) int {
	rest := *s.spans[at]
	s.spans[at].To, rest.From = key-1, key
	s.spans = slices.Insert(s.spans, at+1, &rest)
	return at + 1
}
