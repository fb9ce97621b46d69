package spread

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/request/admit"
)

// declinedBy records requests that a server declined with the given report, and returns the stats
// that the leader gets.
func declinedBy(b *Balancer, count int, outcome Outcome, report *Report) ServerStats {
	server, req := servers(1)[0], requirements(t0)
	for range count {
		b.Begin(t0, server, req)
		b.End(t0, server, req, t0, outcome, report)
	}
	for _, stats := range b.TakeStats(false) {
		return stats
	}
	return ServerStats{Server: server.ID}
}

// isLimited reports whether a leader with the given stats of a server limits the requests to it.
func isLimited(stats ServerStats) bool {
	c := admit.NewController()
	c.Report(stats.Server, stats.LoadReports, stats.LongQueueReports)
	c.EndRound(t0)
	_, limited := c.Capacity(t0, stats.Server, 3, 12)
	return limited
}

// Guards against limits for a server that sheds load although its queue is short: half of the
// requests for its keys were refused while it had room.
func TestDeclinesAtShortQueueCauseNoLimit(t *testing.T) {
	Convey("Declines with fewer requests waiting than slots are no sign of a long queue", t, func() {
		for _, report := range []Report{{Running: 4, Slots: 4}, {Running: 4, Waiting: 3, Slots: 4}, {Running: 1, Slots: 4}} {
			b := newBalancer()
			stats := declinedBy(b, 20, Declined, &report)
			So(stats.LongQueueReports, ShouldEqual, 0)
			So(isLimited(stats), ShouldBeFalse)
			So(b.OwnLoad(), ShouldBeEmpty)
		}
	})
	Convey("They don't raise the estimated load above what was reported", t, func() {
		b := newBalancer()
		declinedBy(b, 1, Declined, &Report{Running: 4, Slots: 4})
		So(b.stateOf(servers(1)[0]).reportedLoad, ShouldBeLessThan, 4)
	})
	Convey("Nor do they count as reports of a short queue, which would raise the limits of a full server", t, func() {
		So(declinedBy(newBalancer(), 20, Declined, &Report{Running: 4, Slots: 4}).LoadReports, ShouldEqual, 0)
	})
	Convey("Declines with a long queue, without a report, or by a server without the key count as before", t, func() {
		So(isLimited(declinedBy(newBalancer(), 20, Declined, &Report{Running: 4, Waiting: 4, Slots: 4})), ShouldBeTrue)
		So(isLimited(declinedBy(newBalancer(), 20, Declined, nil)), ShouldBeTrue)
		So(isLimited(declinedBy(newBalancer(), 20, Misdirected, &Report{Running: 4, Slots: 4})), ShouldBeTrue)
	})
}
