// Package prefs reads the settings file of a daemon: its addresses, its data centre, the
// address of the platform, and the peers to join through.
//
// # Usage
//
//	p, err := prefs.Load("host.yaml") // err lists every problem with its line
//
// Errors are of type check.FileErrors, or *Error if the file cannot be read.
package prefs

import (
	"fmt"
	"net/netip"
	"os"

	"catkinstep/core/version/check"
)

// Kind classifies the errors of this package.
type Kind string

// Unreadable means that the file cannot be read.
const Unreadable Kind = "unreadable"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("settings: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Prefs are the contents of a daemon's settings file. Package native converts them to the
// setup.Settings that package router takes. Addresses are IP addresses with ports.
type Prefs struct {
	// DataCentre is the name of the data centre of the host.
	DataCentre string `yaml:"dataCentre"`
	// CallerAddress is the address at which the daemon serves callers.
	CallerAddress string `yaml:"callers"`
	// MeshAddress is the address at which the daemon serves other daemons.
	MeshAddress string `yaml:"mesh"`
	// OperatorAddress is the address for operators' commands and metrics.
	OperatorAddress string `yaml:"operator"`
	// OperatorToken is the bearer token that operators must send. It is required unless
	// OperatorAddress is a loopback address.
	OperatorToken string `yaml:"operatorToken,omitempty"`
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string `yaml:"platform"`
	// Peers are the mesh addresses of other daemons to join through.
	Peers []string `yaml:"peers,omitempty"`
	// LeaderWitnesses is the number of daemons, the leader included, a majority of which must
	// support a leader that goes on without the store: odd and at least 3; default 0, none.
	LeaderWitnesses int `yaml:"leaderWitnesses,omitempty"`
	// MaxBodyBytes is the size limit of a request body; default 1 MiB.
	MaxBodyBytes int `yaml:"maxBody,omitempty"`
	// MemoryMegabytes is the memory that the daemon may use, in units of a million bytes; default 512.
	MemoryMegabytes int64 `yaml:"memory,omitempty"`
	// IndirectReleases lets a leader release keys through other daemons; see setup.Settings.
	IndirectReleases bool `yaml:"indirectReleases,omitempty"`
}

const (
	defaultMaxBodyBytes = 1 << 20
	maxBodyBytesLimit   = 2 << 20
	// A daemon needs minMemoryMegabytes for itself and a few requests.
	defaultMemoryMegabytes = 512
	minMemoryMegabytes     = 64
)

// Load reads and validates a settings file.
func Load(file string) (Prefs, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Prefs{}, &Error{Op: "load", Kind: Unreadable, Err: err}
	}
	return Parse(file, data)
}

// Parse parses and validates the text of a settings file. The file name is for errors.
func Parse(file string, data []byte) (Prefs, error) {
	var p Prefs
	c, err := check.Decode(file, data, &p)
	if err != nil {
		return Prefs{}, err
	}
	if p.MaxBodyBytes == 0 {
		p.MaxBodyBytes = defaultMaxBodyBytes
	}
	if p.MemoryMegabytes == 0 {
		p.MemoryMegabytes = defaultMemoryMegabytes
	}
	if p.MemoryMegabytes < minMemoryMegabytes {
		c.Add("memory", "must be at least %d megabytes", minMemoryMegabytes)
	}
	if p.DataCentre == "" {
		c.Add("dataCentre", "missing")
	}
	c.Address("callers", p.CallerAddress)
	c.Address("mesh", p.MeshAddress)
	c.Address("operator", p.OperatorAddress)
	c.Address("platform", p.PlatformAddress)
	for i, peer := range p.Peers {
		c.Address(fmt.Sprintf("peers[%d]", i), peer)
	}
	if p.MaxBodyBytes < 0 || p.MaxBodyBytes > maxBodyBytesLimit {
		c.Add("maxBody", "must be between 1 and %d bytes", maxBodyBytesLimit)
	}
	if n := p.LeaderWitnesses; n != 0 && (n < 3 || n%2 == 0) {
		c.Add("leaderWitnesses", "must be 0, or odd and at least 3")
	}
	if a, err := netip.ParseAddrPort(p.OperatorAddress); err == nil && !a.Addr().IsLoopback() && p.OperatorToken == "" {
		c.Add("operatorToken", "missing: the operator interface does not listen on a loopback address")
	}
	return p, c.Err()
}
