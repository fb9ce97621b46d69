package router

import (
	"net/http"
	"time"

	"catkinstep/core/version/space"
	"catkinstep/io/connection/caller"
)

const (
	// reasonUnknownAPIKey means that no workspace has the caller's API key, or that it sent none.
	reasonUnknownAPIKey = "unknownApiKey"
	// reasonConfigOutdated means that the caller's API key is unknown to a configuration that may
	// not be the newest.
	reasonConfigOutdated = "configMayBeOutdated"
	// maxAPIKeyBytes bounds an API key; longer ones are unknown without being hashed.
	maxAPIKeyBytes = 512
	// maxConfigAge is the age from which a configuration may be outdated. Without changes, the
	// reader's watch confirms it every 2.5 s (watchWait), counted from the watch's start, and
	// gossip brings this to all daemons in another second or two.
	maxConfigAge = 8 * time.Second
)

// identity is what is known of the caller that sent a request. The API key is kept as its
// hash only.
type identity struct {
	keyHash   space.KeyHash
	hasKey    bool
	workspace space.Workspace // empty on anonymous routes
	// knownIn is the version of the configuration in which the workspace has the key, if
	// hasWorkspace is set.
	knownIn      uint64
	hasWorkspace bool
}

// takeAPIKey removes the API key from a caller's header, so that it is neither sent to a server
// nor kept in memory, and returns its hash. It returns false unless there is exactly one key.
func (r *Router) takeAPIKey(h http.Header) (space.KeyHash, bool) {
	names := r.protocol.Names()
	keys := h.Values(names.APIKey)
	h.Del(names.APIKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxAPIKeyBytes {
		return space.KeyHash{}, false
	}
	return space.HashKey(keys[0]), true
}

// identify determines the caller's workspace by its API key. It returns the reply instead if the
// route requires a key that is missing or unknown. A workspace that the caller names is ignored:
// servers trust the name that they get. from is set if another daemon has sent the request, which has
// the key's hash.
func (r *Router) identify(snap *snapshot, req *request, from *carriedFrom) *caller.Reply {
	req.Header.Del(r.protocol.Names().Workspace)
	if !snap.config.KeysRequired {
		return nil
	}
	if from != nil {
		req.identity.keyHash, req.identity.hasKey = from.keyHash, from.hasKey
		return r.updateWorkspace(snap, req)
	}
	req.identity.keyHash, req.identity.hasKey = r.takeAPIKey(req.Header)
	return r.updateWorkspace(snap, req)
}

// updateWorkspace looks up the workspace of a request. It is repeated before each attempt,
// since the key may be removed, or moved to another workspace, while the request waits.
func (r *Router) updateWorkspace(snap *snapshot, req *request) *caller.Reply {
	if !snap.config.KeysRequired || req.route.Anonymous || req.identity.hasWorkspace && req.identity.knownIn == snap.config.Version {
		return nil
	}
	workspace, known := snap.config.Workspace(req.identity.keyHash)
	if !req.identity.hasKey || !known {
		return r.rejectAPIKey(snap, req)
	}
	req.identity.workspace, req.identity.knownIn, req.identity.hasWorkspace = workspace, snap.config.Version, true
	r.setPriority(snap, req)
	return nil
}

// rejectAPIKey returns the reply to a request whose API key is unknown. A caller does not retry
// after status 401, so a daemon whose configuration may lack a new key asks it to come back.
func (r *Router) rejectAPIKey(snap *snapshot, req *request) *caller.Reply {
	age, confirmed := r.control.configAge(r.now())
	attrs := []any{"config", snap.config.Version, "age", age.String(), "keySent", req.identity.hasKey}
	if req.identity.hasKey && (!confirmed || age > maxConfigAge) {
		reply := r.refuseRequest(req, reasonConfigOutdated, notReadyRetryDelay, attrs...)
		return &reply
	}
	r.metrics.increment("refused." + reasonUnknownAPIKey)
	r.log.Info("request: unknown API key, not run", append([]any{"id", req.id, "route", req.route.Name}, attrs...)...)
	return r.finalReply(req.id, http.StatusUnauthorized, reasonUnknownAPIKey, req.history.NotRun())
}
