package keeper

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// lets time pass in which grants are taken, and releases end in one way.
func (s *story) lets(d time.Duration, r grant.Result) { s.pass(d, always(grant.Done), always(r)) }

func originsOf(grants []GrantCmd) []grant.Origin {
	var out []grant.Origin
	for _, g := range grants {
		if n := len(out); n == 0 || out[n-1] != g.Origin {
			out = append(out, g.Origin)
		}
	}
	return out
}

// Guards against a holder that takes itself to know all that ran on its keys although the one before it was lost.
func TestGrantsSayWhatTheHolderCanKnow(t *testing.T) {
	a, b := named("a", false), named("b", false)
	held := grant.Range{Holder: holder(a)}
	Convey("A holder that is granted its keys again keeps them", t, func() {
		s := begin(held)
		s.fleet(a, b)
		s.lets(2*time.Second, grant.Done)
		So(originsOf(s.grantsTo("a")), ShouldResemble, []grant.Origin{grant.Kept})
	})
	Convey("The next holder is given what the last one handed over", t, func() {
		s := begin(held)
		s.fleet(named("a", true), b)
		s.lets(2*time.Second, grant.Done)
		So(originsOf(s.grantsTo("b")), ShouldResemble, []grant.Origin{grant.Handed, grant.Kept})
	})
	Convey("After a holder that was lost its grant says so", t, func() {
		s := begin(held)
		s.fleet(b)
		s.lets(time.Minute, grant.Ended)
		So(originsOf(s.grantsTo("b")), ShouldResemble, []grant.Origin{grant.Lost, grant.Kept})
	})
	Convey("Keys that nobody held come first", t, func() {
		s := begin(grant.Range{})
		s.k.shares = nil
		s.fleet(a)
		s.lets(2*time.Second, grant.Done)
		So(originsOf(s.grantsTo("a")), ShouldResemble, []grant.Origin{grant.First, grant.Kept})
	})
	Convey("A successor does not know how a grant that is not confirmed came about", t, func() {
		s := begin(grant.Range{Holder: holder(a), Pending: true})
		s.fleet(a)
		s.lets(time.Second, grant.Done)
		So(originsOf(s.grantsTo("a")), ShouldResemble, []grant.Origin{grant.Lost, grant.Kept})
	})
}

// Guards against a handover that dies with the leader, between the release and the next holder's answer.
func TestSuccessorAsksForTheHandoverAgain(t *testing.T) {
	Convey("The stored table names the last holder until the next one has confirmed", t, func() {
		a, b := named("a", true), named("b", false)
		s := begin(grant.Range{Holder: holder(a)})
		s.fleet(a, b)
		s.pass(3*time.Second, func(address string) grant.Result {
			if address == "b" {
				return grant.Unsure
			}
			return grant.Done
		}, always(grant.Done))
		So(s.grantsTo("b"), ShouldNotBeEmpty)
		stored := s.k.table(true).Services[0].Ranges[0]
		So(stored.Holder, ShouldResemble, holder(a))
		So(stored.Next, ShouldResemble, holder(b))
		next := begin(stored)
		next.fleet(a, b)
		next.lets(time.Minute, grant.Done)
		So(originsOf(next.grantsTo("b")), ShouldResemble, []grant.Origin{grant.Handed, grant.Kept})
		So(next.k.table(true).Services[0].Ranges[0].Holder, ShouldResemble, holder(b))
	})
}
