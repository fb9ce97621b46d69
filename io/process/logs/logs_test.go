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

// blocked is an output whose reader has stopped.
type blocked struct{ let chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.let
	return len(p), nil
}

// Guards against requests that wait for whoever reads the log.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	Convey("Logging returns although nothing is written, and says later what was dropped", t, func() {
		out := blocked{let: make(chan struct{})}
		w := New(out)
		log := slog.New(slog.NewJSONHandler(w, nil))
		for i := range 4 * lines {
			log.Info("request: refused, not run", "id", i)
		}
		So(w.Dropped(), ShouldBeGreaterThanOrEqualTo, 2*lines)
		close(out.let)
		w.Close()
	})
}

func TestVolumeIsBounded(t *testing.T) {
	Convey("Of a storm of lines a bounded part is written, with the number of the rest", t, func() {
		var out bytes.Buffer
		still := time.Unix(1000, 0)
		w := New(&out, WithClock(func() time.Time { return still }))
		for i := range lines {
			_, err := fmt.Fprintf(w, "{\"line\":%d}\n", i)
			So(err, ShouldBeNil)
		}
		w.Close()
		So(strings.Count(out.String(), "{\"line\""), ShouldEqual, perSecond)
		So(out.String(), ShouldContainSubstring, fmt.Sprintf("\"lines\":%d}", lines-perSecond))
	})
}
