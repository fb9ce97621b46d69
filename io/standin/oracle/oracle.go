package oracle

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// exclusionGrace is how long an excluded server may still start requests, counted from the
// return of the operator's command.
const exclusionGrace = 2 * time.Second

// maxFindings limits the findings that a verdict describes.
const maxFindings = 20

// Run is one run of a request on a backend server.
type Run struct {
	Server     string    `json:"server"`
	DataCentre string    `json:"dataCentre"`
	Service    string    `json:"service"`
	ID         string    `json:"id"`
	Key        string    `json:"key"`
	Idempotent bool      `json:"idempotent"`
	Start      time.Time `json:"start"`
	// End is the time after which the run could have no effect any more.
	End time.Time `json:"end"`
	// Overload is set if the server received the request beyond its capacity. Such a Run records
	// the request's arrival, not its execution.
	Overload bool `json:"overload"`
	// ForgedCaller is set if the server received an API key, or a workspace that no key of the
	// caller belongs to.
	ForgedCaller bool `json:"forgedCaller"`
}

// CallerResult is the final result of a request, as its caller saw it.
type CallerResult struct {
	ID string
	// Outcome is answered, notRun or unknown.
	Outcome string
	// WrongReply is set if the reply was that to another request, or malformed.
	WrongReply bool
	// ConnectionLost is set if the connection to a host that was not killed broke without a reply.
	ConnectionLost bool
}

// Verdict counts the violations of what the system guarantees.
type Verdict struct {
	// TwoOwners counts runs that began while another server was running a request for the same key.
	TwoOwners int `json:"twoOwners"`
	// DoubleRun counts non-idempotent requests that ran more than once.
	DoubleRun int `json:"doubleRun"`
	// WrongAnswer counts replies that were those to another request, or malformed.
	WrongAnswer int `json:"wrongAnswer"`
	// FalseNotRun counts requests that ran although the reply said that they had not.
	FalseNotRun int `json:"falseNotRun"`
	// Overload counts requests that a server received beyond its capacity.
	Overload int `json:"overload"`
	// NewWorkAfterOut counts runs that began on a server while it was excluded.
	NewWorkAfterOut int `json:"newWorkAfterOut"`
	// ForgedCaller counts requests with an API key, or without the workspace of the caller's.
	ForgedCaller int `json:"forgedCaller"`
	// CutRequest counts requests whose connection broke without a reply.
	CutRequest int `json:"cutRequest"`
	// Findings describe the first maxFindings violations.
	Findings []string `json:"findings,omitempty"`
}

// Total returns the number of violations.
func (v Verdict) Total() int {
	return v.TwoOwners + v.DoubleRun + v.WrongAnswer + v.FalseNotRun + v.Overload + v.NewWorkAfterOut + v.ForgedCaller + v.CutRequest
}

// Oracle records runs, results and exclusions, and checks them against each other.
type Oracle struct {
	mu         sync.Mutex
	runs       []Run
	results    []CallerResult
	exclusions []exclusion
}

// exclusion is a period in which a data centre or a server was out of service.
type exclusion struct {
	dataCentre, server string
	startedAt, endedAt time.Time
}

// New returns an Oracle without records.
func New() *Oracle { return &Oracle{} }

// RecordRun records a run that has ended.
func (o *Oracle) RecordRun(r Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, r)
}

// RecordResult records the final result of a request.
func (o *Oracle) RecordResult(r CallerResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
}

// RecordExclusion records that the operator's command to exclude a data centre or a server
// has returned.
func (o *Oracle) RecordExclusion(dataCentre, server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.exclusions = append(o.exclusions, exclusion{dataCentre: dataCentre, server: server, startedAt: at})
}

// RecordInclusion records that the operator is about to end an exclusion.
func (o *Oracle) RecordInclusion(dataCentre, server string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.exclusions {
		if o.exclusions[i].dataCentre == dataCentre && o.exclusions[i].server == server && o.exclusions[i].endedAt.IsZero() {
			o.exclusions[i].endedAt = at
		}
	}
}

// RunCount returns the number of recorded runs.
func (o *Oracle) RunCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runs)
}

// Verdict checks all records so far.
func (o *Oracle) Verdict() Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	var v Verdict
	o.checkConcurrentRuns(&v)
	runsByID := o.checkDuplicates(&v)
	for _, r := range o.runs {
		if r.Overload {
			v.Overload++
			v.addFinding("%s received request %s beyond its capacity", r.Server, r.ID)
		}
		if r.ForgedCaller {
			v.ForgedCaller++
			v.addFinding("%s received request %s with an API key or of an unknown workspace", r.Server, r.ID)
		}
		if o.startedWhileExcluded(r) {
			v.NewWorkAfterOut++
			v.addFinding("%s in %s started request %s while excluded", r.Server, r.DataCentre, r.ID)
		}
	}
	for _, result := range o.results {
		switch {
		case result.ConnectionLost:
			v.CutRequest++
			v.addFinding("the connection of request %s broke without a reply", result.ID)
		case result.WrongReply:
			v.WrongAnswer++
			v.addFinding("request %s got a wrong or malformed reply", result.ID)
		case result.Outcome == "notRun" && runsByID[result.ID] > 0:
			v.FalseNotRun++
			v.addFinding("request %s ran, but the reply said that it did not", result.ID)
		}
	}
	return v
}

// checkConcurrentRuns finds keys for which two servers ran requests at the same time.
func (o *Oracle) checkConcurrentRuns(v *Verdict) {
	byKey := map[string][]Run{}
	for _, r := range o.runs {
		if r.Key != "" {
			byKey[r.Service+"/"+r.Key] = append(byKey[r.Service+"/"+r.Key], r)
		}
	}
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
		// lastEnd is the latest end of a run so far, by server.
		lastEnd := map[string]time.Time{}
		for _, r := range runs {
			for server, end := range lastEnd {
				if server != r.Server && end.After(r.Start) {
					v.TwoOwners++
					v.addFinding("key %s: %s started request %s while %s was running another", key, r.Server, r.ID, server)
					break
				}
			}
			if r.End.After(lastEnd[r.Server]) {
				lastEnd[r.Server] = r.End
			}
		}
	}
}

// checkDuplicates finds non-idempotent requests that ran more than once. It returns the number
// of runs by request ID.
func (o *Oracle) checkDuplicates(v *Verdict) map[string]int {
	runsByID := map[string]int{}
	sorted := slices.Clone(o.runs)
	slices.SortFunc(sorted, func(a, b Run) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range sorted {
		runsByID[r.ID]++
		if !r.Idempotent && runsByID[r.ID] == 2 {
			v.DoubleRun++
			v.addFinding("request %s ran twice, the second time on %s", r.ID, r.Server)
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

// Imbalance returns the number of runs on the busiest server of a service, divided by the mean
// over all its servers. Only runs that began between from and to count.
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

// DuplicateRunShare returns the share of a service's runs that were not the first of their
// request. Only runs that began at the time since or later count.
func (o *Oracle) DuplicateRunShare(service string, since time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, total, duplicates := map[string]bool{}, 0, 0
	for _, r := range o.runs {
		if r.Service != service || r.Overload || r.Start.Before(since) {
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

// LastStartAfter returns the time from since to the start of the last run in a data centre;
// zero if no run began after since.
func (o *Oracle) LastStartAfter(dataCentre string, since time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := time.Duration(0)
	for _, r := range o.runs {
		if r.DataCentre == dataCentre {
			last = max(last, r.Start.Sub(since))
		}
	}
	return last
}
