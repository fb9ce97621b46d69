// Package setup holds the start settings of a daemon, independently of the format of the
// file that they were read from.
//
// # Usage
//
//	err := s.Check() // reports the first field that is missing or invalid
//
// Errors are of type *Error.
package setup

import (
	"fmt"
	"net/netip"
	"time"
)

// Kind classifies the errors of this package.
type Kind string

// Incomplete means that a field is missing or invalid.
const Incomplete Kind = "incomplete"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("setup: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings are the start settings of a daemon. Addresses are IP addresses with ports.
type Settings struct {
	// Name identifies the daemon among all daemons. It stays the same when the daemon
	// restarts on its host.
	Name       string
	DataCentre string
	// Region is the group of data centres that requests must not leave on their way; empty if there
	// is only one.
	Region string
	// CPUCapacity is the processing capacity of the host, in cores of usual speed; 0 if unknown.
	CPUCapacity float64
	// CallerAddress, ReadyAddress, MeshAddress and MetricsAddress are the addresses to listen
	// at. ReadyAddress and MetricsAddress may be empty if readiness and metrics are served
	// elsewhere.
	CallerAddress  string
	ReadyAddress   string
	MeshAddress    string
	MetricsAddress string
	// Seeds are mesh addresses of some other daemons to join through. They may be stale.
	Seeds []string
	// GracePeriod is how long a graceful shutdown may take.
	GracePeriod time.Duration
	// ColdFactor and ColdSlack limit the requests that all daemons together send to a cold
	// server in a second: to its cold rate times ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// RetryShare and RetryBurst limit the retries of all daemons together: to a share of the
	// requests in the long run, and to a fixed number at once.
	RetryShare float64
	RetryBurst float64
	// MaxGrantTTL is the longest time for which a grant is valid.
	MaxGrantTTL time.Duration
	// LeaderWitnesses is the number of daemons, the leader included, a majority of which must
	// support a leader that goes on without the store; 0 if it depends on no other daemon. A
	// leader in a data centre with fewer live daemons depends on none.
	LeaderWitnesses int
	// MemoryBytes and Descriptors are the memory and the file descriptors that the daemon may use; 0 if they
	// are not known.
	MemoryBytes int64
	Descriptors int
	// MaxBodyBytes limits the size of a request body if the configuration sets no limit.
	MaxBodyBytes int64
	// IndirectReleases lets a leader that does not reach the holder of keys ask for their release
	// through other daemons.
	IndirectReleases bool
}

// Check returns an error that names the first field that is missing or invalid, or nil.
func (s Settings) Check() error {
	if s.Name == "" || s.DataCentre == "" {
		return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the name %q or the data centre %q is missing", s.Name, s.DataCentre)}
	}
	for _, f := range []struct{ field, value string }{{"callers", s.CallerAddress}, {"mesh", s.MeshAddress}} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the address for %s: %w", f.field, err)}
		}
	}
	if s.GracePeriod <= 0 || s.MaxGrantTTL <= 0 {
		return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the grace period %v and the maximum grant TTL %v must be positive", s.GracePeriod, s.MaxGrantTTL)}
	}
	if n := s.LeaderWitnesses; n != 0 && (n < 3 || n%2 == 0) {
		return &Error{Op: "check", Kind: Incomplete, Err: fmt.Errorf("the number of leader witnesses %d must be 0, or odd and at least 3", n)}
	}
	return nil
}
