package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a booking that is sent again although it may have run.
func TestAgain(t *testing.T) {
	once := Attempt{Arrived: 1, Most: 2, Left: time.Second, Least: 100 * time.Millisecond}
	for _, v := range []struct {
		name string
		with func(a *Attempt)
		want bool
	}{
		{"a lookup that may have run", func(a *Attempt) { a.Idempotent = true }, true},
		{"a lookup after an earlier attempt", func(a *Attempt) { a.Idempotent, a.MaybeRan = true, true }, true},
		{"a booking that may have run", func(*Attempt) {}, false},
		{"a booking that surely did not run", func(a *Attempt) { a.NotRun = true }, true},
		{"a booking refused after an attempt that may have run", func(a *Attempt) { a.NotRun, a.MaybeRan = true, true }, false},
		{"no attempt is left", func(a *Attempt) { a.Idempotent, a.Arrived = true, 2 }, false},
		{"a route that names no number has one attempt", func(a *Attempt) { a.Idempotent, a.Most = true, 0 }, false},
		{"two dials were refused and one attempt arrived", func(a *Attempt) { a.Idempotent, a.Unsent = true, 2 }, true},
		{"no server could be reached again and again", func(a *Attempt) { a.Idempotent, a.Arrived, a.Unsent = true, 0, unsentMost }, false},
		{"servers were lost with the same request too often", func(a *Attempt) { a.Idempotent, a.Crashes = true, true }, false},
		{"no answer can come in time", func(a *Attempt) { a.Idempotent, a.Left = true, 100*time.Millisecond }, false},
	} {
		Convey(v.name, t, func() {
			a := once
			v.with(&a)
			So(a.Again(), ShouldEqual, v.want)
		})
	}
}

// Guards against refused connections that use up a daemon's few repeats.
func TestWhatReachedNobodyIsNoRepeat(t *testing.T) {
	Convey("The first attempt that arrives is none", t, func() {
		So(Attempt{Unsent: 2}.Repeats(), ShouldBeFalse)
		So(Attempt{Arrived: 1}.Repeats(), ShouldBeTrue)
	})
}

func TestBudget(t *testing.T) {
	Convey("Extra attempts stay within their share after the burst", t, func() {
		b := NewBudget(0.1, 5)
		taken := 0
		for range 1000 {
			b.Request()
			if b.Take() {
				taken++
			}
		}
		So(taken, ShouldBeBetweenOrEqual, 95, 106)
	})
	Convey("A share that grows or a burst that shrinks counts at once", t, func() {
		b := NewBudget(0, 5)
		b.SetBurst(1)
		So(b.Take(), ShouldBeTrue)
		So(b.Take(), ShouldBeFalse)
		b.SetShare(1)
		b.Request()
		So(b.Take(), ShouldBeTrue)
	})
}
