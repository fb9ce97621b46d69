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

// SiteObject is the name of the object that holds the site.
const SiteObject = "site"

// objectPrefixes maps each kind to the prefix of its object names. Three kinds are derived
// from the site object.
var objectPrefixes = map[object.Kind]string{
	object.Config: SiteObject, object.Servers: SiteObject, object.Exclusions: SiteObject,
	object.Daemons: "daemons/", object.Tables: "tables/",
}

// Store reads and writes the product's own objects on the platform. It implements
// router.Store. The platform's version of an object becomes the revision of an object.Item.
type Store struct{ client *plat.Client }

// NewStore returns a Store that uses a client of the platform.
func NewStore(c *plat.Client) *Store { return &Store{client: c} }

// List returns all objects of a kind. It ignores the last argument, which permits stale
// data, and always returns the latest versions.
func (s *Store) List(ctx context.Context, kind object.Kind, _ bool) (object.Delta, error) {
	c, err := s.client.Watch(ctx, objectPrefixes[kind], 0, 0)
	if err != nil {
		return object.Delta{}, newStoreError("list "+string(kind), err)
	}
	d, err := newDelta(kind, c)
	d.Whole = true
	return d, err
}

// Watch returns the changes after a revision, and waits a limited time for the first one.
func (s *Store) Watch(ctx context.Context, kind object.Kind, since uint64, wait time.Duration) (object.Delta, error) {
	c, err := s.client.Watch(ctx, objectPrefixes[kind], since, wait)
	if err != nil {
		return object.Delta{}, newStoreError("watch "+string(kind), err)
	}
	d, err := newDelta(kind, c)
	d.Through = max(d.Through, since)
	return d, err
}

// Read returns one object.
func (s *Store) Read(ctx context.Context, kind object.Kind, name string) (object.Item, error) {
	o, err := s.client.Read(ctx, objectPrefixes[kind]+name)
	if err != nil {
		return object.Item{}, newStoreError("read "+name, err)
	}
	if o == nil {
		return object.Item{}, &object.Error{Op: "read " + name, Kind: object.Missing, Err: errNoObject}
	}
	return object.Item{Name: name, Revision: o.Version, Value: o.Value}, nil
}

// Save replaces an object if it is at the given revision; 0 means that it must not exist yet.
// On a conflict it returns the current object together with the error.
func (s *Store) Save(ctx context.Context, kind object.Kind, name string, value []byte, revision uint64) (object.Item, error) {
	op := "save " + name
	o, err := s.client.Write(ctx, objectPrefixes[kind]+name, revision, value)
	switch {
	case err == nil:
		return object.Item{Name: name, Revision: o.Version, Value: value}, nil
	case plat.IsKind(err, plat.OutcomeUnknown):
		return object.Item{}, &object.Error{Op: op, Kind: object.OutcomeUnknown, Err: err}
	case !plat.IsKind(err, plat.Conflict):
		return object.Item{}, newStoreError(op, err)
	}
	current, readErr := s.Read(ctx, kind, name)
	if readErr != nil {
		return object.Item{}, readErr
	}
	return current, &object.Error{Op: op, Kind: object.Conflict, Err: err}
}

var errNoObject = errors.New("there is no such object")

// newStoreError returns an error of the kind Unreachable. It is used both if the platform cannot
// be reached and if it returns a malformed site.
func newStoreError(op string, err error) error {
	return &object.Error{Op: op, Kind: object.Unreachable, Err: err}
}

// newDelta converts changed objects to a delta of a kind. If the kind is derived from the site
// and the site changed, the delta replaces all items of the kind.
func newDelta(kind object.Kind, c plat.Changes) (object.Delta, error) {
	d := object.Delta{Kind: kind, Through: c.Revision}
	for _, o := range c.Objects {
		if objectPrefixes[kind] != SiteObject {
			d.Items = append(d.Items, object.Item{Name: strings.TrimPrefix(o.Name, objectPrefixes[kind]), Revision: o.Version, Value: o.Value})
			continue
		}
		if o.Name != SiteObject {
			continue
		}
		stored, err := site.Unmarshal(o.Value)
		if err != nil {
			return d, newStoreError("read the site", err)
		}
		if d.Items, err = siteItems(kind, stored, o.Version, time.Now()); err != nil {
			return d, newStoreError("read the site", err)
		}
		d.Whole = true
	}
	return d, nil
}
