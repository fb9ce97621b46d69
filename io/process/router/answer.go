package router

import (
	"context"

	"catkinstep/core/connection/wire"
)

// call asks another daemon, and counts what that costs.
func (r *Router) call(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	r.meters.addBytes(bytesOut, call)
	reply, err := r.mesh.Call(ctx, address, call)
	if err == nil {
		r.meters.addBytes(bytesIn, reply)
	}
	return reply, err
}

// askShort is call for a short question that is asked often.
func (r *Router) askShort(ctx context.Context, address string, call *wire.Call) (*wire.Reply, error) {
	r.meters.addBytes(bytesOut, call)
	reply, err := r.mesh.CallShared(ctx, address, call)
	if err == nil {
		r.meters.addBytes(bytesIn, reply)
	}
	return reply, err
}

// answerMesh answers another daemon's call, and counts what that costs.
func (r *Router) answerMesh(ctx context.Context, call *wire.Call) *wire.Reply {
	r.meters.addBytes(bytesIn, call)
	reply := r.answerCall(ctx, call)
	if reply != nil {
		r.meters.addBytes(bytesOut, reply)
	}
	return reply
}

func (r *Router) answerCall(ctx context.Context, call *wire.Call) *wire.Reply {
	switch k := call.Kind.(type) {
	case *wire.Call_Gossip:
		reply := make(chan *wire.Gossip, 1)
		if !r.post(gossipMsg{gossip: k.Gossip, reply: reply}) {
			return &wire.Reply{Error: "stopping"}
		}
		select {
		case h := <-reply:
			return &wire.Reply{Gossip: h}
		case <-ctx.Done():
		}
	case *wire.Call_Fetch:
		reply := make(chan *wire.Delta, 1)
		if !r.post(fetchMsg{fetch: k.Fetch, reply: reply}) {
			return &wire.Reply{Error: "stopping"}
		}
		select {
		case d := <-reply:
			return &wire.Reply{Delta: d}
		case <-ctx.Done():
		}
	case *wire.Call_Permit:
		return &wire.Reply{Permit: r.issuePermit(k.Permit)}
	case *wire.Call_PermitEnd:
		r.handlePermitEnd(k.PermitEnd)
		return nil
	case *wire.Call_Status:
		if s, ok := r.ownStatus(ctx); ok {
			return &wire.Reply{Status: s.own}
		}
	}
	return &wire.Reply{Error: "not answered"}
}
