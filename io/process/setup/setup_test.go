package setup

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against numbers of witnesses of which no majority is larger than the rest, or that end a
// leader's support with the loss of one daemon.
func TestLeaderWitnessesAreChecked(t *testing.T) {
	Convey("The number is 0, or odd and at least 3", t, func() {
		s := Settings{Name: "d", DataCentre: "x", CallerAddress: "127.0.0.1:1", MeshAddress: "127.0.0.1:2", GracePeriod: time.Second, MaxGrantTTL: time.Second}
		for n, valid := range map[int]bool{-3: false, 0: true, 1: false, 2: false, 3: true, 4: false, 5: true} {
			s.LeaderWitnesses = n
			So(s.Check() == nil, ShouldEqual, valid)
		}
	})
}
