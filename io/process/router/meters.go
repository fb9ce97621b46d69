package router

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"
)

const (
	// longest bounds a recorded latency, in microseconds: a minute.
	longest = 60_000_000
	// digits is the precision of latencies: one part in a hundred.
	digits = 2
)

// meters are a daemon's counters and latencies, as the metrics address shows
// them. Each daemon has its own: several may run in one process.
type meters struct {
	vars expvar.Map
	mu   sync.Mutex
	took *hdrhistogram.Histogram // of answered requests, in microseconds
}

func newMeters() *meters {
	m := &meters{took: hdrhistogram.New(1, longest, digits)}
	m.vars.Init()
	m.vars.Set("latencyMicros", expvar.Func(m.latency))
	return m
}

// add counts something by name.
func (m *meters) add(name string) { m.vars.Add(name, 1) }

// addBytes counts the size of a message between daemons.
func (m *meters) addBytes(name string, message proto.Message) {
	m.vars.Add(name, int64(proto.Size(message)))
}

// controlBytes is what messages between daemons took so far, out and in.
func (m *meters) controlBytes() int64 {
	sum := int64(0)
	for _, name := range []string{bytesOut, bytesIn} {
		if v, ok := m.vars.Get(name).(*expvar.Int); ok {
			sum += v.Value()
		}
	}
	return sum
}

// Counters of the bytes between daemons, calls and answers alike.
const (
	bytesOut = "control.bytesOut"
	bytesIn  = "control.bytesIn"
)

// set shows a state by name.
func (m *meters) set(name string, v uint64) {
	i := new(expvar.Int)
	i.Set(int64(v))
	m.vars.Set(name, i)
}

// observe counts how a request ended.
func (m *meters) observe(status int, took time.Duration) {
	m.add("requests." + strconv.Itoa(status))
	if status >= http.StatusInternalServerError {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.took.RecordValue(min(longest, max(1, took.Microseconds()))) // within its bounds
}

func (m *meters) latency() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{"count": m.took.TotalCount()}
	for _, q := range []float64{50, 90, 99, 99.9} {
		out["p"+strconv.FormatFloat(q, 'f', -1, 64)] = m.took.ValueAtQuantile(q)
	}
	return out
}
