package router

import (
	"cmp"
	"slices"

	"catkinstep/core/request/class"
	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// snapshot is the state by which requests are routed. It is immutable.
type snapshot struct {
	// configured means that a configuration has been read into config.
	configured bool
	config     config.Config
	// ranks are the ranks of the priorities in config.
	ranks class.Ranks
	// serving are the servers that may get new requests, by service.
	serving             map[string][]fleet.Server
	fleet               *fleet.Fleet
	excludedDataCentres map[string]bool
	table               grant.Table
}

// mayServe reports whether a server may get new requests.
func (s *snapshot) mayServe(server fleet.Server) bool {
	return !server.Draining && !s.excludedDataCentres[server.DataCentre]
}

// keyHolder is the holder of a request's key.
type keyHolder struct {
	server   fleet.Server
	keyRange grant.Range
	// isAlive is set if the instance is listed that holds the key, and isUsable if it may also get new
	// requests for it.
	isAlive, isUsable bool
}

// holderFor returns the holder of a request's key.
func (s *snapshot) holderFor(req *request) keyHolder {
	keyRange, rangeFound := s.table.RangeOf(req.service.Name, req.key)
	server, serverFound := s.fleet.Find(keyRange.Holder.Server)
	h := keyHolder{server: server, keyRange: keyRange, isAlive: serverFound && server.StartMillis == keyRange.Holder.StartMillis}
	h.isUsable = rangeFound && keyRange.IsOpen() && h.isAlive && s.mayServe(server)
	return h
}

// unusable returns the listed servers that may not get new requests.
func (s *snapshot) unusable() []grant.Holder {
	var out []grant.Holder
	for _, server := range s.fleet.All() {
		if !s.mayServe(server) {
			out = append(out, grant.Holder{Server: server.ID, StartMillis: server.StartMillis, Address: server.Address})
		}
	}
	return out
}

// withFleet returns a snapshot with other servers and other data centres that are out of
// service.
func (s *snapshot) withFleet(f *fleet.Fleet, excludedDataCentres map[string]bool) *snapshot {
	next := *s
	next.fleet, next.excludedDataCentres = f, excludedDataCentres
	next.serving = map[string][]fleet.Server{}
	for _, server := range f.All() {
		if next.mayServe(server) {
			next.serving[server.Service] = append(next.serving[server.Service], server)
		}
	}
	return &next
}

// withConfig returns a snapshot with another configuration.
func (s *snapshot) withConfig(c config.Config) *snapshot {
	next := *s
	next.config, next.ranks, next.configured = c, class.NewRanks(c.Routes), true
	return &next
}

// withTable returns a snapshot with another table.
func (s *snapshot) withTable(t grant.Table) *snapshot {
	next := *s
	next.table = t
	return &next
}

// keyedServices returns the names of the services whose keys have holders, sorted.
func (s *snapshot) keyedServices() []string {
	var services []string
	for _, service := range s.config.Services {
		if service.Keyed {
			services = append(services, service.Name)
		}
	}
	slices.SortFunc(services, cmp.Compare[string])
	return services
}
