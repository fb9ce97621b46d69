package quota

import (
	"time"

	"catkinstep/core/version/space"
)

const (
	// correctionTime is the time over which the leader spreads what is left of an allowance, or
	// holds back what was admitted beyond it.
	correctionTime = time.Second
	// reportLag is the mean age of what the leader knows: daemons report to a relay, and relays to
	// the leader, about twice a second.
	reportLag = 750 * time.Millisecond
	// leaderChangeTime is for how long nobody leads when a leader is lost.
	leaderChangeTime = 2 * time.Second
	// idleTime is how long after its last request a workspace is forgotten, when its allowance
	// has certainly recovered.
	idleTime = 10 * time.Second
)

// Sum adds up the counts of each workspace.
func Sum(counts []Count) []Count {
	index := map[string]int{}
	var out []Count
	for _, c := range counts {
		i, ok := index[c.Workspace]
		if !ok {
			index[c.Workspace] = len(out)
			out = append(out, c)
			continue
		}
		out[i].Asked += c.Asked
		out[i].Admitted += c.Admitted
	}
	return out
}

// Controller adds up the requests of all daemons. The leader has it.
type Controller struct {
	workspaces               map[string]*workspaceState
	startedAt, windowStartAt time.Time
	// limited is set if the last round resulted in limits.
	limited bool
}

// workspaceState is the state of the allowance of a workspace.
type workspaceState struct {
	asked, admitted int // in the current window
	// demand and use are the numbers of requests per second that were asked for and admitted.
	demand, use recentRate
	// remaining is what is left of the allowance: at most its burst, and negative if more was
	// admitted.
	remaining  float64
	lastUsedAt time.Time
}

// NewController returns a Controller without any counts.
func NewController(now time.Time) *Controller {
	return &Controller{workspaces: map[string]*workspaceState{}, startedAt: now, windowStartAt: now}
}

// Add adds counts of some daemons.
func (c *Controller) Add(counts []Count) {
	for _, n := range counts {
		w := c.workspaces[n.Workspace]
		if w == nil {
			w = &workspaceState{}
			c.workspaces[n.Workspace] = w
		}
		w.asked += n.Asked
		w.admitted += n.Admitted
	}
}

// Close closes the current window and returns the limits of the workspaces that ask for more
// than their allowance. reachable is the share of all daemons that the leader has contact with:
// the rest of the allowance belongs to the others. find returns a workspace by name. Close
// also reports whether to send them: if there are any, or were before.
func (c *Controller) Close(now time.Time, reachable float64, find func(name string) (space.Workspace, bool)) (limits []Limit, send bool) {
	elapsed := now.Sub(c.windowStartAt).Seconds()
	c.windowStartAt = now
	if elapsed <= 0 {
		return nil, false
	}
	for name, state := range c.workspaces {
		w, ok := find(name)
		if !ok || !w.Allowance.Limited() || state.idle(now) {
			delete(c.workspaces, name)
			continue
		}
		if state.lastUsedAt.IsZero() {
			state.lastUsedAt, state.remaining = now, c.initialRemaining(now, elapsed, state, w.Allowance)
		}
		if limit, limited := state.close(now, elapsed, w, reachable); limited {
			limits = append(limits, limit)
		}
	}
	send = len(limits) > 0 || c.limited
	c.limited = len(limits) > 0
	return limits, send
}

// initialRemaining returns what is left of an allowance of which the controller has no record. A new leader
// does not know what was used before it led: the burst if there were many requests, and as much
// beyond the allowance as daemons admit while the leader changes.
func (c *Controller) initialRemaining(now time.Time, elapsed float64, state *workspaceState, allowance space.Allowance) float64 {
	if now.Sub(c.startedAt) > idleTime {
		return allowance.Burst
	}
	return min(0, allowance.Rate-float64(state.admitted)/elapsed) * leaderChangeTime.Seconds()
}

func (s *workspaceState) idle(now time.Time) bool {
	return s.asked == 0 && s.admitted == 0 && now.Sub(s.lastUsedAt) > idleTime
}

// close ends a window of some seconds, and returns the limit for the next one.
func (s *workspaceState) close(now time.Time, elapsed float64, w space.Workspace, reachable float64) (Limit, bool) {
	rate := w.Allowance.Rate * reachable
	if s.asked > 0 {
		s.lastUsedAt = now
	}
	s.remaining = min(w.Allowance.Burst, s.remaining+rate*elapsed-float64(s.admitted))
	s.demand.add(float64(s.asked) / elapsed)
	s.use.add(float64(s.admitted) / elapsed)
	s.asked, s.admitted = 0, 0
	// Daemons that admit too much have gone on doing so since they reported it.
	unreported := max(0, s.use.mean()-rate) * reportLag.Seconds()
	target := max(0, rate+(s.remaining-unreported)/correctionTime.Seconds())
	demand := s.demand.mean()
	if demand <= target {
		return Limit{}, false
	}
	wait := time.Duration(max(0, -s.remaining) / rate * float64(time.Second))
	return Limit{Workspace: w.Name, Fraction: target / demand, Wait: wait, Remaining: s.remaining}, true
}
