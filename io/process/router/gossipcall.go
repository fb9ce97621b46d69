package router

// pendingGossip holds the gossip calls in flight, by address. There is one at a time to an address.
type pendingGossip map[string]gossipCall

// gossipCall is a gossip call in flight.
type gossipCall struct {
	// repeat is set if a change was learned of after the call's message had been made. The change
	// is sent with another call as soon as this one has ended. Without that, the peer would learn
	// of the change in the next round of gossip, seconds later in another data centre.
	repeat bool
	// withLoad is set if the repeated call includes the requests in flight at servers.
	withLoad bool
}

// begin reports whether a call may be sent to an address, and if so records it.
func (p pendingGossip) begin(address string) bool {
	if p.has(address) {
		return false
	}
	p[address] = gossipCall{}
	return true
}

func (p pendingGossip) has(address string) bool {
	_, ok := p[address]
	return ok
}

// repeatLater asks for another call to an address once the one in flight has ended.
func (p pendingGossip) repeatLater(address string, withLoad bool) {
	p[address] = gossipCall{repeat: true, withLoad: withLoad || p[address].withLoad}
}

// end records that the call to an address has ended, and returns it.
func (p pendingGossip) end(address string) gossipCall {
	call := p[address]
	delete(p, address)
	return call
}
