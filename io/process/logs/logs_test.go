package logs

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter blocks until unblock is closed, as a pipe does whose reader has stopped.
type blockedWriter struct{ unblock chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return len(p), nil
}

// Guards against requests that wait because nothing reads the log output.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	Convey("Logging returns although the output blocks, and counts the dropped lines", t, func() {
		out := blockedWriter{unblock: make(chan struct{})}
		w := New(out)
		log := slog.New(slog.NewJSONHandler(w, nil))
		for i := range 4 * queueCapacity {
			log.Info("request: refused, not run", "id", i)
		}
		// At most queueCapacity lines are queued, and one is being written, so about three
		// quarters of the lines are dropped. The check demands only half of them.
		So(w.Dropped(), ShouldBeGreaterThanOrEqualTo, 2*queueCapacity)
		close(out.unblock)
		w.Close()
	})
}

// Guards against expensive logging while very many requests are refused, and against lines that
// are dropped without a report.
func TestLineRateIsLimited(t *testing.T) {
	Convey("Lines over the limit per second are dropped although the queue has room, and their number is reported", t, func() {
		var out bytes.Buffer
		fixed := time.Unix(1000, 0)
		w := New(&out, WithClock(func() time.Time { return fixed }))
		for i := range queueCapacity {
			_, err := fmt.Fprintf(w, "{\"line\":%d}\n", i)
			So(err, ShouldBeNil)
		}
		w.Close()
		So(strings.Count(out.String(), "{\"line\""), ShouldEqual, maxLinesPerSecond)
		So(out.String(), ShouldContainSubstring, fmt.Sprintf("\"lines\":%d}", queueCapacity-maxLinesPerSecond))
	})
}
