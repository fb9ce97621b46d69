package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"catkinstep/core/version/space"
)

// Config is one accepted version of the configuration, in the form that routing uses. It is
// derived from the operator's site (see package site) or from the configuration of another
// platform. The json tags of all types are the field names in encoded configurations, so they must
// not change when fields are renamed.
type Config struct {
	// Version increases with each accepted change, not necessarily by one.
	Version  uint64    `json:"version"`
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// RetryShare limits retries to a share of the requests; 0 leaves the limit to
	// the daemons' settings.
	RetryShare float64 `json:"retryShare,omitempty"`
	// DisableRebalancing keeps keys at busy and slow servers instead of moving them away:
	// fewer moves, but higher tail latency.
	DisableRebalancing bool `json:"keepKeys,omitempty"`
	// KeysRequired is set when callers must show the API key of a workspace, except on anonymous
	// routes. Without it there are no workspaces.
	KeysRequired bool              `json:"keysRequired,omitempty"`
	Workspaces   []space.Workspace `json:"workspaces,omitempty"`
	// directory finds Workspaces by their keys.
	directory space.Directory
	// routesByHost maps a host name in lower case to the indexes of its routes.
	routesByHost map[string][]int
}

// Limits are the limits on what a caller may send.
type Limits struct {
	// MaxHeaderBytes limits the size of the request line and headers.
	MaxHeaderBytes int   `json:"headerBytes"`
	MaxBodyBytes   int64 `json:"bodyBytes"`
	// ReadTimeout is how long a whole request, with its body, may take to arrive.
	ReadTimeout time.Duration `json:"header"`
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration `json:"idle"`
}

// Route says how the requests to a host under a path prefix are handled.
type Route struct {
	Name string `json:"name"`
	// Host is matched against the Host header; AnyHost matches every host.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Methods are the methods that the route matches. If empty, it matches every
	// method that no other route of the same host and prefix lists.
	Methods []string `json:"methods,omitempty"`
	// StripPrefix is removed from the path before the request is sent to a server.
	StripPrefix string `json:"strip,omitempty"`
	// Destinations are the services that share the requests; most routes have one.
	Destinations []Destination `json:"parts"`
	// Idempotent is set when a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller waits for its reply.
	Timeout time.Duration `json:"timeout"`
	// LatencyTarget is the latency within which callers should get their replies.
	LatencyTarget time.Duration `json:"aim"`
	// MaxAttempts limits how often one request may be sent, to the same or to different
	// backend servers. Attempts that certainly reached no server do not count.
	MaxAttempts int `json:"attempts"`
	// Priority orders the routes of a service; 0 is the highest priority. A workspace's own
	// priority goes before it.
	Priority int `json:"priority"`
	// Anonymous is set when callers need no API key.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Destination is a service with its weight among the destinations of a route.
type Destination struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections limits the connections from all daemons together to one server.
	MaxConnections int `json:"connections"`
	// Keyed is set when a request may run only at the holder of its key.
	Keyed bool `json:"keyed"`
	// KeySegment is the path segment that holds the key if the caller sends no key
	// number. Segments are counted from 1 after StripPrefix.
	KeySegment int `json:"keySegment,omitempty"`
	// KeyByID is set when the request ID is the key.
	KeyByID bool `json:"keyByID,omitempty"`
	// KeyWarmup is how long requests for a key are slow at a server that received the
	// key without a handover.
	KeyWarmup time.Duration `json:"warm"`
	// ColdPeriod is how long a server is cold after its start, that is, can handle only
	// ColdRate requests per second.
	ColdPeriod time.Duration `json:"cold"`
	// ColdRate is how many requests per second a cold server can handle, from all
	// daemons together.
	ColdRate float64 `json:"coldRate"`
}

// Match returns the most specific route for a request. The route with the longest prefix
// of the path wins, even if its host is AnyHost; then a route that lists the method; then
// one for the host rather than for AnyHost. It finds only routes that WithIndex has indexed.
func (c Config) Match(host, path, method string) (Route, bool) {
	host = strings.ToLower(stripPort(host))
	best := -1
	for _, routes := range [][]int{c.routesByHost[host], c.routesByHost[AnyHost]} {
		for _, i := range routes {
			r := &c.Routes[i]
			if r.matches(path, method) && (best < 0 || r.moreSpecific(&c.Routes[best])) {
				best = i
			}
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Workspace returns the workspace that has an API key. It finds only workspaces that WithIndex
// has indexed.
func (c Config) Workspace(h space.KeyHash) (space.Workspace, bool) { return c.directory.Find(h) }

// WorkspaceWeight is how much a workspace should be served in relation to others when not all can
// be. It requires WithIndex.
func (c Config) WorkspaceWeight(w space.Workspace) float64 { return c.directory.Weight(w) }

// WorkspaceNamed returns the workspace with a name. It finds only workspaces that WithIndex has
// indexed.
func (c Config) WorkspaceNamed(name string) (space.Workspace, bool) { return c.directory.Named(name) }

// HasAllowances reports whether any workspace has a limit.
func (c Config) HasAllowances() bool {
	return slices.ContainsFunc(c.Workspaces, func(w space.Workspace) bool { return w.Allowance.Limited() })
}

// WithIndex returns the configuration with its routes indexed by host and its workspaces by
// key. Match and Workspace require the index, so that they need not scan all of them for each
// request: some configurations have thousands.
func (c Config) WithIndex() Config {
	c.directory = space.NewDirectory(c.Workspaces)
	c.routesByHost = map[string][]int{}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], i)
	}
	return c
}

// AnyHost is the Host of a route that matches every host.
const AnyHost = "*"

func (r *Route) matches(path, method string) bool {
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.ContainsFunc(r.Methods, func(m string) bool { return strings.EqualFold(m, method) })
}

// moreSpecific reports whether r takes precedence over other when both match a
// request: the longer prefix wins, then the route that lists methods.
func (r *Route) moreSpecific(other *Route) bool {
	if len(r.Prefix) != len(other.Prefix) {
		return len(r.Prefix) > len(other.Prefix)
	}
	return len(r.Methods) > 0 && len(other.Methods) == 0
}

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Check returns an error for the first route that has no host, no prefix beginning with a
// slash or no destination, or that leads to a service that is not configured.
func (c Config) Check() error {
	for _, r := range c.Routes {
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || len(r.Destinations) == 0 {
			return &Error{Op: "check", Kind: BadRoute, Err: fmt.Errorf("route %q at %q%s needs a host, a prefix beginning with / and a destination", r.Name, r.Host, r.Prefix)}
		}
		for _, d := range r.Destinations {
			if _, ok := c.Service(d.Service); !ok {
				return &Error{Op: "check", Kind: UnknownService, Err: fmt.Errorf("route %q leads to %q", r.Name, d.Service)}
			}
		}
	}
	return nil
}

// PickService chooses a destination in proportion to the weights. u is a random
// number in [0, 1).
func (r Route) PickService(u float64) string {
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	u *= total
	for _, d := range r.Destinations {
		if u -= d.Weight; u < 0 {
			return d.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// stripPort removes the port from a Host header.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if _, err := netip.ParseAddr(host); err != nil {
			return host[:i]
		}
	}
	return host
}
