package member

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/grant"
)

// Guards against grants that run out since the leader's host reaches no servers, while other hosts do.
func TestLeaderWithoutServers(t *testing.T) {
	Convey("A leader whose host reaches no servers steps down while another host does", t, func() {
		c := newTestCluster()
		c.RecordStoreResponse(at(10))
		So(c.ShouldStepDown(at(10)), ShouldBeFalse)
		c.SetCutOff(true)
		So(c.ShouldStepDown(at(10)), ShouldBeTrue)
		for name, dataCentre := range map[string]string{"a": "x", "c": "y"} {
			c.RecordGossip(at(10), newMember(name, dataCentre, 1), Status{LastStoreResponse: at(9.9), CutOff: true})
		}
		So(c.ShouldStepDown(at(10)), ShouldBeFalse)
	})
	Convey("A daemon whose host reaches no servers does not take the lead, nor holds up the next one", t, func() {
		leader := grant.Leader{Daemon: "c", Incarnation: 1}
		c := newTestCluster()
		c.RecordGossip(at(10), newMember("c", "y", 1), Status{LastStoreResponse: at(9.9), Leaving: true, CutOff: true})
		So(takesLead(c, leader), ShouldBeFalse) // "a" ranks first
		c.RecordGossip(at(10), newMember("a", "x", 1), Status{LastStoreResponse: at(9.9), CutOff: true})
		So(takesLead(c, leader), ShouldBeTrue)
		c = newTestCluster()
		c.RecordGossip(at(10), newMember("c", "y", 1), Status{LastStoreResponse: at(9.9), Leaving: true, CutOff: true})
		c.RecordGossip(at(10), newMember("a", "x", 1), Status{LastStoreResponse: at(9.9), Leaving: true})
		c.SetCutOff(true)
		c.RecordGossip(at(10), newMember("d", "y", 1), Status{LastStoreResponse: at(9.9)})
		So(takesLead(c, leader), ShouldBeFalse)
	})
	Convey("Hosts that reach no servers are the last to be relays, from which leaders come", t, func() {
		c := newTestCluster()
		c.RecordGossip(at(10), newMember("d", "x", 1), Status{})
		So(c.IsRelay(at(10)), ShouldBeTrue)
		c.SetCutOff(true)
		So(c.IsRelay(at(10)), ShouldBeFalse)
		So(c.LocalRelays(at(10)), ShouldResemble, []string{"a:1", "d:1"})
	})
}

func takesLead(c *Cluster, l grant.Leader) bool {
	try, _ := c.ShouldTakeLead(at(10.01), l)
	return try
}
