package router

import (
	"context"

	"catkinstep/core/connection/wire"
)

// peerMesh carries calls to other daemons.
type peerMesh interface {
	Call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error)
	CallShared(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error)
	CallBulk(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error)
	DropBulk(address string)
	Notify(ctx context.Context, address string, call *wire.Call) error
	Close() error
}

// call sends a call to another daemon on a stream of its own, and counts the bytes sent and
// received.
func (r *Router) call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return r.countedCall(ctx, address, call, r.mesh.Call)
}

// callShared is like call, but uses the stream that short calls share. It suits calls that are
// made often; see mesh.CallShared.
func (r *Router) callShared(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return r.countedCall(ctx, address, call, r.mesh.CallShared)
}

// callBulk is like call, but for large messages and long calls; see mesh.CallBulk.
func (r *Router) callBulk(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	return r.countedCall(ctx, address, call, r.mesh.CallBulk)
}

func (r *Router) countedCall(ctx context.Context, address string, call *wire.Call, send func(context.Context, string, *wire.Call) (*wire.Reply, error)) (*wire.Reply, error) {
	out, in := byteCounters(call)
	r.metrics.addBytes(out, call)
	reply, err := send(ctx, address, call)
	if err == nil {
		r.metrics.addBytes(in, reply)
	}
	r.countRemoteCall(address, call, reply)
	return reply, err
}

// byteCounters returns the names of the counters for the bytes of a call and its reply. Callers' requests
// are not counted with the messages between control loops.
func byteCounters(call *wire.Call) (out, in string) {
	if call.GetCarry() != nil {
		return carriedBytesOut, carriedBytesIn
	}
	return bytesOut, bytesIn
}

// handleMeshCall answers another daemon's call and counts the bytes received and sent.
func (r *Router) handleMeshCall(ctx context.Context, call *wire.Call) *wire.Reply {
	out, in := byteCounters(call)
	r.metrics.addBytes(in, call)
	reply := r.handleCall(ctx, call)
	if reply != nil {
		r.metrics.addBytes(out, reply)
	}
	return reply
}

func (r *Router) handleCall(ctx context.Context, call *wire.Call) *wire.Reply {
	switch kind := call.Kind.(type) {
	case *wire.Call_Gossip:
		reply := make(chan *wire.Gossip, 1)
		if g, ok := ask(ctx, r, gossipMsg{gossip: kind.Gossip, reply: reply}, reply); ok {
			return &wire.Reply{Gossip: g}
		}
	case *wire.Call_Fetch:
		reply := make(chan *wire.Delta, 1)
		if d, ok := ask(ctx, r, fetchMsg{fetch: kind.Fetch, reply: reply}, reply); ok {
			return &wire.Reply{Delta: d}
		}
	case *wire.Call_Permit:
		return &wire.Reply{Permit: r.issuePermit(kind.Permit)}
	case *wire.Call_Token:
		return r.handleToken(kind.Token)
	case *wire.Call_Renewal:
		if grant := r.handleRenewal(kind.Renewal); grant != nil {
			return &wire.Reply{Grant: grant}
		}
	case *wire.Call_Take:
		return &wire.Reply{Take: r.handleTake(ctx, kind.Take)}
	case *wire.Call_CarryOffer:
		return &wire.Reply{CarryOffer: &wire.CarryOfferReply{Willing: r.carriesRequests()}}
	case *wire.Call_Release:
		return r.handleRelease(ctx, kind.Release)
	case *wire.Call_Carry:
		return r.handleCarry(ctx, kind.Carry)
	case *wire.Call_PermitEnd:
		r.handlePermitEnd(kind.PermitEnd)
		return nil
	case *wire.Call_Status:
		if s, ok := r.ownStatus(ctx); ok {
			return &wire.Reply{Status: s.status}
		}
	}
	if !r.tomb.Alive() {
		return &wire.Reply{Error: "stopping"}
	}
	return &wire.Reply{Error: "not answered"}
}
