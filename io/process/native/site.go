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

// configName is the name of the configuration object; there is only one.
const configName = "main"

// siteItems converts the stored site to the items of a kind, as of now. The version of the stored
// site becomes the revision of all items.
func siteItems(kind object.Kind, s site.Site, version uint64, now time.Time) ([]object.Item, error) {
	var items []object.Item
	add := func(name string, v any) error {
		value, err := json.Marshal(v)
		if err == nil {
			items = append(items, object.Item{Name: name, Revision: version, Value: value})
		}
		return err
	}
	switch kind {
	case object.Config:
		return items, add(configName, configOf(s, version))
	case object.Servers:
		for _, v := range serversOf(s, now) {
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
	return items, nil
}

// configOf returns the configuration of a site. Each service gets two routes: one for its
// idempotent methods, and one for all others.
func configOf(s site.Site, version uint64) config.Config {
	c := config.Config{Version: version, RetryShare: s.ActivePreset().RetryShare, DisableRebalancing: s.ActivePreset().DisableRebalancing,
		KeysRequired: len(s.Workspaces) > 0, Workspaces: s.Directory()}
	for _, svc := range s.Services {
		r := config.Route{
			Name: svc.Name, Host: config.AnyHost, Prefix: "/" + svc.Name + "/", StripPrefix: "/" + svc.Name,
			Destinations: []config.Destination{{Service: svc.Name, Weight: 1}},
			Timeout:      svc.DefaultTimeout, LatencyTarget: min(svc.DefaultTimeout, latencyTarget(svc)), MaxAttempts: svc.MaxAttempts, Priority: nonIdempotentPriority, Anonymous: svc.Anonymous,
		}
		c.Routes = append(c.Routes, r)
		r.Name, r.Methods, r.Idempotent, r.Priority = svc.Name+"Lookups", svc.IdempotentMethods, true, idempotentPriority
		c.Routes = append(c.Routes, r)
		c.Services = append(c.Services, config.Service{Name: svc.Name, MaxConnections: svc.MaxConnections, Keyed: svc.Keyed, KeySegment: svc.KeySegment, KeyByID: svc.KeyByID, ColdPeriod: svc.ColdPeriod, ColdRate: svc.ColdRate})
	}
	return c
}

const (
	// The priorities of routes: requests that must not run twice come before those that the
	// caller can simply retry.
	nonIdempotentPriority = 1
	idempotentPriority    = 2
	// latencyTargetFactor is the latency target of a route, as a multiple of the latency
	// threshold of its service. It is above 1 because a late reply still helps the
	// caller, unlike on a platform that specifies what late replies cost.
	latencyTargetFactor = 4
)

func latencyTarget(svc site.Service) time.Duration {
	return latencyTargetFactor * svc.Objectives.LatencyThreshold
}

// serversOf lists the servers of a site. Their start times are unknown, since they do not register
// themselves: only their responses show that another instance now runs at the same address. A
// server may have started just before it was listed, so it counts as cold from then on.
func serversOf(s site.Site, now time.Time) []fleet.Server {
	var servers []fleet.Server
	for _, d := range s.DataCentres {
		for _, server := range d.Servers {
			service, _ := s.Service(server.Service)
			servers = append(servers, fleet.Server{ID: ServerID(server.Address), Address: server.Address, Service: server.Service, DataCentre: d.Name,
				Slots: service.Slots, Draining: s.HostExcluded(server.Address), ColdLeft: max(0, time.UnixMilli(server.ListedAt).Add(service.ColdPeriod).Sub(now))})
		}
	}
	return servers
}

// ServerID returns the ID of the server at an address.
func ServerID(address string) string { return strings.ReplaceAll(address, ":", "-") }
