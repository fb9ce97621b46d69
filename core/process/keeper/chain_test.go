package keeper

import (
	"fmt"
	"testing"
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// chainTerm is the term of a leader between the first one, which is cut off together with server a and
// goes on, and the last one.
type chainTerm struct {
	length time.Duration
	// known is set if the next leader learns at once that this one has stopped, as after a planned stop
	// or a restart. Otherwise it is lost, paused or cut off alone, and grants nothing either.
	known bool
}

// chain is a first leader, which alone reaches server a, the holder of all keys, and leaders that replace
// each other in another data centre, where only server b is reached.
type chain struct {
	now      time.Time
	table    grant.Table
	revision uint64
	// lastGrant is when the first leader last renewed the grant of a.
	lastGrant time.Time
	// granted is when a later leader first granted keys to b; zero if none did.
	granted time.Time
}

func (c *chain) takeLead(epoch uint64) *Keeper {
	c.table, c.revision = c.table.WithLeader(grant.Leader{Daemon: fmt.Sprintf("d%d", epoch), Incarnation: 1}, nil), c.revision+1
	k := New(c.now, c.table, c.revision)
	c.execute(k, k.Update(c.now, FleetMsg{Fleet: fleet.New([]fleet.Server{testServer("b", false)}), KeyedServices: []string{testService}}), true)
	return k
}

// execute answers the commands of a leader. The store answers only if storeUp is set.
func (c *chain) execute(k *Keeper, cmds []Cmd, storeUp bool) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case GrantCmd:
			c.execute(k, k.Update(c.now, GrantResultMsg{Cmd: cmd, EndedAt: c.now, Result: c.deliver(cmd, storeUp)}), storeUp)
		case ReleaseCmd:
			c.execute(k, k.Update(c.now, ReleaseResultMsg{Cmd: cmd, Result: grant.NotSent}), storeUp)
		case SaveCmd, ReadCmd:
			c.answerStore(k, cmd, storeUp)
		}
	}
}

// deliver returns the result of a grant. Only the first leader, which has no store, reaches a.
func (c *chain) deliver(cmd GrantCmd, storeUp bool) grant.Result {
	switch {
	case cmd.Address == "a" && !storeUp:
		c.lastGrant = c.now
		return grant.Done
	case cmd.Address == "b" && storeUp:
		if c.granted.IsZero() {
			c.granted = c.now
		}
		return grant.Done
	}
	return grant.NotSent
}

func (c *chain) answerStore(k *Keeper, cmd Cmd, storeUp bool) {
	if !storeUp {
		c.execute(k, k.Update(c.now, StoreFailedMsg{}), storeUp)
		return
	}
	if save, ok := cmd.(SaveCmd); ok && save.Revision == c.revision {
		c.table, c.revision = save.Table, c.revision+1
	}
	c.execute(k, k.Update(c.now, StoredTableMsg{Table: c.table, Revision: c.revision, RequestedAt: c.now}), storeUp)
}

// run lets time pass for the first leader and a later one, which may be nil.
func (c *chain) run(d time.Duration, first, current *Keeper) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(50 * time.Millisecond)
		c.execute(first, first.Update(c.now, TickMsg{}), false)
		if current != nil {
			c.execute(current, current.Update(c.now, TickMsg{}), true)
		}
	}
}

// playChain plays the terms, and then that of a last leader for 90 s. It returns how long after the first leader
// was replaced, and after its last grant, b was granted keys.
func playChain(terms []chainTerm) (afterTakeover, afterLastGrant time.Duration) {
	c := &chain{now: time.Unix(1000, 0), revision: 1, table: grant.Table{Epoch: 1, Seq: 1, Leader: grant.Leader{Daemon: "d1", Incarnation: 1},
		Services: []grant.ServiceRanges{{Service: testService, Ranges: []grant.Range{{Holder: holderOf(testServer("a", false)), To: grant.LastKey}}}}}}
	first := New(c.now, c.table, c.revision)
	c.execute(first, first.Update(c.now, FleetMsg{Fleet: fleet.New([]fleet.Server{testServer("a", false)}), KeyedServices: []string{testService}}), false)
	c.run(time.Second, first, nil)
	replacedAt, epoch := c.now, uint64(2)
	for _, term := range terms {
		k := c.takeLead(epoch)
		c.reportKnown(k, terms, epoch)
		c.run(term.length, first, k)
		epoch++
	}
	k := c.takeLead(epoch)
	c.reportKnown(k, terms, epoch)
	c.run(90*time.Second, first, k)
	return c.granted.Sub(replacedAt), c.granted.Sub(c.lastGrant)
}

// reportKnown tells a leader of the terms between the first and its own that are known to have ended.
func (c *chain) reportKnown(k *Keeper, terms []chainTerm, epoch uint64) {
	for i := range int(epoch) - 2 {
		if terms[i].known {
			c.execute(k, k.Update(c.now, EarlierLeaderStoppedMsg{Epoch: uint64(i + 2), At: c.now}), true)
		}
	}
}

// chains calls f with each sequence of up to n terms.
func chains(n int, prefix []chainTerm, f func([]chainTerm)) {
	f(prefix)
	if n == 0 {
		return
	}
	for _, length := range []time.Duration{250 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		for _, known := range []bool{true, false} {
			chains(n-1, append(prefix[:len(prefix):len(prefix)], chainTerm{length: length, known: known}), f)
		}
	}
}

// Guards against a second holder of keys that a cut-off leader still grants, once its successors are
// known to have stopped, and against keys that stay closed for a whole leader lease after each of them.
func TestCutOffLeaderBeforeTheLast(t *testing.T) {
	whole := maxClockTime(defaultLeaderLease) + maxGrantDelay
	ttl := maxClockTime(DefaultGrantTTL)
	count := 0
	chains(3, nil, func(terms []chainTerm) {
		count++
		afterTakeover, afterLastGrant := playChain(terms)
		if afterLastGrant < ttl {
			t.Errorf("%v: keys got a second holder %v after the last renewal, whose grant lasts %v", terms, afterLastGrant, ttl)
		}
		bound := whole + ttl + expiryMargin + time.Second
		for i, term := range terms {
			bound += min(term.length, leaseLeftInterval+time.Second) // what the last save does not know of
			if !term.known {                                         // its own lease counts from its end
				bound = whole + ttl + expiryMargin + time.Second
				for _, earlier := range terms[:i+1] {
					bound += earlier.length
				}
			}
		}
		if afterTakeover > bound {
			t.Errorf("%v: keys were closed for %v after the first leader was replaced, at most %v expected", terms, afterTakeover, bound)
		}
	})
	t.Logf("%d orders of terms", count)
}
