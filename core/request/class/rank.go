package class

import (
	"slices"

	"catkinstep/core/version/config"
)

// MaxRank is the highest rank; higher ones are reduced to it.
const MaxRank = 3

// Ranks are the priorities of the routes of each service, in ascending order. The zero Ranks
// gives every request the rank 0.
type Ranks struct{ priorities map[string][]int }

// NewRanks returns the ranks of the services that the routes lead to.
func NewRanks(routes []config.Route) Ranks {
	priorities := map[string][]int{}
	for _, route := range routes {
		for _, d := range route.Destinations {
			if !slices.Contains(priorities[d.Service], route.Priority) {
				priorities[d.Service] = append(priorities[d.Service], route.Priority)
			}
		}
	}
	for _, p := range priorities {
		slices.Sort(p)
	}
	return Ranks{priorities: priorities}
}

// Rank returns how many priorities of the service's routes are more urgent than the given one, at
// most MaxRank. A workspace may have a priority that no route has. If all routes of the service have
// the same priority, every rank is 0, also for workspaces with a priority of their own.
func (r Ranks) Rank(service string, priority int) int {
	if len(r.priorities[service]) < 2 {
		return 0
	}
	rank, _ := slices.BinarySearch(r.priorities[service], priority)
	return min(rank, MaxRank)
}
