package admin

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/site"
	"catkinstep/io/connection/plat"
	"catkinstep/io/standin/store"
)

func begin() (*store.Store, *plat.Client, func()) {
	s := store.New()
	h := httptest.NewServer(s)
	c := plat.New(h.Listener.Addr().String(), "duluth")
	_, err := Change(context.Background(), c, 0, func(site.Site) (site.Site, error) {
		return site.Site{Name: "s", Presets: []site.Preset{{Name: "ordinary", Active: true}, {Name: "peak"}}}, nil
	})
	So(err, ShouldBeNil)
	return s, c, h.Close
}

// Guards against an operator's change that vanishes under another's.
func TestRacingOperators(t *testing.T) {
	Convey("Of a hundred racing changes none is lost without a word", t, func() {
		s, _, stop := begin()
		defer stop()
		address := strings.TrimPrefix(httptest.NewServer(s).URL, "http://")
		var mu sync.Mutex
		var kept []string
		refused := 0
		var wg sync.WaitGroup
		for operator := range 2 {
			c := plat.New(address, "toledo")
			wg.Go(func() {
				for n := range 50 {
					host := fmt.Sprintf("10.%d.0.%d", operator, n)
					_, err := Change(context.Background(), c, 0, func(v site.Site) (site.Site, error) { return v.WithExclusion(site.Exclusion{Host: host}) })
					mu.Lock()
					switch {
					case err == nil:
						kept = append(kept, host)
					case Is(err, Conflict) && strings.Contains(err.Error(), "out 10."):
						refused++
					default:
						t.Errorf("neither kept nor refused: %v", err)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		data, _ := s.Value("site")
		v, err := site.Unmarshal(data)
		So(err, ShouldBeNil)
		So(len(kept)+refused, ShouldEqual, 100)
		So(v.Exclusions, ShouldHaveLength, len(kept))
		for _, host := range kept {
			So(v.HostExcluded(host+":9000"), ShouldBeTrue)
		}
	})
}

// Guards against an accepted change that its operator takes for failed.
func TestReplyLostAfterAChange(t *testing.T) {
	Convey("An operator's own write is recognised after a lost reply", t, func() {
		s, c, stop := begin()
		defer stop()
		s.SetFaults(store.Faults{LostReplyShare: 1})
		a, err := Change(context.Background(), c, 0, func(v site.Site) (site.Site, error) { return v.WithPreset("peak") })
		So(err, ShouldBeNil)
		So(a.Preset, ShouldEqual, "peak")
	})
	Convey("An operator with stale data is refused, with the change that came first", t, func() {
		_, c, stop := begin()
		defer stop()
		a, err := Change(context.Background(), c, 0, func(v site.Site) (site.Site, error) { return v.WithPreset("peak") })
		So(err, ShouldBeNil)
		_, err = Change(context.Background(), c, a.Version-1, func(v site.Site) (site.Site, error) { return v.WithPreset("ordinary") })
		So(Is(err, Conflict), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "preset use peak")
	})
}
