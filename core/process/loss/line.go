package loss

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"catkinstep/core/version/grant"
)

// Messages of the lines that tell of a lost request.
const (
	// Refused requests did not run.
	Refused = "request: refused, not run"
	// GivenUp requests may have run.
	GivenUp = "request: given up, may have run"
	// Late requests were answered after their aim.
	Late = "request: answered late"
)

// Line is what the log says of one lost request.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Route   string    `json:"route"`
	Service string    `json:"service"`
	Reason  string    `json:"reason"`
	Server  string    `json:"server"`
	// Key is -1 where the service has none.
	Key int `json:"key"`
}

// Parse reads a line of a daemon's log. What stands before the object, as the time
// and the name that a collector adds, is skipped; ok is false for lines that tell
// of no lost request.
func Parse(line []byte) (l Line, ok bool, err error) {
	at := bytes.IndexByte(line, '{')
	if at < 0 || !bytes.Contains(line[at:], []byte(`"msg":"request: `)) {
		return l, false, nil
	}
	l.Key = noKey
	if err := json.Unmarshal(line[at:], &l); err != nil {
		return l, false, err
	}
	return l, l.Message == Refused || l.Message == GivenUp || l.Message == Late, nil
}

const noKey = -1

// cause names what lost the request.
func (l Line) cause() string {
	switch l.Message {
	case Late:
		return "late: " + l.Reason
	case GivenUp:
		return "failed: " + l.Reason
	default:
		return "refused: " + l.Reason
	}
}

// keyParts is how many parts the keys are counted in.
const keyParts = 64

// keys names the part of the keys that a request was for.
func (l Line) keys() string {
	if l.Key < 0 || l.Key > grant.LastKey {
		return ""
	}
	size := (grant.LastKey + 1) / keyParts
	from := l.Key / size * size
	return l.Service + " " + strconv.Itoa(from) + "-" + strconv.Itoa(from+size-1)
}
