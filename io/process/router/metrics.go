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
	// maxLatencyMicros is the highest latency that is recorded, one minute in microseconds.
	// Higher ones are recorded as this value.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant digits of recorded latencies: a precision of
	// one in a hundred.
	latencyDigits = 2
)

// metrics are a daemon's counters and latencies, as its metrics address serves them. Each
// daemon has its own, since several may run in one process.
type metrics struct {
	vars      expvar.Map
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // of requests that did not fail, in microseconds
}

func newMetrics() *metrics {
	m := &metrics{latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	m.vars.Init()
	m.vars.Set("latencyMicros", expvar.Func(m.latencyPercentiles))
	return m
}

// increment adds one to a counter.
func (m *metrics) increment(name string) { m.vars.Add(name, 1) }

// add adds a number to a counter.
func (m *metrics) add(name string, n int) { m.vars.Add(name, int64(n)) }

// addBytes adds the size of a message between daemons to a counter.
func (m *metrics) addBytes(name string, message proto.Message) {
	m.vars.Add(name, int64(proto.Size(message)))
}

// controlBytes returns the bytes of all messages between daemons so far, in both directions.
func (m *metrics) controlBytes() int64 {
	return m.value(bytesOut) + m.value(bytesIn)
}

// value returns the value of a counter, 0 if it was never incremented.
func (m *metrics) value(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Counters of the bytes sent and received between daemons, in calls and replies.
const (
	bytesOut = "control.bytesOut"
	bytesIn  = "control.bytesIn"

	carriedBytesOut = "carry.bytesOut"
	carriedBytesIn  = "carry.bytesIn"
)

// setGauge sets a metric to a value.
func (m *metrics) setGauge(name string, value uint64) {
	gauge := new(expvar.Int)
	gauge.Set(int64(value))
	m.vars.Set(name, gauge)
}

// observeRequest records the status of a request, and its latency unless it failed.
func (m *metrics) observeRequest(status int, elapsed time.Duration) {
	m.increment("requests." + strconv.Itoa(status))
	if status >= http.StatusInternalServerError {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latencies.RecordValue(min(maxLatencyMicros, max(1, elapsed.Microseconds()))) // cannot fail, as the value is clamped
}

func (m *metrics) latencyPercentiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := map[string]int64{"count": m.latencies.TotalCount()}
	for _, percentile := range []float64{50, 90, 99, 99.9} {
		values["p"+strconv.FormatFloat(percentile, 'f', -1, 64)] = m.latencies.ValueAtQuantile(percentile)
	}
	return values
}
