package admin_test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/process/admin"
	"catkinstep/io/standin/flood"
)

// Guards against an operator who sees a status that no daemon has sent, and against a command that takes all
// memory.
func TestBrokenResponsesOfDaemons(t *testing.T) {
	for name, begin := range map[string]string{
		"with a blank in a name": "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
		"without end":            "HTTP/1.1 200 OK\r\n\r\n",
		"of a failure, too":      "HTTP/1.1 500 X\r\n\r\n",
	} {
		Convey("A response "+name+" is none", t, func() {
			c := admin.NewClient(flood.Start(t, begin, " ").Address(), "")
			var err error
			allocated := flood.Allocated(func() { _, err = c.Status(context.Background()) })
			So(err, ShouldNotBeNil)
			So(allocated, ShouldBeLessThan, 200<<20)
		})
	}
}
