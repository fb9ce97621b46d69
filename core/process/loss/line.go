package loss

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"catkinstep/core/version/grant"
)

// Messages of the log entries for lost requests.
const (
	// Refused is logged for a request that was refused and did not run.
	Refused = "request: refused, not run"
	// GivenUp is logged for a request that failed and may have run.
	GivenUp = "request: given up, may have run"
	// Late is logged for a request that was answered after its latency target.
	Late = "request: answered late"
)

// Entry is the log entry of one lost request.
type Entry struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Route   string    `json:"route"`
	Service string    `json:"service"`
	Reason  string    `json:"reason"`
	Server  string    `json:"server"`
	// Key is -1 if the request has no key.
	Key int `json:"key"`
}

// Parse decodes a line of a daemon's log. It skips anything before the JSON object, such
// as the time and host name that a log collector adds. ok is false if the line is not
// about a lost request.
func Parse(line []byte) (e Entry, ok bool, err error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 || !bytes.Contains(line[start:], []byte(`"msg":"request: `)) {
		return e, false, nil
	}
	e.Key = noKey
	if err := json.Unmarshal(line[start:], &e); err != nil {
		return e, false, err
	}
	return e, e.Message == Refused || e.Message == GivenUp || e.Message == Late, nil
}

const noKey = -1

// cause returns why the request was lost.
func (e Entry) cause() string {
	switch e.Message {
	case Late:
		return "late: " + e.Reason
	case GivenUp:
		return "failed: " + e.Reason
	default:
		return "refused: " + e.Reason
	}
}

// keyRangeCount is the number of equal ranges that keys are grouped into.
const keyRangeCount = 64

// keyRange returns the service and range of the request's key, or an empty string if it
// has no key.
func (e Entry) keyRange() string {
	if e.Key < 0 || e.Key > grant.LastKey {
		return ""
	}
	size := (grant.LastKey + 1) / keyRangeCount
	from := e.Key / size * size
	return e.Service + " " + strconv.Itoa(from) + "-" + strconv.Itoa(from+size-1)
}
