package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Server describes one instance of a backend server, that is, one run of its process.
type Server struct {
	// ID identifies the server; a later instance may have the same ID.
	ID         string `json:"id"`
	Address    string `json:"address"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	// Slots is how many requests the server runs concurrently.
	Slots int `json:"slots"`
	// StartMillis is when the instance started, in Unix milliseconds. It distinguishes the
	// instances of a server.
	StartMillis int64 `json:"born"`
	// Draining is set when the server takes no new requests.
	Draining bool `json:"draining,omitempty"`
	// ColdLeft is how much longer the server stays cold, according to its last report.
	ColdLeft time.Duration `json:"cold,omitempty"`
}

// Fleet is the list of servers at one point in time.
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

// Find returns a server by its ID.
func (f *Fleet) Find(id string) (Server, bool) {
	i, ok := f.byID[id]
	if !ok {
		return Server{}, false
	}
	return f.servers[i], true
}

// ByService returns the servers of a service, ordered by ID.
func (f *Fleet) ByService(service string) []Server { return f.byService[service] }

// All returns all servers, ordered by ID.
func (f *Fleet) All() []Server { return f.servers }
