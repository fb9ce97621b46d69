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

func newPlatformStandin() (*store.Store, *plat.Client, func()) {
	s := store.New()
	h := httptest.NewServer(s)
	c := plat.New(h.Listener.Addr().String(), "duluth")
	_, err := ChangeSite(context.Background(), c, 0, func(site.Site) (site.Site, error) {
		return site.Site{Name: "s", Presets: []site.Preset{{Name: "ordinary", Active: true}, {Name: "peak"}}}, nil
	})
	So(err, ShouldBeNil)
	return s, c, h.Close
}

// Guards against a change that is overwritten by a concurrent one without an error.
func TestConcurrentChanges(t *testing.T) {
	Convey("Each of a hundred concurrent changes is either stored or refused with a conflict", t, func() {
		platform, _, stop := newPlatformStandin()
		defer stop()
		address := strings.TrimPrefix(httptest.NewServer(platform).URL, "http://")
		var mu sync.Mutex
		var accepted []string
		refused := 0
		var wg sync.WaitGroup
		for operator := range 2 {
			c := plat.New(address, "toledo")
			wg.Go(func() {
				for n := range 50 {
					host := fmt.Sprintf("10.%d.0.%d", operator, n)
					_, err := ChangeSite(context.Background(), c, 0, func(stored site.Site) (site.Site, error) { return stored.WithExclusion(site.Exclusion{Host: host}) })
					mu.Lock()
					switch {
					case err == nil:
						accepted = append(accepted, host)
					case IsKind(err, Conflict) && strings.Contains(err.Error(), "out 10."):
						refused++
					default:
						t.Errorf("neither accepted nor refused: %v", err)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		data, _ := platform.Value("site")
		stored, err := site.Unmarshal(data)
		So(err, ShouldBeNil)
		So(len(accepted)+refused, ShouldEqual, 100)
		So(stored.Exclusions, ShouldHaveLength, len(accepted))
		for _, host := range accepted {
			So(stored.HostExcluded(host+":9000"), ShouldBeTrue)
		}
	})
}

// Guards against a change that is reported as failed although it was stored.
func TestLostResponseAndStaleVersion(t *testing.T) {
	Convey("An operator's own write is recognised after a lost response", t, func() {
		platform, c, stop := newPlatformStandin()
		defer stop()
		platform.SetFaults(store.Faults{LostResponseShare: 1})
		a, err := ChangeSite(context.Background(), c, 0, func(v site.Site) (site.Site, error) { return v.WithPreset("peak") })
		So(err, ShouldBeNil)
		So(a.Preset, ShouldEqual, "peak")
	})
	Convey("A change to a stale version is refused, and the error names the newer change", t, func() {
		_, c, stop := newPlatformStandin()
		defer stop()
		a, err := ChangeSite(context.Background(), c, 0, func(v site.Site) (site.Site, error) { return v.WithPreset("peak") })
		So(err, ShouldBeNil)
		_, err = ChangeSite(context.Background(), c, a.Version-1, func(v site.Site) (site.Site, error) { return v.WithPreset("ordinary") })
		So(IsKind(err, Conflict), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "preset use peak")
	})
}
