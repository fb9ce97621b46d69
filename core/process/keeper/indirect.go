package keeper

import "catkinstep/core/version/grant"

// directEvery is which of the releases without an answer is made directly again. Failed links heal, and
// the other daemons may be the ones that do not reach the holder.
const directEvery = 4

// EpochOf returns the epoch of the leader that issued a fence.
func EpochOf(fence uint64) uint64 { return fence >> fenceShift }

// indirectTry returns the number of the next release's try through another daemon, from 1, or 0 if
// the leader calls the holder itself.
func (k *Keeper) indirectTry(rs *rangeState) int {
	n := rs.unansweredReleases
	if !k.indirectReleases || n%directEvery == 0 {
		return 0
	}
	return n - n/directEvery
}

// countUnanswered counts a release that got no answer. The first try through another daemon follows at
// once, since callRetryDelay only limits repeated calls from this daemon.
func (k *Keeper) countUnanswered(rs *rangeState, m ReleaseResultMsg) (retryAtOnce bool) {
	if m.Result != grant.NotSent && m.Result != grant.OutcomeUnknown {
		return false
	}
	rs.unansweredReleases++
	if !k.indirectReleases || rs.unansweredReleases > 1 {
		return false
	}
	k.log(LogCmd{Text: "release goes through other daemons", Service: m.Cmd.Service, From: rs.From, To: rs.To, Holder: rs.Holder, Next: rs.Next,
		Fence: m.Cmd.Fence, Reason: "no answer to this daemon: " + m.Result.String()})
	return true
}
