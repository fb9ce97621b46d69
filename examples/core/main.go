// Command core runs the decision logic of a leader without a network. The keeper divides keys
// between two backend servers, moves them when one server is draining, and moves them again
// when the other stops answering. The clock is simulated, so the example ends at once.
//
//	go run ./examples/core
package main

import (
	"fmt"
	"os"
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// tickInterval is the simulated time between two ticks of the keeper.
const tickInterval = 50 * time.Millisecond

// simulation executes the keeper's commands in place of a store and backend servers.
type simulation struct {
	now         time.Time
	keeper      *keeper.Keeper
	unreachable map[string]bool // servers that do not answer
	stored      grant.Table
	revision    uint64 // of the stored table
}

func main() {
	table := grant.Table{Epoch: 1, Leader: grant.Leader{Daemon: "host1", Incarnation: 1}}
	sim := &simulation{now: time.Unix(0, 0), unreachable: map[string]bool{}, stored: table, revision: 1}
	sim.keeper = keeper.New(sim.now, table, sim.revision, keeper.WithGrantTTL(2*time.Second))
	sim.send(keeper.EarlierLeaderStoppedMsg{Epoch: 1, At: sim.now})

	sim.printEvent("two servers register")
	sim.setServers(server("oak", false), server("ash", false))
	sim.advance(3 * time.Second)

	sim.printEvent("elm registers, and oak announces that it is draining")
	sim.setServers(server("oak", true), server("ash", false), server("elm", false))
	sim.advance(3 * time.Second)

	sim.printEvent("ash stops answering: its keys wait until its grant has certainly expired")
	sim.unreachable["ash"] = true
	sim.advance(6 * time.Second)

	if !sim.allHeldBy("elm") {
		fmt.Println("elm does not hold all keys")
		os.Exit(1)
	}
}

func server(id string, draining bool) fleet.Server {
	return fleet.Server{ID: id, Address: id, Service: "workshop", DataCentre: "duluth", Slots: 3, StartMillis: 1, Draining: draining}
}

func (s *simulation) setServers(servers ...fleet.Server) {
	s.send(keeper.FleetMsg{Fleet: fleet.New(servers), KeyedServices: []string{"workshop"}})
}

func (s *simulation) printEvent(text string) { fmt.Printf("%6.2fs %s\n", s.seconds(), text) }

func (s *simulation) seconds() float64 { return s.now.Sub(time.Unix(0, 0)).Seconds() }

// advance moves the clock forward, with a tick of the keeper at each interval.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		s.send(keeper.TickMsg{})
	}
}

// send sends a message to the keeper and executes the commands that it returns.
func (s *simulation) send(m keeper.Msg) {
	for _, c := range s.keeper.Update(s.now, m) {
		s.execute(c)
	}
}

func (s *simulation) execute(c keeper.Cmd) {
	switch c := c.(type) {
	case keeper.GrantCmd:
		s.send(keeper.GrantResultMsg{Cmd: c, EndedAt: s.now, Result: s.result(c.Holder)})
	case keeper.ReleaseCmd:
		s.send(keeper.ReleaseResultMsg{Cmd: c, Result: s.result(c.Holder), Handover: "state of " + c.Holder.Server + " at release"})
	case keeper.SaveCmd:
		s.stored, s.revision = c.Table, s.revision+1
		s.send(s.storedTable())
	case keeper.ReadCmd:
		s.send(s.storedTable())
	case keeper.LogCmd:
		fmt.Printf("%6.2fs   keys %d to %d: %s (%s -> %s) %s\n", s.seconds(), c.From, c.To, c.Text, c.Holder.Server, c.Next.Server, c.Reason)
	}
}

func (s *simulation) storedTable() keeper.StoredTableMsg {
	return keeper.StoredTableMsg{Table: s.stored, Revision: s.revision, RequestedAt: s.now}
}

func (s *simulation) result(h grant.Holder) grant.Result {
	if s.unreachable[h.Server] {
		return grant.NotSent
	}
	return grant.Done
}

func (s *simulation) allHeldBy(id string) bool {
	for _, service := range s.keeper.Table().Services {
		for _, r := range service.Ranges {
			if r.Holder.Server != id || !r.IsOpen() {
				return false
			}
		}
	}
	return true
}
