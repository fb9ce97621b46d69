package space

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// KeyHash is the SHA-256 hash of an API key. Its text form is hexadecimal.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) || len(text)%2 != 0 {
		return fmt.Errorf("a key hash has %d hexadecimal digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// String returns the text form.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Workspace is a customer whose requests are counted together.
type Workspace struct {
	Name      string    `json:"name"`
	KeyHashes []KeyHash `json:"keys,omitempty"`
	// Priority takes the place of the route's priority if OwnPriority is set; 0 is the highest.
	Priority    int  `json:"priority,omitempty"`
	OwnPriority bool `json:"ownPriority,omitempty"`
	// Allowance limits the requests that all daemons together send to servers.
	Allowance Allowance `json:"allowance"`
}

// Allowance is a limit on the requests of a workspace: a steady rate, and a number of requests
// beyond it that may come at once after a pause.
type Allowance struct {
	// Rate is in requests per second; 0 means that there is no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Limited reports whether there is a limit.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Directory finds workspaces by their API keys.
type Directory struct {
	workspaces []Workspace
	byKey      map[KeyHash]int
	byName     map[string]int
	// meanRate is the mean rate of the limited allowances; 0 if there are none.
	meanRate float64
}

// NewDirectory returns a Directory of workspaces. If two of them have the same key, the key
// belongs to the first.
func NewDirectory(workspaces []Workspace) Directory {
	d := Directory{workspaces: workspaces, byKey: map[KeyHash]int{}, byName: map[string]int{}}
	limited := 0
	for i, w := range workspaces {
		d.byName[w.Name] = i
		if w.Allowance.Limited() {
			limited++
			d.meanRate += (w.Allowance.Rate - d.meanRate) / float64(limited)
		}
		for _, h := range w.KeyHashes {
			if _, taken := d.byKey[h]; !taken {
				d.byKey[h] = i
			}
		}
	}
	return d
}

// Weight is how much a workspace should be served in relation to others when not all can be: as
// much as its allowance says, or like the mean of the others if it has none.
func (d Directory) Weight(w Workspace) float64 {
	switch {
	case w.Allowance.Limited():
		return w.Allowance.Rate
	case d.meanRate > 0:
		return d.meanRate
	}
	return 1
}

// Find returns the workspace that has a key.
func (d Directory) Find(h KeyHash) (Workspace, bool) {
	i, ok := d.byKey[h]
	if !ok {
		return Workspace{}, false
	}
	return d.workspaces[i], true
}

// Named returns the workspace with a name.
func (d Directory) Named(name string) (Workspace, bool) {
	i, ok := d.byName[name]
	if !ok {
		return Workspace{}, false
	}
	return d.workspaces[i], true
}
