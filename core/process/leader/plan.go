package leader

import (
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// plan is one decision in the making.
type plan struct {
	*Leader
	View
	now     time.Time
	t       table.Table
	changed bool
	wanted  map[string]map[string]*wire.Release
	homes   map[string][]int // the home that each shard should have
	probe   []table.Daemon
	nudge   []table.Daemon

	// What would else be worked out anew for each server, which at hundreds of
	// servers and daemons takes longer than a tick.
	mine  []site.Server
	named map[string]bool      // the servers that the site names here
	owns  map[string]bool      // the servers that own a shard
	fits  []table.Daemon       // the daemons that may get work
	loads map[table.Daemon]int // servers by dispatcher
}

// prepare works out what the steps share.
func (p *plan) prepare() {
	d, _ := p.Site.DataCentre(p.dataCentre)
	p.mine = d.Servers
	p.named = make(map[string]bool, len(p.mine))
	for _, v := range p.mine {
		p.named[v.Address] = true
	}
	p.owns = map[string]bool{}
	for _, r := range p.t.Rows {
		for _, o := range r.Owner {
			if o >= 0 {
				p.owns[r.Servers[o]] = true
			}
		}
	}
	p.loads = map[table.Daemon]int{}
	for _, have := range p.t.Dispatches {
		p.loads[have.Daemon]++
	}
}

func (p *plan) decision() Decision {
	d := Decision{Homes: p.newHomes(), Wanted: map[string][]*wire.Release{}, Probe: p.probe, Nudge: p.nudge}
	for daemon, byServer := range p.wanted {
		for _, r := range byServer {
			r.Epoch, r.Freed = p.Table.Epoch, p.Table.Freed
			d.Wanted[daemon] = append(d.Wanted[daemon], r)
		}
	}
	if !p.changed && p.unusedRelease() {
		// Nothing is to be done with what was released after all. A new term of
		// the table lets the dispatchers go on.
		p.t.Freed++
		p.changed = true
		p.freed = p.now
	}
	if p.changed {
		p.t.Compact()
		d.Table = &p.t
	}
	return d
}

// unusedRelease tells whether a dispatcher holds something back for a move
// that is no longer wanted.
func (p *plan) unusedRelease() bool {
	if p.now.Sub(p.freed) < p.freeEvery {
		return false
	}
	for _, peer := range p.peers {
		for _, r := range peer.released {
			if p.stands(peer.daemon, r) && p.working(p.now, peer.daemon) {
				return true
			}
		}
	}
	return false
}

// observe follows the state of each server over time.
func (p *plan) observe() {
	for _, v := range p.myServers() {
		s := p.servers[v.Address]
		if s == nil {
			s = &server{lastOK: p.now}
			p.servers[v.Address] = s
		}
		r := p.report(p.t.Dispatches[v.Address].Daemon, v.Address)
		switch {
		case r == nil:
		case r.State == wire.ServerState_SERVER_STATE_OK:
			if s.okSince.IsZero() {
				s.okSince = p.now
				// One that kept its shards has only got another dispatcher, which
				// begins carefully; taking shards away for that would be churn.
				// When a whole data centre starts, all are equally cold.
				s.ramping = p.ownsNothing(v.Address) && !p.forming()
			}
			s.lastOK = p.now
			if r.Limit >= 1 {
				s.ramping = false
			}
		default:
			s.okSince = time.Time{}
		}
	}
}

// daemons keeps the list of members.
func (p *plan) daemons() {
	for _, peer := range p.peers {
		if !p.fit(p.now, peer.daemon) || p.t.Knows(peer.daemon) {
			continue
		}
		p.t.Daemons = slices.DeleteFunc(p.t.Daemons, func(d table.Daemon) bool { return d.Address == peer.daemon.Address })
		p.t.Daemons = append(p.t.Daemons, peer.daemon)
		p.changed = true
	}
	before := len(p.t.Daemons)
	p.t.Daemons = slices.DeleteFunc(p.t.Daemons, func(d table.Daemon) bool {
		return p.silentFor(p.now, d) > p.forgetAfter || p.ended(d) && !p.dispatching(d)
	})
	p.changed = p.changed || len(p.t.Daemons) != before
	sortDaemons(p.t.Daemons)
	for _, d := range p.t.Daemons {
		if p.fit(p.now, d) {
			p.fits = append(p.fits, d)
		}
		if p.silentFor(p.now, d) > p.suspectAfter/2 && !p.ended(d) {
			p.probe = append(p.probe, d)
		}
	}
}

// dispatches gives each server a dispatcher and a backup.
func (p *plan) dispatches() {
	if len(p.t.Dispatches) == 0 && p.now.Sub(p.since) < p.settleFor {
		return // the other daemons have not been heard yet
	}
	for _, v := range p.myServers() {
		d := p.t.Dispatches[v.Address]
		switch {
		case d.Daemon.Address == "":
			p.dispatch(v.Address, d)
		case p.mayReplace(v, d):
			p.replace(v.Address, d)
		case p.leaving(d.Daemon) && len(p.fitDaemons()) > 0, p.overloaded(v.Address, d):
			if p.released(v.Address, nil) {
				p.dispatch(v.Address, d)
				break
			}
			p.wantAll(v.Address, d.Daemon)
		}
		p.backup(v.Address)
	}
	for address, d := range p.t.Dispatches {
		if p.serves(address) {
			continue
		}
		// A server that the site no longer names: stop, then forget it.
		if p.ownsNothing(address) && (p.released(address, nil) || p.ended(d.Daemon)) {
			delete(p.t.Dispatches, address)
			p.changed = true
			continue
		}
		p.wantAll(address, d.Daemon)
	}
}

// mayReplace tells whether a dispatcher may be replaced without its consent.
//
// A daemon that is silent may be paused and go on sending when it wakes. That
// is harmless where the server checks fencing tokens: the next dispatcher sends
// nothing before the server took the higher token, and then refuses the old
// one. Other servers need the proof that the process ended, the operator's
// word, or the end of the hold.
func (p *plan) mayReplace(v site.Server, d table.Dispatch) bool {
	if p.ended(d.Daemon) {
		return true
	}
	if p.working(p.now, d.Daemon) || len(p.fitDaemons()) == 0 {
		return false
	}
	service, _ := p.Site.Service(v.Service)
	return service.ChecksTokens || p.Site.HostLost(d.Daemon.Address) || p.holdOver(service, p.silentFor(p.now, d.Daemon))
}

// holdOver tells whether someone silent for so long has surely stopped. A
// leader that was replaced may have renewed for one hold after its last word
// with the platform, and a dispatcher goes on for one hold after that.
func (p *plan) holdOver(s site.Service, silent time.Duration) bool {
	if p.Site.Hold == 0 {
		return false
	}
	bound := 2*p.Site.Hold + s.OrderDeadline + time.Second
	return silent > bound && p.now.Sub(p.since) > bound
}

// replace gives a lost dispatcher's server to its backup, which has the ids, once
// the backup has shown that it lives. Given to one that was lost at the same
// time, the server would get a token under which nobody has the ids, and the
// next dispatcher would look for them in vain.
func (p *plan) replace(address string, d table.Dispatch) {
	since, ok := p.doubts[address]
	if !ok || since.token != d.Token {
		since = doubt{token: d.Token, at: p.now}
		p.doubts[address] = since
	}
	b := p.peers[d.Backup.Address]
	alive := d.Backup == p.self || b != nil && b.daemon == d.Backup && b.at.After(since.at)
	switch {
	case alive || d.Backup == (table.Daemon{}):
		p.dispatch(address, d)
	case p.working(p.now, d.Backup) && p.now.Sub(since.at) < p.proveWithin:
		p.nudge = append(p.nudge, d.Backup)
	default:
		d.Daemon, d.Backup = d.Backup, table.Daemon{} // whoever is picked, not that one
		p.dispatch(address, d)
	}
}

func (p *plan) dispatch(address string, d table.Dispatch) {
	next := p.pick(d.Daemon, d.Backup)
	if next.Address == "" {
		return
	}
	p.t.SetDispatch(address, next, p.pickBackup(next))
	p.loads[p.Table.Dispatches[address].Daemon]--
	p.loads[next]++
	p.changed = true
}

// backup replaces a backup that is lost. The token changes with it: a copy that
// the lost one still has is then of an older token, and nobody takes it for
// complete.
func (p *plan) backup(address string) {
	d, ok := p.t.Dispatches[address]
	if !ok || d.Token != p.Table.Dispatches[address].Token || d.Backup != (table.Daemon{}) && p.fit(p.now, d.Backup) {
		return
	}
	next := p.pickBackup(d.Daemon)
	if next == d.Backup || !p.working(p.now, d.Daemon) {
		return
	}
	p.t.SetDispatch(address, d.Daemon, next)
	p.changed = true
}

func (p *plan) pickBackup(d table.Daemon) table.Daemon {
	next := p.pick(d, table.Daemon{})
	if next == d {
		return table.Daemon{}
	}
	return next
}

// pick chooses the preferred daemon if it is fit, else the fit one with the
// fewest servers; not is taken only when there is no other.
func (p *plan) pick(not, preferred table.Daemon) table.Daemon {
	fit := p.fitDaemons()
	if slices.Contains(fit, preferred) && preferred != not {
		return preferred
	}
	var best table.Daemon
	for _, d := range fit {
		if d == not {
			continue
		}
		if best.Address == "" || p.load(d) < p.load(best) {
			best = d
		}
	}
	if best.Address == "" && slices.Contains(fit, not) {
		return not
	}
	return best
}

// overloaded tells whether a server should go to a daemon with fewer of them.
// One at a time: each handover makes the server wait for some milliseconds.
func (p *plan) overloaded(address string, d table.Dispatch) bool {
	if p.now.Sub(p.since) < 4*p.settleFor || !p.fit(p.now, d.Daemon) {
		return false
	}
	if p.load(d.Daemon) <= len(p.t.Dispatches)/max(1, len(p.fits)) {
		return false // no more than its share
	}
	if r := p.report(d.Daemon, address); r != nil && r.IdsMissing {
		return false // the next one would look for them here, not where they are
	}
	for other, releases := range p.wanted {
		for s, r := range releases {
			if r.All && (other != d.Daemon.Address || s != address) {
				return false
			}
		}
	}
	least := p.pick(d.Daemon, table.Daemon{})
	return least != d.Daemon && p.load(d.Daemon) >= p.load(least)+2
}

func (p *plan) load(d table.Daemon) int { return p.loads[d] }

func (p *plan) dispatching(d table.Daemon) bool { return p.load(d) > 0 }

func (p *plan) fitDaemons() []table.Daemon { return p.fits }

func (p *plan) myServers() []site.Server { return p.mine }

func (p *plan) serves(address string) bool { return p.named[address] }

func (p *plan) ownsNothing(address string) bool { return !p.owns[address] }

// stands tells whether a release is of the table's term and of something that
// is still as it was released.
func (p *plan) stands(d table.Daemon, r *wire.Release) bool {
	have := p.Table.Dispatches[r.Server]
	if have.Daemon != d || p.Table.Term() != (table.Term{Epoch: r.Epoch, Freed: r.Freed}) {
		return false
	}
	service := p.Table.ServiceOf(r.Server)
	return r.All && r.Token == have.Token || slices.ContainsFunc(r.Shards, func(s *wire.Shard) bool {
		epoch, ok := p.Table.OwnerEpoch(service, s.Shard, r.Server)
		return ok && epoch == s.Epoch
	})
}

// released tells whether the dispatcher of a server has stopped: altogether
// when s is nil, else for that shard. Only a release of the term that the
// coming write is conditional on counts; a dispatcher that has seen another
// term may have begun to send again.
func (p *plan) released(address string, s *uint32) bool {
	d := p.Table.Dispatches[address]
	peer, ok := p.peers[d.Daemon.Address]
	if !ok || peer.daemon != d.Daemon {
		return false
	}
	for _, r := range peer.released {
		if r.Server != address || p.Table.Term() != (table.Term{Epoch: r.Epoch, Freed: r.Freed}) {
			continue
		}
		if r.All && r.Token == d.Token {
			return true
		}
		if s != nil && p.holdsBack(r, *s) {
			return true
		}
	}
	return false
}

func (p *plan) holdsBack(r *wire.Release, s uint32) bool {
	epoch, ok := p.Table.OwnerEpoch(p.Table.ServiceOf(r.Server), s, r.Server)
	return ok && slices.ContainsFunc(r.Shards, func(v *wire.Shard) bool { return v.Shard == s && v.Epoch == epoch })
}

func (p *plan) release(address string, d table.Daemon) *wire.Release {
	byServer := p.wanted[d.Address]
	if byServer == nil {
		byServer = map[string]*wire.Release{}
		p.wanted[d.Address] = byServer
	}
	if byServer[address] == nil {
		byServer[address] = &wire.Release{Server: address}
	}
	return byServer[address]
}

func (p *plan) wantAll(address string, d table.Daemon) {
	r := p.release(address, d)
	r.All, r.Token = true, p.Table.Dispatches[address].Token
}

func (p *plan) wantShard(address string, s uint32) {
	d := p.Table.Dispatches[address]
	r := p.release(address, d.Daemon)
	r.Token = d.Token
	if epoch, ok := p.Table.OwnerEpoch(p.Table.ServiceOf(address), s, address); ok {
		r.Shards = append(r.Shards, &wire.Shard{Shard: s, Epoch: epoch})
	}
}

// mayMove tells whether a shard may leave its owner now, and asks for the
// release when it may not. The operator's word that a host is lost, and the
// end of the hold, stand in for a release that cannot come.
func (p *plan) mayMove(service site.Service, address string, s uint32) bool {
	if p.released(address, &s) || p.Site.HostLost(address) {
		return true
	}
	if h := p.servers[address]; h != nil && h.okSince.IsZero() && p.holdOver(service, p.now.Sub(h.lastOK)) {
		return true
	}
	p.wantShard(address, s)
	return false
}

func (p *plan) home(service string, s int) bool {
	return p.Homes.Home(service, uint32(s)) == p.dataCentre
}

func (p *plan) staying(service string, s int) bool {
	want := p.homes[service]
	return s >= len(want) || want[s] < 0 || p.Homes.DataCentres[want[s]] == p.dataCentre
}
