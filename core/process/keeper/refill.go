package keeper

import (
	"time"

	"catkinstep/core/version/fleet"
)

// maxMoves returns how many ranges of a service may move concurrently. While requests are refused
// because holders are overloaded, more may, and each server without keys may get some at the same time.
// Otherwise the servers of a data centre that returns from a network partition stay idle for many
// seconds. Each move has a source and a target of its own, so it closes keys of one server only.
func (k *Keeper) maxMoves(s *serviceState, eligible []fleet.Server) int {
	limit := max(minMoveLimit, len(eligible)/serversPerMove)
	if s.limited {
		limit = max(limit, len(eligible)/serversPerMoveWhileLimited, min(k.countWithoutKeys(s, eligible), len(eligible)/2))
	}
	return limit
}

// countWithoutKeys returns how many servers hold no keys and are no target of a move; a server with
// keys has a positive load (idleKeyLoad).
func (k *Keeper) countWithoutKeys(s *serviceState, eligible []fleet.Server) int {
	loads, n := k.loads(s), 0
	for _, srv := range eligible {
		if loads[holderOf(srv)] == 0 {
			n++
		}
	}
	return n
}

// firstKeysDue reports whether a round gives keys to servers without any. It does so in every round
// while requests are refused because holders are overloaded.
func (s *serviceState) firstKeysDue(sinceLast time.Duration) bool {
	return s.limited || sinceLast >= firstKeysInterval
}
