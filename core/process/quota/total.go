package quota

import (
	"cmp"
	"slices"
)

// Total is the number of requests of a workspace that one daemon has received since its start,
// and how many of them were refused as beyond the allowance.
type Total struct {
	Workspace string `json:"workspace"`
	Asked     int    `json:"asked"`
	Refused   int    `json:"refused"`
}

// Totals returns the totals of the n workspaces that asked for most, and the sum of all others
// without a name.
func (l *Limiter) Totals(n int) (top []Total, rest Total) {
	for name, h := range l.workspaces {
		t := h.total
		t.Workspace = name
		top = append(top, t)
	}
	slices.SortFunc(top, func(a, b Total) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Workspace, b.Workspace))
	})
	for _, t := range top[min(n, len(top)):] {
		rest.Asked += t.Asked
		rest.Refused += t.Refused
	}
	return top[:min(n, len(top))], rest
}
