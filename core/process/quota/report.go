package quota

import (
	"cmp"
	"slices"

	"catkinstep/core/version/space"
)

// Usage is what a pool has of the allowance of a workspace, and how many tokens of it daemons asked for
// since the last report.
type Usage struct {
	Workspace     string
	Allowance     space.Allowance
	Taken, Denied int
	// Share is the share of the allowance that is lent to the pool, and Leased is how much of it is leased, in
	// requests per second.
	Share, Leased float64
	// Left is what can be taken at once.
	Left float64
}

// with adds the usage of another pool for the same workspace.
func (u Usage) with(other Usage) Usage {
	u.Taken, u.Denied = u.Taken+other.Taken, u.Denied+other.Denied
	u.Share, u.Leased, u.Left = u.Share+other.Share, u.Leased+other.Leased, u.Left+other.Left
	return u
}

// TakeReport returns the usages of up to n workspaces of which tokens were denied since the last report, or half
// of the pool's part of the allowance was handed out, and begins the next one. seconds is the time since the last report.
func (p *Pool) TakeReport(n int, seconds float64) []Usage {
	var out []Usage
	for workspace, a := range p.accounts {
		if a.denied > 0 || float64(a.taken)+a.leased*seconds > a.allowance.Rate*a.share*seconds/2 {
			out = append(out, Usage{Workspace: workspace, Allowance: a.allowance, Taken: a.taken, Denied: a.denied, Share: a.share, Leased: a.leased, Left: a.tokens})
		}
		a.taken, a.denied = 0, 0
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Denied, a.Denied), cmp.Compare(b.Taken, a.Taken), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(n, len(out))]
}

// Sends counts the attempts of a workspace that a daemon sent since the last report.
type Sends struct {
	Workspace string
	Allowance space.Allowance
	// Sent are all. Further are those after one that may have run, Waited those that needed another token when
	// they were sent, and ForOthers those of other daemons' callers.
	Sent, Further, Waited, ForOthers int
	// Refused are the requests that were refused.
	Refused int
}

// Attempt says what kind of attempt is sent.
type Attempt struct{ Further, Waited, ForOthers bool }

// Sent counts an attempt.
func (l *Limiter) Sent(w space.Workspace, a Attempt) {
	if !w.Allowance.Limited() {
		return
	}
	s := &l.holding(w.Name).sends
	s.Allowance = w.Allowance
	s.Sent++
	s.Further += oneIf(a.Further)
	s.Waited += oneIf(a.Waited)
	s.ForOthers += oneIf(a.ForOthers)
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// TakeSends returns the counts of up to n workspaces of which requests were refused, or sent otherwise than at once,
// since the last report, and begins the next one.
func (l *Limiter) TakeSends(n int) []Sends {
	var out []Sends
	for name, h := range l.workspaces {
		s := h.sends
		s.Workspace, s.Refused = name, h.total.Refused-h.reportedRefused
		h.sends, h.reportedRefused = Sends{}, h.total.Refused
		if s.Refused+s.Further+s.Waited+s.ForOthers > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Sends) int {
		return cmp.Or(cmp.Compare(b.Sent, a.Sent), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(n, len(out))]
}
