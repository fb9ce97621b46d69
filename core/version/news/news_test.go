package news

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func item(name string, revision uint64, value string) Item {
	return Item{Name: name, Revision: revision, Value: []byte(value)}
}

func TestMerge(t *testing.T) {
	Convey("Older news never replaces newer, also of a value that did not change", t, func() {
		s := NewCache(Servers)
		s.Merge(Delta{Items: []Item{item("a", 10, "x")}, Through: 10})
		So(s.Merge(Delta{Items: []Item{item("a", 20, "x")}, Through: 20}), ShouldBeEmpty)
		So(s.Merge(Delta{Items: []Item{item("a", 15, "old")}, Through: 15}), ShouldBeEmpty)
		it, _ := s.Get("a")
		So(string(it.Value), ShouldEqual, "x")
		So(s.Through(), ShouldEqual, 20)
	})
	Convey("A whole list removes what it does not name, but not what is newer than it", t, func() {
		s := NewCache(Servers)
		s.Merge(Delta{Items: []Item{item("a", 10, "x"), item("b", 11, "y")}, Through: 11})
		s.Merge(Delta{Items: []Item{item("c", 30, "z")}})
		changed := s.Merge(Delta{Items: []Item{item("b", 11, "y")}, Through: 20, Whole: true})
		So(changed, ShouldHaveLength, 1)
		So(changed[0].Name, ShouldEqual, "a")
		So(changed[0].Removed, ShouldBeTrue)
		_, ok := s.Get("c")
		So(ok, ShouldBeTrue)
	})
	Convey("A removal may bear the revision of the last change, and the object may come again", t, func() {
		s := NewCache(Servers)
		s.Merge(Delta{Items: []Item{item("a", 10, "x")}, Through: 10})
		So(s.Merge(Delta{Items: []Item{{Name: "a", Revision: 10, Removed: true}}, Through: 12}), ShouldHaveLength, 1)
		So(s.Merge(Delta{Items: []Item{item("a", 13, "x")}, Through: 13}), ShouldHaveLength, 1)
		_, ok := s.Get("a")
		So(ok, ShouldBeTrue)
	})
	Convey("News is as old as its source says", t, func() {
		s, t0 := NewCache(Servers), time.Unix(100, 0)
		s.Merge(Delta{Through: 5, CurrentAt: t0})
		s.Merge(Delta{Through: 4, CurrentAt: t0.Add(time.Second)})
		So(s.CurrentAt(), ShouldEqual, t0)
	})
}

// Guards against a daemon that misses changes or removals which another one knows.
func TestSinceBringsAPeerUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := NewCache(Servers), NewCache(Servers)
		revision := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision += rapid.Uint64Range(1, 3).Draw(t, "step")
			it := Item{Name: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name")), Revision: revision, Removed: rapid.Bool().Draw(t, "gone"),
				Value: []byte(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "value")))}
			source.Merge(Delta{Items: []Item{it}, Through: revision})
			if rapid.Bool().Draw(t, "sync") {
				peer.Merge(source.Since(peer.Through()))
			}
		}
		peer.Merge(source.Since(peer.Through()))
		if fmt.Sprint(names(source)) != fmt.Sprint(names(peer)) {
			t.Fatalf("the source has %v, the peer %v", names(source), names(peer))
		}
	})
}

func names(s *Cache) []string {
	var out []string
	for _, it := range s.List() {
		out = append(out, it.Name+"="+string(it.Value))
	}
	return out
}
