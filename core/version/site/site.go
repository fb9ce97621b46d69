package site

import (
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Site is the whole configuration. Treat it as immutable.
type Site struct {
	// Name tells sites apart in reports.
	Name string `yaml:"name"`
	// Services are what callers can ask for.
	Services []Service `yaml:"services"`
	// DataCentres hold the backend servers.
	DataCentres []DataCentre `yaml:"dataCentres"`
	// Presets are the operator's prepared settings; one is in force.
	Presets []Preset `yaml:"presets"`
	// Outs are the data centres and hosts marked out.
	Outs []Out `yaml:"outs,omitempty"`
	// Change describes the change that made this version, for conflicts.
	Change string `yaml:"change,omitempty"`
	// Writer is a token unique to the write, by which a writer whose reply was
	// lost recognises its own change.
	Writer string `yaml:"writer,omitempty"`
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name string `yaml:"name"`
	// Keyed services give each key a sole owner.
	Keyed bool `yaml:"keyed"`
	// KeySegment is the path segment, counted from 1 after the service's name,
	// that holds the key; zero means the Catkinstep-Key header.
	KeySegment int `yaml:"keySegment,omitempty"`
	// KeyByID makes each request's id its key, for services that have no keys of their own
	// and whose bookings must run once although they are sent again.
	KeyByID bool `yaml:"keyByID,omitempty"`
	// Slots is how many requests one server runs at once.
	Slots int `yaml:"slots"`
	// Connections bounds the connections to one server.
	Connections int `yaml:"connections"`
	// Deadline is a caller's time limit when it names none; default 5s.
	Deadline time.Duration `yaml:"deadline,omitempty"`
	// Attempts bounds the servers that one request may be sent to; default 2.
	Attempts int `yaml:"attempts,omitempty"`
	// Cold is how long a server is cold after its start; default 3s.
	Cold time.Duration `yaml:"cold,omitempty"`
	// ColdRate is how many requests a second a cold server bears; default 20.
	ColdRate float64 `yaml:"coldRate,omitempty"`
	// Idempotent lists the methods that may be run more than once.
	Idempotent []string `yaml:"idempotent,omitempty"`
	// Levels are the service levels that the burn report counts against.
	Levels Levels `yaml:"levels,omitempty"`
}

// Levels are the promises to callers that the burn report measures.
type Levels struct {
	// Answered is the share of requests to be answered, as 0.999.
	Answered float64 `yaml:"answered,omitempty"`
	// Within is the latency that FastShare of the answers must keep.
	Within time.Duration `yaml:"within,omitempty"`
	// FastShare is the share of answers to be within that latency.
	FastShare float64 `yaml:"fastShare,omitempty"`
}

// DataCentre is a place with entry hosts and backend servers of its own.
type DataCentre struct {
	Name    string   `yaml:"name"`
	Servers []Server `yaml:"servers"`
}

// Server is one backend server.
type Server struct {
	Address string `yaml:"address"`
	Service string `yaml:"service"`
}

// Preset is a prepared set of limits.
type Preset struct {
	Name string `yaml:"name"`
	// InForce marks the one preset that counts.
	InForce bool `yaml:"inForce,omitempty"`
	// RetryShare bounds retries as a share of requests; default 0.1.
	RetryShare float64 `yaml:"retryShare,omitempty"`
	// KeepKeys leaves busy and slowed servers their keys: fewer moves, longer tails.
	KeepKeys bool `yaml:"keepKeys,omitempty"`
	// Out lists data centres that this preset takes out.
	Out []string `yaml:"out,omitempty"`
}

// Out takes a data centre or a host out of service.
type Out struct {
	DataCentre string `yaml:"dataCentre,omitempty"`
	// Host is a backend server's address, or an IP number for all on it.
	Host string `yaml:"host,omitempty"`
}

// Marshal gives the stored form of the site.
func (s Site) Marshal() ([]byte, error) {
	data, err := yaml.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "marshal", Kind: Malformed, Err: err}
	}
	return data, nil
}

// Unmarshal reads the stored form. Use Parse for text a person wrote.
func Unmarshal(data []byte) (Site, error) {
	var s Site
	if err := yaml.Unmarshal(data, &s); err != nil {
		return Site{}, &Error{Op: "unmarshal", Kind: Malformed, Err: err}
	}
	return s.withDefaults(), nil
}

// Service finds a service by name.
func (s Site) Service(name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// DataCentre finds a data centre by name.
func (s Site) DataCentre(name string) (DataCentre, bool) {
	for _, d := range s.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return DataCentre{}, false
}

// Preset returns the preset in force.
func (s Site) Preset() Preset {
	for _, p := range s.Presets {
		if p.InForce {
			return p
		}
	}
	return Preset{}
}

// DataCentreOut tells whether a data centre is out by a mark or the preset.
func (s Site) DataCentreOut(name string) bool {
	for _, o := range s.Outs {
		if o.DataCentre == name {
			return true
		}
	}
	for _, d := range s.Preset().Out {
		if d == name {
			return true
		}
	}
	return false
}

// HostOut tells whether a backend server is marked out.
func (s Site) HostOut(address string) bool { return s.hostMark(address).Host != "" }

// Runs tells whether a method of the service may run more than once.
func (v Service) Runs(method string) (idempotent bool) {
	for _, m := range v.Idempotent {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}

func (s Site) hostMark(address string) Out {
	for _, o := range s.Outs {
		if o.Host == "" {
			continue
		}
		if o.Host == address || strings.HasPrefix(address, o.Host+":") {
			return o
		}
	}
	return Out{}
}

func (s Site) withDefaults() Site {
	services := make([]Service, len(s.Services))
	for i, v := range s.Services {
		v.Deadline = or(v.Deadline, 5*time.Second)
		v.Attempts = or(v.Attempts, 2)
		v.Cold = or(v.Cold, 3*time.Second)
		v.ColdRate = or(v.ColdRate, 20)
		if len(v.Idempotent) == 0 {
			v.Idempotent = []string{"GET", "HEAD"}
		}
		v.Levels.Answered = or(v.Levels.Answered, 0.999)
		v.Levels.Within = or(v.Levels.Within, 100*time.Millisecond)
		v.Levels.FastShare = or(v.Levels.FastShare, 0.99)
		services[i] = v
	}
	presets := make([]Preset, len(s.Presets))
	for i, p := range s.Presets {
		p.RetryShare = or(p.RetryShare, 0.1)
		presets[i] = p
	}
	s.Services, s.Presets = services, presets
	return s
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
