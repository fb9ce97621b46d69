package router

import (
	"sync"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// idleLinks is how many unused connections to one server are kept: about what
// one daemon has under way there at once on an ordinary day.
const idleLinks = 4

// linkKey is one life of a server at an address.
type linkKey struct {
	address, id string
	born        int64
	use         use
}

// use is what a way is for.
type use int

const (
	forRequests use = iota
	forGrants
	forReleases // a release waits for running work, and must not hold up renewals
)

// way is a link; turn makes grants to one server go one after the other, on
// one connection.
type way struct {
	*link.Client
	turn sync.Mutex
}

// links are the ways to servers, for each life and use.
type links struct {
	names names.Names
	mu    sync.Mutex
	ways  map[linkKey]*way
}

func (l *links) get(k linkKey) *way {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ways == nil {
		l.ways = map[linkKey]*way{}
	}
	w := l.ways[k]
	if w == nil {
		most := idleLinks
		if k.use != forRequests {
			most = grantLinks
		}
		w = &way{Client: link.New(k.address, k.id, l.names, most)}
		l.ways[k] = w
	}
	return w
}

func (l *links) of(v fleet.Server) *way {
	return l.get(linkKey{address: v.Address, id: v.ID, born: v.StartMillis})
}

// keep closes the ways to lives that are no longer in the list.
func (l *links) keep(f *fleet.Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, w := range l.ways {
		if v, ok := f.Find(k.id); !ok || v.StartMillis != k.born || v.Address != k.address {
			w.Close()
			delete(l.ways, k)
		}
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.ways {
		w.Close()
	}
}
