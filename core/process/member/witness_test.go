package member

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against witnesses that cannot support the leader, or that are lost together with the way
// to another data centre.
func TestWitnessCandidates(t *testing.T) {
	Convey("Live daemons of the own data centre are candidates, relays first", t, func() {
		now := time.Unix(100, 0)
		c := New(Member{Name: "l", Address: "l", DataCentre: "x", CPUCapacity: 9}, now)
		record := func(at time.Time, name, dc string, capacity float64, status Status) {
			c.RecordGossip(at, Member{Name: name, Address: name, DataCentre: dc, CPUCapacity: capacity, Incarnation: 7}, status)
		}
		record(now, "weak", "x", 1, Status{})
		record(now, "strong", "x", 5, Status{})
		record(now, "cut", "x", 8, Status{CutOff: true})
		record(now, "far", "y", 5, Status{})
		record(now, "leaving", "x", 5, Status{Leaving: true})
		record(now, "refusing", "x", 5, Status{})
		c.RecordRefused("refusing")
		record(now.Add(-time.Minute), "lost", "x", 3, Status{})
		c.AddDiscovered(Member{Name: "silent", Address: "silent", DataCentre: "x", CPUCapacity: 9})
		var names []string
		for _, m := range c.WitnessCandidates(now) {
			names = append(names, m.Name)
			So(m.Incarnation, ShouldEqual, 7)
		}
		So(names, ShouldHaveLength, 3)
		So(names[2], ShouldEqual, "cut")
		So(names, ShouldContain, "weak")
		So(names, ShouldContain, "strong")
	})
}
