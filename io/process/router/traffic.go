package router

import (
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/fleet"
	"catkinstep/io/connection/link"
)

// remoteBytes is the prefix of the counters of bytes exchanged with other data centres, which
// are priced. What follows it is the purpose. Sizes are those of messages before compression
// and framing.
const remoteBytes = "remoteBytes."

// countRemoteCall counts a call to a daemon of another data centre, and its reply if there is one.
func (r *Router) countRemoteCall(address string, call *wire.Call, reply *wire.Reply) {
	if !r.isRemoteDaemon(address) {
		return
	}
	size := proto.Size(call)
	if reply != nil {
		size += proto.Size(reply)
	}
	r.metrics.add(remoteBytes+purposeOf(call), size)
}

// purposeOf names the purpose of a call in counters.
func purposeOf(call *wire.Call) string {
	switch kind := call.Kind.(type) {
	case *wire.Call_Gossip:
		switch {
		case hasCounts(kind.Gossip):
			return "counts"
		case kind.Gossip.Limits != nil:
			return "limits"
		}
		return "gossip"
	case *wire.Call_Fetch:
		return "fetch." + kind.Fetch.Kind
	case *wire.Call_Token:
		return "tokens"
	case *wire.Call_Carry, *wire.Call_CarryOffer:
		return "carried"
	case *wire.Call_Release:
		return "releases"
	case *wire.Call_Permit, *wire.Call_PermitEnd:
		return "permits"
	}
	return "status"
}

// isRemoteDaemon reports whether an address belongs to a daemon that is known to be in another
// data centre.
func (r *Router) isRemoteDaemon(address string) bool {
	daemons := r.permits.issuers.Load()
	return daemons != nil && !slices.Contains((*daemons)[r.settings.DataCentre], address)
}

// countRemoteRequest counts a request to a server of another data centre, and its response.
func (r *Router) countRemoteRequest(server fleet.Server, purpose string, req link.Request, resp *link.Response) {
	if server.DataCentre == r.settings.DataCentre {
		return
	}
	size := len(req.Method) + len(req.Target) + len(req.Host) + headerBytes(req.Header) + req.Body.Len()
	if resp != nil {
		size += headerBytes(resp.Header) + len(resp.Body)
	}
	r.metrics.add(remoteBytes+purpose, size)
}

// headerBytes is the size of a header on the wire.
func headerBytes(h http.Header) int {
	const separators = 4 // colon, space and line end
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}
