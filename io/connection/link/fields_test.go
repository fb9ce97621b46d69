package link

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a server that is avoided or preferred for good, since it has said something that is no load.
func TestLoadsOutOfRange(t *testing.T) {
	Convey("Counts and slowdowns that cannot be are not believed", t, func() {
		for _, text := range []string{"9223372036854775807,9223372036854775807,4", "1,1,9223372036854775807", "2000000,1,4", "-1,0,4", "1,0", "x,0,4", "1e3,0,4"} {
			So(parseLoad(text), ShouldBeNil)
		}
		for _, slowdown := range []string{"inf", "Infinity", "1e300", "nan", "-5", "0", "x", "1000001"} {
			l := parseLoad("1,0,4," + slowdown)
			So(l, ShouldNotBeNil)
			So(l.Slowdown, ShouldEqual, 0)
		}
		So(parseLoad("3, 2, 8, 150").Slowdown, ShouldEqual, 1.5)
	})
}
