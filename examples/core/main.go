// Command core drives the product's decisions without any network: a leader's
// keeper divides keys between two backend servers, moves them when one leaves,
// and does so again when the other falls silent. Time is a number that the
// example raises itself.
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

// tick is how often the keeper may act.
const tick = 50 * time.Millisecond

// world answers the keeper's commands as a store and two servers would.
type world struct {
	now    time.Time
	keeper *keeper.Keeper
	silent map[string]bool // servers that answer nothing
	serial uint64          // of the stored table
}

func main() {
	w := &world{now: time.Unix(0, 0), silent: map[string]bool{}, serial: 1}
	table := grant.Table{Epoch: 1, Leader: grant.Leader{Daemon: "host1", Incarnation: 1}}
	w.keeper = keeper.New(w.now, table, w.serial, keeper.WithGrantTTL(2*time.Second))
	w.tell(keeper.PreviousLeaderStoppedMsg{At: w.now})

	w.say("two servers register")
	w.servers(server("oak", false), server("ash", false))
	w.pass(3 * time.Second)

	w.say("oak says that it leaves")
	w.servers(server("oak", true), server("ash", false), server("elm", false))
	w.pass(3 * time.Second)

	w.say("ash falls silent: its keys wait until its grant has surely run out")
	w.silent["ash"] = true
	w.pass(6 * time.Second)

	if !w.allHeldBy("elm") {
		fmt.Println("not every key has come to elm")
		os.Exit(1)
	}
}

func server(id string, draining bool) fleet.Server {
	return fleet.Server{ID: id, Address: id, Service: "workshop", DataCentre: "duluth", Slots: 3, StartMillis: 1, Draining: draining}
}

func (w *world) servers(servers ...fleet.Server) {
	w.tell(keeper.FleetMsg{Fleet: fleet.New(servers), KeyedServices: []string{"workshop"}})
}

func (w *world) say(text string) { fmt.Printf("%6.2fs %s\n", w.seconds(), text) }

func (w *world) seconds() float64 { return w.now.Sub(time.Unix(0, 0)).Seconds() }

// pass lets time go by.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.tell(keeper.TickMsg{})
	}
}

// tell passes a message to the keeper, and carries out what it wants.
func (w *world) tell(m keeper.Msg) {
	for _, c := range w.keeper.Update(w.now, m) {
		w.carryOut(c)
	}
}

func (w *world) carryOut(c keeper.Cmd) {
	switch c := c.(type) {
	case keeper.GrantCmd:
		w.tell(keeper.GrantResultMsg{Cmd: c, EndedAt: w.now, Result: w.result(c.Holder)})
	case keeper.ReleaseCmd:
		w.tell(keeper.ReleaseResultMsg{Cmd: c, Result: w.result(c.Holder), Handover: "what " + c.Holder.Server + " knows"})
	case keeper.SaveCmd:
		w.serial++
		w.tell(keeper.StoredTableMsg{Table: c.Table, Revision: w.serial, RequestedAt: w.now})
	case keeper.ReadCmd:
		w.tell(keeper.EpochSeenMsg{Epoch: 1, At: w.now})
	case keeper.LogCmd:
		fmt.Printf("%6.2fs   keys %d to %d: %s (%s -> %s) %s\n", w.seconds(), c.From, c.To, c.Text, c.Holder.Server, c.Next.Server, c.Reason)
	}
}

func (w *world) result(h grant.Holder) grant.Result {
	if w.silent[h.Server] {
		return grant.NotSent
	}
	return grant.Done
}

func (w *world) allHeldBy(id string) bool {
	for _, s := range w.keeper.Table().Services {
		for _, r := range s.Ranges {
			if r.Holder.Server != id || !r.IsOpen() {
				return false
			}
		}
	}
	return true
}
