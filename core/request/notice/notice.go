package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxRest is the longest rest that is kept to. A server that names more, by mistake perhaps, is
// asked again after that.
const maxRest = time.Hour

// statusUnavailable is the only status with which a server asks for rest. With 429, Retry-After is
// meant for the caller, and any other response is no refusal.
const statusUnavailable = 503

// Notice is what one response announces about its server, whichever request it answers.
type Notice struct {
	// Rest is for how long the server wants no requests from this host; 0 if it asks for none.
	Rest time.Duration
	// Leaving means that the server takes no new requests until it ends.
	Leaving bool
}

// IsEmpty reports whether a response announces nothing.
func (n Notice) IsEmpty() bool { return n == Notice{} }

// Fields are the header fields of a response that may announce something. A field may come more
// than once.
type Fields struct {
	RetryAfter, Leaving []string
	// Date is when the server made the response, by its own clock.
	Date string
}

// Parse returns what a response announces, given when it arrived.
func Parse(status int, f Fields, now time.Time) Notice {
	n := Notice{Leaving: isSet(f.Leaving)}
	if status == statusUnavailable {
		n.Rest = longest(f.RetryAfter, f.Date, now)
	}
	return n
}

// isSet reports whether a field says yes. A value that is neither yes nor no does: a server that
// does not leave sends no such field.
func isSet(values []string) bool {
	for _, v := range values {
		set, err := strconv.ParseBool(strings.TrimSpace(v))
		if set || err != nil && strings.TrimSpace(v) != "" {
			return true
		}
	}
	return false
}

// longest returns the longest time that one of several values names.
func longest(values []string, date string, now time.Time) time.Duration {
	rest := time.Duration(0)
	for _, v := range values {
		v = strings.TrimSpace(v)
		rest = max(rest, secondsOf(v), untilDate(v, date, now))
	}
	return min(rest, maxRest)
}

// secondsOf returns a number of seconds, which may have a fraction; 0 if it is no finite number
// above 0.
func secondsOf(value string) time.Duration {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, maxRest.Seconds()) * float64(time.Second))
}

// dateFormat is the format of dates in HTTP.
const dateFormat = "Mon, 02 Jan 2006 15:04:05 GMT"

// untilDate returns the time until a date, counted from that of the response, so that the clocks
// need not agree; 0 if the value is no date, or one that is past.
func untilDate(value, date string, now time.Time) time.Duration {
	until, err := time.Parse(dateFormat, value)
	if err != nil {
		return 0
	}
	madeAt, err := time.Parse(dateFormat, date)
	if err != nil {
		madeAt = now
	}
	return max(0, until.Sub(madeAt))
}
