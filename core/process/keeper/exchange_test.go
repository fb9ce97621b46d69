package keeper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Load: one key of three uneven servers gets 72 of 180 requests a second; a slow server handles
// 56. Guards against a hot key that stays on a slow server because the fast one is full.
func TestHotKeyOnThreeUnevenServers(t *testing.T) {
	for start := range 3 {
		for _, target := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond} {
			Convey(fmt.Sprintf("Six seconds after a key of server %d became hot, with a target of %v, its requests are served", start, target), t, func() {
				m := newUnevenModel(3, 4, thirdFast, 180, target)
				hot := m.bucketOf(m.servers[start].ID)
				m.heat(108, 72, hot)
				m.cmds = nil
				m.advance(6 * time.Second)
				ofHot, ofOthers := m.servedShares(hot)
				t.Logf("start %d, target %v: %.3f of the hot key's requests and %.3f of the others served, %d moves, %d to make room", start, target, ofHot, ofOthers, m.countMoves(""), m.countMoves(reasonMakeRoom))
				So(ofHot, ShouldBeGreaterThanOrEqualTo, 0.95)
				So(ofOthers, ShouldBeGreaterThanOrEqualTo, 0.95)
				Convey("In a minute of the same load there are few moves", func() {
					m.cmds = nil
					m.advance(60 * time.Second)
					ofHot, ofOthers = m.servedShares(hot)
					t.Logf("start %d, target %v: a minute later %.3f and %.3f, %d moves, %d to make room", start, target, ofHot, ofOthers, m.countMoves(""), m.countMoves(reasonMakeRoom))
					So(m.countMoves(""), ShouldBeLessThanOrEqualTo, 8)
					So(ofHot, ShouldBeGreaterThanOrEqualTo, 0.95)
				})
			})
		}
	}
}

// Load: one hot key alone on a slow server, 1.3 times what that server can handle, and a fast server that the
// other keys fill. Guards against a state that no single move improves.
func TestExchangeWhereNoSingleMovePays(t *testing.T) {
	Convey("Other keys of the fast server move first, then the hot bucket, which is served", t, func() {
		m, hot := fullFastServer()
		before, _ := m.servedShares(hot)
		m.advance(6 * time.Second)
		ofHot, ofOthers := m.servedShares(hot)
		t.Logf("%.3f of the hot key's requests were served, now %.3f and %.3f of the others; %d moves, %d to make room", before, ofHot, ofOthers, m.countMoves(""), m.countMoves(reasonMakeRoom))
		So(before, ShouldBeLessThan, 0.8)
		So(m.holderOfBucket(hot).Holder.Server, ShouldEqual, m.servers[2].ID)
		So(m.countMoves(reasonMakeRoom), ShouldBeBetween, 0, 5)
		So(m.countMoves(reasonHotBucket), ShouldEqual, 1)
		So(ofHot, ShouldBeGreaterThanOrEqualTo, 0.95)
		So(ofOthers, ShouldBeGreaterThanOrEqualTo, 0.95)
		Convey("It is not undone in a minute of the same load", func() {
			m.cmds = nil
			m.advance(time.Minute)
			So(m.countMoves(""), ShouldBeLessThanOrEqualTo, 8)
			So(m.holderOfBucket(hot).Holder.Server, ShouldEqual, m.servers[2].ID)
		})
	})
}

// Load: hundreds of servers at 0.75 and one key beyond what any server can handle. Guards against
// a hot key that shares its server with others, or stays on a slow one.
func TestKeyBeyondAnyServerSitsAlone(t *testing.T) {
	for _, site := range []struct {
		servers, slots int
		hotRate        float64
	}{{226, 4, 160}, {116, 3, 120}} {
		for start := range 3 {
			Convey(fmt.Sprintf("With %d servers a fast one holds only the hot key of server %d", site.servers, start), t, func() {
				capacity := float64(site.servers) * float64(site.slots) / 0.05
				m := newUnevenModel(site.servers, site.slots, thirdFast, 0.75*capacity, 800*time.Millisecond)
				hot := m.bucketOf(m.servers[start].ID)
				m.heat(0.75*capacity-site.hotRate, site.hotRate, hot)
				m.cmds = nil
				m.advance(6 * time.Second)
				holder := m.holderOfBucket(hot).Holder.Server
				others := m.requestRateOf(m.keeper.Table(), holder) - site.hotRate
				ofHot, ofOthers := m.servedShares(hot)
				t.Logf("%d servers, start %d: slowdown of the holder %.2f, its other keys %.1f requests a second; served %.3f and %.3f; %d moves, %d to make room",
					site.servers, start, m.slowdowns[holder], others, ofHot, ofOthers, m.countMoves(""), m.countMoves(reasonMakeRoom))
				So(m.slowdowns[holder], ShouldBeLessThan, 1)
				So(others, ShouldBeLessThan, 3)
				So(ofOthers, ShouldBeGreaterThanOrEqualTo, 0.95)
			})
		}
	}
}

// Load: as in TestHotKeyOnThreeUnevenServers, from random divisions of the keys among the servers.
// Guards against starts from which single moves end at a state that none of them improves.
func TestHotKeyFromAnyDivision(t *testing.T) {
	Convey("Six seconds later the hot key and the others are served", t, func() {
		rng := rand.New(rand.NewPCG(5, 11))
		lowest, failed := 1.0, 0
		for range 60 {
			m := newUnevenModel(3, 4, thirdFast, 180, 800*time.Millisecond)
			first := rng.IntN(Buckets - 2)
			second := first + 1 + rng.IntN(Buckets-first-1)
			m.latencyTarget = time.Duration(300+rng.IntN(700)) * time.Millisecond
			m.releaseTime = time.Duration(rng.IntN(360)) * time.Millisecond // a slow server's queue of 16 takes that long
			m.keeper.services[0].moveDuration = m.releaseTime + 100*time.Millisecond
			m.setRanges([]int{0, first, second}, rng.Perm(3))
			hot := rng.IntN(Buckets)
			m.heat(108, 72, hot)
			m.cmds = nil
			m.advance(6 * time.Second)
			ofHot, ofOthers := m.servedShares(hot)
			lowest = min(lowest, ofHot, ofOthers)
			if min(ofHot, ofOthers) < 0.95 {
				failed++
				t.Logf("%d %d %d: %.3f %.3f holder %v, moves %v, target %v, release %v", first, second, hot, ofHot, ofOthers, m.slowdowns[m.holderOfBucket(hot).Holder.Server], m.countMoves(""), m.latencyTarget, m.releaseTime)
			}
		}
		t.Logf("lowest share %.3f, %d of 60 below 0.95", lowest, failed)
		So(lowest, ShouldBeGreaterThanOrEqualTo, 0.95)
	})
}

// Load: a fast server that holds the hot key and nearly all others. Guards against a hot key that
// is moved to a slow server because it is the largest piece of an overloaded fast one.
func TestHotKeyStaysOnFastServer(t *testing.T) {
	Convey("Other keys leave the fast server, and the hot key stays", t, func() {
		for _, hot := range []int{300, 1285, 1600} {
			m := newUnevenModel(3, 4, thirdFast, 180, 400*time.Millisecond)
			m.setRanges([]int{0, 1800, 1900}, []int{2, 1, 0})
			m.heat(108, 72, hot)
			m.cmds = nil
			m.advance(6 * time.Second)
			ofHot, ofOthers := m.servedShares(hot)
			t.Logf("hot %d: %.3f and %.3f are served", hot, ofHot, ofOthers)
			for _, c := range m.cmds {
				if entry, ok := c.(LogCmd); ok && entry.Text == "range is to move" && Bucket(entry.From) <= hot && hot <= Bucket(entry.To) {
					t.Logf("moved: %+v", entry)
					So(entry.Holder, ShouldNotResemble, holderOf(m.servers[2]))
				}
			}
			So(min(ofHot, ofOthers), ShouldBeGreaterThanOrEqualTo, 0.95)
		}
	})
}
