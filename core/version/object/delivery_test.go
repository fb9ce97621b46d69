package object

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// delivery is a delta on its way to a daemon.
type delivery struct {
	to    int
	delta Delta
}

// deliveryModel is a store with a random history, daemons that know it from lists, watches and each other, and
// deltas that arrive late, in any order, more than once or never. All are true for their revisions.
type deliveryModel struct {
	rng     *rand.Rand
	history []Item // by revision, from 1
	daemons []*Cache
	sent    []delivery
	// ownRevisions is set if events of removals bear revisions of their own.
	ownRevisions bool
}

const (
	modelNames      = 6
	modelHistory    = 12 // revisions that a watch can go back
	modelTombstones = 4
)

func newDeliveryModel(seed uint64) *deliveryModel {
	m := &deliveryModel{rng: rand.New(rand.NewPCG(seed, 3)), ownRevisions: true}
	for range 4 {
		m.daemons = append(m.daemons, m.newDaemon())
	}
	return m
}

func (m *deliveryModel) newDaemon() *Cache {
	c := NewCache(Servers)
	if m.rng.IntN(2) == 0 {
		c.maxTombstones = modelTombstones
	}
	return c
}

func (m *deliveryModel) revision() uint64 { return uint64(len(m.history)) }

// stateAt returns the objects at a revision.
func (m *deliveryModel) stateAt(revision uint64) map[string]Item {
	state := map[string]Item{}
	for _, it := range m.history[:revision] {
		if it.Removed {
			delete(state, it.Name)
		} else {
			state[it.Name] = it
		}
	}
	return state
}

// change adds, rewrites or removes an object.
func (m *deliveryModel) change() {
	name := fmt.Sprint(m.rng.IntN(modelNames))
	it := Item{Name: name, Revision: m.revision() + 1, Value: []byte(fmt.Sprint(m.rng.IntN(2)))}
	if _, exists := m.stateAt(m.revision())[name]; exists && m.rng.IntN(2) == 0 {
		it.Removed, it.Value = true, nil
	}
	m.history = append(m.history, it)
}

// list sends a daemon a full list, at times of an older revision.
func (m *deliveryModel) list(to int) {
	revision := m.revision()
	if m.rng.IntN(2) == 0 {
		revision -= min(revision, m.rng.Uint64N(10))
	}
	d := Delta{Kind: Servers, Whole: true, Through: revision}
	for _, it := range m.stateAt(revision) {
		d.Items = append(d.Items, it)
	}
	m.sent = append(m.sent, delivery{to: to, delta: d})
}

// watch sends a daemon the changes since its revision, if the store still has them.
func (m *deliveryModel) watch(to int) {
	since := m.daemons[to].Through()
	if since == 0 || since+modelHistory < m.revision() {
		m.list(to)
		return
	}
	d := Delta{Kind: Servers, Through: m.revision(), EveryChange: true}
	last := m.stateAt(since)
	for _, it := range m.history[since:] {
		if it.Removed && !m.ownRevisions {
			it.Revision = last[it.Name].Revision
		}
		last[it.Name] = it
		d.Items = append(d.Items, it)
	}
	m.sent = append(m.sent, delivery{to: to, delta: d})
}

// deliver hands over one of the deltas. At times it arrives again later.
func (m *deliveryModel) deliver() (to int, ok bool) {
	if len(m.sent) == 0 {
		return 0, false
	}
	i := len(m.sent) - 1 - m.rng.IntN(min(len(m.sent), 8))
	v := m.sent[i]
	if m.rng.IntN(4) > 0 {
		m.sent = append(m.sent[:i], m.sent[i+1:]...)
	}
	m.daemons[v.to].Merge(v.delta)
	return v.to, true
}

// restart replaces a daemon's cache. What was on its way to the one before is lost.
func (m *deliveryModel) restart(daemon int) {
	m.daemons[daemon] = m.newDaemon()
	var sent []delivery
	for _, v := range m.sent {
		if v.to != daemon {
			sent = append(sent, v)
		}
	}
	m.sent = sent
}

func (m *deliveryModel) step() error {
	daemon := m.rng.IntN(len(m.daemons))
	switch n := m.rng.IntN(100); {
	case n < 25:
		m.change()
	case n < 30:
		m.list(daemon)
	case n < 45:
		m.watch(daemon)
	case n < 65:
		other := m.rng.IntN(len(m.daemons))
		m.sent = append(m.sent, delivery{to: daemon, delta: m.daemons[other].Since(m.daemons[daemon].Through())})
	case n < 66:
		m.restart(daemon)
	default:
		if to, ok := m.deliver(); ok {
			return m.check(to)
		}
	}
	return nil
}

// check compares a daemon's objects with those that the store had at the revision up to which the daemon says
// that it has every change.
func (m *deliveryModel) check(daemon int) error {
	c := m.daemons[daemon]
	want := m.stateAt(c.Through())
	for _, it := range c.List() {
		if w, ok := want[it.Name]; !ok || string(w.Value) != string(it.Value) {
			return fmt.Errorf("daemon %d at revision %d has %s at revision %d, the store had %v", daemon, c.Through(), it.Name, it.Revision, w)
		}
		delete(want, it.Name)
	}
	if len(want) > 0 {
		return fmt.Errorf("daemon %d at revision %d lacks %v", daemon, c.Through(), want)
	}
	return nil
}

// Guards against removed servers, data centres and routes that come back, and new ones that stay unknown, by news
// that arrive late, out of order, twice or not at all.
func TestFuzzLateDeliveries(t *testing.T) {
	for seed := range uint64(400) {
		m := newDeliveryModel(seed)
		for range 500 {
			if err := m.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}

// Guards against a removal that is lost where its event bears the revision of the object's last change.
func TestFuzzRemovalsWithoutOwnRevision(t *testing.T) {
	for seed := range uint64(200) {
		m := newDeliveryModel(seed)
		m.ownRevisions = false
		m.daemons = m.daemons[:1]
		for range 500 {
			if err := m.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}
