package keeper

import (
	"time"

	"catkinstep/core/request/admit"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// step is how far a range is on its way to another holder.
type step int

const (
	held      step = iota
	saving         // the intent is being stored
	releasing      // the holder is asked to let go
	granting       // the new holder has not confirmed yet
)

// span is a range with what the leader remembers of it.
type span struct {
	grant.Range
	step step
	// intent is the sequence of the first table that holds the intent.
	intent uint64
	// renewal is set when the fence was already confirmed by the holder.
	renewal bool
	// busy is set while a call to the holder is out.
	busy bool
	// until is when the holder's last grant has surely run out; zero means that
	// none was ever sent.
	until time.Time
	// next is until when Next may already hold the range: the leader before may
	// have granted it before it was replaced. Zero for intents of this leader.
	next time.Time
	// due is when the next call may be made.
	due      time.Time
	handover string
	origin   grant.Origin
	// handedBy let go of the range, and is asked again by a successor of this leader that
	// does not have the handover; nobody once Holder has confirmed its grant.
	handedBy grant.Holder
	// closed is since when a planned move has kept the range from its callers; zero
	// where its holder was lost.
	closed time.Time
}

// share is one service's keys.
type share struct {
	service  string
	spans    []*span
	balanced time.Time
	// firstKeysAt is when servers without keys last got some.
	firstKeysAt time.Time
	work        []float64          // slots kept busy, by bucket
	factors     map[string]float64 // servers' slowness
	each        float64            // slot seconds of a request
	aim         time.Duration
	coldRate    float64
	// moveTakes is how long ranges are closed while they move.
	moveTakes time.Duration
}

// publisher tells when daemons are to learn of a newer table.
type publisher struct {
	due bool
	at  time.Time // when they last did
}

// Keeper holds the decisions of one leadership.
type Keeper struct {
	hold, leaderLease time.Duration

	epoch     uint64
	leader    grant.Leader
	seq       uint64
	minted    uint64
	revision  uint64
	since     time.Time
	confirmed time.Time // when the epoch was last known to be in force
	ticked    time.Time
	oldEnded  bool

	shares  []*share
	fleet   *fleet.Fleet
	keyed   []string
	out     map[string]bool
	keep    bool      // no moves for balance
	daemons int       // how many learn of each move
	settled time.Time // since when the list of servers is unchanged
	servers int
	ended   map[grant.Holder]bool
	// unresponsive is when a server last left a call unanswered, since it last answered one.
	unresponsive map[grant.Holder]time.Time
	// fewKeys are servers that were cold when they got their first keys.
	fewKeys map[grant.Holder]bool

	saver     saver
	publisher publisher
	limiter   limiter
	cmds      []Cmd
}

// New returns the Keeper of a leadership that began with a conditional update
// of the stored table, which now is at a revision.
func New(now time.Time, t grant.Table, revision uint64, opts ...Option) *Keeper {
	k := &Keeper{
		hold: DefaultHold, leaderLease: defaultLeaderLease,
		epoch: t.Epoch, leader: t.Leader, seq: t.Seq, revision: revision,
		since: now, confirmed: now, ticked: now, saver: saver{at: now},
		fleet: fleet.New(nil), ended: map[grant.Holder]bool{}, unresponsive: map[grant.Holder]time.Time{}, fewKeys: map[grant.Holder]bool{}, limiter: limiter{control: admit.NewController()}, publisher: publisher{due: true},
	}
	for _, o := range opts {
		o(k)
	}
	for _, s := range t.Services {
		k.shares = append(k.shares, k.takeOver(now, s))
	}
	return k
}

// takeOver builds on what the leader before left. It may go on granting for as
// long as its right lasts, until an answer to a grant or a release of this leader
// shows that a server has seen a higher fence.
func (k *Keeper) takeOver(now time.Time, s grant.ServiceRanges) *share {
	out := &share{service: s.Service, balanced: now, firstKeysAt: now, moveTakes: moveTakes}
	for _, r := range s.Ranges {
		sp := &span{Range: r, until: k.runsOut(now.Add(k.leaderLease + onTheWay)), due: now, origin: grant.Kept}
		sp.Fence = k.mint()
		switch {
		case r.Next.Server != "":
			sp.step, sp.intent, sp.next, sp.origin = releasing, k.seq, sp.until, originAfter(r.Holder)
		case r.Pending:
			sp.step, sp.origin = granting, grant.Lost
		}
		out.spans = append(out.spans, sp)
	}
	return out
}

// Update takes in a message and returns what is to be done.
func (k *Keeper) Update(now time.Time, m Msg) []Cmd {
	k.cmds = nil
	switch m := m.(type) {
	case TickMsg:
		k.tick(now)
	case FleetMsg:
		k.fleetIs(now, m)
	case LoadMsg:
		k.applyLoad(m)
	case GrantedMsg:
		k.granted(now, m)
	case ReleasedMsg:
		k.released(now, m)
	case StoredMsg:
		k.stored(now, m)
	case UnstoredMsg:
		k.saver.busy, k.saver.reread, k.saver.rereadAt = false, true, now.Add(rereadAfter)
	case CurrentMsg:
		k.current(m)
	case OldLeaderMsg:
		k.oldLeaderEnded(m.At)
	}
	k.publish(now)
	return k.cmds
}

// Table is what daemons should know.
func (k *Keeper) Table() grant.Table { return k.table(false) }

// table lists the ranges. The stored form names an intent before anything is
// done about it, and for as long as only this leader has the handover; the published
// form only while the range is closed.
func (k *Keeper) table(stored bool) grant.Table {
	t := grant.Table{Epoch: k.epoch, Seq: k.seq, Leader: k.leader}
	for _, s := range k.shares {
		out := grant.ServiceRanges{Service: s.service, Ranges: make([]grant.Range, 0, len(s.spans))}
		for _, sp := range s.spans {
			r := sp.Range
			switch {
			case !stored && sp.step == saving:
				r.Next = grant.Holder{}
			case stored && sp.handedBy.Server != "":
				r.Holder, r.Next, r.Pending = sp.handedBy, sp.Holder, false
			}
			out.Ranges = append(out.Ranges, r)
		}
		t.Services = append(t.Services, out)
	}
	return t
}

func (k *Keeper) tick(now time.Time) {
	pause := now.Sub(k.ticked)
	k.ticked = now
	if pause > wokeAfter {
		k.note(NoteCmd{Text: "clock jumped, epoch is checked before the next call", Reason: pause.String()})
		k.saver.reread, k.saver.rereadAt = true, now
		k.confirmed = now.Add(-k.leaderLease)
	}
	k.saver.reread = k.saver.reread || now.Sub(k.confirmed) > k.leaderLease/confirmShare
	k.store(now)
	if now.Sub(k.confirmed) >= k.leaderLease {
		return // others may have taken over: nothing is granted until that is known
	}
	k.place(now)
	k.limit(now)
	for _, s := range k.shares {
		k.balance(now, s)
		for _, sp := range s.spans {
			k.plan(now, s, sp)
			k.act(now, s, sp)
		}
	}
	k.store(now)
}

func (k *Keeper) fleetIs(now time.Time, m FleetMsg) {
	if len(m.Fleet.All()) != k.servers || k.settled.IsZero() {
		k.settled, k.servers = now, len(m.Fleet.All())
	}
	k.fleet, k.keyed, k.out, k.keep, k.daemons = m.Fleet, m.Keyed, m.Out, m.Keep, m.Daemons
	for h := range k.ended {
		if s, ok := k.fleet.Find(h.Server); (!ok || s.StartMillis != h.StartMillis) && !k.named(h) {
			delete(k.ended, h)
		}
	}
	for h := range k.fewKeys {
		if s, ok := k.fleet.Find(h.Server); !ok || holder(s) != h {
			delete(k.fewKeys, h)
		}
	}
	for h := range k.unresponsive {
		if s, ok := k.fleet.Find(h.Server); !ok || holder(s) != h {
			delete(k.unresponsive, h)
		}
	}
}

// named tells whether a range still names a life as its holder or next holder.
func (k *Keeper) named(h grant.Holder) bool {
	for _, s := range k.shares {
		for _, sp := range s.spans {
			if sp.Holder == h || sp.Next == h {
				return true
			}
		}
	}
	return false
}

func (k *Keeper) applyLoad(m LoadMsg) {
	for _, r := range m.Reports {
		k.limiter.control.Report(r.Server, r.Answers, r.Full)
	}
	for _, s := range k.shares {
		if s.service == m.Service {
			s.work, s.factors, s.each, s.aim, s.coldRate = m.Work, m.Factors, m.Each, m.Aim, m.ColdRate
		}
	}
}

func (k *Keeper) current(m CurrentMsg) {
	if m.Epoch == k.epoch && m.At.After(k.confirmed) {
		k.confirmed = m.At
	}
	if m.Epoch > k.epoch {
		k.resign("another daemon leads with a newer epoch")
	}
}

// oldLeaderEnded drops the time that the old leader could have gone on for.
func (k *Keeper) oldLeaderEnded(at time.Time) {
	if k.oldEnded {
		return
	}
	k.oldEnded = true
	bound := k.runsOut(at.Add(onTheWay))
	for _, s := range k.shares {
		for _, sp := range s.spans {
			sp.until = earlier(sp.until, bound)
			sp.next = earlier(sp.next, bound)
		}
	}
}

func (k *Keeper) publish(now time.Time) {
	if !k.publisher.due || now.Sub(k.publisher.at) < publishEvery {
		return // a tick comes soon
	}
	k.publisher.due, k.publisher.at = false, now
	k.seq++
	k.cmds = append(k.cmds, PublishCmd{Table: k.table(false)})
}

func (k *Keeper) resign(reason string) {
	k.cmds = append(k.cmds, ResignCmd{Reason: reason})
}

func (k *Keeper) note(n NoteCmd) { k.cmds = append(k.cmds, n) }

// mint returns a fence above all of this epoch's and all older ones.
func (k *Keeper) mint() uint64 {
	k.minted++
	return k.epoch<<fenceShift | k.minted
}

// runsOut is when a grant whose call ended at a time has surely run out.
func (k *Keeper) runsOut(ended time.Time) time.Time {
	return ended.Add(time.Duration(float64(k.hold)*clockRate) + flightSlack)
}
