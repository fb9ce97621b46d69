package router

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/object"
)

// Guards against a log line for every server from every daemon: so many lines that those about
// requests would be dropped. Only the leader and the daemon that read the store log each server.
func TestServerChangesAreLoggedTogether(t *testing.T) {
	Convey("Hundreds of servers that are added together are logged in one line, as are those that are removed together", t, func() {
		var logged bytes.Buffer
		r := newTestRouter()
		r.log = slog.New(slog.NewJSONHandler(&logged, nil))
		var added, removed []object.Item
		for i := range 540 {
			id := fmt.Sprintf("s%d", i)
			added = append(added, serverItem(id, uint64(i+1)))
			removed = append(removed, object.Item{Name: id, Revision: uint64(1000 + i), Removed: true})
		}
		r.updateServers(atSecond(1), 600, added...)
		So(r.current.Load().fleet.All(), ShouldHaveLength, 540)
		r.updateServers(atSecond(2), 2000, removed...)
		So(r.current.Load().fleet.All(), ShouldBeEmpty)
		So(strings.Count(logged.String(), `"msg":"servers: `), ShouldEqual, 2)
		So(logged.String(), ShouldContainSubstring, `"came":540`)
		So(logged.String(), ShouldContainSubstring, `"gone":540`)
	})
	Convey("The daemon that read the store logs a line for each server", t, func() {
		var logged bytes.Buffer
		r := newTestRouter()
		r.log = slog.New(slog.NewJSONHandler(&logged, nil))
		r.updateServers(atSecond(1), 10, serverItem("a", 5), serverItem("b", 6))
		r.control.update(atSecond(2), deltaMsg{fromStore: true, delta: object.Delta{Kind: object.Servers, Through: 20, CurrentAt: atSecond(2),
			Items: []object.Item{{Name: "a", Revision: 15, Removed: true}, serverItem("c", 16)}}})
		So(logged.String(), ShouldContainSubstring, `"msg":"servers: gone","server":"a"`)
		So(logged.String(), ShouldContainSubstring, `"msg":"servers: entry","server":"c"`)
	})
}
