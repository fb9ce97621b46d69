// Package daemon is the control state of one daemon: the platform objects it
// knows, its heartbeats, its part in choosing a leader, the leading itself, and
// the releases of the servers it dispatches to. It is a state machine in the
// message-update manner: state changes only in Update, which returns commands
// that somebody else carries out.
//
// # Usage
//
//	m := daemon.New(self, "duluth", seeds, daemon.WithSeed(1))
//	m, cmds := m.Update(now, daemon.TickMsg{})
//	for _, c := range cmds {
//		// carry out c; feed its outcome back as a message
//	}
//
// Call Update with a TickMsg every 50 ms. The Model that was passed in must not
// be used again. Time is the now argument alone: it must never go back, and
// carries a monotonic reading where it comes from a clock. Update never fails;
// what the outside world got wrong arrives as messages.
package daemon
