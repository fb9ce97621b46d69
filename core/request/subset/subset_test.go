package subset

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against servers that no daemon prefers, and daemons that prefer no server.
func TestEveryServerAndDaemonIsInASubset(t *testing.T) {
	for _, tc := range []struct{ daemons, servers int }{{1, 4}, {2, 3}, {3, 8}, {32, 40}, {33, 8}, {100, 500}} {
		preferredServers := make([]int, tc.daemons)
		for server := range tc.servers {
			preferringDaemons := 0
			for daemon := range tc.daemons {
				if Rank(daemon, tc.daemons, server, tc.servers) == 0 {
					preferredServers[daemon]++
					preferringDaemons++
				}
			}
			if preferringDaemons < 1 || preferringDaemons > max(1, tc.daemons/tc.servers) {
				t.Errorf("%d daemons have rank 0 at server %d with %+v", preferringDaemons, server, tc)
			}
		}
		for daemon := range tc.daemons {
			hasLowRank := false
			for server := range tc.servers {
				hasLowRank = hasLowRank || Rank(daemon, tc.daemons, server, tc.servers) <= 1
			}
			if !hasLowRank {
				t.Errorf("daemon %d has a rank above 1 at every server with %+v", daemon, tc)
			}
		}
	}
}

// Guards against negative ranks and ranks that exceed the number of daemons.
func TestRankIsInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons, servers := rapid.IntRange(1, 200).Draw(t, "daemons"), rapid.IntRange(1, 600).Draw(t, "servers")
		rank := Rank(rapid.IntRange(0, daemons-1).Draw(t, "daemon"), daemons, rapid.IntRange(0, servers-1).Draw(t, "server"), servers)
		if rank < 0 || rank >= daemons {
			t.Fatalf("rank %d is out of bounds with %d daemons", rank, daemons)
		}
	})
}
