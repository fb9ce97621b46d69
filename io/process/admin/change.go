package admin

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/connection/plat"
	"catkinstep/io/process/native"
)

// Platform is what a change needs of the platform.
type Platform interface {
	Read(ctx context.Context, name string) (*plat.Object, error)
	Write(ctx context.Context, name string, ifVersion uint64, value []byte) (*plat.Object, error)
}

// settlePatience bounds the tries to find out what became of a write whose
// reply was lost.
const settlePatience = 3 * time.Second

// Accepted says which version a change became.
type Accepted struct {
	Version uint64 `json:"version"`
	Change  string `json:"change"`
	Preset  string `json:"preset"`
}

// current reads the configuration; version 0 means that there is none.
func current(ctx context.Context, p Platform) (s site.Site, version uint64, err error) {
	have, err := p.Read(ctx, native.SiteObject)
	if err != nil {
		return s, 0, &Error{Op: "read", Kind: Unreachable, Err: err}
	}
	if have == nil {
		return s, 0, nil
	}
	if s, err = site.Unmarshal(have.Value); err != nil {
		return s, 0, &Error{Op: "read", Kind: Invalid, Err: err}
	}
	return s, have.Version, nil
}

// Change reads the configuration, changes it, and writes it on the condition
// that nobody else did in between. With ifVersion above 0 it must also be at
// that version, as an operator saw it.
func Change(ctx context.Context, p Platform, ifVersion uint64, change func(site.Site) (site.Site, error)) (Accepted, error) {
	old, version, err := current(ctx, p)
	if err != nil {
		return Accepted{}, err
	}
	if ifVersion != 0 && ifVersion != version {
		return Accepted{}, conflict(old, version)
	}
	next, err := change(old)
	if err != nil {
		return Accepted{}, &Error{Op: "change", Kind: Invalid, Err: err}
	}
	next = next.WithWriteID(rand.Text())
	value, err := next.Marshal()
	if err != nil {
		return Accepted{}, &Error{Op: "change", Kind: Invalid, Err: err}
	}
	o, err := p.Write(ctx, native.SiteObject, version, value)
	switch {
	case err == nil:
		return accepted(next, o.Version), nil
	case plat.IsKind(err, plat.Conflict):
		return lost(ctx, p, next)
	}
	return settle(ctx, p, next, version, err)
}

// lost tells a loser who won. The winner may be our own write, whose reply
// never came and which a lower layer has not repeated.
func lost(ctx context.Context, p Platform, next site.Site) (Accepted, error) {
	o, err := p.Read(ctx, native.SiteObject)
	if err != nil || o == nil {
		return Accepted{}, &Error{Op: "change", Kind: Conflict, Err: fmt.Errorf("another change came first, and it cannot be read: %w", err)}
	}
	now, err := site.Unmarshal(o.Value)
	if err != nil {
		return Accepted{}, &Error{Op: "change", Kind: Invalid, Err: err}
	}
	if now.WriteID == next.WriteID {
		return accepted(next, o.Version), nil
	}
	return Accepted{}, conflict(now, o.Version)
}

// settle finds out what became of a write without a reply: it reads again, and
// knows its own write by the writer's token. Writing again blindly could undo
// what somebody did in between.
func settle(ctx context.Context, p Platform, next site.Site, version uint64, cause error) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, settlePatience)
	defer cancel()
	for ctx.Err() == nil {
		o, err := p.Read(ctx, native.SiteObject)
		if err != nil || o == nil || o.Version == version {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		now, err := site.Unmarshal(o.Value)
		if err != nil {
			return Accepted{}, &Error{Op: "change", Kind: Invalid, Err: err}
		}
		if now.WriteID == next.WriteID {
			return accepted(next, o.Version), nil
		}
		return Accepted{}, &Error{Op: "change", Kind: Unsure,
			Err: fmt.Errorf("no reply, and then came %q (version %d), which may build on it: look at status", now.Change, o.Version)}
	}
	return Accepted{}, &Error{Op: "change", Kind: Unsure, Err: fmt.Errorf("it may still take effect: look at status before trying again: %w", cause)}
}

func conflict(s site.Site, version uint64) error {
	return &Error{Op: "change", Kind: Conflict, Err: fmt.Errorf("%q came first (version %d); nothing was changed", s.Change, version)}
}

func accepted(s site.Site, version uint64) Accepted {
	return Accepted{Version: version, Change: s.Change, Preset: s.ActivePreset().Name}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
