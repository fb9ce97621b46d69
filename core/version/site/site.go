package site

import (
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Site is the whole configuration. Treat it as immutable.
type Site struct {
	// Name identifies the site in reports.
	Name        string       `yaml:"name"`
	Services    []Service    `yaml:"services"`
	DataCentres []DataCentre `yaml:"dataCentres"`
	// Presets are the operator's prepared settings; exactly one is active.
	Presets []Preset `yaml:"presets"`
	// Exclusions are the data centres and hosts that commands took out of service.
	Exclusions []Exclusion `yaml:"outs,omitempty"`
	// Change describes the change that made this version, to report conflicts.
	Change string `yaml:"change,omitempty"`
	// WriteID is unique to each write. A writer that lost the reply recognises its
	// own change by it.
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
	// MaxConnections limits the connections to one server.
	MaxConnections int `yaml:"connections"`
	// DefaultTimeout applies to requests without a time limit; default 5s.
	DefaultTimeout time.Duration `yaml:"deadline,omitempty"`
	// MaxAttempts limits the number of servers that one request is sent to; default 2.
	MaxAttempts int `yaml:"attempts,omitempty"`
	// ColdPeriod is how long a server is cold after its start; default 3s.
	ColdPeriod time.Duration `yaml:"cold,omitempty"`
	// ColdRate is how many requests per second a cold server can handle; default 20.
	ColdRate float64 `yaml:"coldRate,omitempty"`
	// IdempotentMethods are the methods whose requests may run more than once; default
	// GET and HEAD.
	IdempotentMethods []string   `yaml:"idempotent,omitempty"`
	Objectives        Objectives `yaml:"levels,omitempty"`
}

// Objectives are the service level objectives that the burn report is based on.
type Objectives struct {
	// AnsweredShare is the share of requests to be answered; default 0.999.
	AnsweredShare float64 `yaml:"answered,omitempty"`
	// LatencyThreshold is the latency that FastShare refers to; default 100ms.
	LatencyThreshold time.Duration `yaml:"within,omitempty"`
	// FastShare is the share of answers to arrive within LatencyThreshold; default 0.99.
	FastShare float64 `yaml:"fastShare,omitempty"`
}

// DataCentre is a location with its own entry hosts and backend servers.
type DataCentre struct {
	Name    string   `yaml:"name"`
	Servers []Server `yaml:"servers"`
}

// Server is one backend server.
type Server struct {
	Address string `yaml:"address"`
	Service string `yaml:"service"`
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

// Exclusion takes a data centre or a host out of service. It has no json tags: the
// operator's status shows it under the Go names of its fields.
type Exclusion struct {
	DataCentre string `yaml:"dataCentre,omitempty"`
	// Host is the address of a backend server, or an IP address for all servers on it.
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
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
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

// ActivePreset returns the active preset, or an empty one if none is active.
func (s Site) ActivePreset() Preset {
	for _, p := range s.Presets {
		if p.Active {
			return p
		}
	}
	return Preset{}
}

// DataCentreExcluded reports whether a data centre is out of service by an exclusion
// or by the active preset.
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

// HostExcluded reports whether an exclusion takes a backend server out of service.
func (s Site) HostExcluded(address string) bool { return s.hostExclusion(address).Host != "" }

// IsIdempotent reports whether requests with the method may run more than once.
func (v Service) IsIdempotent(method string) (idempotent bool) {
	for _, m := range v.IdempotentMethods {
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
	for i, v := range s.Services {
		v.DefaultTimeout = orDefault(v.DefaultTimeout, 5*time.Second)
		v.MaxAttempts = orDefault(v.MaxAttempts, 2)
		v.ColdPeriod = orDefault(v.ColdPeriod, 3*time.Second)
		v.ColdRate = orDefault(v.ColdRate, 20)
		if len(v.IdempotentMethods) == 0 {
			v.IdempotentMethods = []string{"GET", "HEAD"}
		}
		v.Objectives.AnsweredShare = orDefault(v.Objectives.AnsweredShare, 0.999)
		v.Objectives.LatencyThreshold = orDefault(v.Objectives.LatencyThreshold, 100*time.Millisecond)
		v.Objectives.FastShare = orDefault(v.Objectives.FastShare, 0.99)
		services[i] = v
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
