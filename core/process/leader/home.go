package leader

import (
	"slices"

	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
)

// homesWanted plans the home of every shard. Every leader makes the same plan
// from the same site and homes, so none has to ask another.
func (p *plan) homesWanted() {
	p.homes = map[string][]int{}
	if p.HomesVersion > 0 {
		names := make([]string, len(p.Site.DataCentres))
		for i, d := range p.Site.DataCentres {
			names[i] = d.Name
		}
		if slices.ContainsFunc(names, func(n string) bool { return p.Homes.Index(n) == shard.None }) {
			p.Homes = p.Homes.WithDataCentres(names)
		}
	}
	for _, v := range p.Site.Services {
		if row, ok := p.Homes.Rows[v.Name]; ok {
			p.homes[v.Name] = shard.Spread(row, p.homeWeights(p.Homes, v))
		}
	}
	if floor := p.Homes.Floors[p.dataCentre]; floor > p.t.Epoch {
		// Declared lost while we were away: begin a new epoch above the floor.
		p.t.Epoch = floor + 1
		p.changed = true
	}
}

// homeWeights counts the servers in service in each data centre. It looks at
// the site alone: what one leader sees of its servers, the others do not.
func (p *plan) homeWeights(h shard.Homes, v site.Service) []float64 {
	weights := make([]float64, len(h.DataCentres))
	for i, name := range h.DataCentres {
		d, ok := p.Site.DataCentre(name)
		if !ok || p.Site.DataCentreOut(name) {
			continue
		}
		for _, s := range d.Servers {
			if s.Service == v.Name && !p.Site.HostOut(s.Address) {
				weights[i]++
			}
		}
	}
	return weights
}

// newHomes gives away the shards that were released, and settles what is open.
// It works from the table in force, never from the one being planned: a shard
// may get a new home only when its leaving has been written.
func (p *plan) newHomes() *shard.Homes {
	if p.Homes.Floors[p.dataCentre] > p.Table.Epoch {
		return nil // replaced, or declared lost: not ours to write
	}
	if p.HomesVersion > 0 && p.HomesVersion < p.Table.HomesSeen {
		return nil
	}
	h, changed := p.createHomes()
	for _, v := range p.Site.Services {
		row := p.Homes.Rows[v.Name]
		for s := range row {
			if next, ok := p.moveHome(h, v.Name, s); ok {
				h, changed = next, true
			}
		}
	}
	if !changed && p.Homes.Floors[p.dataCentre] == p.Table.Epoch && !p.unsettled() {
		return nil
	}
	h = h.Compact().WithFloor(p.dataCentre, p.Table.Epoch)
	return &h
}

func (p *plan) createHomes() (shard.Homes, bool) {
	names := make([]string, len(p.Site.DataCentres))
	for i, d := range p.Site.DataCentres {
		names[i] = d.Name
	}
	h, changed := p.Homes, false
	for _, v := range p.Site.Services {
		if _, ok := h.Rows[v.Name]; ok {
			continue
		}
		h = h.WithDataCentres(names)
		empty := slices.Repeat([]int{shard.None}, v.Shards)
		h = h.WithService(v.Name, shard.Spread(empty, p.homeWeights(h, v)))
		changed = true
	}
	return h, changed
}

// moveHome moves one shard's home if it may move now.
func (p *plan) moveHome(h shard.Homes, service string, s int) (shard.Homes, bool) {
	want := p.homes[service][s]
	from := p.Homes.Home(service, uint32(s))
	if want < 0 || p.Homes.DataCentres[want] == from {
		return h, false
	}
	if from == "" {
		return h.WithHome(service, uint32(s), want, shard.Ledger{}, 0), true
	}
	if from == p.dataCentre {
		if r := p.Table.Rows[service]; s >= len(r.Leaving) || !r.Leaving[s] {
			return h, false
		}
		ledger, was := lastLedger(p.Table, p.Homes, service, uint32(s))
		return h.WithHome(service, uint32(s), want, ledger, was), true
	}
	if !p.Site.DataCentreLost(from) || !p.firstInService() {
		return h, false
	}
	lost := p.Others[from]
	ledger, was := lastLedger(lost, p.Homes, service, uint32(s))
	if ledger == (shard.Ledger{}) {
		// Nothing known of its ledger: name one that nobody has, so that the
		// next dispatcher takes ids for unknown instead of new.
		ledger = shard.Ledger{DataCentre: from, Server: "lost", Token: 1}
	}
	return h.WithHome(service, uint32(s), want, ledger, was).WithFloor(from, lost.Epoch+1), true
}

// firstInService picks one data centre to write for a lost one, to spare the
// others a conflict; the platform would settle it all the same.
func (p *plan) firstInService() bool {
	for _, d := range p.Site.DataCentres {
		if !p.Site.DataCentreOut(d.Name) {
			return d.Name == p.dataCentre
		}
	}
	return false
}

// unsettled tells whether shards marked leaving should stay after all, which
// needs a write of the homes that outdates every pending one.
func (p *plan) unsettled() bool {
	for name, r := range p.Table.Rows {
		for s, leaving := range r.Leaving {
			if leaving && p.home(name, s) && p.staying(name, s) && p.HomesVersion <= p.tried {
				return true
			}
		}
	}
	return false
}
