package quota

import (
	"fmt"
	"time"
)

// misfortune brings about something at random.
func (h *hosts) misfortune() string {
	n := len(h.daemons)
	share := []float64{0.1, 0.5, 1}[h.random.IntN(3)]
	some := func(do func(d int)) {
		for d := range n {
			if h.random.Float64() < share {
				do(d)
			}
		}
	}
	switch h.random.IntN(8) {
	case 0:
		some(h.start)
		return fmt.Sprintf("%v of the daemons restart", share)
	case 1:
		some(h.start)
		h.start(h.leader)
		return fmt.Sprintf("%v of the daemons restart with the leader", share)
	case 2:
		h.leader = h.random.IntN(n)
		for d := range n {
			leader := h.leader
			h.after(time.Duration(h.random.Float64()*float64(3*time.Second)), func() { h.learnLeader(d, leader) })
		}
		return "another leader"
	case 3:
		for d := range n {
			h.group[d] = h.random.IntN(1 + h.random.IntN(4))
		}
		return "a partition into some parts"
	case 4:
		some(func(d int) { h.group[d] = d + worldZones })
		return fmt.Sprintf("%v of the daemons are cut off", share)
	case 5:
		clear(h.group)
		return "no partition"
	case 6:
		some(func(d int) {
			h.daemons[d].frozen = h.now.Add(time.Duration(h.random.Float64() * float64(4*time.Second)))
		})
		return fmt.Sprintf("%v of the daemons freeze", share)
	}
	h.loss, h.delay = 0.3*h.random.Float64(), time.Duration(h.random.Float64()*float64(3*time.Second))
	if h.random.IntN(2) == 0 {
		h.loss, h.delay = 0, 3*time.Millisecond
	}
	return fmt.Sprintf("messages: loss %.2f, delay up to %v", h.loss, h.delay)
}
