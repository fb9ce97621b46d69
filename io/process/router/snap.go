package router

import (
	"cmp"
	"slices"

	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// snap is what requests are decided by. It is immutable.
type snap struct {
	// configured tells whether config holds one.
	configured bool
	config     config.Config
	// serving are the servers that may get requests, by service.
	serving map[string][]fleet.Server
	fleet   *fleet.Fleet
	out     map[string]bool
	table   grant.Table
}

// mayServe tells whether a server may get new requests.
func (s *snap) mayServe(v fleet.Server) bool { return !v.Draining && !s.out[v.DataCentre] }

// withFleet returns a snap with other servers or data centres that are out.
func (s *snap) withFleet(f *fleet.Fleet, out map[string]bool) *snap {
	n := *s
	n.fleet, n.out = f, out
	n.serving = map[string][]fleet.Server{}
	for _, v := range f.All() {
		if n.mayServe(v) {
			n.serving[v.Service] = append(n.serving[v.Service], v)
		}
	}
	return &n
}

// withConfig returns a snap with another configuration.
func (s *snap) withConfig(c config.Config) *snap {
	n := *s
	n.config, n.configured = c, true
	return &n
}

// withTable returns a snap with another table.
func (s *snap) withTable(t grant.Table) *snap {
	n := *s
	n.table = t
	return &n
}

// keyed lists the services whose keys have holders.
func (s *snap) keyed() []string {
	var out []string
	for _, v := range s.config.Services {
		if v.Keyed {
			out = append(out, v.Name)
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
