// Package burn counts the outcomes of requests and computes how fast they burn the
// error budgets of the services' objectives over several windows, and the main cause.
//
// # Usage
//
//	m := burn.New(now)
//	m.Count(now, "intake", burn.Slow)
//	c := m.Counts(now, dataCentre)           // of one daemon
//	rows := burn.Rates(objectives, counts)   // of all daemons
//
// A Meter is not safe for concurrent use: its caller holds a lock. A daemon has no
// counts from before its start; Counts.ObservedFor is how long it has counted. No function
// returns an error.
package burn

import (
	"slices"
	"time"
)

// Outcome is how a request ended, as the objectives classify it.
type Outcome int

// Outcomes of requests.
const (
	Good    Outcome = iota // answered within the latency target
	Slow                   // answered after the latency target
	Refused                // refused without being run
	Unknown                // failed; the request may have run
	outcomeCount
)

const (
	bucketLength = 5 * time.Second
	bucketCount  = 720 // one hour
)

// Windows returns the time windows of the report, which end now.
func Windows() []time.Duration {
	return []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour}
}

// Meter counts one daemon's requests of the last hour, in a ring of buckets for each
// service.
type Meter struct {
	startedAt time.Time
	services  map[string]*[bucketCount]bucket
}

type bucket struct {
	index  int64 // number of buckets since the start; -1 while unused
	counts [outcomeCount]uint64
}

// WindowCounts are the requests to one service in one window at one daemon, by outcome.
type WindowCounts struct {
	Window  time.Duration `json:"window"`
	Good    uint64        `json:"good"`
	Slow    uint64        `json:"slow"`
	Refused uint64        `json:"refused"`
	Unknown uint64        `json:"unknown"`
}

// Counts are the counts of one daemon.
type Counts struct {
	DataCentre string `json:"dataCentre"`
	// ObservedFor is how long this daemon has counted.
	ObservedFor time.Duration `json:"known"`
	// Services holds the counts of each service, in the order of Windows.
	Services map[string][]WindowCounts `json:"services"`
}

// New returns a Meter that starts to count now.
func New(now time.Time) *Meter {
	return &Meter{startedAt: now, services: map[string]*[bucketCount]bucket{}}
}

// Count records the outcome of a request.
func (m *Meter) Count(now time.Time, service string, o Outcome) {
	ring := m.services[service]
	if ring == nil {
		ring = &[bucketCount]bucket{}
		for i := range ring {
			ring[i].index = -1
		}
		m.services[service] = ring
	}
	index := int64(now.Sub(m.startedAt) / bucketLength)
	b := &ring[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	b.counts[o]++
}

// Counts returns the counts of all services over all windows.
func (m *Meter) Counts(now time.Time, dataCentre string) Counts {
	out := Counts{DataCentre: dataCentre, ObservedFor: now.Sub(m.startedAt), Services: map[string][]WindowCounts{}}
	last := int64(now.Sub(m.startedAt) / bucketLength)
	for name, ring := range m.services {
		for _, window := range Windows() {
			c := WindowCounts{Window: window}
			first := last - int64(window/bucketLength) + 1
			for i := range ring {
				if index := ring[i].index; index >= 0 && index >= first && index <= last {
					c.Good += ring[i].counts[Good]
					c.Slow += ring[i].counts[Slow]
					c.Refused += ring[i].counts[Refused]
					c.Unknown += ring[i].counts[Unknown]
				}
			}
			out.Services[name] = append(out.Services[name], c)
		}
	}
	return out
}

// Objective is the service level objective of a service: the share of requests that should be
// answered, and the share of answers that should come within the latency target.
type Objective struct {
	Service       string
	AnsweredShare float64
	FastShare     float64
}

// Row holds the burn rates of one service over one window, in one data centre or, with
// an empty DataCentre, in all of them.
type Row struct {
	Service    string        `json:"service"`
	DataCentre string        `json:"dataCentre"`
	Window     time.Duration `json:"window"`
	Requests   uint64        `json:"requests"`
	// AnsweredBurn and FastBurn are burn rates: at 1 the error budget is used up
	// exactly, above 1 the objective is missed.
	AnsweredBurn float64 `json:"answeredBurn"`
	FastBurn     float64 `json:"fastBurn"`
	// Cause is the most frequent cause: slow answers, refusals or unknown outcomes,
	// or none.
	Cause string `json:"cause"`
	// ObservedFor is the shortest time for which any of the daemons has counted, at most the
	// window. If it is shorter than the window, counts for the rest of the window are missing.
	ObservedFor time.Duration `json:"known"`
}

// Rates returns a row for each objective and window, first for all data centres
// together and then for each.
func Rates(objectives []Objective, daemonCounts []Counts) []Row {
	var dataCentres []string
	for _, c := range daemonCounts {
		if !slices.Contains(dataCentres, c.DataCentre) {
			dataCentres = append(dataCentres, c.DataCentre)
		}
	}
	slices.Sort(dataCentres)
	var rows []Row
	for _, o := range objectives {
		for i, window := range Windows() {
			for _, dataCentre := range append([]string{""}, dataCentres...) {
				rows = append(rows, rowFor(o, i, window, dataCentre, daemonCounts))
			}
		}
	}
	return rows
}

// rowFor returns one row; index is the position of window in Windows.
func rowFor(o Objective, index int, window time.Duration, dataCentre string, daemonCounts []Counts) Row {
	r := Row{Service: o.Service, DataCentre: dataCentre, Window: window, ObservedFor: window}
	var total WindowCounts
	for _, c := range daemonCounts {
		if dataCentre != "" && c.DataCentre != dataCentre {
			continue
		}
		r.ObservedFor = min(r.ObservedFor, c.ObservedFor)
		if s := c.Services[o.Service]; index < len(s) {
			total.Good += s[index].Good
			total.Slow += s[index].Slow
			total.Refused += s[index].Refused
			total.Unknown += s[index].Unknown
		}
	}
	answered := total.Good + total.Slow
	r.Requests = answered + total.Refused + total.Unknown
	if r.Requests > 0 {
		r.AnsweredBurn = burnRate(float64(total.Refused+total.Unknown)/float64(r.Requests), o.AnsweredShare)
	}
	if answered > 0 {
		r.FastBurn = burnRate(float64(total.Slow)/float64(answered), o.FastShare)
	}
	r.Cause = mainCause(total)
	return r
}

// burnRate returns the share of bad requests relative to the share that the objective
// allows. An objective of 1 allows none, so it counts as 0.999999 to avoid a division
// by zero.
func burnRate(badShare, objective float64) float64 {
	if objective >= 1 {
		objective = 0.999999
	}
	return badShare / (1 - objective)
}

func mainCause(c WindowCounts) string {
	most, mostFrequent := uint64(0), "none"
	for _, cause := range []struct {
		n    uint64
		name string
	}{{c.Slow, "slow answers"}, {c.Refused, "refusals"}, {c.Unknown, "unknown outcomes"}} {
		if cause.n > most {
			most, mostFrequent = cause.n, cause.name
		}
	}
	return mostFrequent
}
