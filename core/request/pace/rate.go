package pace

import "time"

const (
	// window is the time over which the requests of a connection are counted.
	window = time.Second
	// heavyCount is the count in a window from which a connection is heavy. A refused request counts
	// refusedWeight times: callers are to wait after a refusal.
	heavyCount    = 8
	refusedWeight = 4
	// pause is how long a connection must send nothing to be no longer heavy.
	pause = 250 * time.Millisecond
)

// Rate counts the requests of a connection. The zero value is that of a new connection.
type Rate struct {
	startedAt time.Time // of the window
	count     int
	heavy     bool
}

// WithRequest returns the Rate after a further request, for whose first byte the connection was read for a
// while, and after some refusals of earlier ones.
func (r Rate) WithRequest(now time.Time, awaited time.Duration, refusals int) Rate {
	if now.Sub(r.startedAt) >= window {
		r.startedAt, r.count = now, 0
	}
	r.count += 1 + (refusedWeight-1)*refusals
	r.heavy = r.heavy && awaited < pause || r.count >= heavyCount
	return r
}

// IsHeavy reports whether the connection sends so many requests that they may take servers from others.
func (r Rate) IsHeavy() bool { return r.heavy }
