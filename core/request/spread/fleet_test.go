package spread

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"catkinstep/core/request/permit"
	"catkinstep/core/version/fleet"
)

// place plays a data centre in virtual time: daemons that each judge by their own
// Spread, servers with slots, queues and noisy neighbours, and callers that come by
// chance. Daemons tell a relay what they have under way, in rounds.
type place struct {
	random  *rand.Rand
	now     time.Time
	events  events
	daemons []*Spread
	servers []*backend
	list    []fleet.Server
	service Need
	work    float64
	round   time.Duration
	end     time.Time
	// permits are asked for at contended servers, unless nil.
	permits *permit.Issuer
	lastID  uint64

	weights                           []int
	asked, inAim, late, refused, shed int
}

// backend is a server of the place.
type backend struct {
	v       fleet.Server
	speed   float64
	noise   float64
	running int
	queue   []job
}

type job struct {
	daemon *Spread
	need   Need
	at     time.Time
	id     uint64 // of its permit
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	placeQueue = 12
	noiseShare = 0.2
	noiseTimes = 3.0
	noiseEvery = 400 * time.Millisecond
)

func newPlace(daemons, servers int, work time.Duration, aim time.Duration) *place {
	p := &place{random: rand.New(rand.NewPCG(3, 1)), now: t0, work: work.Seconds(), service: Need{Route: "r", Service: service, Aim: aim, Priority: 1, Near: "x"}}
	p.service.Service.Connections = 0
	for i := range daemons {
		p.daemons = append(p.daemons, New(uint64(i), Limits{ColdFactor: 1.5, ColdSlack: 5, Daemons: daemons, Near: daemons, NearIndex: i}))
	}
	for i := range servers {
		v := fleet.Server{ID: fmt.Sprintf("s%02d", i), Service: "s", DataCentre: "x", Slots: 3, StartMillis: 1}
		p.list = append(p.list, v)
		p.servers = append(p.servers, &backend{v: v, speed: []float64{0.7, 0.7, 1.6}[i%3], noise: 1})
	}
	p.round = time.Duration(max(10, daemons)) * 25 * time.Millisecond
	return p
}

func (p *place) after(d time.Duration, do func()) {
	heap.Push(&p.events, event{at: p.now.Add(d), do: do})
}

// run plays some time at so many requests a second.
func (p *place) run(perSecond float64, d time.Duration) {
	p.end = p.now.Add(d)
	for _, b := range p.servers {
		p.after(time.Duration(p.random.Float64()*float64(noiseEvery)), func() { p.redraw(b) })
	}
	for i := range p.daemons {
		p.after(time.Duration(p.random.Float64()*float64(p.round)), func() { p.tell(i) })
	}
	p.after(0, func() { p.arrive(perSecond) })
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		if e.at.After(p.end) {
			return
		}
		p.now = e.at
		e.do()
	}
}

func (p *place) redraw(b *backend) {
	b.noise = 1
	if p.random.Float64() < noiseShare {
		b.noise = noiseTimes
	}
	p.after(noiseEvery, func() { p.redraw(b) })
}

// tell plays a word to the relay, the first daemon, and its answer.
func (p *place) tell(i int) {
	relay, name := p.daemons[0], fmt.Sprintf("d%d", i)
	if i > 0 {
		relay.SetPeer(p.now, name, p.daemons[i].Own())
		p.daemons[i].SetPeers(p.now, relay.Summed(p.now, name))
	}
	p.after(p.round, func() { p.tell(i) })
}

func (p *place) arrive(perSecond float64) {
	p.after(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), func() { p.arrive(perSecond) })
	if p.weights == nil {
		for i := range p.daemons {
			n := 0
			for t := p.random.ExpFloat64(); t < 5; t += p.random.ExpFloat64() {
				n++
			}
			for range n {
				p.weights = append(p.weights, i)
			}
		}
	}
	d := p.daemons[p.weights[p.random.IntN(len(p.weights))]]
	n := p.service
	n.Began, n.Deadline = p.now, p.now.Add(5*n.Aim/2)
	p.asked++
	p.send(d, n)
}

func (p *place) send(d *Spread, n Need) {
	c, id := p.choose(d, n)
	if c.Refused() {
		p.refused++
		return
	}
	for _, b := range p.servers {
		if b.v.ID == c.Server.ID {
			p.receive(b, job{daemon: d, need: n, at: p.now, id: id})
		}
	}
}

// choose chooses a server, and others where it gets no permit.
func (p *place) choose(d *Spread, n Need) (Choice, uint64) {
	for range 3 {
		c := d.Choose(p.now, n, p.list)
		if c.Refused() && (p.permits == nil || !c.Doubtful()) {
			return c, 0
		}
		d.Begin(p.now, c.Server, n)
		if p.permits == nil || !c.Contended {
			return c, 0
		}
		p.lastID++
		q := permit.Request{Server: c.Server.ID, ID: p.lastID, Slots: c.Server.Slots, Work: d.Work(p.now, n, c.Server),
			Patience: d.Patience(n) - p.now.Sub(n.Began), Lasts: n.Deadline.Sub(p.now)}
		if p.permits.Ask(p.now, q).Granted {
			c.Reason = ""
			return c, p.lastID
		}
		d.End(p.now, c.Server, n, p.now, NotPermitted, nil)
		n.Tried = append(n.Tried, c.Server.ID)
	}
	return Choice{Reason: Busy}, 0
}

func (p *place) ended(b *backend, j job) {
	if j.id > 0 {
		p.permits.End(b.v.ID, j.id)
	}
}

func (p *place) receive(b *backend, j job) {
	switch {
	case b.running < b.v.Slots:
		p.start(b, j)
	case len(b.queue) < placeQueue:
		b.queue = append(b.queue, j)
	default:
		p.shed++
		p.ended(b, j)
		j.daemon.End(p.now, b.v, j.need, j.at, Shed, b.report())
		j.need.Tried = append(j.need.Tried, b.v.ID)
		p.send(j.daemon, j.need)
	}
}

func (b *backend) report() *Report {
	return &Report{Running: b.running, Waiting: len(b.queue), Slots: b.v.Slots, Bytes: 5000, Pace: b.speed * b.noise}
}

func (p *place) start(b *backend, j job) {
	b.running++
	const spread = 0.35
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	took := p.work * math.Exp(p.random.NormFloat64()*sigma-sigma*sigma/2) * b.speed * b.noise
	p.after(time.Duration(took*float64(time.Second)), func() {
		b.running--
		p.ended(b, j)
		j.daemon.End(p.now, b.v, j.need, j.at, Answered, b.report())
		if p.now.Sub(j.need.Began) <= j.need.Aim {
			p.inAim++
		} else {
			p.late++
		}
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			p.start(b, next)
		}
	})
}
