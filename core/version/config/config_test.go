package config

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func sampleConfig() Config {
	c := Config{Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Destinations: []Destination{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Destinations: []Destination{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "flat", Host: "a.example", Prefix: "/x/", Destinations: []Destination{{Service: "t", Weight: 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t", Keyed: true}},
	}
	return c.WithIndex()
}

func TestMatch(t *testing.T) {
	Convey("The route with the longest prefix at the host matches, whatever the order", t, func() {
		c := sampleConfig()
		for _, tc := range []struct {
			host, path, name string
			ok               bool
		}{
			{"a.example", "/x/y/z", "deep", true},
			{"A.example:8080", "/x/y/", "deep", true},
			{"a.example", "/x/y", "flat", true},
			{"a.example", "/", "all", true},
			{"b.example", "/x/", "", false},
		} {
			r, ok := c.Match(tc.host, tc.path, "GET")
			So(ok, ShouldEqual, tc.ok)
			So(r.Name, ShouldEqual, tc.name)
		}
	})
}

// Guards against matching a booking to the route for lookups: that route is
// idempotent, so the booking could be retried and run twice.
func TestMatchByMethod(t *testing.T) {
	Convey("A route that lists the method takes precedence, whatever the order", t, func() {
		lookups := Route{Name: "lookups", Host: AnyHost, Prefix: "/s/", Methods: []string{"GET", "HEAD"}, Idempotent: true}
		others := Route{Name: "rest", Host: AnyHost, Prefix: "/s/"}
		for _, c := range []Config{{Routes: []Route{lookups, others}}, {Routes: []Route{others, lookups}}} {
			for _, tc := range []struct{ method, name string }{{"GET", "lookups"}, {"head", "lookups"}, {"POST", "rest"}, {"DELETE", "rest"}} {
				r, ok := c.WithIndex().Match("whatever:80", "/s/x", tc.method)
				So(ok, ShouldBeTrue)
				So(r.Name, ShouldEqual, tc.name)
			}
		}
		_, ok := Config{Routes: []Route{lookups}}.WithIndex().Match("h", "/s/x", "POST")
		So(ok, ShouldBeFalse)
	})
}

func TestPickService(t *testing.T) {
	Convey("Destinations are chosen in proportion to their weights", t, func() {
		r, _ := sampleConfig().Match("a.example", "/x/y/z", "GET")
		counts := map[string]int{}
		for i := range 1000 {
			counts[r.PickService(float64(i)/1000)]++
		}
		So(counts["s"], ShouldEqual, 900)
		So(counts["t"], ShouldEqual, 100)
	})
	Convey("A random number just below 1 still yields a destination", t, func() {
		r, _ := sampleConfig().Match("a.example", "/x/y/z", "GET")
		So(r.PickService(0.9999999999999999), ShouldEqual, "t")
	})
}

func TestCheck(t *testing.T) {
	Convey("Invalid routes are reported with their kind", t, func() {
		So(sampleConfig().Check(), ShouldBeNil)
		unknown := sampleConfig()
		unknown.Routes = append(unknown.Routes, Route{Name: "r", Host: "h", Prefix: "/", Destinations: []Destination{{Service: "nowhere"}}})
		var e *Error
		So(errors.As(unknown.Check(), &e), ShouldBeTrue)
		So(e.Kind, ShouldEqual, UnknownService)
		incomplete := sampleConfig()
		incomplete.Routes = append(incomplete.Routes, Route{Name: "r", Host: "h", Prefix: "no-slash"})
		So(errors.As(incomplete.Check(), &e), ShouldBeTrue)
		So(e.Kind, ShouldEqual, BadRoute)
	})
}
