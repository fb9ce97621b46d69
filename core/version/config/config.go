package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Config is one accepted version of the configuration.
type Config struct {
	// Version grows with each accepted change, by irregular steps.
	Version  uint64    `json:"version"`
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// RetryShare bounds extra attempts as a share of the requests; 0 leaves it to
	// the daemons' settings.
	RetryShare float64 `json:"retryShare,omitempty"`
	// KeepKeys leaves busy servers their keys: fewer moves, longer tails.
	KeepKeys bool `json:"keepKeys,omitempty"`
	// hosts lists the routes of each host, by its name in lower case.
	hosts map[string][]int
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds a request's head, in bytes.
	HeaderBytes int `json:"headerBytes"`
	// BodyBytes bounds a request's body, in bytes.
	BodyBytes int64 `json:"bodyBytes"`
	// Header is how long a request's head may take to arrive.
	Header time.Duration `json:"header"`
	// Idle is how long a connection may be kept without a request.
	Idle time.Duration `json:"idle"`
}

// Route says what becomes of the requests of a host under a path prefix.
type Route struct {
	Name string `json:"name"`
	// Host is what callers name; AnyHost leaves it open.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Methods that the route takes; none means all that no other route of the
	// same host and prefix names.
	Methods []string `json:"methods,omitempty"`
	// Strip is taken off the front of the path before it goes to a server.
	Strip string `json:"strip,omitempty"`
	// Parts are the destinations with their weights; one for most routes.
	Parts []Part `json:"parts"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Aim is the latency within which an answer is fully useful.
	Aim time.Duration `json:"aim"`
	// Attempts bounds the backend servers that one request may be sent to.
	Attempts int `json:"attempts"`
	// Priority is the rank among the routes of a service; 0 is the most urgent.
	Priority int `json:"priority"`
}

// Part is a destination's share of a route.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// Connections bounds the connections to one server, from all daemons.
	Connections int `json:"connections"`
	// Keyed services run a request only at the server that holds its key.
	Keyed bool `json:"keyed"`
	// KeySegment is the segment of the path, from 1 after the stripped part, that
	// names the key where callers give no number.
	KeySegment int `json:"keySegment,omitempty"`
	// KeyByID takes a request's id for its key.
	KeyByID bool `json:"keyByID,omitempty"`
	// Warm is how long keys are slow at a server that got them without a handover.
	Warm time.Duration `json:"warm"`
	// Cold is how long a server stays cold after its start.
	Cold time.Duration `json:"cold"`
	// ColdRate is how many requests a second a cold server bears, from all daemons.
	ColdRate float64 `json:"coldRate"`
}

// Match finds the route with the longest prefix of a path at a host.
func (c Config) Match(host, path, method string) (Route, bool) {
	host = strings.ToLower(bare(host))
	best := -1
	for _, routes := range [][]int{c.hosts[host], c.hosts[AnyHost]} {
		for _, i := range routes {
			r := &c.Routes[i]
			if r.takes(path, method) && (best < 0 || r.before(&c.Routes[best])) {
				best = i
			}
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// WithIndex returns the configuration ready for Match, which finds nothing
// without: some have thousands of routes, and each request looks for its own.
func (c Config) WithIndex() Config {
	c.hosts = map[string][]int{}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		c.hosts[host] = append(c.hosts[host], i)
	}
	return c
}

// AnyHost is the Host of a route that answers to every name.
const AnyHost = "*"

func (r *Route) takes(path, method string) bool {
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.ContainsFunc(r.Methods, func(m string) bool { return strings.EqualFold(m, method) })
}

// before tells which of two routes that take a request counts: the one with the
// longer prefix, then the one that names the method.
func (r *Route) before(o *Route) bool {
	if len(r.Prefix) != len(o.Prefix) {
		return len(r.Prefix) > len(o.Prefix)
	}
	return len(r.Methods) > 0 && len(o.Methods) == 0
}

// Service finds a service by name.
func (c Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Check names the first thing that makes a configuration unusable.
func (c Config) Check() error {
	for _, r := range c.Routes {
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || len(r.Parts) == 0 {
			return &Error{Op: "check", Kind: BadRoute, Err: fmt.Errorf("route %q at %q%s has no host, prefix or destination", r.Name, r.Host, r.Prefix)}
		}
		for _, p := range r.Parts {
			if _, ok := c.Service(p.Service); !ok {
				return &Error{Op: "check", Kind: UnknownService, Err: fmt.Errorf("route %q leads to %q", r.Name, p.Service)}
			}
		}
	}
	return nil
}

// Pick draws a destination in proportion to the weights; u is from 0 to below 1.
func (r Route) Pick(u float64) string {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	u *= total
	for _, p := range r.Parts {
		if u -= p.Weight; u < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}

// bare drops the port of a Host header.
func bare(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if _, err := netip.ParseAddr(host); err != nil {
			return host[:i]
		}
	}
	return host
}
