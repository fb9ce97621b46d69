package keeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkinstep/core/process/lease"
	"catkinstep/core/version/grant"
)

// leaseModel is a store, witnesses, and leaders that replace each other, with messages that are
// delayed, reordered or lost at will. It checks that no leader may call servers at or after the
// time by which a successor takes it to have stopped.
type leaseModel struct {
	rng       *rand.Rand
	now       time.Time // real time
	table     grant.Table
	revision  uint64
	witnesses []*modelWitness
	leaders   []*modelLeader
	pending   []func()
	violation string
	// mayCalls counts how often a leader could call servers, and derived how often an end was.
	mayCalls, derived int
}

type modelWitness struct {
	grant.Witness
	epoch  uint64
	cutOff bool // learns of no newer epoch
}

type modelLeader struct {
	// clockRatio is real time divided by the time that the leader's clock shows.
	clockRatio float64
	keeper     *Keeper
	ended      bool
	storeLost  bool // the store's answers do not arrive, and calls to it arrive late
	epoch      uint64
	endings    []*lease.Ending
	// stoppedBy is the real time by which all earlier leaders have stopped; zero if unknown.
	stoppedBy time.Time
}

var leaseModelStart = time.Unix(1000, 0)

// leaseModelLease is the leader lease: longer than the derived ends, and short enough that earlier
// terms are dropped within a run.
const leaseModelLease = 8 * time.Second

// local returns the time that the leader's clock shows.
func (l *modelLeader) local(now time.Time) time.Time {
	return leaseModelStart.Add(time.Duration(float64(now.Sub(leaseModelStart)) / l.clockRatio))
}

// real returns the real time at which the leader's clock shows a time.
func (l *modelLeader) real(local time.Time) time.Time {
	return leaseModelStart.Add(time.Duration(float64(local.Sub(leaseModelStart)) * l.clockRatio))
}

func (m *leaseModel) update(l *modelLeader, msg Msg) {
	if l.ended {
		return
	}
	for _, c := range l.keeper.Update(l.local(m.now), msg) {
		switch c := c.(type) {
		case SaveCmd:
			requestedAt := l.local(m.now)
			m.toStore(l, func() { m.save(l, c, requestedAt) })
		case ReadCmd:
			requestedAt := l.local(m.now)
			m.toStore(l, func() {
				stored := StoredTableMsg{Table: m.table, Revision: m.revision, RequestedAt: requestedAt}
				m.later(func() { m.update(l, stored) })
			})
		case StepDownCmd:
			l.ended = true
		}
	}
}

// toStore makes a call to the store.
func (m *leaseModel) toStore(l *modelLeader, f func()) {
	if !l.storeLost {
		m.later(f)
		return
	}
	if m.rng.IntN(8) == 0 {
		m.pending = append(m.pending, f)
	}
	m.update(l, StoreFailedMsg{})
}

// save carries out a save. Its answer is delivered later. A save whose answer has been lost is
// carried out all the same.
func (m *leaseModel) save(l *modelLeader, c SaveCmd, requestedAt time.Time) {
	if c.Revision == m.revision {
		m.table, m.revision = c.Table, m.revision+1
	}
	stored := StoredTableMsg{Table: m.table, Revision: m.revision, RequestedAt: requestedAt}
	m.later(func() { m.update(l, stored) })
}

// takeLead makes another daemon the leader. Its successor's clock may be slow as well.
func (m *leaseModel) takeLead() {
	l := &modelLeader{clockRatio: 1 + 0.02*float64(m.rng.IntN(2)), epoch: m.table.Epoch + 1}
	next := m.table.WithLeader(grant.Leader{Daemon: fmt.Sprintf("l%d", l.epoch), Incarnation: 1}, m.chooseWitnesses())
	m.table, m.revision = next, m.revision+1
	l.keeper = New(l.local(m.now), next, m.revision, WithAcquiredAt(l.local(m.now)), WithLeaderLease(leaseModelLease))
	for _, term := range next.Earlier {
		l.endings = append(l.endings, lease.NewEnding(l.local(m.now), term))
	}
	for _, other := range m.leaders {
		other.storeLost = m.rng.IntN(4) > 0
	}
	for _, w := range m.witnesses {
		w.cutOff = m.rng.IntN(2) == 0
	}
	m.leaders = append(m.leaders, l)
}

// chooseWitnesses returns four of the witnesses.
func (m *leaseModel) chooseWitnesses() []grant.Witness {
	var out []grant.Witness
	for _, i := range m.rng.Perm(len(m.witnesses))[:4] {
		out = append(out, m.witnesses[i].Witness)
	}
	return out
}

// later runs f now or, as often as not, when it is delivered.
func (m *leaseModel) later(f func()) {
	if m.rng.IntN(2) == 0 {
		f()
		return
	}
	if len(m.pending) < 40 { // others are lost
		m.pending = append(m.pending, f)
	}
}

// call sends a call of a leader to a witness, which replies with its epoch.
func (m *leaseModel) call(l *modelLeader, w *modelWitness) {
	sentAt := l.local(m.now)
	m.later(func() {
		from, epoch := w.Witness, w.epoch
		m.later(func() { m.receive(l, from, epoch, sentAt) })
	})
}

func (m *leaseModel) receive(l *modelLeader, from grant.Witness, epoch uint64, sentAt time.Time) {
	if l.ended || epoch > l.epoch && m.rng.IntN(500) > 0 { // a leader that learns of its successor is of no interest
		return
	}
	if epoch > l.epoch {
		m.update(l, EpochSeenMsg{Epoch: epoch, At: l.local(m.now)})
		return
	}
	m.update(l, EpochSeenMsg{Epoch: l.epoch, At: l.local(m.now)}) // news by gossip, which lacks its delay
	m.update(l, SupportMsg{Witness: from, At: sentAt})
	for _, e := range l.endings {
		e.Record(l.local(m.now), from, epoch)
	}
	m.deriveEnd(l)
}

// deriveEnd passes the end of all earlier terms to the keeper once it is known.
func (m *leaseModel) deriveEnd(l *modelLeader) {
	if len(l.endings) == 0 {
		return
	}
	stoppedBy, allKnown := time.Time{}, true
	for _, e := range l.endings {
		at, known := e.StoppedBy()
		allKnown = allKnown && known
		if known {
			stoppedBy = later(stoppedBy, at)
			m.update(l, EarlierLeaderStoppedMsg{Epoch: e.Term().Epoch, At: at})
		}
	}
	if !allKnown {
		return
	}
	if l.stoppedBy.IsZero() || l.real(stoppedBy).Before(l.stoppedBy) {
		l.stoppedBy = l.real(stoppedBy)
		m.derived++
	}
}

// advance lets time pass, and checks the leaders at each derived end on the way.
func (m *leaseModel) advance(d time.Duration) {
	end := m.now.Add(d)
	for _, l := range m.leaders {
		if l.stoppedBy.After(m.now) && !l.stoppedBy.After(end) {
			m.now = l.stoppedBy
			m.check()
		}
	}
	m.now = end
	m.check()
}

func (m *leaseModel) check() {
	for i, l := range m.leaders {
		if l.ended || !l.keeper.mayCall(l.local(m.now)) {
			continue
		}
		m.mayCalls++
		for _, successor := range m.leaders[i+1:] {
			if !successor.stoppedBy.IsZero() && !m.now.Before(successor.stoppedBy) && m.violation == "" {
				m.violation = fmt.Sprintf("the leader of epoch %d may call servers %v after the end that the leader of epoch %d derived", l.epoch, m.now.Sub(successor.stoppedBy), successor.epoch)
			}
		}
	}
}

// act makes one leader, witness, message or fault take a step.
func (m *leaseModel) act() {
	l, w := m.leaders[m.rng.IntN(len(m.leaders))], m.witnesses[m.rng.IntN(len(m.witnesses))]
	switch n := m.rng.IntN(1000); {
	case n < 150:
		m.update(l, TickMsg{})
	case n < 300:
		m.call(l, w)
	case n < 400:
		for _, w := range m.witnesses {
			m.call(l, w)
		}
	case n < 850:
		m.deliver()
	case n < 870:
		if !w.cutOff {
			w.epoch = max(w.epoch, m.table.Epoch)
		}
	case n < 875:
		w.Incarnation, w.epoch = w.Incarnation+1, 0
	case n < 876:
		w.cutOff = !w.cutOff
	case n < 890:
		m.update(l, StoreFailedMsg{})
	case n < 895:
		l.storeLost = !l.storeLost
	case n < 950:
		m.update(l, WitnessesMsg{Witnesses: m.chooseWitnesses()})
	case n == 990 && len(m.leaders) < 4:
		m.takeLead()
	case n == 991 && m.rng.IntN(4) == 0:
		m.restart(l)
	}
}

// deliver delivers one of the messages, or loses it.
func (m *leaseModel) deliver() {
	if len(m.pending) == 0 {
		return
	}
	i, last := m.rng.IntN(len(m.pending)), len(m.pending)-1
	f := m.pending[i]
	m.pending[i], m.pending = m.pending[last], m.pending[:last]
	if m.rng.IntN(20) > 0 {
		f()
	}
}

// restart restarts a leader's daemon, of which some of the later leaders hear.
func (m *leaseModel) restart(l *modelLeader) {
	l.ended = true
	for _, successor := range m.leaders {
		for _, e := range successor.endings {
			if e.Term().Epoch == l.epoch && !successor.ended && m.rng.IntN(2) == 0 {
				e.RecordStopped(successor.local(m.now))
				m.deriveEnd(successor)
			}
		}
	}
}

func runLeaseSeed(t fataler, seed uint64) *leaseModel {
	m := &leaseModel{rng: rand.New(rand.NewPCG(seed, 11)), now: leaseModelStart, revision: 1}
	for i := range 6 {
		m.witnesses = append(m.witnesses, &modelWitness{Witness: grant.Witness{Name: fmt.Sprintf("w%d", i), Incarnation: 1}})
	}
	m.takeLead()
	for range 150 {
		for range 1 + m.rng.IntN(30) {
			m.act()
		}
		m.advance(time.Duration(m.rng.IntN(120)) * time.Millisecond)
		if m.rng.IntN(100) == 0 {
			m.advance(time.Duration(m.rng.IntN(2500)) * time.Millisecond)
		}
	}
	if m.violation != "" {
		t.Fatalf("seed %d: %s", seed, m.violation)
	}
	return m
}

// Guards against two leaders that grant at once: whatever messages are lost or delayed, an earlier
// leader must not grant after the time that a successor derived.
func TestFuzzDerivedEndHolds(t *testing.T) {
	mayCalls, derived := 0, 0
	for seed := range uint64(1000) {
		m := runLeaseSeed(t, seed)
		mayCalls, derived = mayCalls+m.mayCalls, derived+m.derived
	}
	rapid.Check(t, func(t *rapid.T) {
		m := runLeaseSeed(t, rapid.Uint64().Draw(t, "seed"))
		mayCalls, derived = mayCalls+m.mayCalls, derived+m.derived
	})
	t.Logf("leaders could call servers in %d states; %d ends were derived", mayCalls, derived)
	if mayCalls == 0 || derived == 0 {
		t.Fatal("the model does not reach the states that it is to check")
	}
}
