package keeper

import (
	"slices"

	"catkinstep/core/version/fleet"
)

// piece is a part of a range that may move: its first or last keys, or a single hot
// bucket.
type piece struct {
	index    int // of its range in serviceState.ranges
	from, to int
	load     float64
	target   fleet.Server
	benefit  float64
}

// noPiece stands for no move. Any piece with a positive benefit is better.
var noPiece = piece{index: -1}

// pieces returns the pieces that may move away from a server with the given total load.
func (k *Keeper) pieces(s *serviceState, srv fleet.Server, total float64) []piece {
	var out []piece
	for i, rs := range s.ranges {
		if rs.Holder == holderOf(srv) && rs.step == held && !rs.callInFlight {
			out = k.appendPieces(out, s, i, total*hotBucketShare)
		}
	}
	return out
}

// appendPieces appends the pieces of one range. A bucket whose load is at least hotLoad is
// a piece of its own.
func (k *Keeper) appendPieces(out []piece, s *serviceState, index int, hotLoad float64) []piece {
	rs := s.ranges[index]
	total, sum := k.load(s, rs.From, rs.To), 0.0
	for key := rs.From; key <= rs.To; {
		end := min(bucketEnd(key), rs.To)
		load := k.load(s, key, end)
		sum += load
		out = append(out, piece{index: index, from: rs.From, to: end, load: sum})
		if end < rs.To {
			out = append(out, piece{index: index, from: end + 1, to: rs.To, load: total - sum})
		}
		if load >= hotLoad {
			out = append(out, piece{index: index, from: key, to: end, load: load})
		}
		key = end + 1
	}
	return out
}

// splitOff makes a piece a range of its own.
func (s *serviceState) splitOff(p piece) *rangeState {
	index := p.index
	if p.from > s.ranges[index].From {
		index = s.splitAt(index, p.from)
	}
	if p.to < s.ranges[index].To {
		s.splitAt(index, p.to+1)
	}
	return s.ranges[index]
}

// splitAt splits a range before a key, and returns the index of the second part.
func (s *serviceState) splitAt(index, key int) int {
	rest := *s.ranges[index]
	s.ranges[index].To, rest.From = key-1, key
	s.ranges = slices.Insert(s.ranges, index+1, &rest)
	return index + 1
}
