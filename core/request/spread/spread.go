package spread

import (
	"math/rand/v2"
	"time"

	"catkinstep/core/version/config"
	"catkinstep/core/version/fleet"
)

// Need is what a request asks of a server.
type Need struct {
	// Route names the kind of request.
	Route    string
	Service  config.Service
	Aim      time.Duration
	Priority int
	// Began is when the caller's request came, Deadline when it ends.
	Began    time.Time
	Deadline time.Time
	// Near is the data centre of this daemon.
	Near string
	// Tried are servers that are not to be asked again.
	Tried []string
}

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	None     Reason = "none"       // no server is in service
	Busy     Reason = "allBusy"    // no server would answer in time
	ColdFull Reason = "coldServer" // what a cold server bears is used up
	Crowded  Reason = "connections"
	TooLate  Reason = "deadlineTooNear"
	Sick     Reason = "serverFailing"
	// Unreached servers did not take the last connection, and the next try of
	// one is still under way or not due yet.
	Unreached Reason = "serverUnreachable"
)

// Choice is a server, or the reason why there is none.
type Choice struct {
	Server     fleet.Server
	Expected   time.Duration
	Reason     Reason
	RetryAfter time.Duration
	// free means that a slot is thought to be free, and the server not slower than
	// most.
	free bool
}

// Refused tells whether there is no server.
func (c Choice) Refused() bool { return c.Reason != "" }

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Answered    Outcome = iota
	Failed              // an answer of failure, a broken one, or none
	Shed                // the server did not run it
	Unreachable         // its address refuses connections
	Silent              // no connection to it could be made
	CalledOff           // ended by this daemon; says nothing of the server
)

// Report is what an answer tells of the server.
type Report struct {
	Running, Waiting, Slots int
	// Bytes is the size of the answer's body.
	Bytes int
	// Pace is how long work takes at the server now, over the time at one of usual
	// speed; 0 where it does not say.
	Pace float64
}

type kind struct {
	usual float64 // seconds at a server of factor 1, not waiting
	size  float64 // kilobytes of an answer
	known int
}

type state struct {
	own      int
	running  []time.Time
	reported float64 // running and waiting of others than this daemon
	at       time.Time
	factor   float64 // its time over the usual one
	answers  int     // that the factor was learnt from
	slowness slowness
	failing  float64
	pause    time.Time
	silent   bool // no connection could be made since the last answer
	cold     bucket
	born     int64
	coldTill time.Time
}

// Spread holds what this daemon measured. It is not safe for concurrent use.
type Spread struct {
	random  *rand.Rand
	limits  Limits
	kinds   map[string]*kind
	servers map[string]*state
	others  map[string]word // by daemon
}

// word is what another daemon said that it has under way, by server.
type word struct {
	at    time.Time
	under map[string]int
}

// New returns a Spread that has measured nothing.
func New(seed uint64, l Limits) *Spread {
	return &Spread{random: rand.New(rand.NewPCG(seed, 11)), limits: l, kinds: map[string]*kind{}, servers: map[string]*state{}, others: map[string]word{}}
}

// Limit follows a change of the number of daemons.
func (s *Spread) Limit(l Limits) { s.limits = l }

// Choose returns the server with the least expected time. Servers in other data
// centres cost extra, failing ones are rarely asked. Where a near server has a
// free slot the far ones are not looked at: there are hundreds on large sites, and
// an answer from afar costs bytes between data centres.
func (s *Spread) Choose(now time.Time, n Need, servers []fleet.Server) Choice {
	best := Choice{Reason: None, RetryAfter: 4 * retryAtLeast}
	bestCost := 0.0
	look := func(near bool) {
		for _, v := range servers {
			if (v.DataCentre == n.Near) != near || v.Draining || tried(n, v.ID) {
				continue
			}
			c, cost := s.weigh(now, n, v)
			if best.Reason == None || better(c, cost, best, bestCost) {
				best, bestCost = c, cost
			}
		}
	}
	look(true)
	if best.Refused() || !best.free {
		look(false)
	}
	return best
}

// Judge decides about the only server that may run a request.
func (s *Spread) Judge(now time.Time, n Need, v fleet.Server) Choice {
	c, _ := s.weigh(now, n, v)
	if c.Reason == Sick {
		c.Reason = ""
	}
	return c
}

// better prefers servers that can be asked, then the cheaper one.
func better(a Choice, costA float64, b Choice, costB float64) bool {
	if a.Refused() != b.Refused() {
		return !a.Refused()
	}
	return costA < costB
}

func (s *Spread) weigh(now time.Time, n Need, v fleet.Server) (Choice, float64) {
	st := s.server(v)
	usual := s.usual(n)
	ahead := s.ahead(now, v.ID, st)
	factor := s.factorOf(now, st, usual)
	work := usual * factor
	wait := max(0, (ahead+1-float64(max(1, v.Slots)))/float64(max(1, v.Slots))) * work
	expected := seconds(work + wait)
	cost := (work + wait) * (1 + jitter*s.random.Float64()) / (1.001 - st.failing)
	if v.DataCentre != n.Near {
		cost += farPerKilobyte.Seconds() * s.kind(n).size
	}
	c := Choice{Server: v, Expected: expected, free: ahead < float64(v.Slots) && factor < freeFactor}
	c.Reason = s.objection(now, n, v, st, expected, ahead)
	if c.Refused() {
		c.RetryAfter = s.retryAfter(n, expected)
	}
	return c, cost
}

// objection says why a server should not be asked now, or nothing.
func (s *Spread) objection(now time.Time, n Need, v fleet.Server, st *state, expected time.Duration, ahead float64) Reason {
	switch {
	case now.Before(st.pause), st.silent && st.own > 0:
		return Unreached
	case st.own >= s.connections(n.Service):
		return Crowded
	case now.Add(expected / 2).After(n.Deadline):
		return TooLate
	case now.Before(st.coldTill) && !st.cold.has(now, s.coldRate(n.Service, v.ID)):
		return ColdFull
	case ahead >= float64(v.Slots) && now.Add(expected).After(n.Began.Add(s.patience(n))):
		return Busy
	case st.failing > sickShare && s.random.Float64() > trickle:
		return Sick
	}
	return ""
}

// patience is how long a request may take in all if it has to wait: within its
// aim, since what comes late is worth little and holds a slot that another
// could have used in time. The less urgent kinds give way first.
func (s *Spread) patience(n Need) time.Duration {
	share := 0.95 - 0.1*float64(min(n.Priority, 3))
	return time.Duration(share * float64(n.Aim))
}

// retryAfter asks callers to return when the queue has moved on, spread in time.
func (s *Spread) retryAfter(n Need, expected time.Duration) time.Duration {
	wait := max(retryAtLeast, min(expected, n.Aim)/3)
	return time.Duration(float64(wait) * (0.7 + 0.6*s.random.Float64()))
}

// Begin notes a request under way to a server.
func (s *Spread) Begin(now time.Time, v fleet.Server, n Need) {
	st := s.server(v)
	st.own++
	st.running = append(st.running, now)
	if now.Before(st.coldTill) {
		st.cold.take(now, s.coldRate(n.Service, v.ID))
	}
}

// End notes how a request that began at a time ended.
func (s *Spread) End(now time.Time, v fleet.Server, n Need, began time.Time, o Outcome, r *Report) {
	st := s.server(v)
	st.own--
	st.running = without(st.running, began)
	if o == Answered || o == Shed {
		st.silent = false
	}
	if r != nil {
		st.reported = max(0, float64(r.Running+r.Waiting-st.own-1))
		st.at = now
		if r.Pace > 0 {
			st.slowness.told(now, r.Pace)
			st.factor = st.slowness.lasting
		}
	}
	switch o {
	case Answered:
		st.failing *= 1 - forget
		s.learned(n, st, now.Sub(began), r)
	case Failed:
		st.failing += forget * (1 - st.failing)
	case Shed:
		if r == nil || r.Running >= r.Slots {
			st.reported = max(st.reported, float64(v.Slots))
			st.at = now
		}
		st.failing += forget / 3 * (1 - st.failing)
	case Unreachable:
		st.pause = now.Add(refusedPause)
		st.coldTill = now.Add(refusedPause + restartDoubt)
	case Silent:
		st.silent, st.pause = true, now.Add(silentPause)
		st.failing += forget * (1 - st.failing)
	case CalledOff:
	}
}

// Others notes what another daemon of the data centre has under way, by server.
func (s *Spread) Others(now time.Time, daemon string, at map[string]int) {
	s.others[daemon] = word{at: now, under: at}
}

// Around notes what all other daemons of the data centre have under way together,
// in place of what each of them said.
func (s *Spread) Around(now time.Time, at map[string]int) {
	clear(s.others)
	s.others[allOthers] = word{at: now, under: at}
}

// allOthers stands for every other daemon; none has this name.
const allOthers = ""

// Summed returns what this daemon and the others that told it have under way, a
// named one apart.
func (s *Spread) Summed(now time.Time, apart string) map[string]int {
	out := s.Own()
	for name, w := range s.others {
		if name == apart || name == allOthers || now.Sub(w.at) >= wordCounts {
			continue
		}
		for id, n := range w.under {
			out[id] += n
		}
	}
	return out
}

// Own returns what this daemon has under way, by server.
func (s *Spread) Own() map[string]int {
	out := map[string]int{}
	for id, st := range s.servers {
		if st.own > 0 {
			out[id] = st.own
		}
	}
	return out
}

// Pace is how slow a server was found to be.
type Pace struct {
	Server  string
	Factor  float64
	Answers int
}

// Paces lists the servers that answered, in no order.
func (s *Spread) Paces() []Pace {
	var out []Pace
	for id, st := range s.servers {
		if st.answers > 0 {
			out = append(out, Pace{Server: id, Factor: st.factor, Answers: st.answers})
		}
	}
	return out
}

// Usual is the time that a kind of request takes at a server of usual speed.
func (s *Spread) Usual(n Need) time.Duration { return seconds(s.usual(n)) }

// Told takes a server's own word of how long it stays cold.
func (s *Spread) Told(now time.Time, v fleet.Server) {
	st := s.server(v)
	st.coldTill = now.Add(v.Cold)
}

// Doubt takes a server for cold until its entry tells or a time has passed.
func (s *Spread) Doubt(v fleet.Server, until time.Time) { s.server(v).coldTill = until }

func (s *Spread) server(v fleet.Server) *state {
	st := s.servers[v.ID]
	if st == nil || st.born != v.Born {
		own := 0
		var running []time.Time
		if st != nil {
			own, running = st.own, st.running
		}
		st = &state{factor: 1, born: v.Born, own: own, running: running}
		s.servers[v.ID] = st
	}
	return st
}

// Keep forgets servers that are no longer in the list.
func (s *Spread) Keep(f *fleet.Fleet) {
	for id, st := range s.servers {
		if _, ok := f.Find(id); !ok && st.own == 0 {
			delete(s.servers, id)
		}
	}
}

// ahead estimates the requests running and waiting at a server.
func (s *Spread) ahead(now time.Time, id string, st *state) float64 {
	reported := st.reported * fade(now.Sub(st.at))
	others := 0.0
	for _, w := range s.others {
		if now.Sub(w.at) < wordCounts {
			others += float64(w.under[id])
		}
	}
	return float64(st.own) + max(reported, others)
}

// factorOf is how slow a server is. A request that is under way for longer than
// usual counts at once: a server that has just become slow answers nothing that
// could be learnt from.
func (s *Spread) factorOf(now time.Time, st *state, usual float64) float64 {
	f := st.factor
	if st.slowness.known() {
		f = st.slowness.expected(now)
	}
	if len(st.running) > 0 && usual > 0 {
		f = max(f, now.Sub(st.running[0]).Seconds()/usual/2)
	}
	return min(slowest, f)
}

func (s *Spread) learned(n Need, st *state, took time.Duration, r *Report) {
	if r != nil {
		k := s.kind(n)
		k.size += learn * (float64(r.Bytes)/1024 - k.size)
	}
	if r != nil && r.Waiting > 0 {
		return // it may have waited: that says little of the work itself
	}
	k := s.kind(n)
	t := took.Seconds()
	factor := s.factorAt(st, k, t, r)
	st.answers = min(st.answers+1, paceMemory)
	k.known++
	weight := max(learn/4, 1/float64(k.known+1))
	k.usual += weight * (t/factor - k.usual)
	k.usual = max(0.001, k.usual)
}

// factorAt is how slow the server was while a request ran that took t seconds: by
// its own word, or as learned from its answers.
func (s *Spread) factorAt(st *state, k *kind, t float64, r *Report) float64 {
	if r != nil && r.Pace > 0 {
		return r.Pace
	}
	st.factor += learn * (t/k.usual - st.factor)
	st.factor = max(fastest, min(slowest, st.factor))
	return st.factor
}

func (s *Spread) kind(n Need) *kind {
	k := s.kinds[n.Route]
	if k == nil {
		k = &kind{usual: firstGuessShare * n.Aim.Seconds(), size: firstKilobytes}
		s.kinds[n.Route] = k
	}
	return k
}

func (s *Spread) usual(n Need) float64 { return s.kind(n).usual }

// connections is this daemon's share of the connections that a server takes;
// a tenth is left for grants and for connections on their way out.
func (s *Spread) connections(v config.Service) int {
	if v.Connections == 0 {
		return 1 << 20
	}
	return max(1, v.Connections*9/10/s.limits.Daemons)
}

func fade(d time.Duration) float64 {
	if d >= 4*reportFades {
		return 0
	}
	return 1 / (1 + float64(d)/float64(reportFades))
}

func without(ts []time.Time, t time.Time) []time.Time {
	for i := range ts {
		if ts[i].Equal(t) {
			return append(ts[:i], ts[i+1:]...)
		}
	}
	return ts
}

func tried(n Need, id string) bool {
	for _, t := range n.Tried {
		if t == id {
			return true
		}
	}
	return false
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
