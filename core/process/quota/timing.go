package quota

import (
	"time"

	"catkinstep/core/version/space"
)

const (
	// minRenewInterval is the shortest time between two renewals of a daemon, and renewTimePerDaemon
	// bounds the renewals that a pool gets: 670 a second at most.
	minRenewInterval   = 100 * time.Millisecond
	renewTimePerDaemon = 1500 * time.Microsecond
	// freshTimePerDaemon is the same for daemons that have just started: 12,500 a second for a moment.
	freshTimePerDaemon = 80 * time.Microsecond
	// tokenTTL is how long after it was taken or asked for a token may be used.
	tokenTTL = 120 * time.Millisecond
	// renewMargin is for messages that take their time.
	renewMargin = 50 * time.Millisecond
)

// RenewInterval is the time between two renewals of a daemon to its pool.
func RenewInterval(daemons int) time.Duration {
	return max(minRenewInterval, time.Duration(daemons)*renewTimePerDaemon)
}

// freshInterval is the time between two renewals of a daemon that has lent nothing since its start. If all
// have just started, each must have renewed twice until they may lend.
func freshInterval(daemons int) time.Duration {
	return max(minRetryInterval, time.Duration(daemons)*freshTimePerDaemon)
}

// leaseTime is how long a lease lasts: until the next renewal.
func leaseTime(daemons int) time.Duration { return RenewInterval(daemons) + renewMargin }

// loanTime is how long a loan lasts from the stamp that it names. The stamp is up to two intervals old
// when the next renewal arrives, and what is left then must cover a lease and its last token.
func loanTime(daemons int) time.Duration {
	return 2*RenewInterval(daemons) + leaseTime(daemons) + tokenTTL + shareTTL + renewMargin
}

// What may run beyond the allowance itself, in any window of 5 s, is 0.5 s of its rate, 0.1 of its
// burst, and 20 requests. Of these, tokens that are used late take tokenTTL of the rate, and new
// connections for them another 0.1 s; the leases may save up leaseBurstTime of the rate,
// leaseBurstShare of the burst and leaseBurstExtra; pools may save up poolExtra. The rest is for
// requests that are under way to servers.
const (
	leaseBurstTime  = 150 * time.Millisecond
	leaseBurstShare = 0.05
	leaseBurstExtra = 8.0 / halves
	poolExtra       = 8.0 / halves
)

// leaseBursts is how many requests all leases of a workspace together may save up.
func leaseBursts(a space.Allowance) float64 {
	return leaseBurstTime.Seconds()*a.Rate + leaseBurstShare*a.Burst + leaseBurstExtra
}
