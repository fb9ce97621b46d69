package oracle

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// outGrace is how long after the operator's command new work may still begin.
const outGrace = 2 * time.Second

// maxFindings bounds the findings that are kept as text.
const maxFindings = 20

// Run is one execution of a request by a backend server.
type Run struct {
	Server     string    `json:"server"`
	DataCentre string    `json:"dataCentre"`
	Service    string    `json:"service"`
	ID         string    `json:"id"`
	Key        string    `json:"key"`
	Idempotent bool      `json:"idempotent"`
	Start      time.Time `json:"start"`
	// End is when it could have no effect any more.
	End time.Time `json:"end"`
	// Overload is set when the server already ran all that it bore.
	Overload bool `json:"overload"`
}

// Reply is the final answer that a caller got.
type Reply struct {
	ID string
	// Outcome is answered, notRun or unknown.
	Outcome string
	// Wrong is set when the answer was another request's, or not whole.
	Wrong bool
	// Cut is set when the connection broke without any answer.
	Cut bool
}

// Verdict counts what must never happen.
type Verdict struct {
	TwoOwners       int `json:"twoOwners"`
	DoubleRun       int `json:"doubleRun"`
	WrongAnswer     int `json:"wrongAnswer"`
	FalseNotRun     int `json:"falseNotRun"`
	Overload        int `json:"overload"`
	NewWorkAfterOut int `json:"newWorkAfterOut"`
	CutRequest      int `json:"cutRequest"`
	// Findings describe the first of them.
	Findings []string `json:"findings,omitempty"`
}

// Total returns the number of violations.
func (v Verdict) Total() int {
	return v.TwoOwners + v.DoubleRun + v.WrongAnswer + v.FalseNotRun + v.Overload + v.NewWorkAfterOut + v.CutRequest
}

// Oracle collects what happened.
type Oracle struct {
	mu      sync.Mutex
	runs    []Run
	replies []Reply
	outs    []out
}

type out struct {
	dataCentre, server string
	from, to           time.Time
}

// New returns an Oracle that has seen nothing.
func New() *Oracle { return &Oracle{} }

// Ran notes an execution when it has ended.
func (o *Oracle) Ran(r Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, r)
}

// Got notes what a caller got in the end.
func (o *Oracle) Got(t Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replies = append(o.replies, t)
}

// Out notes that the operator's command to take out a data centre or a server
// has returned.
func (o *Oracle) Out(dataCentre, server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outs = append(o.outs, out{dataCentre: dataCentre, server: server, from: at})
}

// In notes that the operator is about to take it in again.
func (o *Oracle) In(dataCentre, server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.outs {
		if o.outs[i].dataCentre == dataCentre && o.outs[i].server == server && o.outs[i].to.IsZero() {
			o.outs[i].to = at
		}
	}
}

// Runs returns the number of executions seen.
func (o *Oracle) Runs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runs)
}

// Verdict judges all that was noted so far.
func (o *Oracle) Verdict() Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	var v Verdict
	o.owners(&v)
	ran := o.doubles(&v)
	for _, r := range o.runs {
		if r.Overload {
			v.Overload++
			v.find("%s was given %s beyond what it bears", r.Server, r.ID)
		}
		if o.wasOut(r) {
			v.NewWorkAfterOut++
			v.find("%s in %s began %s after it was out", r.Server, r.DataCentre, r.ID)
		}
	}
	for _, t := range o.replies {
		switch {
		case t.Cut:
			v.CutRequest++
			v.find("the caller of %s got no answer at all", t.ID)
		case t.Wrong:
			v.WrongAnswer++
			v.find("the caller of %s got another answer, or half of one", t.ID)
		case t.Outcome == "notRun" && ran[t.ID] > 0:
			v.FalseNotRun++
			v.find("%s ran, and its caller was answered that it did not", t.ID)
		}
	}
	return v
}

// owners finds keys that two servers worked on at the same time.
func (o *Oracle) owners(v *Verdict) {
	byKey := map[string][]Run{}
	for _, r := range o.runs {
		if r.Key != "" {
			byKey[r.Service+"/"+r.Key] = append(byKey[r.Service+"/"+r.Key], r)
		}
	}
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
		// last holds, by server, the latest end so far.
		last := map[string]time.Time{}
		for _, r := range runs {
			for server, end := range last {
				if server != r.Server && end.After(r.Start) {
					v.TwoOwners++
					v.find("%s: %s began %s while %s was still at work", key, r.Server, r.ID, server)
					break
				}
			}
			if r.End.After(last[r.Server]) {
				last[r.Server] = r.End
			}
		}
	}
}

func (o *Oracle) doubles(v *Verdict) map[string]int {
	ran := map[string]int{}
	sorted := slices.Clone(o.runs)
	slices.SortFunc(sorted, func(a, b Run) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range sorted {
		ran[r.ID]++
		if !r.Idempotent && ran[r.ID] == 2 {
			v.DoubleRun++
			v.find("%s ran twice, the second time at %s", r.ID, r.Server)
		}
	}
	return ran
}

func (o *Oracle) wasOut(r Run) bool {
	for _, x := range o.outs {
		if x.dataCentre != "" && x.dataCentre != r.DataCentre || x.server != "" && x.server != r.Server {
			continue
		}
		if r.Start.After(x.from.Add(outGrace)) && (x.to.IsZero() || r.Start.Before(x.to)) {
			return true
		}
	}
	return false
}

func (v *Verdict) find(format string, args ...any) {
	if len(v.Findings) < maxFindings {
		v.Findings = append(v.Findings, fmt.Sprintf(format, args...))
	}
}

// Imbalance returns the busiest server's runs over the mean of a service's
// servers, for runs that began within a span.
func (o *Oracle) Imbalance(service string, from, to time.Time, servers int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	count, total, most := map[string]int{}, 0, 0
	for _, r := range o.runs {
		if r.Service != service || r.Overload || r.Start.Before(from) || r.Start.After(to) {
			continue
		}
		count[r.Server]++
		total++
		most = max(most, count[r.Server])
	}
	if total == 0 || servers == 0 {
		return 0
	}
	return float64(most) * float64(servers) / float64(total)
}

// ExtraWork returns the share of a service's runs since a time that were not
// the first of their request.
func (o *Oracle) ExtraWork(service string, from time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, total, extra := map[string]bool{}, 0, 0
	for _, r := range o.runs {
		if r.Service != service || r.Overload || r.Start.Before(from) {
			continue
		}
		total++
		if seen[r.ID] {
			extra++
		}
		seen[r.ID] = true
	}
	if total == 0 {
		return 0
	}
	return float64(extra) / float64(total)
}

// LastStart returns how long after a time the last run began in a data centre.
func (o *Oracle) LastStart(dataCentre string, from time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := time.Duration(0)
	for _, r := range o.runs {
		if r.DataCentre == dataCentre {
			last = max(last, r.Start.Sub(from))
		}
	}
	return last
}
