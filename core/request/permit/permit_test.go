package permit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

func asks(id uint64) Request {
	return Request{Server: "a", ID: id, Slots: 3, Work: 600 * time.Millisecond, Patience: 1200 * time.Millisecond, Lasts: 4 * time.Second}
}

func TestAsk(t *testing.T) {
	Convey("Permits are given while an answer can come in time", t, func() {
		i, granted := NewIssuer(1), uint64(0)
		for id := range uint64(20) {
			a := i.Ask(t0, asks(id))
			if !a.Granted {
				So(a.Back, ShouldBeGreaterThan, 0)
				break
			}
			granted++
		}
		So(granted, ShouldEqual, 6) // three run, and three wait for one of these to end
		Convey("and again when one has ended", func() {
			i.End("a", 2)
			So(i.Ask(t0, asks(30)).Granted, ShouldBeTrue)
			So(i.Ask(t0, asks(31)).Granted, ShouldBeFalse)
		})
		Convey("A caller with more time gets one, and so does one of another server", func() {
			q := asks(30)
			q.Patience = 3 * time.Second
			So(i.Ask(t0, q).Granted, ShouldBeTrue)
			q = asks(31)
			q.Server = "b"
			So(i.Ask(t0, q).Granted, ShouldBeTrue)
		})
		Convey("One that asks once more keeps its permit", func() {
			So(i.Ask(t0, asks(1)).Granted, ShouldBeTrue)
		})
	})
	Convey("A free slot is never refused", t, func() {
		q := asks(1)
		q.Patience = 0
		So(NewIssuer(1).Ask(t0, q).Granted, ShouldBeTrue)
	})
	Convey("Few daemons know a queue without permits, many do not", t, func() {
		So(Known(9, 3), ShouldEqual, 1)
		So(Known(195, 3), ShouldBeLessThan, 0.1)
	})
	Convey("Short work is not worth the asking", t, func() {
		So(Worth(5*time.Millisecond), ShouldBeFalse)
		So(Worth(500*time.Millisecond), ShouldBeTrue)
	})
}

// Guards against a server that stays closed for requests whose daemon lost power.
func TestUnreportedEndsExpire(t *testing.T) {
	Convey("What must have ended counts no more", t, func() {
		i := NewIssuer(1)
		for id := range uint64(6) {
			i.Ask(t0, asks(id))
		}
		So(i.Ask(after(3*time.Second), asks(9)).Granted, ShouldBeFalse)
		So(i.Ask(after(4*time.Second), asks(9)).Granted, ShouldBeTrue)
		So(i.Count(), ShouldEqual, 1)
		i.Expire(after(9 * time.Second))
		So(i.Count(), ShouldEqual, 0)
		So(i.servers, ShouldBeEmpty)
	})
}

// play sends requests by chance to one server of three slots for a while, and returns which
// part is answered within the aim. Callers leave at twice the aim; what they leave at the
// server runs no further. Permits arrive late by two ways between data centres.
func play(offered float64, issuer *Issuer) float64 {
	const work, aim, way, length = 600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Millisecond, 500 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	free := make([]time.Duration, 3) // when each slot is
	type end struct {
		at time.Duration
		id uint64
	}
	var ends []end
	id, all, inAim := uint64(0), 0, 0
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(work) / (3 * offered)) {
		all++
		id++
		for len(ends) > 0 && ends[0].at+way <= at {
			issuer.End("a", ends[0].id)
			ends = ends[1:]
		}
		q := asks(id)
		if issuer != nil && !issuer.Ask(after(at), q).Granted {
			continue
		}
		slot := slices.Index(free, slices.Min(free))
		begins := max(at+way, free[slot])
		left := at + 2*aim
		if begins >= left {
			ends = append(ends, end{left, id})
			continue
		}
		done := min(left, begins+time.Duration(random.ExpFloat64()*float64(work)))
		free[slot] = done
		if done-at <= aim {
			inAim++
		}
		if issuer != nil {
			ends = append(ends, end{done, id})
			slices.SortFunc(ends, func(a, b end) int { return int(a.at - b.at) })
		}
	}
	return float64(inAim) / float64(all)
}

// Guards against a server that works for callers who have left, since hundreds of daemons
// each know nothing of the others' requests.
func TestHolderOfferedTooMuch(t *testing.T) {
	Convey("Half as many again are answered in time as without permits, and as many at a low load", t, func() {
		for _, offered := range []float64{1.1, 1.4} {
			blind, permitted := play(offered, nil), play(offered, NewIssuer(1))
			t.Logf("offered %.1f: in time %.2f without permits, %.2f with", offered, blind, permitted)
			So(permitted, ShouldBeGreaterThan, 1.5*blind)
		}
		blind, permitted := play(0.5, nil), play(0.5, NewIssuer(1))
		t.Logf("offered 0.5: in time %.2f without permits, %.2f with", blind, permitted)
		So(permitted, ShouldBeGreaterThan, 0.98*blind)
	})
}
