package grant

import (
	"slices"
	"time"
)

// Witness is a daemon whose support lets a leader go on granting, see package lease.
type Witness struct {
	Name string `json:"name"`
	// Incarnation distinguishes the runs of the daemon's process. A restarted daemon does not
	// know which epochs it has seen, so it is no longer the same witness.
	Incarnation uint64 `json:"incarnation"`
}

// Term is the term of one leader. In a Term without a Leader, nothing is known of who leads.
type Term struct {
	Epoch     uint64    `json:"epoch"`
	Leader    Leader    `json:"leader"`
	Witnesses []Witness `json:"witnesses,omitempty"`
	// LeaseLeftMillis is for how long after the table was stored the leader may go on granting; 0
	// stands for the whole leader lease.
	LeaseLeftMillis int64 `json:"leaseLeftMillis,omitempty"`
}

// LeaseLeft returns for how long the leader may go on granting, counted from any time after the term
// was stored, out of the whole leader lease.
func (t Term) LeaseLeft(whole time.Duration) time.Duration {
	if t.LeaseLeftMillis <= 0 {
		return whole
	}
	return min(whole, time.Duration(t.LeaseLeftMillis)*time.Millisecond)
}

// WithLeaseLeft returns the term as it is to be stored when the leader may go on granting for d.
func (t Term) WithLeaseLeft(d time.Duration) Term {
	t.LeaseLeftMillis = max(1, d.Milliseconds()+1) // rounded up
	return t
}

// maxEarlierTerms limits the number of earlier terms in a table.
const maxEarlierTerms = 8

// WithLeader returns the table with which a daemon takes the lead from the leader of t. It names all
// terms that may not have ended: otherwise a leader that is cut off and goes on granting is overlooked
// as soon as its successor is known to have stopped, and its ranges get a second holder.
func (t Table) WithLeader(l Leader, witnesses []Witness) Table {
	t.Earlier = t.EarlierTerms()
	t.Epoch, t.Seq = t.Epoch+1, t.Seq+1
	t.Leader, t.Witnesses = l, witnesses
	return t
}

// EarlierTerms returns the terms that may not have ended when another daemon replaces the leader
// of t. If they are too many, the oldest become one of which no leader is known.
func (t Table) EarlierTerms() []Term {
	if t.Leader.Daemon == "" {
		return t.Earlier
	}
	out := append(slices.Clone(t.Earlier), Term{Epoch: t.Epoch, Leader: t.Leader, Witnesses: t.Witnesses})
	if n := len(out) - maxEarlierTerms + 1; n > 1 {
		out = append([]Term{longestLease(out[:n])}, out[n:]...)
	}
	return out
}

// longestLease returns a term without a leader that ends no earlier than any of the given ones.
func longestLease(terms []Term) Term {
	var out Term
	for _, t := range terms {
		if t.LeaseLeftMillis <= 0 {
			return Term{}
		}
		out.LeaseLeftMillis = max(out.LeaseLeftMillis, t.LeaseLeftMillis)
	}
	return out
}
