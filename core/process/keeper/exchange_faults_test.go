package keeper

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// Load: as in TestExchangeWhereNoSingleMovePays, and the leader is lost after the first move that
// makes room. Guards against an exchange that ends halfway because its plan is not stored.
func TestLeaderChangesDuringExchange(t *testing.T) {
	Convey("The successor completes the exchange from the stored table", t, func() {
		m, hot := fullFastServer()
		m.advanceUntilRoomIsMade()
		So(m.countMoves(reasonMakeRoom), ShouldEqual, 1)
		So(m.keeper.services[0].exchange, ShouldNotBeNil)
		table := m.keeper.table(true)
		table = table.WithLeader(grant.Leader{Daemon: "e", Incarnation: 1}, nil)
		m.keeper = New(m.now, table, 9, WithGrantTTL(3500*time.Millisecond))
		m.cmds, m.releases = nil, nil
		m.setServers(m.servers)
		m.update(EarlierLeaderStoppedMsg{Epoch: 2, At: m.now})
		m.advance(6 * time.Second)
		ofHot, ofOthers := m.servedShares(hot)
		t.Logf("after the change of leaders %.3f and %.3f are served, %d moves, %d to make room", ofHot, ofOthers, m.countMoves(""), m.countMoves(reasonMakeRoom))
		So(ofHot, ShouldBeGreaterThanOrEqualTo, 0.95)
		So(ofOthers, ShouldBeGreaterThanOrEqualTo, 0.95)
	})
}

// Load: as above, and a server of the exchange drains or is lost after the first move that makes
// room. Guards against a plan that goes on with a server that may hold no keys.
func TestServerLeavesDuringExchange(t *testing.T) {
	for _, name := range []string{"drains", "is lost"} {
		for i, role := range []string{"holder", "third server", "target"} {
			Convey("The "+role+" "+name+": the plan ends, no later move has the server as its target, and every key gets another holder", t, func() {
				m, _ := fullFastServer()
				m.advanceUntilRoomIsMade()
				So(m.keeper.services[0].exchange, ShouldNotBeNil)
				left := holderOf(m.servers[i])
				m.cmds = nil
				servers := slices.Clone(m.servers)
				servers[i].Draining = true
				if name == "is lost" {
					servers = slices.Delete(servers, i, i+1)
				}
				m.setServers(servers)
				m.step()
				if role != "third server" {
					So(m.keeper.services[0].exchange, ShouldBeNil)
				}
				m.advance(10 * time.Second)
				for _, r := range m.keeper.Table().Services[0].Ranges {
					So(r.Holder, ShouldNotResemble, left)
					So(r.Next, ShouldNotResemble, left)
				}
				for _, c := range m.cmds {
					if entry, ok := c.(LogCmd); ok && entry.Text == "range is to move" {
						So(entry.Next, ShouldNotResemble, left)
					}
				}
			})
		}
	}
}

// Load: as above, and the key cools down after the first move that makes room. Guards against a
// plan that goes on under a load that has changed.
func TestLoadChangesDuringExchange(t *testing.T) {
	Convey("The plan is dropped, and the bucket stays", t, func() {
		m, hot := fullFastServer()
		m.releaseTime = 3 * time.Second // the counts show the change before the room is made
		m.advanceUntilRoomIsMade()
		m.requestRates[hot] = 1
		m.advance(10 * time.Second)
		So(m.keeper.services[0].exchange, ShouldBeNil)
		So(m.countMoves(reasonHotBucket), ShouldEqual, 0)
	})
	Convey("The plan ends with keepKeys", t, func() {
		m, _ := fullFastServer()
		m.advanceUntilRoomIsMade()
		m.update(FleetMsg{Fleet: m.keeper.fleet, KeyedServices: []string{testService}, RebalancingDisabled: true, DaemonCount: m.daemons})
		m.step()
		So(m.keeper.services[0].exchange, ShouldBeNil)
	})
}

// Load: two hot keys at once on two slow servers of six, each beyond what a slow one handles. In the
// second case they are alone there and the other keys fill the fast servers. Guards against two hot
// keys that are moved to one server, or one of which never moves.
func TestTwoHotKeys(t *testing.T) {
	for _, full := range []bool{false, true} {
		Convey(fmt.Sprintf("Both are served, by two fast servers (filled by other keys: %v)", full), t, func() {
			m := newUnevenModel(6, 4, thirdFast, 360, 800*time.Millisecond)
			first, second := m.bucketOf(m.servers[0].ID), m.bucketOf(m.servers[1].ID)
			if full {
				first, second = 300, 1300
				m.setRanges([]int{0, 300, 301, 900, 1300, 1301, 1800, 1900}, []int{2, 0, 2, 5, 1, 5, 3, 4})
			}
			m.heat(216, 72, first, second)
			m.cmds = nil
			m.advance(10 * time.Second)
			for _, hot := range []int{first, second} {
				ofHot, ofOthers := m.servedShares(hot)
				t.Logf("%.3f of the requests for a hot key and %.3f of the others are served, %d moves, %d to make room", ofHot, ofOthers, m.countMoves(""), m.countMoves(reasonMakeRoom))
				So(min(ofHot, ofOthers), ShouldBeGreaterThanOrEqualTo, 0.95)
			}
			So(m.holderOfBucket(first).Holder, ShouldNotResemble, m.holderOfBucket(second).Holder)
		})
	}
}

// Load: steady, with random counts, on hundreds of uneven servers with two hot keys, one of them
// beyond any server. Guards against exchanges that undo each other.
func TestExchangesDoNotOscillate(t *testing.T) {
	Convey("After the first 15 seconds, a minute brings few exchanges, and the keys keep their holders", t, func() {
		const servers, capacity = 226, 226 * 4 / 0.05
		m := newUnevenModel(servers, 4, thirdFast, 0.8*capacity, 800*time.Millisecond)
		first, second := m.bucketOf(m.servers[0].ID), m.bucketOf(m.servers[1].ID)
		m.heat(0.8*capacity-260, 130, first, second)
		m.advance(15 * time.Second)
		before := []grant.Holder{m.holderOfBucket(first).Holder, m.holderOfBucket(second).Holder}
		m.cmds = nil
		m.advance(time.Minute)
		t.Logf("in a minute %d moves, %d to make room", m.countMoves(""), m.countMoves(reasonMakeRoom))
		So(m.countMoves(""), ShouldBeLessThanOrEqualTo, servers/4)
		So(m.countMoves(reasonMakeRoom)+m.countMoves(reasonHotBucket), ShouldBeLessThanOrEqualTo, 4)
		So([]grant.Holder{m.holderOfBucket(first).Holder, m.holderOfBucket(second).Holder}, ShouldResemble, before)
	})
}

// Load: uneven over equal servers, without a hot key. Guards against exchanges, whose moves
// interrupt requests, where the speeds of servers differ by errors of measurement only.
func TestNoExchangeBetweenEqualServers(t *testing.T) {
	Convey("No move has the reason of an exchange", t, func() {
		for _, speeds := range [][]float64{{1}, {0.95, 1, 1.05}} {
			m := newUnevenModel(13, 4, speeds, 0.9*13*4/0.05, 300*time.Millisecond)
			for b := range Buckets {
				m.requestRates[b] *= 1 + float64(b%7)/7
			}
			m.advance(20 * time.Second)
			So(m.countMoves("balance"), ShouldBeGreaterThan, 0)
			So(m.countMoves(reasonMakeRoom)+m.countMoves(reasonHotBucket), ShouldEqual, 0)
		}
	})
}
