package router

import (
	"context"
	"slices"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/object"
)

// storedTableInterval is the time between two fetches of the stored table while the leader stays
// the same. The leader saves it up to once a second.
const storedTableInterval = 10 * time.Second

// slowFetchThreshold is how long a fetch may take before another daemon is asked as well.
const slowFetchThreshold = 300 * time.Millisecond

// version is what a daemon has of a kind of objects or of the published table, as its gossip says.
type version struct {
	address, kind string
	// epoch is that of the daemon's table.
	epoch uint64
	// number is the revision through which the daemon knows the objects, or the table's sequence number.
	number uint64
}

// pendingFetches holds the fetches in flight, by kind of object: one for each kind, and a
// second one to another daemon if the first takes long. A daemon whose processor or
// network link is busy may answer after seconds, while others have the same changes.
type pendingFetches map[string][]pendingFetch

type pendingFetch struct {
	address   string
	startedAt time.Time
	// announced is the newest version that a daemon announced while this fetch was in flight. The
	// reply may be older. Without another fetch, the changes would be missing until the next gossip.
	announced version
}

// begin reports whether a fetch may be sent to an address, and if so records it.
func (f pendingFetches) begin(now time.Time, kind, address string) bool {
	pending := f[kind]
	switch len(pending) {
	case 0:
	case 1:
		if pending[0].address == address || now.Sub(pending[0].startedAt) < slowFetchThreshold {
			return false
		}
	default:
		return false
	}
	f[kind] = append(pending, pendingFetch{address: address, startedAt: now})
	return true
}

// announce records a version that was announced while a fetch was in flight.
func (f pendingFetches) announce(v version) {
	pending := f[v.kind]
	for i := range pending {
		if pending[i].address == v.address || pending[i].announced.address == "" {
			pending[i].announced = v
		}
	}
}

// end records that a fetch has ended. It returns the version that was announced meanwhile, if any.
func (f pendingFetches) end(kind, address string) (announced version, ok bool) {
	for _, p := range f[kind] {
		if p.address == address {
			announced = p.announced
		}
	}
	f[kind] = slices.DeleteFunc(f[kind], func(v pendingFetch) bool { return v.address == address })
	return announced, announced.address != ""
}

// fetchIfNewer fetches a version that another daemon announced if this daemon's is older.
func (c *control) fetchIfNewer(now time.Time, v version) {
	if !c.isNewer(now, v) {
		return
	}
	if !c.pendingFetches.begin(now, v.kind, v.address) {
		c.pendingFetches.announce(v)
		return
	}
	go c.r.sendFetch(v.address, c.fetchOf(v.kind))
}

// isNewer reports whether a version is newer than this daemon's and worth fetching.
func (c *control) isNewer(now time.Time, v version) bool {
	if v.kind == publishedTableKind {
		return grant.Table{Epoch: v.epoch, Seq: v.number}.Newer(c.r.current.Load().table)
	}
	kind := object.Kind(v.kind)
	return v.number > c.caches[kind].Through() && (kind != object.Tables || c.needsStoredTable(now, v.epoch))
}

// fetchOf returns the request for what is newer than this daemon's version.
func (c *control) fetchOf(kind string) *wire.Fetch {
	if kind == publishedTableKind {
		t := c.r.current.Load().table
		return &wire.Fetch{Kind: kind, Since: t.Seq, Epoch: t.Epoch}
	}
	return &wire.Fetch{Kind: kind, Since: c.caches[object.Kind(kind)].Through()}
}

// endFetch records that a fetch has ended, with or without a reply.
func (c *control) endFetch(now time.Time, kind, address string) {
	if announced, ok := c.pendingFetches.end(kind, address); ok {
		c.fetchIfNewer(now, announced)
	}
}

func (r *Router) sendFetch(address string, f *wire.Fetch) {
	defer r.post(fetchEndedMsg{kind: f.Kind, address: address})
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), fetchTimeout)
	defer cancel()
	requestedAt := r.now()
	reply, err := r.call(ctx, address, &wire.Call{Kind: &wire.Call_Fetch{Fetch: f}})
	if err != nil || reply.GetDelta() == nil {
		r.log.Debug("mesh: fetch failed", "from", address, "kind", f.Kind, "err", err)
		return
	}
	d := reply.GetDelta()
	if f.Kind == publishedTableKind {
		t, err := r.decodeTable(d)
		if err != nil {
			r.log.Warn("mesh: could not decode fetched table", "from", address, "err", err)
			return
		}
		r.post(tableMsg{table: t})
		return
	}
	out := object.Delta{Kind: object.Kind(f.Kind), Through: d.Through, Whole: d.Whole, CurrentAt: timeFromAge(requestedAt, d.AgeMillis)}
	for _, it := range d.Items {
		out.Items = append(out.Items, object.Item{Name: it.Name, Revision: it.Revision, Removed: it.Removed, Value: it.Value})
	}
	for _, g := range d.Gaps {
		out.Gaps = append(out.Gaps, object.Gap{From: g.From, To: g.To})
	}
	r.post(deltaMsg{delta: out})
}

// decodeTable decodes a table that was fetched as a whole or as a change. If the table
// that a change applies to has been replaced meanwhile, decodeTable returns the current one.
func (r *Router) decodeTable(d *wire.Delta) (grant.Table, error) {
	if len(d.Change) == 0 {
		return grant.Unmarshal(d.Table)
	}
	change, err := grant.UnmarshalChange(d.Change)
	if err != nil {
		return grant.Table{}, err
	}
	t, _ := r.current.Load().table.WithChange(change)
	return t, nil
}

// needsStoredTable reports whether this daemon should fetch a newer stored table, given the epoch
// of a peer's table. It is only needed to take the lead. A daemon that tries with an older one
// fails, since the store has another revision, and reads the newest one then. So a large table
// need not cross data centres each time the leader saves it.
func (c *control) needsStoredTable(now time.Time, epoch uint64) bool {
	return epoch > c.stored.header.Epoch || c.due(now, &c.lastRuns.storedTableFetch, storedTableInterval)
}

// answerFetch returns the reply to another daemon's fetch.
func (c *control) answerFetch(now time.Time, f *wire.Fetch) *wire.Delta {
	if f.Kind == publishedTableKind {
		return c.answerTableFetch(f)
	}
	cache := c.caches[object.Kind(f.Kind)]
	if cache == nil {
		return &wire.Delta{Kind: f.Kind}
	}
	d := cache.Since(f.Since)
	out := &wire.Delta{Kind: f.Kind, Through: d.Through, Whole: d.Whole, AgeMillis: ageMillis(now, d.CurrentAt)}
	for _, it := range d.Items {
		out.Items = append(out.Items, &wire.Item{Name: it.Name, Revision: it.Revision, Removed: it.Removed, Value: it.Value})
	}
	for _, g := range d.Gaps {
		out.Gaps = append(out.Gaps, &wire.Gap{From: g.From, To: g.To})
	}
	return out
}

// answerTableFetch replies with the change since the other daemon's table, if that table
// is among the previous ones, or else with the whole table.
func (c *control) answerTableFetch(f *wire.Fetch) *wire.Delta {
	out, t := &wire.Delta{Kind: f.Kind}, c.r.current.Load().table
	for _, old := range c.tables.previous {
		if old.Epoch != f.Epoch || old.Seq != f.Since || old.Epoch != t.Epoch {
			continue
		}
		if out.Change = c.encodeTable(old.Seq, func() ([]byte, error) { return encodeChange(t, old) }); out.Change != nil {
			return out
		}
	}
	out.Table = c.encodeTable(0, t.Marshal)
	return out
}

// encodeChange encodes the change from an older table. It returns nil if the whole table
// is needed.
func encodeChange(t, old grant.Table) ([]byte, error) {
	change, ok := t.ChangeSince(old)
	if !ok {
		return nil, nil
	}
	return change.Marshal()
}

// encodeTable returns the encoded form of the current table: the whole table if since is
// 0, or the change since an older one. The result is cached, since all daemons of a data
// centre ask for the same.
func (c *control) encodeTable(since uint64, marshal func() ([]byte, error)) []byte {
	if data, ok := c.tables.encoded[since]; ok {
		return data
	}
	data, err := marshal()
	if err != nil {
		c.r.log.Error("keys: could not encode table", "since", since, "err", err)
		return nil
	}
	if data != nil {
		c.tables.encoded[since] = data
	}
	return data
}

// maxPreviousTables is how many previous tables are kept to compute changes from: the
// tables of about the last second while keys are moved to balance load.
const maxPreviousTables = 20
