// Package logs provides an io.Writer for log lines whose Write never blocks. Lines wait
// in a bounded queue. Lines that do not fit are dropped, and a log line reports how many.
//
// # Usage
//
//	w := logs.New(os.Stdout)
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is how many lines may wait. That is about as many as a daemon writes in a
	// second while all requests fail.
	queueCapacity = 512
	// maxLinesPerSecond limits the output, so that logging stays cheap while very many
	// requests are refused. Further lines are dropped and counted. 200 lines are about 60 KB.
	maxLinesPerSecond = 200
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	queue           chan []byte
	done            chan struct{}
	now             func() time.Time
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
}

// Option configures the Writer that New returns.
type Option func(*Writer)

// WithClock sets the clock for the limit of lines per second.
func WithClock(now func() time.Time) Option { return func(l *Writer) { l.now = now } }

// New returns a Writer that copies lines to w in the background.
func New(w io.Writer, opts ...Option) *Writer {
	l := &Writer{queue: make(chan []byte, queueCapacity), done: make(chan struct{}), now: time.Now}
	for _, o := range opts {
		o(l)
	}
	go l.run(w)
	return l
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (l *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.queue <- line:
	default:
		l.unreportedDrops.Add(1)
		l.totalDrops.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (l *Writer) Dropped() int64 { return l.totalDrops.Load() }

// Close waits until the queued lines are written. Write must not be called after it.
func (l *Writer) Close() {
	close(l.queue)
	<-l.done
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	windowStart, count := l.now(), 0
	for line := range l.queue {
		now := l.now()
		if now.Sub(windowStart) >= time.Second {
			windowStart, count = now, 0
			l.reportDrops(w)
		}
		if count++; count > maxLinesPerSecond {
			l.unreportedDrops.Add(1)
			l.totalDrops.Add(1)
			continue
		}
		_, _ = w.Write(line) // there is no other output to report a failure to
	}
	l.reportDrops(w)
}

// reportDrops writes a line with the number of lines dropped since the last such report.
func (l *Writer) reportDrops(w io.Writer) {
	if n := l.unreportedDrops.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"logs: lines dropped\",\"lines\":%d}\n", n)
	}
}
