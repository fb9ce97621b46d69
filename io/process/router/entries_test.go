package router

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/news"
)

// Guards against a log line of every daemon for every server, which push out those on requests.
func TestOneLineForServersThatChangeTogether(t *testing.T) {
	Convey("Hundreds of servers that come, drain and go write a line each time", t, func() {
		var out bytes.Buffer
		r := still()
		r.log = slog.New(slog.NewJSONHandler(&out, nil))
		var came, gone []news.Item
		for i := range 540 {
			id := fmt.Sprintf("s%d", i)
			came = append(came, entryOf(id, uint64(i+1)))
			gone = append(gone, news.Item{Name: id, Revision: uint64(1000 + i), Removed: true})
		}
		r.serversAt(second(1), 600, came...)
		So(r.current.Load().fleet.All(), ShouldHaveLength, 540)
		r.serversAt(second(2), 2000, gone...)
		So(r.current.Load().fleet.All(), ShouldBeEmpty)
		So(strings.Count(out.String(), `"msg":"servers: `), ShouldEqual, 2)
		So(out.String(), ShouldContainSubstring, `"came":540`)
		So(out.String(), ShouldContainSubstring, `"gone":540`)
	})
	Convey("Who read the store names each of them", t, func() {
		var out bytes.Buffer
		r := still()
		r.log = slog.New(slog.NewJSONHandler(&out, nil))
		r.serversAt(second(1), 10, entryOf("a", 5), entryOf("b", 6))
		r.control.update(second(2), deltaMsg{fromStore: true, delta: news.Delta{Kind: news.Servers, Through: 20, CurrentAt: second(2),
			Items: []news.Item{{Name: "a", Revision: 15, Removed: true}, entryOf("c", 16)}}})
		So(out.String(), ShouldContainSubstring, `"msg":"servers: gone","server":"a"`)
		So(out.String(), ShouldContainSubstring, `"msg":"servers: entry","server":"c"`)
	})
}
