package site

import (
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Site is the whole configuration. Treat it as immutable. The yaml tags of all types are the field
// names in operators' files and in the store, so they must not change when fields are renamed.
type Site struct {
	// Name identifies the site in reports.
	Name        string       `yaml:"name"`
	Services    []Service    `yaml:"services"`
	DataCentres []DataCentre `yaml:"dataCentres"`
	// Presets are the sets of settings that the operator can choose from. Exactly one is active in
	// a valid site.
	Presets []Preset `yaml:"presets"`
	// Exclusions are the data centres and hosts that commands took out of service.
	Exclusions []Exclusion `yaml:"outs,omitempty"`
	// Workspaces are the customers whose callers show API keys. Without any, callers need none.
	Workspaces []Workspace `yaml:"workspaces,omitempty"`
	// ChangeDescription describes the change that made this version. An operator whose own change
	// conflicts with it is shown this text.
	ChangeDescription string `yaml:"change,omitempty"`
	// WriteID is unique to each write. A writer that got no response from the store compares it
	// with the stored one to find out whether its change was made.
	WriteID string `yaml:"writer,omitempty"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name string `yaml:"name"`
	// Keyed is set when each key of the service is held by one server at a time.
	Keyed bool `yaml:"keyed"`
	// KeySegment is the path segment that holds the key, counted from 1 after the
	// service's name; zero means that the Catkinstep-Key header holds it.
	KeySegment int `yaml:"keySegment,omitempty"`
	// KeyByID makes the request ID the key. It is for services without keys of their own
	// whose requests must run at most once even if callers retry them.
	KeyByID bool `yaml:"keyByID,omitempty"`
	// Slots is how many requests one server runs concurrently.
	Slots int `yaml:"slots"`
	// MaxConnections limits the connections from all daemons together to one server.
	MaxConnections int `yaml:"connections"`
	// DefaultTimeout applies to requests that set no timeout themselves; default 5s.
	DefaultTimeout time.Duration `yaml:"deadline,omitempty"`
	// MaxAttempts limits how often one request may be sent, to the same or to different
	// servers; default 2. Attempts that certainly reached no server do not count.
	MaxAttempts int `yaml:"attempts,omitempty"`
	// ColdPeriod is how long a server is cold after its start, that is, can handle only
	// ColdRate requests per second; default 3s.
	ColdPeriod time.Duration `yaml:"cold,omitempty"`
	// ColdRate is how many requests per second a cold server can handle, from all daemons
	// together; default 20.
	ColdRate float64 `yaml:"coldRate,omitempty"`
	// IdempotentMethods are the methods whose requests may run more than once; default
	// GET and HEAD.
	IdempotentMethods []string `yaml:"idempotent,omitempty"`
	// Anonymous lets callers in without an API key.
	Anonymous  bool       `yaml:"anonymous,omitempty"`
	Objectives Objectives `yaml:"levels,omitempty"`
}

// Objectives are the service level objectives of a service. The burn report, which package burn
// computes, shows how fast requests that miss them use up the error budgets.
type Objectives struct {
	// AnsweredShare is the objective for the share of requests that are answered; default 0.999.
	AnsweredShare float64 `yaml:"answered,omitempty"`
	// LatencyThreshold determines the latency target of the service's routes, within which an
	// answer is fast; default 100ms.
	LatencyThreshold time.Duration `yaml:"within,omitempty"`
	// FastShare is the objective for the share of answers that are fast; default 0.99.
	FastShare float64 `yaml:"fastShare,omitempty"`
}

// DataCentre is a location with its own backend servers, and its own entry hosts on which the
// daemons run.
type DataCentre struct {
	Name    string   `yaml:"name"`
	Servers []Server `yaml:"servers"`
}

// Server is one backend server.
type Server struct {
	Address string `yaml:"address"`
	Service string `yaml:"service"`
	// ListedAt is when a command added the server or took it back into service, in Unix
	// milliseconds; a file need not set it. The server may have started just before.
	ListedAt int64 `yaml:"listedAt,omitempty"`
}

// Preset is a named set of settings that the operator can switch to.
type Preset struct {
	Name   string `yaml:"name"`
	Active bool   `yaml:"inForce,omitempty"`
	// RetryShare limits retries to a share of the requests; default 0.1.
	RetryShare float64 `yaml:"retryShare,omitempty"`
	// DisableRebalancing keeps keys at busy and slow servers instead of moving them
	// away: fewer moves, but higher tail latency.
	DisableRebalancing bool `yaml:"keepKeys,omitempty"`
	// ExcludedDataCentres are out of service while the preset is active.
	ExcludedDataCentres []string `yaml:"out,omitempty"`
}

// Exclusion takes a data centre or a host out of service. The status that operators query
// contains it as JSON with the Go names of its fields, so these must not change.
type Exclusion struct {
	DataCentre string `yaml:"dataCentre,omitempty"`
	// Host is the address of a backend server, or the IP address of a host for all servers
	// on it.
	Host string `yaml:"host,omitempty"`
}

// Marshal encodes the site for the store.
func (s Site) Marshal() ([]byte, error) {
	data, err := yaml.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "marshal", Kind: Malformed, Err: err}
	}
	return data, nil
}

// Unmarshal decodes a stored site. Use Parse for a file that an operator wrote.
func Unmarshal(data []byte) (Site, error) {
	var s Site
	if err := yaml.Unmarshal(data, &s); err != nil {
		return Site{}, &Error{Op: "unmarshal", Kind: Malformed, Err: err}
	}
	return s.withDefaults(), nil
}

// Service returns the service with the given name.
func (s Site) Service(name string) (Service, bool) {
	for _, svc := range s.Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return Service{}, false
}

// DataCentre returns the data centre with the given name.
func (s Site) DataCentre(name string) (DataCentre, bool) {
	for _, d := range s.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return DataCentre{}, false
}

// ActivePreset returns the active preset. It is the zero Preset if none is active, which is
// possible only in a site that was not validated.
func (s Site) ActivePreset() Preset {
	for _, p := range s.Presets {
		if p.Active {
			return p
		}
	}
	return Preset{}
}

// DataCentreExcluded reports whether an exclusion or the active preset takes a data centre out of
// service.
func (s Site) DataCentreExcluded(name string) bool {
	for _, e := range s.Exclusions {
		if e.DataCentre == name {
			return true
		}
	}
	for _, d := range s.ActivePreset().ExcludedDataCentres {
		if d == name {
			return true
		}
	}
	return false
}

// HostExcluded reports whether an exclusion takes the backend server at an address, or all servers
// on its host, out of service.
func (s Site) HostExcluded(address string) bool { return s.hostExclusion(address).Host != "" }

// IsIdempotent reports whether requests with the method may run more than once.
func (s Service) IsIdempotent(method string) (idempotent bool) {
	for _, m := range s.IdempotentMethods {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}

func (s Site) hostExclusion(address string) Exclusion {
	for _, e := range s.Exclusions {
		if e.Host == "" {
			continue
		}
		if e.Host == address || strings.HasPrefix(address, e.Host+":") {
			return e
		}
	}
	return Exclusion{}
}

func (s Site) withDefaults() Site {
	services := make([]Service, len(s.Services))
	for i, svc := range s.Services {
		svc.DefaultTimeout = orDefault(svc.DefaultTimeout, 5*time.Second)
		svc.MaxAttempts = orDefault(svc.MaxAttempts, 2)
		svc.ColdPeriod = orDefault(svc.ColdPeriod, 3*time.Second)
		svc.ColdRate = orDefault(svc.ColdRate, 20)
		if len(svc.IdempotentMethods) == 0 {
			svc.IdempotentMethods = []string{"GET", "HEAD"}
		}
		svc.Objectives.AnsweredShare = orDefault(svc.Objectives.AnsweredShare, 0.999)
		svc.Objectives.LatencyThreshold = orDefault(svc.Objectives.LatencyThreshold, 100*time.Millisecond)
		svc.Objectives.FastShare = orDefault(svc.Objectives.FastShare, 0.99)
		services[i] = svc
	}
	presets := make([]Preset, len(s.Presets))
	for i, p := range s.Presets {
		p.RetryShare = orDefault(p.RetryShare, 0.1)
		presets[i] = p
	}
	s.Services, s.Presets = services, presets
	return s
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
