package router

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/config"
	"catkinstep/core/version/object"
)

// listedThrough is the revision of the lists that a candidate has got, which name no table.
const listedThrough = 1

// lossyStore carries writes out, and loses the responses to the first ones.
type lossyStore struct {
	busyStore
	mu   sync.Mutex
	item object.Item
	lost int
}

func (s *lossyStore) Read(context.Context, object.Kind, string) (object.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.item, nil
}

func (s *lossyStore) Save(_ context.Context, _ object.Kind, name string, value []byte, revision uint64) (object.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != s.item.Revision {
		return s.item, &object.Error{Op: "save", Kind: object.Conflict, Err: errors.New("newer")}
	}
	s.item = object.Item{Name: name, Revision: max(revision, listedThrough) + 1, Value: value}
	if s.lost > 0 {
		s.lost--
		return object.Item{}, &object.Error{Op: "save", Kind: object.OutcomeUnknown, Err: errors.New("no response")}
	}
	return s.item, nil
}

// newCandidate returns a router that knows a service with keys and no leader.
func newCandidate(s Store) *Router {
	r := newTestRouter()
	r.store = s
	v, _ := json.Marshal(config.Config{Version: 1, Services: []config.Service{{Name: "s", Keyed: true}}})
	r.control.update(atSecond(1), deltaMsg{delta: object.Delta{Kind: object.Config, Through: 1, CurrentAt: atSecond(1), Items: []object.Item{{Name: "main", Revision: 1, Value: v}}}})
	r.control.update(atSecond(1), deltaMsg{delta: object.Delta{Kind: object.Tables, Through: listedThrough, CurrentAt: atSecond(1)}})
	r.control.members.RecordStoreResponse(atSecond(1))
	return r
}

// claim lets the router claim the lead if it would, and handles what comes of it.
func (r *Router) claim(now time.Time) {
	r.control.tryAcquireLeadership(now)
	for r.control.leadership.acquiring {
		r.control.update(now, <-r.inbox)
	}
}

// Guards against a table that names a leader for good which does not lead: its claim was stored and the
// response lost.
func TestStoredClaimWithoutResponseIsRepeated(t *testing.T) {
	Convey("The daemon leads with its next claim, under a higher epoch", t, func() {
		for lost := range 3 {
			r := newCandidate(&lossyStore{lost: lost})
			for range lost {
				r.claim(atSecond(1.2))
				So(r.control.keeper, ShouldBeNil)
				So(r.current.Load().table.Leader.Daemon, ShouldEqual, r.self.Name)
			}
			r.claim(atSecond(1.2))
			So(r.control.keeper, ShouldNotBeNil)
			So(r.control.keeper.Epoch(), ShouldEqual, lost+1)
		}
	})
}
