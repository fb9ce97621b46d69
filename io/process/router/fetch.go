package router

import (
	"context"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/news"
)

// fetchPatience is how long a fetch is left alone before another daemon is asked too.
const fetchPatience = 300 * time.Millisecond

// fetches are the calls under way that ask for changes, by kind: one for each, and a
// second one to another daemon when the first takes long. A daemon whose processor or link
// is busy answers after seconds, while others have the same news.
type fetches map[string][]fetching

type fetching struct {
	address string
	began   time.Time
}

// begin notes a call, and tells whether it may be made.
func (f fetches) begin(now time.Time, kind, address string) bool {
	out := f[kind]
	switch len(out) {
	case 0:
	case 1:
		if out[0].address == address || now.Sub(out[0].began) < fetchPatience {
			return false
		}
	default:
		return false
	}
	f[kind] = append(out, fetching{address: address, began: now})
	return true
}

// end notes that a call has ended.
func (f fetches) end(kind, address string) {
	f[kind] = slices.DeleteFunc(f[kind], func(v fetching) bool { return v.address == address })
}

// fetch asks another daemon for changes.
func (c *control) fetch(now time.Time, address string, f *wire.Fetch) {
	if c.fetches.begin(now, f.Kind, address) {
		go c.r.sendFetch(address, f)
	}
}

func (r *Router) sendFetch(address string, f *wire.Fetch) {
	defer r.post(fetchedMsg{kind: f.Kind, address: address})
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), fetchTimeout)
	defer cancel()
	asked := r.now()
	reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Fetch{Fetch: f}})
	if err != nil || reply.GetDelta() == nil {
		r.log.Debug("mesh: fetch failed", "from", address, "kind", f.Kind, "err", err)
		return
	}
	d := reply.GetDelta()
	if f.Kind == tableKind {
		t, err := r.readFetched(d)
		if err != nil {
			r.log.Warn("mesh: table not readable", "from", address, "err", err)
			return
		}
		r.post(tableMsg{table: t})
		return
	}
	out := news.Delta{Kind: news.Kind(f.Kind), Through: d.Through, Whole: d.Whole, CurrentAt: ago(asked, d.AgeMillis)}
	for _, it := range d.Items {
		out.Items = append(out.Items, news.Item{Name: it.Name, Revision: it.Revision, Removed: it.Removed, Value: it.Value})
	}
	r.post(deltaMsg{delta: out})
}

// readFetched reads a table that was fetched whole or as a change. A change that
// was made for another table than the present one, which a newer one has replaced
// meanwhile, leaves the present one.
func (r *Router) readFetched(d *wire.Delta) (grant.Table, error) {
	if len(d.Change) == 0 {
		return grant.Unmarshal(d.Table)
	}
	c, err := grant.UnmarshalChange(d.Change)
	if err != nil {
		return grant.Table{}, err
	}
	t, _ := r.current.Load().table.WithChange(c)
	return t, nil
}

// fetched answers another daemon's fetch.
func (c *control) fetched(now time.Time, f *wire.Fetch) *wire.Delta {
	if f.Kind == tableKind {
		return c.fetchedTable(f)
	}
	cache := c.caches[news.Kind(f.Kind)]
	if cache == nil {
		return &wire.Delta{Kind: f.Kind}
	}
	d := cache.Since(f.Since)
	out := &wire.Delta{Kind: f.Kind, Through: d.Through, Whole: d.Whole, AgeMillis: age(now, d.CurrentAt)}
	for _, it := range d.Items {
		out.Items = append(out.Items, &wire.Item{Name: it.Name, Revision: it.Revision, Removed: it.Removed, Value: it.Value})
	}
	return out
}

// fetchedTable answers with what changed since the asker's table, if that one is
// still remembered here, or with the whole table.
func (c *control) fetchedTable(f *wire.Fetch) *wire.Delta {
	out, t := &wire.Delta{Kind: f.Kind}, c.r.current.Load().table
	for _, old := range c.tables {
		if old.Epoch != f.Epoch || old.Seq != f.Since || old.Epoch != t.Epoch {
			continue
		}
		if out.Change = c.written(old.Seq, func() ([]byte, error) { return changeSince(t, old) }); out.Change != nil {
			return out
		}
	}
	out.Table = c.written(0, t.Marshal)
	return out
}

// changeSince is the wire form of a change; nothing where the whole table is needed.
func changeSince(t, old grant.Table) ([]byte, error) {
	change, ok := t.ChangeSince(old)
	if !ok {
		return nil, nil
	}
	return change.Marshal()
}

// written is the wire form of the present table, whole or as the change since an older one.
// All daemons of a data centre ask for the same.
func (c *control) written(since uint64, marshal func() ([]byte, error)) []byte {
	if data, ok := c.tableForms[since]; ok {
		return data
	}
	data, err := marshal()
	if err != nil {
		c.r.log.Error("keys: table not written", "since", since, "err", err)
		return nil
	}
	if data != nil {
		c.tableForms[since] = data
	}
	return data
}

// tablesKept is how many tables before the present one are remembered to tell
// changes from: those of the last second, while keys move for balance.
const tablesKept = 20
