package route

import (
	"fmt"
	"time"

	"catkinstep/core/version/shard"
	"catkinstep/core/version/site"
	"catkinstep/core/version/table"
)

// Route is one snapshot. It is immutable.
type Route struct {
	Self       table.Daemon
	DataCentre string
	// Ready tells whether Site holds a configuration.
	Ready        bool
	Site         site.Site
	SiteVersion  uint64
	Homes        shard.Homes
	HomesVersion uint64
	// Tables hold the assignments by data centre.
	Tables map[string]table.Table
	// TableVersion is the version of the own data centre's table.
	TableVersion uint64
	// Holds are the releases asked for, by server.
	Holds map[string]Hold
	// LeaseEnd is when this daemon must stop sending; zero means never.
	LeaseEnd time.Time
	// Stopping is set while the daemon drains.
	Stopping bool
}

// Hold is a release that a dispatcher was asked for.
type Hold struct {
	// All stops the server altogether under Token, else only Shards, which
	// are held at their epochs.
	All    bool
	Token  uint64
	Shards map[uint32]uint64
	// Term is the table's term that the release is bound to.
	Term table.Term
	// Number is new with each change of the hold; the word that it is fulfilled
	// must carry it, since an order may have gone out between two holds.
	Number uint64
}

// Target is where an order goes.
type Target struct {
	Server     string
	Dispatcher table.Daemon
	DataCentre string
	Local      bool
	// Token is the dispatcher's fencing token.
	Token uint64
}

// Owner finds the owner of a shard and who dispatches to it.
func (r *Route) Owner(service string, s uint32) (Target, error) {
	home := r.Homes.Home(service, s)
	if home == "" {
		return Target{}, r.fail("owner", Moving, "shard %d of %s has no home yet", s, service)
	}
	t := r.Tables[home]
	server, ok := t.Owner(service, s)
	if !ok || t.Dispatches[server].Daemon.Address == "" {
		return Target{}, r.fail("owner", Moving, "shard %d of %s has no owner in %s", s, service, home)
	}
	return r.target(home, server, t), nil
}

// Servers lists the servers that an unkeyed lookup may go to: those of the own
// data centre first, then the others.
func (r *Route) Servers(service string) []Target {
	var near, far []Target
	for _, d := range r.Site.DataCentres {
		if r.Site.DataCentreOut(d.Name) {
			continue
		}
		t := r.Tables[d.Name]
		for _, v := range d.Servers {
			if v.Service != service || r.Site.HostOut(v.Address) || t.Dispatches[v.Address].Daemon.Address == "" {
				continue
			}
			if d.Name == r.DataCentre {
				near = append(near, r.target(d.Name, v.Address, t))
				continue
			}
			far = append(far, r.target(d.Name, v.Address, t))
		}
	}
	return append(near, far...)
}

// Mine lists the servers that this daemon dispatches to.
func (r *Route) Mine() map[string]table.Dispatch {
	mine := map[string]table.Dispatch{}
	for address, d := range r.Tables[r.DataCentre].Dispatches {
		if d.Daemon == r.Self {
			mine[address] = d
		}
	}
	return mine
}

// MaySend tells whether this daemon may write an order to a server now. It is
// asked right before writing, so that a process that was paused since it
// accepted the order finds out that its right has ended meanwhile.
func (r *Route) MaySend(now time.Time, server, service string, s uint32, owned bool) error {
	t := r.Tables[r.DataCentre]
	hold := r.Holds[server]
	switch {
	case !r.LeaseEnd.IsZero() && !now.Before(r.LeaseEnd):
		return r.fail("send", LeaseOver, "no word from the leader within the hold of %v", r.Site.Hold)
	case t.Dispatches[server].Daemon != r.Self:
		return r.fail("send", NotMine, "%s is dispatched by %s", server, t.Dispatches[server].Daemon.Address)
	case r.Site.DataCentreOut(r.DataCentre):
		return r.fail("send", Out, "data centre %s is out", r.DataCentre)
	case r.Site.HostOut(server):
		return r.fail("send", Out, "%s is out", server)
	case hold.All:
		return r.fail("send", Held, "%s is being handed over", server)
	case !owned:
		return nil
	case hold.holds(s):
		return r.fail("send", Held, "shard %d of %s is being moved", s, service)
	}
	if owner, ok := t.Owner(service, s); !ok || owner != server || r.Homes.Home(service, s) != r.DataCentre {
		return r.fail("send", NotMine, "shard %d of %s is not with %s", s, service, server)
	}
	return nil
}

func (h Hold) holds(s uint32) bool {
	_, ok := h.Shards[s]
	return ok
}

func (r *Route) target(dataCentre, server string, t table.Table) Target {
	d := t.Dispatches[server]
	return Target{Server: server, Dispatcher: d.Daemon, DataCentre: dataCentre, Local: d.Daemon == r.Self, Token: d.Token}
}

func (r *Route) fail(op string, k Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, args...)}
}
