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

// ObjectStore is the part of the platform's object API that changes of the configuration need.
// *plat.Client implements it.
type ObjectStore interface {
	Read(ctx context.Context, name string) (*plat.Object, error)
	Write(ctx context.Context, name string, ifVersion uint64, value []byte) (*plat.Object, error)
}

// lostResponseTimeout limits how long ChangeSite tries to find out whether a write without a
// response took effect.
const lostResponseTimeout = 3 * time.Second

// AcceptedChange describes a change of the configuration that was stored, and the version that
// resulted from it.
type AcceptedChange struct {
	Version     uint64 `json:"version"`
	Description string `json:"change"`
	Preset      string `json:"preset"`
}

// readSite reads the stored configuration. Version 0 means that there is none.
func readSite(ctx context.Context, store ObjectStore) (s site.Site, version uint64, err error) {
	object, err := store.Read(ctx, native.SiteObject)
	if err != nil {
		return s, 0, &Error{Op: "read", Kind: Unreachable, Err: err}
	}
	if object == nil {
		return s, 0, nil
	}
	if s, err = site.Unmarshal(object.Value); err != nil {
		return s, 0, &Error{Op: "read", Kind: Invalid, Err: err}
	}
	return s, object.Version, nil
}

// ChangeSite reads the configuration, applies update to it, and writes the result unless the
// configuration was written in between. If ifVersion is not 0, the configuration must also be
// at that version, which is the one that the operator has seen.
func ChangeSite(ctx context.Context, store ObjectStore, ifVersion uint64, update func(site.Site) (site.Site, error)) (AcceptedChange, error) {
	previous, version, err := readSite(ctx, store)
	if err != nil {
		return AcceptedChange{}, err
	}
	if ifVersion != 0 && ifVersion != version {
		return AcceptedChange{}, newConflictError(previous, version)
	}
	next, err := update(previous)
	if err != nil {
		return AcceptedChange{}, &Error{Op: "change", Kind: Invalid, Err: err}
	}
	next = next.WithListingTimes(previous, time.Now()).WithWriteID(rand.Text())
	value, err := next.Marshal()
	if err != nil {
		return AcceptedChange{}, &Error{Op: "change", Kind: Invalid, Err: err}
	}
	written, err := store.Write(ctx, native.SiteObject, version, value)
	switch {
	case err == nil:
		return newAcceptedChange(next, written.Version), nil
	case plat.IsKind(err, plat.Conflict):
		return resolveConflict(ctx, store, next)
	}
	return resolveLostResponse(ctx, store, next, version, err)
}

// resolveConflict reads the configuration after a write that failed with a conflict. If the
// stored configuration has the write ID of that write, the change is accepted although its
// response was lost. Otherwise the error names the change that caused the conflict.
func resolveConflict(ctx context.Context, store ObjectStore, next site.Site) (AcceptedChange, error) {
	stored, err := store.Read(ctx, native.SiteObject)
	if err != nil || stored == nil {
		return AcceptedChange{}, &Error{Op: "change", Kind: Conflict, Err: fmt.Errorf("another change was made first, and it cannot be read: %w", err)}
	}
	latest, err := site.Unmarshal(stored.Value)
	if err != nil {
		return AcceptedChange{}, &Error{Op: "change", Kind: Invalid, Err: err}
	}
	if latest.WriteID == next.WriteID {
		return newAcceptedChange(next, stored.Version), nil
	}
	return AcceptedChange{}, newConflictError(latest, stored.Version)
}

// resolveLostResponse finds out whether a write without a response took effect. It reads the
// configuration and recognises its own write by the write ID. It does not repeat the write,
// since that could undo a change that somebody made in between.
func resolveLostResponse(ctx context.Context, store ObjectStore, next site.Site, version uint64, cause error) (AcceptedChange, error) {
	ctx, cancel := context.WithTimeout(ctx, lostResponseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		stored, err := store.Read(ctx, native.SiteObject)
		if err != nil || stored == nil || stored.Version == version {
			sleep(ctx, 100*time.Millisecond) // poll, as the write may still take effect
			continue
		}
		latest, err := site.Unmarshal(stored.Value)
		if err != nil {
			return AcceptedChange{}, &Error{Op: "change", Kind: Invalid, Err: err}
		}
		if latest.WriteID == next.WriteID {
			return newAcceptedChange(next, stored.Version), nil
		}
		return AcceptedChange{}, &Error{Op: "change", Kind: OutcomeUnknown,
			Err: fmt.Errorf("no response to the write, and the configuration is now at %q (version %d), which may include this change; check the status", latest.ChangeDescription, stored.Version)}
	}
	return AcceptedChange{}, &Error{Op: "change", Kind: OutcomeUnknown, Err: fmt.Errorf("the change may still take effect; check the status before trying again: %w", cause)}
}

func newConflictError(s site.Site, version uint64) error {
	return &Error{Op: "change", Kind: Conflict, Err: fmt.Errorf("the change %q was made first (version %d); nothing was changed", s.ChangeDescription, version)}
}

func newAcceptedChange(s site.Site, version uint64) AcceptedChange {
	return AcceptedChange{Version: version, Description: s.ChangeDescription, Preset: s.ActivePreset().Name}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
