package boot

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/news"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func TestBoot(t *testing.T) {
	Convey("It is over once all that requests need is known", t, func() {
		b := New(t0)
		for _, k := range []news.Kind{news.Config, news.Tables, news.Daemons, news.Servers} {
			So(b.Over(after(time.Millisecond)), ShouldBeFalse)
			b = b.WithKnown(k)
		}
		So(b.Over(after(time.Millisecond)), ShouldBeTrue)
		So(b.Wait(after(time.Millisecond), time.Second), ShouldEqual, 0)
	})
	Convey("A caller that leaves soon is not kept until it does", t, func() {
		So(New(t0).Wait(t0, 500*time.Millisecond), ShouldEqual, 150*time.Millisecond)
		So(New(t0).Wait(t0, time.Minute), ShouldEqual, longest)
		So(New(t0).Wait(t0, 0), ShouldEqual, longest)
	})
}

// Guards against callers that are kept while the store is away.
func TestAbsentStoreEndsTheWait(t *testing.T) {
	Convey("Nobody waits longer than lists take", t, func() {
		b := New(t0).WithKnown(news.Config)
		So(b.Wait(after(longest-time.Millisecond), time.Minute), ShouldEqual, time.Millisecond)
		So(b.Wait(after(longest), time.Minute), ShouldEqual, 0)
		So(b.Over(after(longest)), ShouldBeTrue)
	})
}

// Guards against a site whose hosts all refuse, after a loss of power, whom they could soon answer.
func TestReturnOfAllHosts(t *testing.T) {
	Convey("Requests that come during the first lists are served, and in time", t, func() {
		const lists, aim = 400 * time.Millisecond, 600 * time.Millisecond
		b, served, begins := New(t0), 0, 0
		for at := time.Duration(0); at < lists; at += 10 * time.Millisecond {
			begins++
			wait := b.Wait(after(at), 1500*time.Millisecond)
			if at+wait >= lists && lists-at < aim {
				served++
			}
		}
		So(served, ShouldEqual, begins)
	})
}
