package boot

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/object"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func TestBoot(t *testing.T) {
	Convey("The boot is done once all lists that requests need are read", t, func() {
		b := New(t0)
		for _, k := range []object.Kind{object.Config, object.Tables, object.Daemons, object.Servers} {
			So(b.Done(after(time.Millisecond)), ShouldBeFalse)
			b = b.WithLoaded(k)
		}
		So(b.Done(after(time.Millisecond)), ShouldBeTrue)
		So(b.MaxWait(after(time.Millisecond), time.Second), ShouldEqual, 0)
	})
	Convey("A request waits for only a share of its caller's timeout", t, func() {
		So(New(t0).MaxWait(t0, 500*time.Millisecond), ShouldEqual, 150*time.Millisecond)
		So(New(t0).MaxWait(t0, time.Minute), ShouldEqual, bootTimeout)
		So(New(t0).MaxWait(t0, 0), ShouldEqual, bootTimeout)
	})
}

// Guards against requests that wait without a limit while the store is unreachable.
func TestWaitEndsWithoutStore(t *testing.T) {
	Convey("No request waits longer than the boot timeout", t, func() {
		b := New(t0).WithLoaded(object.Config)
		So(b.MaxWait(after(bootTimeout-time.Millisecond), time.Minute), ShouldEqual, time.Millisecond)
		So(b.MaxWait(after(bootTimeout), time.Minute), ShouldEqual, 0)
		So(b.Done(after(bootTimeout)), ShouldBeTrue)
	})
}

// Guards against refusing requests that could be answered soon, after all hosts of a site
// restart together: no daemon has read its lists yet, so every one would refuse.
func TestRestartOfAllHosts(t *testing.T) {
	Convey("Requests that arrive while the first lists are read are served within the latency target", t, func() {
		const loadTime, latencyTarget = 400 * time.Millisecond, 600 * time.Millisecond
		b, served, requests := New(t0), 0, 0
		for at := time.Duration(0); at < loadTime; at += 10 * time.Millisecond {
			requests++
			wait := b.MaxWait(after(at), 1500*time.Millisecond)
			if at+wait >= loadTime && loadTime-at < latencyTarget {
				served++
			}
		}
		So(served, ShouldEqual, requests)
	})
}
