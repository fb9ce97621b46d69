package quota

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"catkinstep/core/version/space"
)

const (
	worldStep = 25 * time.Millisecond
	// callTimeout bounds a renewal, and takeTimeout a question for a token.
	callTimeout = 200 * time.Millisecond
	takeTimeout = 110 * time.Millisecond
	worldZones  = 4
)

// hosts is a site whose daemons exchange messages that take their time, are lost, or arrive late. What
// happens is drawn from a seed.
type hosts struct {
	random  *rand.Rand
	now     time.Time
	daemons []*host
	// workspace is the newest; each host has the one that it knows of.
	workspace space.Workspace
	leader    int
	events    eventQueue
	started   uint64
	// loss and delay say how often a message is lost, and how long it takes at most.
	loss  float64
	delay time.Duration
	// group is the part of a partition in which each daemon is; messages pass within a part only.
	group []int
	// useDelay is how long after it was taken a token is used at most.
	useDelay time.Duration
	sent     []time.Time
	asked    int
	// ideal is what a single bucket for all daemons has left.
	ideal float64
	// keeps is set if the callers ask for nothing that such a bucket would refuse.
	keeps bool
}

// host is one daemon. Its life is the number of its starts.
type host struct {
	pooledDaemon
	life   int
	leader int // as it knows
	pools  []string
	frozen time.Time // until when
	// workspace is as the host knows it.
	workspace space.Workspace
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newHosts(seed uint64, n int, allowance space.Allowance) *hosts {
	h := &hosts{random: rand.New(rand.NewPCG(seed, uint64(n))), now: t0, workspace: space.Workspace{Name: "mill", Allowance: allowance}, group: make([]int, n), delay: 3 * time.Millisecond}
	for range n {
		h.daemons = append(h.daemons, &host{workspace: h.workspace})
	}
	for d := range n {
		h.start(d)
	}
	return h
}

// start starts a daemon anew. What it had is lost.
func (h *hosts) start(d int) {
	h.started++
	x := h.daemons[d]
	x.life++
	x.frozen = time.Time{}
	x.pooledDaemon = pooledDaemon{limiter: NewLimiter(h.started), lender: NewLenders(h.now, strconv.Itoa(d), h.started), pool: NewPools(h.now, h.started)}
	x.pool.SetDaemons(h.now, len(h.daemons), true)
	x.lender.SetDaemons(len(h.daemons), true)
	h.learnLeader(d, h.leader)
}

func (h *hosts) learnLeader(d, leader int) {
	x := h.daemons[d]
	x.leader, x.pools = leader, nil
	for _, next := range []int{leader, (leader + 1) % len(h.daemons), d % worldZones, d} {
		if name := strconv.Itoa(next); !slices.Contains(x.pools, name) {
			x.pools = append(x.pools, name)
		}
	}
	x.lender.SetPools(x.pools)
}

// after runs something later.
func (h *hosts) after(d time.Duration, run func()) {
	heap.Push(&h.events, event{at: h.now.Add(d), run: run})
}

// transit is how long a message takes, and false if it is lost.
func (h *hosts) transit(from, to int) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	if h.group[from] != h.group[to] || h.random.Float64() < h.loss {
		return 0, false
	}
	return time.Duration(h.random.Float64() * float64(h.delay)), true
}

func (h *hosts) isFrozen(d int) bool { return h.now.Before(h.daemons[d].frozen) }

// run lets the site run for a time, while callers ask for perSecond requests a second of some daemons.
func (h *hosts) run(d time.Duration, perSecond float64, callers []int, each func()) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(worldStep) {
		for len(h.events) > 0 && !h.events[0].at.After(h.now) {
			heap.Pop(&h.events).(event).run()
		}
		if each != nil {
			each()
		}
		for i, x := range h.daemons {
			if !h.isFrozen(i) {
				h.renew(i)
				x.pool.Share(h.now)
			}
		}
		a := h.workspace.Allowance
		h.ideal = min(a.Burst, h.ideal+a.Rate*worldStep.Seconds())
		left := perSecond * worldStep.Seconds()
		for left -= h.random.ExpFloat64(); left > 0; left -= h.random.ExpFloat64() {
			if i := callers[h.random.IntN(len(callers))]; !h.isFrozen(i) {
				h.request(i)
			}
		}
	}
}

// renew sends the renewals that are due.
func (h *hosts) renew(d int) {
	x, life, sentAt := h.daemons[d], h.daemons[d].life, h.now
	for _, target := range x.lender.Due(h.now) {
		renewal, ended := x.lender.Begin(h.now, target).WithDemands(x.limiter.Demands(h.now)), false
		to, _ := strconv.Atoi(target.Address)
		h.after(callTimeout, func() {
			if x.life == life && !ended {
				ended = true
				x.lender.Failed(target)
			}
		})
		transit, ok := h.transit(d, to)
		if !ok {
			continue
		}
		h.deliver(to, transit, func() {
			grant, ok := h.daemons[to].pool.Renew(h.now, renewal, func(string) (space.Workspace, bool) { return h.daemons[to].workspace, true })
			back, passes := h.transit(to, d)
			if !ok || !passes {
				return
			}
			h.deliver(d, back, func() {
				if x.life != life || ended {
					return
				}
				ended = true
				if !x.lender.Answered(h.now, target, grant) {
					x.lender.Failed(target)
					return
				}
				x.limiter.SetLeases(h.now, sentAt, grant)
			})
		})
	}
}

// deliver runs something at a daemon once a message has arrived, and the daemon is not frozen.
func (h *hosts) deliver(d int, transit time.Duration, run func()) {
	if transit == 0 && !h.isFrozen(d) {
		run()
		return
	}
	h.after(transit, func() {
		if frozen := h.daemons[d].frozen.Sub(h.now); frozen > 0 {
			h.deliver(d, frozen, run)
			return
		}
		run()
	})
}

// request is a request of a caller at a daemon.
func (h *hosts) request(d int) {
	x := h.daemons[d]
	if h.keeps && h.ideal < 1 {
		return
	}
	h.ideal--
	h.asked++
	x.limiter.Ask(h.now, x.workspace)
	token, verdict, _ := x.limiter.Take(h.now, x.workspace)
	switch verdict {
	case Admitted:
		h.use(d, token)
	case AskPool:
		h.take(d, x.lender.Pools(h.now), maxTokenWait)
	case Refused, Unknown:
	}
}

// take asks pools for a token, one after the other.
func (h *hosts) take(d int, pools []string, wait time.Duration) {
	x, life, askedAt := h.daemons[d], h.daemons[d].life, h.now
	if len(pools) == 0 {
		x.limiter.Denied(h.now, x.workspace, wait)
		return
	}
	to, _ := strconv.Atoi(pools[0])
	ended := false
	h.after(takeTimeout, func() {
		if x.life == life && !ended {
			ended = true
			h.take(d, pools[1:], wait)
		}
	})
	transit, ok := h.transit(d, to)
	if !ok {
		return
	}
	h.deliver(to, transit, func() {
		retryAfter, granted := h.daemons[to].pool.Take(h.now, h.daemons[to].workspace)
		back, passes := h.transit(to, d)
		if !passes {
			return
		}
		h.deliver(d, back, func() {
			if x.life != life || ended {
				return
			}
			ended = true
			if granted {
				h.use(d, NewToken(askedAt))
				return
			}
			h.take(d, pools[1:], retryAfter)
		})
	})
}

// use sends a request, possibly some time after it got its token.
func (h *hosts) use(d int, token Token) {
	x, life := h.daemons[d], h.daemons[d].life
	h.after(time.Duration(h.random.Float64()*float64(h.useDelay)), func() {
		if x.life == life && token.Valid(h.now) && !h.isFrozen(d) {
			h.sent = append(h.sent, h.now)
		}
	})
}

// setAllowance changes the allowance. Hosts learn of it one by one within learnTime.
func (h *hosts) setAllowance(a space.Allowance) {
	h.workspace.Allowance = a
	for _, x := range h.daemons {
		next := h.workspace
		h.after(time.Duration(h.random.Float64()*float64(learnTime)), func() { x.workspace = next })
	}
}

// learnTime is how long it takes at most until all hosts know of a change of the configuration.
const learnTime = 2 * time.Second

// mayRun is how many requests may run in a window.
func mayRun(a space.Allowance) float64 {
	return (a.Rate*quotaWindow.Seconds()+a.Burst)*(1+allowedOverrun) + allowedExtra
}

// fullest is the largest number of requests in a window that begins in a time, as a share of what may run.
func (h *hosts) fullest(a space.Allowance, from, until time.Time) float64 {
	most, first := 0, 0
	for i := range h.sent {
		for h.sent[i].Sub(h.sent[first]) >= quotaWindow {
			first++
		}
		if at := h.sent[first]; !at.Before(from) && at.Before(until) {
			most = max(most, i-first+1)
		}
	}
	return float64(most) / mayRun(a)
}
