package spread

import "time"

const (
	// silentTime is how long servers may not respond before the links to them are in doubt, and
	// silentRequests how many requests must have been waiting for that long.
	silentTime     = 300 * time.Millisecond
	silentRequests = 3
)

// isCold reports whether the server counts as cold.
func (st *serverState) isCold(now time.Time) bool {
	return now.Before(st.coldUntil) || now.Before(st.refusedColdUntil)
}

// Silent reports whether no server responds to this daemon, although several requests wait for that.
func (b *Balancer) Silent(now time.Time) bool {
	if now.Sub(b.answeredAt) < silentTime {
		return false
	}
	waiting := 0
	for _, st := range b.servers {
		for _, startedAt := range st.startTimes {
			if now.Sub(startedAt) >= silentTime {
				waiting++
			}
		}
	}
	return waiting >= silentRequests
}

// AnyAnsweredSince reports whether any server has responded to this daemon since a time.
func (b *Balancer) AnyAnsweredSince(at time.Time) bool { return b.answeredAt.After(at) }

// AnsweredSince reports whether a server has responded to this daemon since a time.
func (b *Balancer) AnsweredSince(server string, at time.Time) bool {
	st := b.servers[server]
	return st != nil && st.answeredAt.After(at)
}

// ForgetFailures forgets that servers failed or refused connections. It is meant for the end of a time
// in which this daemon's host reached none of them: the cause was not the servers.
func (b *Balancer) ForgetFailures() {
	for _, st := range b.servers {
		st.failureRate, st.connectFailed = 0, false
		st.pausedUntil, st.refusedColdUntil = time.Time{}, time.Time{}
	}
}
