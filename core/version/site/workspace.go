package site

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"catkinstep/core/version/space"
)

// Workspace is a customer whose requests are counted together. Once a site has workspaces,
// callers must show an API key of one, except at services that are anonymous.
type Workspace struct {
	Name string `yaml:"name"`
	// KeyHashes are the SHA-256 hashes of the API keys in hexadecimal. The keys themselves are
	// nowhere in the site.
	KeyHashes []string `yaml:"keyHashes,omitempty"`
	// Priority goes before the priorities of the services' requests; 0 is the highest. Without
	// it, requests that must not run twice go before those that may.
	Priority *int `yaml:"priority,omitempty"`
	// Rate limits the requests per second over all daemons; without it there is no limit.
	Rate float64 `yaml:"rate,omitempty"`
	// Burst is the number of requests beyond Rate that may come at once after a pause; default
	// the requests of a second.
	Burst float64 `yaml:"burst,omitempty"`
}

// Directory returns the workspaces in the form that routing uses. Hashes that cannot be read are
// left out; a validated site has none.
func (s Site) Directory() []space.Workspace {
	var out []space.Workspace
	for _, w := range s.Workspaces {
		next := space.Workspace{Name: w.Name, Allowance: space.Allowance{Rate: w.Rate, Burst: orDefault(w.Burst, w.Rate)}}
		if w.Priority != nil {
			next.Priority, next.OwnPriority = *w.Priority, true
		}
		for _, text := range w.KeyHashes {
			var h space.KeyHash
			if h.UnmarshalText([]byte(text)) == nil {
				next.KeyHashes = append(next.KeyHashes, h)
			}
		}
		out = append(out, next)
	}
	return out
}

// WithWorkspace adds a workspace without keys.
func (s Site) WithWorkspace(w Workspace) (Site, error) {
	if s.workspaceIndex(w.Name) >= 0 {
		return s, &Error{Op: "workspace add", Kind: Invalid, Err: fmt.Errorf("there is a workspace %q already", w.Name)}
	}
	if problem := nameProblem(w.Name); problem != "" {
		return s, &Error{Op: "workspace add", Kind: Invalid, Err: fmt.Errorf("the name %s", problem)}
	}
	s.Workspaces = append(slices.Clone(s.Workspaces), w)
	s.ChangeDescription = "workspace add " + w.Name
	return s, nil
}

// WithoutWorkspace removes a workspace with its keys. The last one stays: without any workspace
// callers would need no key.
func (s Site) WithoutWorkspace(name string) (Site, error) {
	i := s.workspaceIndex(name)
	if i < 0 {
		return s, unknownWorkspace("workspace remove", name)
	}
	if len(s.Workspaces) == 1 {
		return s, &Error{Op: "workspace remove", Kind: Invalid,
			Err: fmt.Errorf("%q is the last workspace, and without any the services are open to everybody; remove its keys instead, or apply a file with workspaces: []", name)}
	}
	s.Workspaces = slices.Delete(slices.Clone(s.Workspaces), i, i+1)
	s.ChangeDescription = "workspace remove " + name
	return s, nil
}

// WithKey adds the hash of an API key to a workspace.
func (s Site) WithKey(workspace string, hash space.KeyHash) (Site, error) {
	for _, w := range s.Workspaces {
		if slices.Contains(w.KeyHashes, hash.String()) {
			return s, &Error{Op: "workspace key add", Kind: Invalid, Err: fmt.Errorf("workspace %q has this key already", w.Name)}
		}
	}
	return s.updateWorkspace("workspace key add", workspace, func(w *Workspace) error {
		w.KeyHashes = append(slices.Clone(w.KeyHashes), hash.String())
		return nil
	})
}

// CheckHashPrefix returns an error unless a text may be the beginning of a key's hash. The error
// does not repeat the text: an operator may have given the key itself.
func CheckHashPrefix(text string) error {
	if text == "" || strings.Trim(text, "0123456789abcdef") != "" {
		return &Error{Op: "workspace key remove", Kind: Invalid, Err: errors.New("this is not a hash: give its first digits, as workspace list prints them")}
	}
	return nil
}

// WithoutKey removes a key from a workspace by its hash, of which the first digits are enough if
// no other key of the workspace has them.
func (s Site) WithoutKey(workspace, hashPrefix string) (Site, error) {
	if err := CheckHashPrefix(hashPrefix); err != nil {
		return s, err
	}
	return s.updateWorkspace("workspace key remove", workspace, func(w *Workspace) error {
		left := slices.DeleteFunc(slices.Clone(w.KeyHashes), func(hash string) bool { return strings.HasPrefix(hash, hashPrefix) })
		if len(left) != len(w.KeyHashes)-1 {
			return fmt.Errorf("%d keys of workspace %q have a hash that begins so, not one", len(w.KeyHashes)-len(left), workspace)
		}
		w.KeyHashes = left
		return nil
	})
}

// WithAllowance sets the allowance of a workspace. Rate 0 lifts the limit.
func (s Site) WithAllowance(workspace string, a space.Allowance) (Site, error) {
	if problem := allowanceProblem(a.Rate) + allowanceProblem(a.Burst); problem != "" {
		return s, &Error{Op: "workspace limit", Kind: Invalid, Err: fmt.Errorf("the rate and the burst %s", problem)}
	}
	return s.updateWorkspace("workspace limit", workspace, func(w *Workspace) error {
		w.Rate, w.Burst = a.Rate, a.Burst
		return nil
	})
}

func (s Site) updateWorkspace(op, name string, update func(*Workspace) error) (Site, error) {
	i := s.workspaceIndex(name)
	if i < 0 {
		return s, unknownWorkspace(op, name)
	}
	s.Workspaces = slices.Clone(s.Workspaces)
	if err := update(&s.Workspaces[i]); err != nil {
		return s, &Error{Op: op, Kind: Invalid, Err: err}
	}
	s.ChangeDescription = op + " " + name
	return s, nil
}

func (s Site) workspaceIndex(name string) int {
	return slices.IndexFunc(s.Workspaces, func(w Workspace) bool { return w.Name == name })
}

func unknownWorkspace(op, name string) error {
	return &Error{Op: op, Kind: Unknown, Err: fmt.Errorf("no workspace %q", name)}
}

func allowanceProblem(v float64) string {
	if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return "must be numbers from 0 on"
	}
	return ""
}

func (c validator) checkWorkspaces(s Site) {
	names, keys := map[string]bool{}, map[string]string{}
	for i, w := range s.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(path, w.Name, names)
		for _, f := range []struct {
			field string
			value float64
		}{{".rate", w.Rate}, {".burst", w.Burst}} {
			if problem := allowanceProblem(f.value); problem != "" {
				c.Add(path+f.field, "%s", problem)
			}
		}
		if w.Burst > 0 && w.Rate == 0 {
			c.Add(path+".burst", "requires a rate")
		}
		if w.Priority != nil && *w.Priority < 0 {
			c.Add(path+".priority", "must not be negative")
		}
		for j, text := range w.KeyHashes {
			field := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			var h space.KeyHash
			if err := h.UnmarshalText([]byte(text)); err != nil {
				c.Add(field, "must be the SHA-256 hash of a key, as workspace key add prints it: %v", err)
				continue
			}
			if owner, taken := keys[h.String()]; taken {
				c.Add(field, "workspace %q has this key, too; a key belongs to one workspace", owner)
			}
			keys[h.String()] = w.Name
		}
	}
}
