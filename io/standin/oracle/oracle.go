package oracle

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// outGrace is how long after the operator's command new work may still begin.
const exclusionGrace = 2 * time.Second

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
type CallerResult struct {
	ID string
	// Outcome is answered, notRun or unknown.
	Outcome string
	// Wrong is set when the answer was another request's, or not whole.
	WrongResponse bool
	// Cut is set when the connection broke without any answer.
	ConnectionLost bool
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
	mu         sync.Mutex
	runs       []Run
	results    []CallerResult
	exclusions []exclusion
}

type exclusion struct {
	dataCentre, server string
	startedAt, endedAt time.Time
}

// New returns an Oracle that has seen nothing.
func New() *Oracle { return &Oracle{} }

// Ran notes an execution when it has ended.
func (o *Oracle) RecordRun(r Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, r)
}

// Got notes what a caller got in the end.
func (o *Oracle) RecordResult(r CallerResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
}

// Out notes that the operator's command to take out a data centre or a server
// has returned.
func (o *Oracle) RecordExclusion(dataCentre, server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.exclusions = append(o.exclusions, exclusion{dataCentre: dataCentre, server: server, startedAt: at})
}

// In notes that the operator is about to take it in again.
func (o *Oracle) RecordInclusion(dataCentre, server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.exclusions {
		if o.exclusions[i].dataCentre == dataCentre && o.exclusions[i].server == server && o.exclusions[i].endedAt.IsZero() {
			o.exclusions[i].endedAt = at
		}
	}
}

// Runs returns the number of executions seen.
func (o *Oracle) RunCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runs)
}

// Verdict judges all that was noted so far.
func (o *Oracle) Verdict() Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	var v Verdict
	o.checkOwnership(&v)
	runsByID := o.checkDuplicates(&v)
	for _, r := range o.runs {
		if r.Overload {
			v.Overload++
			v.addFinding("%s was given %s beyond what it bears", r.Server, r.ID)
		}
		if o.startedWhileExcluded(r) {
			v.NewWorkAfterOut++
			v.addFinding("%s in %s began %s after it was out", r.Server, r.DataCentre, r.ID)
		}
	}
	for _, result := range o.results {
		switch {
		case result.ConnectionLost:
			v.CutRequest++
			v.addFinding("the caller of %s got no answer at all", result.ID)
		case result.WrongResponse:
			v.WrongAnswer++
			v.addFinding("the caller of %s got another answer, or half of one", result.ID)
		case result.Outcome == "notRun" && runsByID[result.ID] > 0:
			v.FalseNotRun++
			v.addFinding("%s ran, and its caller was answered that it did not", result.ID)
		}
	}
	return v
}

// owners finds keys that two servers worked on at the same time.
func (o *Oracle) checkOwnership(v *Verdict) {
	byKey := map[string][]Run{}
	for _, r := range o.runs {
		if r.Key != "" {
			byKey[r.Service+"/"+r.Key] = append(byKey[r.Service+"/"+r.Key], r)
		}
	}
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
		// last holds, by server, the latest end so far.
		lastEnd := map[string]time.Time{}
		for _, r := range runs {
			for server, end := range lastEnd {
				if server != r.Server && end.After(r.Start) {
					v.TwoOwners++
					v.addFinding("%s: %s began %s while %s was still at work", key, r.Server, r.ID, server)
					break
				}
			}
			if r.End.After(lastEnd[r.Server]) {
				lastEnd[r.Server] = r.End
			}
		}
	}
}

func (o *Oracle) checkDuplicates(v *Verdict) map[string]int {
	runsByID := map[string]int{}
	sorted := slices.Clone(o.runs)
	slices.SortFunc(sorted, func(a, b Run) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range sorted {
		runsByID[r.ID]++
		if !r.Idempotent && runsByID[r.ID] == 2 {
			v.DoubleRun++
			v.addFinding("%s ran twice, the second time at %s", r.ID, r.Server)
		}
	}
	return runsByID
}

func (o *Oracle) startedWhileExcluded(r Run) bool {
	for _, e := range o.exclusions {
		if e.dataCentre != "" && e.dataCentre != r.DataCentre || e.server != "" && e.server != r.Server {
			continue
		}
		if r.Start.After(e.startedAt.Add(exclusionGrace)) && (e.endedAt.IsZero() || r.Start.Before(e.endedAt)) {
			return true
		}
	}
	return false
}

func (v *Verdict) addFinding(format string, args ...any) {
	if len(v.Findings) < maxFindings {
		v.Findings = append(v.Findings, fmt.Sprintf(format, args...))
	}
}

// Imbalance returns the busiest server's runs over the mean of a service's
// servers, for runs that began within a span.
func (o *Oracle) Imbalance(service string, from, to time.Time, servers int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	runsByServer, total, most := map[string]int{}, 0, 0
	for _, r := range o.runs {
		if r.Service != service || r.Overload || r.Start.Before(from) || r.Start.After(to) {
			continue
		}
		runsByServer[r.Server]++
		total++
		most = max(most, runsByServer[r.Server])
	}
	if total == 0 || servers == 0 {
		return 0
	}
	return float64(most) * float64(servers) / float64(total)
}

// ExtraWork returns the share of a service's runs since a time that were not
// the first of their request.
func (o *Oracle) DuplicateRunShare(service string, from time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, total, duplicates := map[string]bool{}, 0, 0
	for _, r := range o.runs {
		if r.Service != service || r.Overload || r.Start.Before(from) {
			continue
		}
		total++
		if seen[r.ID] {
			duplicates++
		}
		seen[r.ID] = true
	}
	if total == 0 {
		return 0
	}
	return float64(duplicates) / float64(total)
}

// LastStart returns how long after a time the last run began in a data centre.
func (o *Oracle) LastStartAfter(dataCentre string, from time.Time) time.Duration {
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
