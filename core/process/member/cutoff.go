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

// shouldLeaveLead reports whether this daemon must not lead or become the next leader since its host
// reaches no backend servers while another one does, so that grants would run out.
func (c *Cluster) shouldLeaveLead(now time.Time) bool {
	if !c.cutOff {
		return false
	}
	for _, p := range c.peers {
		if c.isAlive(now, p) && !p.Leaving && !p.CutOff {
			return true
		}
	}
	return false
}

// isCutOff reports whether a daemon's host is known to reach no backend servers.
func (c *Cluster) isCutOff(name string) bool {
	if name == c.self.Name {
		return c.cutOff
	}
	p := c.peers[name]
	return p != nil && p.CutOff
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

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
