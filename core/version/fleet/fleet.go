package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Server is one life of a backend server.
type Server struct {
	// ID names the server; another life may bear it again.
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Born tells lives apart: Unix milliseconds of the start.
	StartMillis int64 `json:"born"`
	// Draining servers take no new requests.
	Draining bool `json:"draining,omitempty"`
	// Cold is how much longer the server is cold, as it reported last.
	ColdLeft time.Duration `json:"cold,omitempty"`
}

// Fleet is the list at one time.
type Fleet struct {
	servers   []Server
	byID      map[string]int
	byService map[string][]Server
}

// New returns a Fleet of the servers.
func New(servers []Server) *Fleet {
	f := &Fleet{servers: slices.Clone(servers), byID: map[string]int{}, byService: map[string][]Server{}}
	slices.SortFunc(f.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for i, s := range f.servers {
		f.byID[s.ID] = i
		f.byService[s.Service] = append(f.byService[s.Service], s)
	}
	return f
}

// Find returns a server by its id.
func (f *Fleet) Find(id string) (Server, bool) {
	i, ok := f.byID[id]
	if !ok {
		return Server{}, false
	}
	return f.servers[i], true
}

// Of lists the servers of a service in the order of their ids.
func (f *Fleet) ByService(service string) []Server { return f.byService[service] }

// All lists every server in the order of their ids.
func (f *Fleet) All() []Server { return f.servers }
