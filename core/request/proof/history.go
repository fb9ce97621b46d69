package proof

// Ground is what proves that an attempt has not run and never will.
type Ground string

// Grounds. Metrics use these names.
const (
	// None proves nothing: the attempt may have run, or may run yet.
	None Ground = "none"
	// Unsent means that no byte of the request was sent to a server.
	Unsent Ground = "unsent"
	// Declined means that its server states that it did not run the request.
	Declined Ground = "declined"
	// Carrier means that the daemon that was to serve the request states that it has proof.
	Carrier Ground = "carrier"
)

// NotRun is proof that a request has not run and never will. The zero value proves nothing.
type NotRun struct{ holds bool }

// Holds reports whether there is proof.
func (n NotRun) Holds() bool { return n.holds }

// History is what is known of the attempts of a request. The zero value is that of a request of which
// nothing has been sent.
type History struct {
	begun    bool // an attempt has begun and not ended
	unproved int  // attempts that ended and may have run
}

// WithBegun returns the history once an attempt begins. Until it has ended, it may have run.
func (h History) WithBegun() History {
	h.begun = true
	return h
}

// WithEnded returns the history once the attempt that has begun ends.
func (h History) WithEnded(g Ground) History {
	h.begun = false
	if !g.Proves() {
		h.unproved++
	}
	return h
}

// Unproved is the number of attempts that ended and may have run.
func (h History) Unproved() int { return h.unproved }

// MaybeRan reports whether an attempt may have run, or may run yet.
func (h History) MaybeRan() bool { return h.begun || h.unproved > 0 }

// NotRun returns the proof that no attempt has run or will, if there is one.
func (h History) NotRun() NotRun { return NotRun{holds: !h.MaybeRan()} }

// Proves reports whether a ground is proof. A ground that this version does not know is none.
func (g Ground) Proves() bool { return g == Unsent || g == Declined || g == Carrier }
