package subset

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against servers that no daemon turns to first, and daemons that turn to none.
func TestEveryServerAndDaemonHasItsShare(t *testing.T) {
	for _, v := range []struct{ daemons, servers int }{{1, 4}, {2, 3}, {3, 8}, {32, 40}, {33, 8}, {100, 500}} {
		first := make([]int, v.daemons)
		for server := range v.servers {
			served := 0
			for daemon := range v.daemons {
				if Rank(daemon, v.daemons, server, v.servers) == 0 {
					first[daemon]++
					served++
				}
			}
			if served < 1 || served > max(1, v.daemons/v.servers) {
				t.Errorf("%d daemons turn first to server %d of %+v", served, server, v)
			}
		}
		for daemon := range v.daemons {
			soon := false
			for server := range v.servers {
				soon = soon || Rank(daemon, v.daemons, server, v.servers) <= 1
			}
			if !soon {
				t.Errorf("daemon %d of %+v comes late at each server", daemon, v)
			}
		}
	}
}

// Guards against a rank that no daemon has.
func TestRankIsInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons, servers := rapid.IntRange(1, 200).Draw(t, "daemons"), rapid.IntRange(1, 600).Draw(t, "servers")
		rank := Rank(rapid.IntRange(0, daemons-1).Draw(t, "daemon"), daemons, rapid.IntRange(0, servers-1).Draw(t, "server"), servers)
		if rank < 0 || rank >= daemons {
			t.Fatalf("rank %d of %d daemons", rank, daemons)
		}
	})
}
