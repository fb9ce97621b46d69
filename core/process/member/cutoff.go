package member

import (
	"time"

	"catkinstep/core/request/carry"
)

// SetCutOff sets whether this daemon's host reaches no backend servers.
func (c *Cluster) SetCutOff(cutOff bool) {
	c.cutOff = cutOff
	c.invalidate()
}

// Carriers returns the daemons that may serve requests for this one: those of its region that are not
// known to be unreachable, or to reach no servers themselves.
func (c *Cluster) Carriers(now time.Time) []carry.Peer {
	var out []carry.Peer
	for _, p := range c.peers {
		if p.Region == c.self.Region && !p.CutOff && !c.isUnreachable(now, p) {
			out = append(out, carry.Peer{Address: p.Address, Local: p.DataCentre == c.self.DataCentre})
		}
	}
	return out
}
