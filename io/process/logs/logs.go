// Package logs writes structured lines to a writer without ever blocking who
// logs: lines wait in a bounded queue, and what does not fit is dropped and
// counted, with a line that says how many.
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
	// lines is how many lines may wait: about a second of the most that one
	// daemon was seen to write when all requests fail.
	lines = 512
	// perSecond bounds the volume: lines beyond it are dropped and counted, so
	// that a storm of refusals costs little. 200 lines are about 60 KB a second.
	perSecond = 200
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	queue   chan []byte
	done    chan struct{}
	now     func() time.Time
	dropped atomic.Int64
	total   atomic.Int64
}

// Option changes a Writer that New makes.
type Option func(*Writer)

// WithClock sets the clock by which the lines of a second are counted.
func WithClock(now func() time.Time) Option { return func(l *Writer) { l.now = now } }

// New returns a Writer that passes lines on to w.
func New(w io.Writer, opts ...Option) *Writer {
	l := &Writer{queue: make(chan []byte, lines), done: make(chan struct{}), now: time.Now}
	for _, o := range opts {
		o(l)
	}
	go l.run(w)
	return l
}

// Write takes one line.
func (l *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.queue <- line:
	default:
		l.dropped.Add(1)
		l.total.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of lines that were not written.
func (l *Writer) Dropped() int64 { return l.total.Load() }

// Close writes what waits. Nothing may be logged after it.
func (l *Writer) Close() {
	close(l.queue)
	<-l.done
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	window, count := l.now(), 0
	for line := range l.queue {
		now := l.now()
		if now.Sub(window) >= time.Second {
			window, count = now, 0
			l.confess(w)
		}
		if count++; count > perSecond {
			l.dropped.Add(1)
			l.total.Add(1)
			continue
		}
		_, _ = w.Write(line) // a broken output has nowhere to be reported
	}
	l.confess(w)
}

// confess writes how many lines were dropped since it last did.
func (l *Writer) confess(w io.Writer) {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"logs: lines dropped\",\"lines\":%d}\n", n)
	}
}
