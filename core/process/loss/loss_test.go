package loss

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against lost requests that no cause, time or key is counted for.
func TestTally(t *testing.T) {
	lines := []string{
		`12.5 host1 {"time":"2026-12-03T06:00:01.5Z","msg":"request: refused, not run","route":"look","service":"s","reason":"allBusy","server":"a","key":1030}`,
		`13.1 host2 {"time":"2026-12-03T06:00:02.1Z","msg":"request: refused, not run","route":"look","service":"s","reason":"allBusy","server":"a","key":1040}`,
		`{"time":"2026-12-03T06:00:02.2Z","msg":"request: answered late","route":"book","service":"t","reason":"waited","server":"b","key":-1}`,
		`{"time":"2026-12-03T06:00:02.3Z","msg":"request: given up, may have run","route":"book","service":"t","reason":"attemptFailed","server":"b","key":-1}`,
		`{"time":"2026-12-03T06:00:02.3Z","msg":"request: attempt failed","route":"book","server":"b"}`,
		`a table of something else`,
	}
	tally := New(2 * time.Second)
	for _, text := range lines {
		l, ok, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			tally.Add(l)
		}
	}
	Convey("Causes are counted, the most frequent first", t, func() {
		So(tally.Rows(ByCause), ShouldResemble, []Row{
			{Of: "refused: allBusy", Lost: 2, Cause: "refused: allBusy", OfCause: 2},
			{Of: "failed: attemptFailed", Lost: 1, Cause: "failed: attemptFailed", OfCause: 1},
			{Of: "late: waited", Lost: 1, Cause: "late: waited", OfCause: 1},
		})
	})
	Convey("Times come in their order", t, func() {
		rows := tally.Rows(ByTime)
		So(rows, ShouldHaveLength, 2)
		So(rows[0].Of, ShouldEqual, "06:00:00.0")
		So(rows[1].Lost, ShouldEqual, 3)
	})
	Convey("Only requests with a key count for keys", t, func() {
		So(tally.Rows(ByKeys), ShouldResemble, []Row{{Of: "s 1024-2047", Lost: 2, Cause: "refused: allBusy", OfCause: 2}})
	})
	Convey("A broken line is an error", t, func() {
		_, _, err := Parse([]byte(`{"time":"2026-12-03T06:00:02.3Z","msg":"request: refused, not ru`))
		So(err, ShouldNotBeNil)
	})
}
