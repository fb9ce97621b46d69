package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/reach"
)

const (
	// crashThreshold is the number of lost servers from which a request is refused. The loss of
	// one server may be a coincidence, but hardly that of three without a response in between.
	crashThreshold = 3
	// crashRetention is how long after the last lost server a request remains a crash suspect.
	// It is much longer than the seconds after which a crashed server is back.
	crashRetention = time.Minute
	// lossConfirmTime is how long after a loss it is gossiped. A host that has lost its links
	// to all servers knows by then.
	lossConfirmTime = time.Second
	// lossReconsiderTime is how long after a loss its server may turn out to have ended: until its entry is
	// gone, or it is listed again as another instance.
	lossReconsiderTime = 10 * time.Second
	// maxUnconfirmedLosses bounds the losses that are kept until then.
	maxUnconfirmedLosses = 64
	// answerTransitTime is how long a response may have been on its way when its server was lost.
	answerTransitTime = 100 * time.Millisecond
)

// fingerprintOf hashes a request's content. The hash does not depend on the ID, which a caller
// may change with each attempt.
func fingerprintOf(req *request) uint64 {
	digest := xxhash.New()
	for _, s := range []string{req.Method, req.Host, req.RequestURI} {
		_, _ = digest.WriteString(s) // never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = req.Body.WriteTo(digest)
	return digest.Sum64()
}

// suspectRecord says that a request may have been running at servers when they were lost.
type suspectRecord struct {
	fingerprint uint64
	servers     []string
	lostAt      time.Time
	// startMillis is of the instance of the server, if this daemon lost it.
	startMillis int64
}

// recordLoss records that a server was lost while the request may have run there: the
// connection broke before a response. The request is then suspected of crashing servers. It is
// gossiped a little later, unless it turns out that this host has lost its links.
func (r *Router) recordLoss(req *request, server string) {
	instance, ok := r.current.Load().fleet.Find(server)
	if ok && !r.cutOff.Load() {
		r.tryPost(reachMsg{reach.LostMsg{Address: instance.Address}})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff.Load() { // read with the lock, so that no loss is recorded after withdrawLosses
		return
	}
	now := time.Now()
	if !r.suspects.RecordOwnLoss(now, req.fingerprint, server) || len(r.unconfirmedLosses) >= maxUnconfirmedLosses {
		return
	}
	r.unconfirmedLosses = append(r.unconfirmedLosses, suspectRecord{fingerprint: req.fingerprint, servers: []string{server}, lostAt: now, startMillis: instance.StartMillis})
}

// confirmLosses gossips the servers that were lost some time ago, if this host has reached others since.
// If it does not know, it probes some.
func (c *control) confirmLosses(now time.Time) {
	if c.reach.CutOff() {
		return
	}
	wallNow := time.Now()
	c.r.reconsiderLosses(wallNow)
	anyRefused, inDoubt := c.r.confirmLosses(wallNow, wallNow.Add(c.reach.LastOK().Sub(now)))
	if inDoubt {
		c.updateReach(now, reach.TickMsg{Silent: true})
	}
	if anyRefused {
		c.propagateChange(now, true)
	}
}

// confirmLosses adds older losses to the gossip. connectedAt is when a connection to a server was last
// opened. It reports whether any of their requests must be refused, and whether a loss may be due to this
// host's links.
func (r *Router) confirmLosses(now, connectedAt time.Time) (anyRefused, inDoubt bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.unconfirmedLosses) > 0 && now.Sub(r.unconfirmedLosses[0].lostAt) >= lossConfirmTime {
		loss := r.unconfirmedLosses[0]
		if !connectedAt.After(loss.lostAt) && !r.balancer.AnyAnsweredSince(loss.lostAt.Add(answerTransitTime)) {
			return anyRefused, true
		}
		r.unconfirmedLosses = r.unconfirmedLosses[1:]
		r.suspectBuffer.add(now, loss)
		anyRefused = anyRefused || r.suspects.ShouldRefuse(now, loss.fingerprint)
	}
	return anyRefused, false
}

// withdrawLosses forgets the losses since a time, since this host lost its links to all servers then.
func (r *Router) withdrawLosses(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.WithdrawOwn(since)
	for _, loss := range r.unconfirmedLosses {
		if !loss.lostAt.Before(since) {
			r.withdrawnLosses = append(r.withdrawnLosses, loss)
		}
	}
	r.unconfirmedLosses = slices.DeleteFunc(r.unconfirmedLosses, func(s suspectRecord) bool { return !s.lostAt.Before(since) })
}

// reconsiderLosses records withdrawn losses again whose servers turn out to have ended: the requests may
// have crashed all servers, which looks the same as lost links.
func (r *Router) reconsiderLosses(now time.Time) {
	servers := r.current.Load().fleet
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawnLosses = slices.DeleteFunc(r.withdrawnLosses, func(loss suspectRecord) bool {
		instance, ok := servers.Find(loss.servers[0])
		ended := !ok || instance.StartMillis != loss.startMillis
		if ended && r.suspects.RecordOwnLoss(now, loss.fingerprint, loss.servers[0]) {
			r.unconfirmedLosses = append(r.unconfirmedLosses, loss)
		}
		return ended || now.Sub(loss.lostAt) > lossReconsiderTime
	})
}

// clearSuspect forgets the servers that were lost while a request may have run there, since the
// request has got a response: one that crashes servers never gets any.
func (r *Router) clearSuspect(req *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.RecordResponse(req.fingerprint)
}

// checkCrashSuspect looks up the servers that were lost while a request may have run there. It
// sets the request's lost servers, so that further attempts avoid them if possible. It
// returns true if the request must be refused because there are crashThreshold or more of them.
func (r *Router) checkCrashSuspect(req *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.attempts.lostServers = r.suspects.LostServers(req.fingerprint)
	return r.suspects.ShouldRefuse(time.Now(), req.fingerprint)
}

// recentSuspects returns the requests for which lost servers were recorded recently, for gossip.
func (r *Router) recentSuspects() []*wire.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []*wire.Suspect
	for _, s := range r.suspectBuffer.list(now) {
		out = append(out, &wire.Suspect{Fingerprint: s.fingerprint, Servers: s.servers, AgoMillis: millisOf(now.Sub(s.lostAt))})
	}
	return out
}

// mergeSuspects records the servers that other daemons lost while requests may have run there,
// and adds the new records to this daemon's gossip. Servers that have responded to this daemon since
// were not lost: only the links from the other host to them were. It reports whether any of the
// requests with a new record must be refused.
func (r *Router) mergeSuspects(suspects []*wire.Suspect) (anyRefused bool) {
	if len(suspects) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range suspects {
		lostAt := now.Add(-millis(s.AgoMillis))
		lost := slices.DeleteFunc(s.Servers, func(server string) bool { return r.balancer.AnsweredSince(server, lostAt.Add(answerTransitTime)) })
		if !r.suspects.RecordLoss(now, s.Fingerprint, lost...) {
			continue
		}
		r.suspectBuffer.add(now, suspectRecord{fingerprint: s.Fingerprint, servers: lost, lostAt: lostAt})
		anyRefused = anyRefused || r.suspects.ShouldRefuse(now, s.Fingerprint)
	}
	return anyRefused
}
