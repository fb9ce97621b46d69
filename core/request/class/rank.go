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

// Several reports whether the routes of a service have more than one priority.
func (r Ranks) Several(service string) bool { return len(r.priorities[service]) > 1 }

// Rank returns how many priorities of the service's routes are more urgent than the given one and in
// demand, at most MaxRank. A workspace may have a priority that no route has. If all routes of the
// service have the same priority, every rank is 0, also for workspaces with a priority of their own.
func (r Ranks) Rank(service string, priority int, inDemand func(priority int) bool) int {
	rank := 0
	for _, p := range r.priorities[service] {
		if r.Several(service) && p < priority && inDemand(p) {
			rank++
		}
	}
	return min(rank, MaxRank)
}
