package loss

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against lost requests that are missing from the counts by cause, time or key.
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
		entry, ok, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			tally.Add(entry)
		}
	}
	Convey("Causes are listed with the most frequent first", t, func() {
		So(tally.Rows(ByCause), ShouldResemble, []Row{
			{Group: "refused: allBusy", Lost: 2, TopCause: "refused: allBusy", TopCauseCount: 2},
			{Group: "failed: attemptFailed", Lost: 1, TopCause: "failed: attemptFailed", TopCauseCount: 1},
			{Group: "late: waited", Lost: 1, TopCause: "late: waited", TopCauseCount: 1},
		})
	})
	Convey("Times are listed in chronological order", t, func() {
		rows := tally.Rows(ByTime)
		So(rows, ShouldHaveLength, 2)
		So(rows[0].Group, ShouldEqual, "06:00:00.0")
		So(rows[1].Lost, ShouldEqual, 3)
	})
	Convey("Only requests with a key are counted by key range", t, func() {
		So(tally.Rows(ByKeys), ShouldResemble, []Row{{Group: "s 1024-2047", Lost: 2, TopCause: "refused: allBusy", TopCauseCount: 2}})
	})
	Convey("A truncated line is an error", t, func() {
		_, _, err := Parse([]byte(`{"time":"2026-12-03T06:00:02.3Z","msg":"request: refused, not ru`))
		So(err, ShouldNotBeNil)
	})
}
