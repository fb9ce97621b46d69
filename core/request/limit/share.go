package limit

import (
	"time"

	"catkinstep/core/request/token"
)

// The bursts of all daemons together come on top of the limit. A server that names one bears half
// as much again, and five requests, within four seconds. The bursts use about half of what that
// leaves; the rest is for requests that are delayed on their way, and for daemons that disagree for
// a moment on who leads or how many they are.
const (
	shareBurst     = 3.0
	shareBurstTime = time.Second
	// Without contact to the leader the bursts are smaller, as the leader's own come on top.
	isolatedBurst     = 1.5
	isolatedBurstTime = 500 * time.Millisecond
	issuerBurst       = 1.0
	issuerBurstTime   = 250 * time.Millisecond
)

// Share returns the rate at which all daemons together may send requests without a key to a server
// that takes so many requests a second.
func Share(perSecond float64) token.Rate { return rateOf(perSecond, shareBurst, shareBurstTime) }

// IsolatedShare returns the rate that all daemons together may use while none has contact with the
// leader. Each that has none uses its part.
func IsolatedShare(perSecond float64) token.Rate {
	return rateOf(perSecond, isolatedBurst, isolatedBurstTime)
}

func rateOf(perSecond, burst float64, burstTime time.Duration) token.Rate {
	return token.Rate{PerSecond: perSecond, Burst: burst + perSecond*burstTime.Seconds()}
}
