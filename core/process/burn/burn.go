// Package burn counts how the service levels of a site are kept, and works out
// how fast their error budgets burn over several windows, and what burns them.
//
// # Usage
//
//	m := burn.New(now)
//	m.Count(now, "intake", burn.Slow)
//	c := m.Counts(now)                       // of one daemon
//	r := burn.Sum(levels, counts)            // of the fleet
//
// A Meter is used under one lock. A daemon that has just started does not know
// the time before; Counts says how long it knows. Nothing here fails.
package burn

import (
	"slices"
	"time"
)

// Kind is how a request ended, as far as service levels go.
type Kind int

// Kinds of ends.
const (
	Good    Kind = iota // answered in time
	Slow                // answered late
	Refused             // not run
	Unknown             // outcome unknown
	kinds
)

const (
	bucket  = 5 * time.Second
	buckets = 720 // one hour
)

// Windows are the spans that are reported.
func Windows() []time.Duration {
	return []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour}
}

// Meter counts one daemon's requests.
type Meter struct {
	began    time.Time
	services map[string]*[buckets]cell
}

type cell struct {
	at int64 // the bucket's number since the start
	n  [kinds]uint64
}

// Count is what one service had in one window at one daemon.
type Count struct {
	Window  time.Duration `json:"window"`
	Good    uint64        `json:"good"`
	Slow    uint64        `json:"slow"`
	Refused uint64        `json:"refused"`
	Unknown uint64        `json:"unknown"`
}

// Counts is all that one daemon knows.
type Counts struct {
	DataCentre string `json:"dataCentre"`
	// Known is how long this daemon has counted.
	Known    time.Duration      `json:"known"`
	Services map[string][]Count `json:"services"`
}

// New returns a Meter that begins to count now.
func New(now time.Time) *Meter { return &Meter{began: now, services: map[string]*[buckets]cell{}} }

// Count notes the end of a request.
func (m *Meter) Count(now time.Time, service string, k Kind) {
	ring := m.services[service]
	if ring == nil {
		ring = &[buckets]cell{}
		for i := range ring {
			ring[i].at = -1
		}
		m.services[service] = ring
	}
	at := int64(now.Sub(m.began) / bucket)
	c := &ring[at%buckets]
	if c.at != at {
		*c = cell{at: at}
	}
	c.n[k]++
}

// Counts adds up the windows.
func (m *Meter) Counts(now time.Time, dataCentre string) Counts {
	out := Counts{DataCentre: dataCentre, Known: now.Sub(m.began), Services: map[string][]Count{}}
	last := int64(now.Sub(m.began) / bucket)
	for name, ring := range m.services {
		for _, w := range Windows() {
			c := Count{Window: w}
			first := last - int64(w/bucket) + 1
			for i := range ring {
				if at := ring[i].at; at >= 0 && at >= first && at <= last {
					c.Good += ring[i].n[Good]
					c.Slow += ring[i].n[Slow]
					c.Refused += ring[i].n[Refused]
					c.Unknown += ring[i].n[Unknown]
				}
			}
			out.Services[name] = append(out.Services[name], c)
		}
	}
	return out
}

// Level is a service's promise.
type Level struct {
	Service   string
	Answered  float64
	FastShare float64
}

// Row is the burn of one service over one window, in one data centre or, with
// DataCentre empty, in all.
type Row struct {
	Service    string        `json:"service"`
	DataCentre string        `json:"dataCentre"`
	Window     time.Duration `json:"window"`
	Requests   uint64        `json:"requests"`
	// AnsweredBurn and FastBurn are multiples of the rate that spends the error
	// budget exactly; above 1 the level is being missed.
	AnsweredBurn float64 `json:"answeredBurn"`
	FastBurn     float64 `json:"fastBurn"`
	// Cause names what burned most: slow answers, refusals, unknown outcomes.
	Cause string `json:"cause"`
	// Known is the shortest time that a daemon has counted, if less than the
	// window: the rest of the window is not known there.
	Known time.Duration `json:"known"`
}

// Sum adds up the counts of a fleet.
func Sum(levels []Level, fleet []Counts) []Row {
	var places []string
	for _, c := range fleet {
		if !slices.Contains(places, c.DataCentre) {
			places = append(places, c.DataCentre)
		}
	}
	slices.Sort(places)
	var rows []Row
	for _, l := range levels {
		for i, w := range Windows() {
			for _, place := range append([]string{""}, places...) {
				rows = append(rows, sum(l, i, w, place, fleet))
			}
		}
	}
	return rows
}

func sum(l Level, window int, w time.Duration, place string, fleet []Counts) Row {
	r := Row{Service: l.Service, DataCentre: place, Window: w, Known: w}
	var total Count
	for _, c := range fleet {
		if place != "" && c.DataCentre != place {
			continue
		}
		r.Known = min(r.Known, c.Known)
		if s := c.Services[l.Service]; window < len(s) {
			total.Good += s[window].Good
			total.Slow += s[window].Slow
			total.Refused += s[window].Refused
			total.Unknown += s[window].Unknown
		}
	}
	answered := total.Good + total.Slow
	r.Requests = answered + total.Refused + total.Unknown
	if r.Requests > 0 {
		r.AnsweredBurn = rate(float64(total.Refused+total.Unknown)/float64(r.Requests), l.Answered)
	}
	if answered > 0 {
		r.FastBurn = rate(float64(total.Slow)/float64(answered), l.FastShare)
	}
	r.Cause = cause(total)
	return r
}

func rate(bad, level float64) float64 {
	if level >= 1 {
		level = 0.999999
	}
	return bad / (1 - level)
}

func cause(c Count) string {
	worst, name := uint64(0), "none"
	for _, v := range []struct {
		n    uint64
		name string
	}{{c.Slow, "slow answers"}, {c.Refused, "refusals"}, {c.Unknown, "unknown outcomes"}} {
		if v.n > worst {
			worst, name = v.n, v.name
		}
	}
	return name
}
