package quota

import (
	"cmp"
	"slices"
)

// Usage is what a pool has of the allowance of a workspace, and how many tokens of it daemons asked for
// since the last report.
type Usage struct {
	Workspace     string
	Taken, Denied int
	// Share is the share of the allowance that is lent to the pool. PerSecond is the allowance, and Leased is
	// how much of the share is leased.
	Share, PerSecond, Leased float64
	// Left is what can be taken at once.
	Left float64
}

// TakeReport returns the usages of up to n workspaces of which most tokens were denied since the last
// report, and begins the next one.
func (p *Pool) TakeReport(n int) []Usage {
	var out []Usage
	for workspace, a := range p.accounts {
		if a.denied > 0 {
			out = append(out, Usage{Workspace: workspace, Taken: a.taken, Denied: a.denied, Share: a.share, PerSecond: a.allowance.Rate, Leased: a.leased, Left: a.tokens})
		}
		a.taken, a.denied = 0, 0
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Denied, a.Denied), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(n, len(out))]
}
