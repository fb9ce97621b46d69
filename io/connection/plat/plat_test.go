package plat_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/io/connection/plat"
	"catkinstep/io/standin/flood"
	"catkinstep/io/standin/store"
)

func startPlatform() (*store.Store, *plat.Client, func()) {
	s := store.New()
	h := httptest.NewServer(s)
	return s, plat.New(h.Listener.Addr().String(), "duluth"), h.Close
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	Convey("An object is written only if its version matches", t, func() {
		_, c, stop := startPlatform()
		defer stop()
		o, err := c.Read(ctx, "site")
		So(o, ShouldBeNil)
		So(err, ShouldBeNil)
		first, err := c.Write(ctx, "site", 0, []byte("a"))
		So(err, ShouldBeNil)
		_, err = c.Write(ctx, "site", 0, []byte("b"))
		So(plat.IsKind(err, plat.Conflict), ShouldBeTrue)
		second, err := c.Write(ctx, "site", first.Version, []byte("b"))
		So(err, ShouldBeNil)
		So(second.Version, ShouldBeGreaterThan, first.Version)
	})
	Convey("A write whose response was lost has an unknown outcome, and is not retried", t, func() {
		s, c, stop := startPlatform()
		defer stop()
		s.SetFaults(store.Faults{LostResponseShare: 1})
		_, err := c.Write(ctx, "site", 0, []byte("a"))
		So(plat.IsKind(err, plat.OutcomeUnknown), ShouldBeTrue)
		value, version := s.Value("site")
		So(string(value), ShouldEqual, "a")
		So(version, ShouldEqual, 1)
	})
	Convey("The platform can be unreachable for one data centre only", t, func() {
		s, c, stop := startPlatform()
		defer stop()
		s.SetFaults(store.Faults{DownDataCentres: []string{"duluth"}})
		_, err := c.Read(ctx, "site")
		So(plat.IsKind(err, plat.Unreachable), ShouldBeTrue)
		s.SetFaults(store.Faults{DownDataCentres: []string{"toledo"}})
		_, err = c.Read(ctx, "site")
		So(err, ShouldBeNil)
	})
}

func TestWatch(t *testing.T) {
	ctx := context.Background()
	Convey("A watch returns the existing objects, then waits for a change in a single call", t, func() {
		s, c, stop := startPlatform()
		defer stop()
		first, err := c.Write(ctx, "site", 0, []byte("a"))
		So(err, ShouldBeNil)
		_, err = c.Write(ctx, "daemons/d", 0, []byte("elsewhere"))
		So(err, ShouldBeNil)
		got, err := c.Watch(ctx, "site", 0, 0)
		So(err, ShouldBeNil)
		So(got.Objects, ShouldResemble, []plat.Object{{Name: "site", Version: first.Version, Value: []byte("a")}})
		later := make(chan plat.Changes, 1)
		go func() {
			next, _ := c.Watch(ctx, "site", got.Revision, 3*time.Second)
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
	Convey("A watch without changes returns after its wait, with the current revision", t, func() {
		_, c, stop := startPlatform()
		defer stop()
		first, err := c.Write(ctx, "site", 0, []byte("a"))
		So(err, ShouldBeNil)
		got, err := c.Watch(ctx, "site", first.Version, 20*time.Millisecond)
		So(err, ShouldBeNil)
		So(got.Objects, ShouldBeEmpty)
		So(got.Revision, ShouldEqual, first.Version)
	})
}

// Guards against a host that runs out of memory because the platform in trouble sends bytes without end.
func TestPlatformWithoutEnd(t *testing.T) {
	for name, begin := range map[string]string{"status line": "HTTP/1.1 200 ", "header line": "HTTP/1.1 200 OK\r\nX: "} {
		Convey("The "+name+" without end: the call fails within the limit", t, func() {
			c := plat.New(flood.Start(t, begin, "x").Address(), "duluth")
			var err error
			allocated := flood.Allocated(func() { _, err = c.Read(context.Background(), "site") })
			So(err, ShouldNotBeNil)
			So(allocated, ShouldBeLessThan, 1<<20)
		})
	}
}

// Guards against a value that the platform does not have, since a malformed or cut response is taken for one.
func TestBrokenResponsesOfThePlatform(t *testing.T) {
	const version = "Catkinstep-Version: 1\r\n"
	for name, begin := range map[string]string{
		"that is too large":               "HTTP/1.1 200 OK\r\n" + version + "Content-Length: 33554433\r\n\r\n",
		"with a blank in a name":          "HTTP/1.1 200 OK\r\n" + version + "X Y: z\r\nContent-Length: 2\r\n\r\n",
		"with a blank behind an encoding": "HTTP/1.1 200 OK\r\n" + version + "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n",
		"of version 9.9":                  "HTTP/9.9 200 OK\r\n" + version + "Content-Length: 2\r\n\r\n",
	} {
		Convey("A response "+name+" is none", t, func() {
			c := plat.New(flood.Start(t, begin, "xx").Address(), "duluth")
			_, err := c.Read(context.Background(), "site")
			So(plat.IsKind(err, plat.Unreachable), ShouldBeTrue)
			_, err = c.Write(context.Background(), "site", 1, []byte("a"))
			So(plat.IsKind(err, plat.OutcomeUnknown), ShouldBeTrue)
		})
	}
}
