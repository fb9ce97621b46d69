package router

import (
	"context"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/keeper"
	"catkinstep/core/version/grant"
	"catkinstep/io/connection/mesh"
)

// releasesIndirectly reports whether the keeper may ask for releases through other daemons.
func (c *control) releasesIndirectly() bool {
	return c.r.settings.IndirectReleases && c.members.Count() > 1
}

// routeRelease returns the address of the daemon through which a release goes, or "" if this daemon makes
// it itself, as it also does while no other is known to be reachable. The returned command is then a direct
// one, so that its result counts for whether the server answers this daemon.
func (c *control) routeRelease(now time.Time, cmd keeper.ReleaseCmd) (routed keeper.ReleaseCmd, peer string) {
	if cmd.Indirect > 0 {
		peer = c.members.ReleasePeer(now, c.serverList.dataCentreOf(cmd.Holder.Server), cmd.Holder.Server, cmd.Indirect)
	}
	if peer == "" {
		cmd.Indirect = 0
	}
	return cmd, peer
}

// sendRelease asks a server for a release, through the daemon at an address if that is not empty, unless
// cmd.SendBefore has passed. It reports the result to the keeper.
func (r *Router) sendRelease(cmd keeper.ReleaseCmd, peer string) {
	result := keeper.ReleaseResultMsg{Cmd: cmd, Result: grant.NotSent}
	left, counter := cmd.SendBefore.Sub(r.now()), "releases."
	switch {
	case peer != "":
		counter = "releases.indirect."
		if left > 0 {
			result.Result, result.Handover = r.releaseThrough(peer, cmd, left)
		}
	case left > 0:
		result.Result, result.Handover = r.release(cmd.Holder, cmd.Call)
	}
	r.metrics.increment(counter + result.Result.String())
	r.post(keeperMsg{msg: result})
}

// release asks a server for a release, and returns the result and the handover.
func (r *Router) release(h grant.Holder, call grant.Call) (grant.Result, string) {
	client := r.clientPool.get(clientKey{address: call.Address, id: h.Server, startMillis: h.StartMillis, purpose: forReleases})
	answer := r.callServer(client, h, r.protocol.Release(call), releaseTimeout)
	return answer.result, answer.handover
}

// releaseThrough asks the daemon at an address to make a release within the time that is left for it.
func (r *Router) releaseThrough(peer string, cmd keeper.ReleaseCmd, left time.Duration) (grant.Result, string) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), left+releaseTimeout+meshTimeout)
	defer cancel()
	reply, err := r.call(ctx, peer, &wire.Call{Kind: &wire.Call_Release{Release: &wire.Release{
		Server: cmd.Holder.Server, StartMillis: cmd.Holder.StartMillis, Address: cmd.Address, From: uint32(cmd.From), To: uint32(cmd.To), Fence: cmd.Fence, LeftMillis: millisOf(left)}}})
	switch {
	case mesh.IsKind(err, mesh.ConnectionRefused), mesh.IsKind(err, mesh.NotSent):
		return grant.NotSent, ""
	case err != nil:
		// The daemon may have called the server, or may do so yet.
		return grant.OutcomeUnknown, ""
	}
	result := resultFromWire(reply.GetRelease().GetResult())
	if result == grant.Done {
		r.log.Info("keys: released through another daemon", "service", cmd.Service, "from", cmd.From, "to", cmd.To, "holder", cmd.Holder.Server,
			"born", cmd.Holder.StartMillis, "through", peer, "try", cmd.Indirect, "fence", cmd.Fence)
	}
	return result, string(reply.GetRelease().GetHandover())
}

// maxReleasesForOthers is how many releases are made for leaders at a time. Each takes a connection, and
// may last until the server's requests have ended.
const maxReleasesForOthers = 32

// handleRelease makes a release for the leader. It is not made once the leader's time for it has passed,
// nor if this daemon knows a newer leader: the server could lose keys that it has been granted since.
func (r *Router) handleRelease(ctx context.Context, m *wire.Release) *wire.Reply {
	arrivedAt, left := r.now(), millis(m.LeftMillis)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	select {
	case r.releaseSlots <- struct{}{}:
		defer func() { <-r.releaseSlots }()
	case <-ctx.Done():
		return releaseReply(grant.NotSent, "")
	}
	if r.now().Sub(arrivedAt) >= left || !r.tomb.Alive() || keeper.EpochOf(m.Fence) < r.current.Load().table.Epoch {
		return releaseReply(grant.NotSent, "")
	}
	r.metrics.increment("releases.forOthers")
	return releaseReply(r.release(grant.Holder{Server: m.Server, StartMillis: m.StartMillis},
		grant.Call{Address: m.Address, From: int(m.From), To: int(m.To), Fence: m.Fence}))
}

func releaseReply(result grant.Result, handover string) *wire.Reply {
	return &wire.Reply{Release: &wire.ReleaseReply{Result: resultToWire(result), Handover: []byte(handover)}}
}

func resultToWire(result grant.Result) wire.ReleaseResult {
	switch result {
	case grant.Done:
		return wire.ReleaseResult_RELEASE_RESULT_DONE
	case grant.Fenced:
		return wire.ReleaseResult_RELEASE_RESULT_FENCED
	case grant.Ended:
		return wire.ReleaseResult_RELEASE_RESULT_ENDED
	case grant.NotSent:
		return wire.ReleaseResult_RELEASE_RESULT_NOT_SENT
	default:
		return wire.ReleaseResult_RELEASE_RESULT_OUTCOME_UNKNOWN
	}
}

// resultFromWire maps numbers that this version does not know, and a missing one, to OutcomeUnknown.
func resultFromWire(result wire.ReleaseResult) grant.Result {
	switch result {
	case wire.ReleaseResult_RELEASE_RESULT_DONE:
		return grant.Done
	case wire.ReleaseResult_RELEASE_RESULT_FENCED:
		return grant.Fenced
	case wire.ReleaseResult_RELEASE_RESULT_ENDED:
		return grant.Ended
	case wire.ReleaseResult_RELEASE_RESULT_NOT_SENT:
		return grant.NotSent
	default:
		return grant.OutcomeUnknown
	}
}
