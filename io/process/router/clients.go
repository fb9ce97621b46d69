package router

import (
	"sync"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// maxIdleConnsOf is how many idle connections to a server are kept for each purpose.
var maxIdleConnsOf = map[purpose]int{
	forRequests: 4, // about as many requests as one daemon usually has in flight there
	forGrants:   1, // for renewals
	forReleases: 0, // a response to one release cannot be distinguished from that to another
}

// clientKey identifies a client by the server instance and the purpose of its calls.
type clientKey struct {
	address, id string
	startMillis int64
	purpose     purpose
}

// purpose is the kind of calls that a client is used for.
type purpose int

const (
	forRequests purpose = iota
	forGrants
	forReleases // separate from grants: a release waits for running requests and would delay renewals
)

// serverClient is a client of a server. grantMu serialises the grants to a server, so that
// renewals use a single connection.
type serverClient struct {
	*link.Client
	grantMu sync.Mutex
}

// clientPool holds a client for each server instance and purpose.
type clientPool struct {
	names  names.Names
	dialer link.Dialer // of all clients; nil for the usual one
	bodies *link.BodyBudget
	inner  link.Dialer // that dialer without observation; nil for the usual one
	// gate returns the gate of the client of a server instance.
	gate    func(clientKey) link.Gate
	mu      sync.Mutex
	clients map[clientKey]*serverClient
}

// get returns the client for a key. It creates the client at the first call.
func (p *clientPool) get(key clientKey) *serverClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[clientKey]*serverClient{}
	}
	client := p.clients[key]
	if client == nil {
		client = &serverClient{Client: link.New(key.address, key.id, p.names, maxIdleConnsOf[key.purpose], link.WithDialer(p.dialer), link.WithGate(p.gate(key)), link.WithBodyBudget(p.bodies))}
		p.clients[key] = client
	}
	return client
}

// plainDialer returns the dialer without observation.
func (p *clientPool) plainDialer() link.Dialer {
	if p.inner != nil {
		return p.inner
	}
	return link.DefaultDialer
}

// requestClient returns the client for callers' requests to a server.
func (p *clientPool) requestClient(s fleet.Server) *serverClient {
	return p.get(clientKey{address: s.Address, id: s.ID, startMillis: s.StartMillis})
}

// closeRemoved closes the clients of server instances that are no longer in the fleet.
func (p *clientPool) closeRemoved(f *fleet.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, client := range p.clients {
		if s, ok := f.Find(key.id); !ok || s.StartMillis != key.startMillis || s.Address != key.address {
			client.Close()
			delete(p.clients, key)
		}
	}
}

// closeIdle closes the idle connections for requests of all clients.
func (p *clientPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, client := range p.clients {
		if key.purpose == forRequests {
			client.CloseIdle()
		}
	}
}

// close closes all clients, for the end of the daemon.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.Close()
	}
}
