package native

import (
	"encoding/json"
	"strings"
	"time"

	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/object"
	"catkinstep/core/version/site"
)

// configName is the only configuration's name.
const configName = "main"

// translate turns the stored site into the objects of a kind that daemons act
// on. All bear the version at which the site was read.
func translate(kind object.Kind, s site.Site, version uint64) ([]object.Item, error) {
	var out []object.Item
	add := func(name string, v any) error {
		value, err := json.Marshal(v)
		if err == nil {
			out = append(out, object.Item{Name: name, Revision: version, Value: value})
		}
		return err
	}
	switch kind {
	case object.Config:
		return out, add(configName, configOf(s, version))
	case object.Servers:
		for _, v := range serversOf(s) {
			if err := add(v.ID, v); err != nil {
				return nil, err
			}
		}
	case object.Exclusions:
		for _, d := range s.DataCentres {
			if s.DataCentreExcluded(d.Name) {
				if err := add(d.Name, struct{}{}); err != nil {
					return nil, err
				}
			}
		}
	default:
	}
	return out, nil
}

// configOf makes two routes of each service: one for the methods that may run
// more than once, and one for all others.
func configOf(s site.Site, version uint64) config.Config {
	c := config.Config{Version: version, RetryShare: s.ActivePreset().RetryShare, DisableRebalancing: s.ActivePreset().DisableRebalancing}
	for _, v := range s.Services {
		r := config.Route{
			Name: v.Name, Host: config.AnyHost, Prefix: "/" + v.Name + "/", StripPrefix: "/" + v.Name,
			Destinations: []config.Destination{{Service: v.Name, Weight: 1}},
			Timeout:      v.DefaultTimeout, LatencyTarget: min(v.DefaultTimeout, aimOf(v)), MaxAttempts: v.MaxAttempts, Priority: bookingPriority,
		}
		c.Routes = append(c.Routes, r)
		r.Name, r.Methods, r.Idempotent, r.Priority = v.Name+"Lookups", v.IdempotentMethods, true, lookupPriority
		c.Routes = append(c.Routes, r)
		c.Services = append(c.Services, config.Service{Name: v.Name, MaxConnections: v.MaxConnections, Keyed: v.Keyed, KeySegment: v.KeySegment, KeyByID: v.KeyByID, ColdPeriod: v.ColdPeriod, ColdRate: v.ColdRate})
	}
	return c
}

const (
	// What must not run twice goes before what can be asked again.
	bookingPriority = 1
	lookupPriority  = 2
	// aimFactor is how many times the service level's latency a request may wait:
	// a late answer still helps its caller, unlike on a platform that says what
	// lateness costs.
	aimFactor = 4
)

func aimOf(v site.Service) time.Duration { return aimFactor * v.Objectives.LatencyThreshold }

// serversOf lists the site's servers. They do not register, so nothing tells
// two lives at one address apart but their answers.
func serversOf(s site.Site) []fleet.Server {
	var out []fleet.Server
	for _, d := range s.DataCentres {
		for _, v := range d.Servers {
			service, _ := s.Service(v.Service)
			out = append(out, fleet.Server{ID: ServerID(v.Address), Address: v.Address, Service: v.Service, DataCentre: d.Name,
				Slots: service.Slots, Draining: s.HostExcluded(v.Address)})
		}
	}
	return out
}

// ServerID names a server by its address.
func ServerID(address string) string { return strings.ReplaceAll(address, ":", "-") }
