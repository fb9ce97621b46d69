package native

import (
	"context"
	"errors"
	"strings"
	"time"

	"catkinstep/core/version/object"
	"catkinstep/core/version/site"
	"catkinstep/io/connection/plat"
)

// SiteObject is the object that holds the site.
const SiteObject = "site"

// prefixes are the names of the objects that a kind is made of. Three kinds are
// all read from the site.
var prefixes = map[object.Kind]string{
	object.Config: SiteObject, object.Servers: SiteObject, object.Exclusions: SiteObject,
	object.Daemons: "daemons/", object.Tables: "tables/",
}

// Store is the product's own objects as daemons read and write them. It
// implements router.Store.
type Store struct{ client *plat.Client }

// NewStore returns a Store by a client of the platform.
func NewStore(c *plat.Client) *Store { return &Store{client: c} }

// List returns all objects of a kind, always as they are.
func (s *Store) List(ctx context.Context, kind object.Kind, _ bool) (object.Delta, error) {
	c, err := s.client.Watch(ctx, prefixes[kind], 0, 0)
	if err != nil {
		return object.Delta{}, unreachable("list "+string(kind), err)
	}
	d, err := delta(kind, c)
	d.Whole = true
	return d, err
}

// Watch waits for changes after a revision.
func (s *Store) Watch(ctx context.Context, kind object.Kind, since uint64, wait time.Duration) (object.Delta, error) {
	c, err := s.client.Watch(ctx, prefixes[kind], since, wait)
	if err != nil {
		return object.Delta{}, unreachable("watch "+string(kind), err)
	}
	d, err := delta(kind, c)
	d.Through = max(d.Through, since)
	return d, err
}

// Read returns one object.
func (s *Store) Read(ctx context.Context, kind object.Kind, name string) (object.Item, error) {
	o, err := s.client.Read(ctx, prefixes[kind]+name)
	if err != nil {
		return object.Item{}, unreachable("read "+name, err)
	}
	if o == nil {
		return object.Item{}, &object.Error{Op: "read " + name, Kind: object.Missing, Err: errNone}
	}
	return object.Item{Name: name, Revision: o.Version, Value: o.Value}, nil
}

// Save replaces an object that is at a revision.
func (s *Store) Save(ctx context.Context, kind object.Kind, name string, value []byte, revision uint64) (object.Item, error) {
	op := "save " + name
	o, err := s.client.Write(ctx, prefixes[kind]+name, revision, value)
	switch {
	case err == nil:
		return object.Item{Name: name, Revision: o.Version, Value: value}, nil
	case plat.IsKind(err, plat.OutcomeUnknown):
		return object.Item{}, &object.Error{Op: op, Kind: object.OutcomeUnknown, Err: err}
	case !plat.IsKind(err, plat.Conflict):
		return object.Item{}, unreachable(op, err)
	}
	it, rerr := s.Read(ctx, kind, name)
	if rerr != nil {
		return object.Item{}, rerr
	}
	return it, &object.Error{Op: op, Kind: object.Conflict, Err: err}
}

var errNone = errors.New("there is no such object")

func unreachable(op string, err error) error {
	return &object.Error{Op: op, Kind: object.Unreachable, Err: err}
}

// delta turns changed objects into news of a kind. A site that changed replaces
// all that was made of it.
func delta(kind object.Kind, c plat.Changes) (object.Delta, error) {
	d := object.Delta{Kind: kind, Through: c.Revision}
	for _, o := range c.Objects {
		if prefixes[kind] != SiteObject {
			d.Items = append(d.Items, object.Item{Name: strings.TrimPrefix(o.Name, prefixes[kind]), Revision: o.Version, Value: o.Value})
			continue
		}
		if o.Name != SiteObject {
			continue
		}
		v, err := site.Unmarshal(o.Value)
		if err != nil {
			return d, unreachable("read the site", err)
		}
		if d.Items, err = translate(kind, v, o.Version); err != nil {
			return d, unreachable("read the site", err)
		}
		d.Whole = true
	}
	return d, nil
}
