package limit

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

// at returns a limit that was found in a response some seconds after t0.
func at(seconds float64, perSecond float64) Limit {
	return Limit{Server: "a", StartMillis: 1, PerSecond: perSecond, ObservedAt: t0.Add(time.Duration(seconds * float64(time.Second)))}
}

// Guards against older news that replaces newer, and against a restarted server that keeps its limit.
func TestNewestLimitCounts(t *testing.T) {
	Convey("The newest response of the newest instance counts", t, func() {
		table := NewTable()
		So(table.Merge(t0, at(0, 0)), ShouldBeFalse)
		So(table.Merge(t0, at(1, 5)), ShouldBeTrue)
		So(table.Merge(t0, at(2, 5.2)), ShouldBeFalse) // no news for others, but in force
		So(table.PerSecond()["a"], ShouldEqual, 5.2)
		So(table.Merge(t0, at(1, 9)), ShouldBeFalse)
		So(table.Merge(t0, at(3, 2)), ShouldBeTrue)
		So(table.Merge(t0, at(4, 0)), ShouldBeTrue)
		_, stands := table.Find("a", 1)
		So(stands, ShouldBeFalse)
		So(table.Merge(t0, at(3.5, 5)), ShouldBeFalse)
		So(table.Standing(), ShouldEqual, 0)

		So(table.Merge(t0, at(5, 5)), ShouldBeTrue)
		restarted := at(4.9, 3)
		restarted.StartMillis = 2
		So(table.Merge(t0, restarted), ShouldBeTrue)
		So(table.Merge(t0, at(6, 0)), ShouldBeFalse)
		_, stands = table.Find("a", 1)
		So(stands, ShouldBeFalse)
		l, _ := table.Find("a", 2)
		So(l.PerSecond, ShouldEqual, 3)
	})
	Convey("Tables that know limits of the same servers have the same digest", t, func() {
		one, other := NewTable(), NewTable()
		one.Merge(t0, at(1, 5))
		So(one.Digest(), ShouldNotEqual, other.Digest())
		other.Merge(t0, at(2, 7))
		So(one.Digest(), ShouldEqual, other.Digest())
		one.Merge(t0, at(3, 0))
		So(one.Digest(), ShouldNotEqual, other.Digest())
		other.Prune(t0, func(string) bool { return false })
		So(one.Digest(), ShouldEqual, other.Digest())
	})
}

// Guards against numbers that stop all requests to a server for good, or all sense.
func TestNormalise(t *testing.T) {
	Convey("What makes no sense is ignored, and the least rate still finds out when the need is over", t, func() {
		for _, named := range []float64{-1, math.NaN(), math.Inf(1)} {
			_, ok := Normalise(named)
			So(ok, ShouldBeFalse)
		}
		perSecond, ok := Normalise(0)
		So(ok, ShouldBeTrue)
		So(perSecond, ShouldEqual, minPerSecond)
		perSecond, _ = Normalise(11.7)
		So(perSecond, ShouldEqual, 11.7)
	})
}

// Guards against tokens that a new leader issues on top of those of the one before, or that belong to
// daemons without contact.
func TestIssuer(t *testing.T) {
	Convey("An issuer starts without tokens, and issues the part of the daemons that it reaches", t, func() {
		issuer, l := NewIssuer(), at(0, 10)
		retryAfter, ok := issuer.Acquire(t0, l, 0.5)
		So(ok, ShouldBeFalse)
		So(retryAfter, ShouldEqual, 200*time.Millisecond)
		issued := 0
		for i := range 1000 {
			if _, ok := issuer.Acquire(t0.Add(time.Duration(i)*10*time.Millisecond), l, 0.5); ok {
				issued++
			}
		}
		So(issued, ShouldBeBetween, 47, 51)
		restarted := l
		restarted.StartMillis = 2
		_, ok = issuer.Acquire(t0.Add(20*time.Second), restarted, 1)
		So(ok, ShouldBeFalse)
		_, ok = issuer.Acquire(t0.Add(21*time.Second), l, 1)
		So(ok, ShouldBeFalse)
	})
}
