package plat_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/connection/plat"
	"catkinstep/io/standin/store"
)

func platform() (*store.Store, *plat.Client, func()) {
	s := store.New()
	h := httptest.NewServer(s)
	return s, plat.New(h.Listener.Addr().String(), "duluth"), h.Close
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	Convey("Objects are written on the condition of their version", t, func() {
		_, c, stop := platform()
		defer stop()
		o, err := c.Read(ctx, "site")
		So(o, ShouldBeNil)
		So(err, ShouldBeNil)
		first, err := c.Write(ctx, "site", 0, []byte("a"))
		So(err, ShouldBeNil)
		_, err = c.Write(ctx, "site", 0, []byte("b"))
		So(plat.Is(err, plat.Conflict), ShouldBeTrue)
		second, err := c.Write(ctx, "site", first.Version, []byte("b"))
		So(err, ShouldBeNil)
		So(second.Version, ShouldBeGreaterThan, first.Version)
	})
	Convey("A write whose reply was lost is reported as unsure, and was made once", t, func() {
		s, c, stop := platform()
		defer stop()
		s.SetFaults(store.Faults{LostReplyShare: 1})
		_, err := c.Write(ctx, "site", 0, []byte("a"))
		So(plat.Is(err, plat.Unsure), ShouldBeTrue)
		value, version := s.Value("site")
		So(string(value), ShouldEqual, "a")
		So(version, ShouldEqual, 1)
	})
	Convey("A data centre that is cut off reaches nothing, the others do", t, func() {
		s, c, stop := platform()
		defer stop()
		s.SetFaults(store.Faults{DownDataCentres: []string{"duluth"}})
		_, err := c.Read(ctx, "site")
		So(plat.Is(err, plat.Unreachable), ShouldBeTrue)
		s.SetFaults(store.Faults{DownDataCentres: []string{"toledo"}})
		_, err = c.Read(ctx, "site")
		So(err, ShouldBeNil)
	})
	Convey("A watch tells of what is there and of each change, as one waiting call", t, func() {
		s, c, stop := platform()
		defer stop()
		first, err := c.Write(ctx, "site", 0, []byte("a"))
		So(err, ShouldBeNil)
		_, err = c.Write(ctx, "daemons/d", 0, []byte("elsewhere"))
		So(err, ShouldBeNil)
		got, err := c.Changed(ctx, "site", 0, 0)
		So(err, ShouldBeNil)
		So(got.Objects, ShouldResemble, []plat.Object{{Name: "site", Version: first.Version, Value: []byte("a")}})
		later := make(chan plat.Changes, 1)
		go func() {
			next, _ := c.Changed(ctx, "site", got.Revision, 3*time.Second)
			later <- next
		}()
		for s.CallCounts()["watch duluth"] < 2 {
			time.Sleep(time.Millisecond)
		}
		_, err = c.Write(ctx, "site", first.Version, []byte("b"))
		So(err, ShouldBeNil)
		next := <-later
		So(next.Objects, ShouldHaveLength, 1)
		So(string(next.Objects[0].Value), ShouldEqual, "b")
		So(s.CallCounts()["watch duluth"], ShouldEqual, 2)
	})
	Convey("A watch that hears nothing ends, and says up to when", t, func() {
		_, c, stop := platform()
		defer stop()
		first, err := c.Write(ctx, "site", 0, []byte("a"))
		So(err, ShouldBeNil)
		got, err := c.Changed(ctx, "site", first.Version, 20*time.Millisecond)
		So(err, ShouldBeNil)
		So(got.Objects, ShouldBeEmpty)
		So(got.Revision, ShouldEqual, first.Version)
	})
}
