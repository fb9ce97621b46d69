package quota

import "time"

// Renewal is what a daemon regularly sends to a pool, to lend its share and to get leases.
type Renewal struct {
	Daemon      string
	Incarnation uint64
	// Seq orders the renewals of an incarnation to a pool, and Acked is that of the last one whose Grant
	// arrived.
	Seq, Acked uint64
	// Half is that of the allowances which the renewal is about, from 0.
	Half int
	// Pool and Stamp are those of the newest grant of this pool; zero before the first.
	Pool  uint64
	Stamp time.Duration
	// Loan is for how long after Stamp the daemon lends its share; 0 if it lends nothing.
	Loan time.Duration
	// IsFresh is set as long as the daemon has not lent anything since its start.
	IsFresh bool
	// Recall asks the pool to give the share back as soon as it can.
	Recall  bool
	Demands []Demand
}

// WithDemands returns the renewal with what the daemon's callers ask for.
func (r Renewal) WithDemands(demands []Demand) Renewal {
	r.Demands = demands
	return r
}

// Demand is how many requests of a workspace the callers of a daemon send.
type Demand struct {
	Workspace string
	PerSecond float64
}

// Grant answers a Renewal.
type Grant struct {
	// Seq is that of the renewal.
	Seq uint64
	// Pool identifies the incarnation of the pool, and Stamp is the time on its clock.
	Pool  uint64
	Stamp time.Duration
	// HadLoan is set if the pool still has a loan of an earlier incarnation of the daemon.
	HadLoan bool
	// AllFresh is set if no daemon has lent anything since its start: so nothing that earlier incarnations
	// lent can be in use any more.
	AllFresh bool
	// LentFor is for how long after Stamp the pool still has the share of the daemon.
	LentFor time.Duration
	// TTL is how long the leases last, from when the renewal was sent.
	TTL    time.Duration
	Leases []Lease
}

// Lease lets a daemon send requests of a workspace.
type Lease struct {
	Workspace string
	PerSecond float64
	// Burst is how many requests the daemon may save up.
	Burst float64
}
