package config

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func sample() Config {
	c := Config{Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Parts: []Part{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Parts: []Part{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "flat", Host: "a.example", Prefix: "/x/", Parts: []Part{{Service: "t", Weight: 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t", Keyed: true}},
	}
	return c.WithIndex()
}

func TestMatch(t *testing.T) {
	Convey("The longest prefix at the host decides, whatever the order", t, func() {
		c := sample()
		for _, v := range []struct {
			host, path, name string
			ok               bool
		}{
			{"a.example", "/x/y/z", "deep", true},
			{"A.example:8080", "/x/y/", "deep", true},
			{"a.example", "/x/y", "flat", true},
			{"a.example", "/", "all", true},
			{"b.example", "/x/", "", false},
		} {
			r, ok := c.Match(v.host, v.path, "GET")
			So(ok, ShouldEqual, v.ok)
			So(r.Name, ShouldEqual, v.name)
		}
	})
}

// Guards against a booking that is taken for a lookup, which may be sent again.
func TestMatchByMethod(t *testing.T) {
	Convey("The route that names the method goes first, whatever the order", t, func() {
		lookups := Route{Name: "lookups", Host: AnyHost, Prefix: "/s/", Methods: []string{"GET", "HEAD"}, Idempotent: true}
		rest := Route{Name: "rest", Host: AnyHost, Prefix: "/s/"}
		for _, c := range []Config{{Routes: []Route{lookups, rest}}, {Routes: []Route{rest, lookups}}} {
			for _, v := range []struct{ method, name string }{{"GET", "lookups"}, {"head", "lookups"}, {"POST", "rest"}, {"DELETE", "rest"}} {
				r, ok := c.WithIndex().Match("whatever:80", "/s/x", v.method)
				So(ok, ShouldBeTrue)
				So(r.Name, ShouldEqual, v.name)
			}
		}
		_, ok := Config{Routes: []Route{lookups}}.WithIndex().Match("h", "/s/x", "POST")
		So(ok, ShouldBeFalse)
	})
}

func TestPick(t *testing.T) {
	Convey("Parts get their weights' shares", t, func() {
		r, _ := sample().Match("a.example", "/x/y/z", "GET")
		counts := map[string]int{}
		for i := range 1000 {
			counts[r.Pick(float64(i)/1000)]++
		}
		So(counts["s"], ShouldEqual, 900)
		So(counts["t"], ShouldEqual, 100)
	})
	Convey("A draw at the upper end still finds a part", t, func() {
		r, _ := sample().Match("a.example", "/x/y/z", "GET")
		So(r.Pick(0.9999999999999999), ShouldEqual, "t")
	})
}

func TestCheck(t *testing.T) {
	Convey("What cannot be used is named", t, func() {
		So(sample().Check(), ShouldBeNil)
		unknown := sample()
		unknown.Routes = append(unknown.Routes, Route{Name: "r", Host: "h", Prefix: "/", Parts: []Part{{Service: "nowhere"}}})
		var e *Error
		So(errors.As(unknown.Check(), &e), ShouldBeTrue)
		So(e.Kind, ShouldEqual, UnknownService)
		bare := sample()
		bare.Routes = append(bare.Routes, Route{Name: "r", Host: "h", Prefix: "no-slash"})
		So(errors.As(bare.Check(), &e), ShouldBeTrue)
		So(e.Kind, ShouldEqual, BadRoute)
	})
}
