package admin

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"catkinstep/core/version/site"
	"catkinstep/core/version/space"
)

// WorkspaceStatus describes a workspace to operators. It has no keys, only their hashes.
type WorkspaceStatus struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"keyHashes"`
	Priority  *int     `json:"priority,omitempty"`
	Rate      float64  `json:"rate,omitempty"`
	Burst     float64  `json:"burst,omitempty"`
}

// WorkspaceChange is an operator's change of one workspace.
type WorkspaceChange struct {
	Name string `json:"name"`
	// KeyHash is the hash of the key to add, or the first digits of the one to remove.
	KeyHash  string  `json:"keyHash,omitempty"`
	Priority *int    `json:"priority,omitempty"`
	Rate     float64 `json:"rate,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// NewAPIKey returns an API key of 160 random bits.
func NewAPIKey() string {
	key := make([]byte, 20)
	_, _ = rand.Read(key) // never fails
	return strings.ToLower(base32.StdEncoding.EncodeToString(key))
}

func (h *handler) addWorkspaceRoutes(r *bunrouter.Router) {
	r.GET("/workspaces", h.workspaces)
	for path, update := range map[string]func(site.Site, WorkspaceChange) (site.Site, error){
		"/workspace/add":    addWorkspace,
		"/workspace/remove": func(s site.Site, c WorkspaceChange) (site.Site, error) { return s.WithoutWorkspace(c.Name) },
		"/workspace/limit": func(s site.Site, c WorkspaceChange) (site.Site, error) {
			return s.WithAllowance(c.Name, space.Allowance{Rate: c.Rate, Burst: c.Burst})
		},
		"/workspace/key/add":    addKey,
		"/workspace/key/remove": func(s site.Site, c WorkspaceChange) (site.Site, error) { return s.WithoutKey(c.Name, c.KeyHash) },
	} {
		r.POST(path, h.updateWorkspace(update))
	}
}

func addWorkspace(s site.Site, c WorkspaceChange) (site.Site, error) {
	return s.WithWorkspace(site.Workspace{Name: c.Name, Priority: c.Priority, Rate: c.Rate, Burst: c.Burst})
}

func addKey(s site.Site, c WorkspaceChange) (site.Site, error) {
	var hash space.KeyHash
	if err := hash.UnmarshalText([]byte(c.KeyHash)); err != nil {
		return s, err
	}
	return s.WithKey(c.Name, hash)
}

// updateWorkspace returns a handler that changes the stored workspaces by means of update.
func (h *handler) updateWorkspace(update func(site.Site, WorkspaceChange) (site.Site, error)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		var change WorkspaceChange
		if err := decode(r, &change); err != nil {
			return writeError(w, err)
		}
		return h.applyChange(w, r, func(s site.Site) (site.Site, error) { return update(s, change) })
	}
}

func (h *handler) workspaces(w http.ResponseWriter, r bunrouter.Request) error {
	stored, _, err := readSite(r.Context(), h.daemon.PlatformClient())
	if err != nil {
		return writeError(w, err)
	}
	out := []WorkspaceStatus{}
	for _, ws := range stored.Workspaces {
		out = append(out, WorkspaceStatus{Name: ws.Name, KeyHashes: ws.KeyHashes, Priority: ws.Priority, Rate: ws.Rate, Burst: ws.Burst})
	}
	return writeJSON(w, http.StatusOK, out)
}

// Workspaces returns the stored workspaces.
func (c *Client) Workspaces(ctx context.Context) ([]WorkspaceStatus, error) {
	var out []WorkspaceStatus
	err := c.call(ctx, http.MethodGet, "/workspaces", nil, &out)
	return out, err
}

// ChangeWorkspace makes a change; action is add, remove, limit, key/add or key/remove.
func (c *Client) ChangeWorkspace(ctx context.Context, action string, change WorkspaceChange) (AcceptedChange, error) {
	return c.postChange(ctx, "/workspace/"+action, change)
}
