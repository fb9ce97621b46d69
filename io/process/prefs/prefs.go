// Package prefs is the settings file of one daemon: its addresses, its data
// centre, the platform, and peers to start from.
//
// # Usage
//
//	p, err := prefs.Load("host.yaml") // err lists every mistake with its line
//
// Errors are of type check.FileErrors, or *Error when the file cannot be read.
package prefs

import (
	"fmt"
	"net/netip"
	"os"

	"catkinstep/core/version/check"
)

// Kind sorts the errors of this package.
type Kind string

// Unreadable is a file that cannot be read.
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

// Prefs are the settings of one daemon. Addresses are IP numbers with ports.
type Prefs struct {
	// DataCentre is the name of the place that the host stands in.
	DataCentre string `yaml:"dataCentre"`
	// Callers is where callers are served.
	Callers string `yaml:"callers"`
	// Mesh is where other daemons call.
	Mesh string `yaml:"mesh"`
	// Operator is where the command line and metrics are served.
	Operator string `yaml:"operator"`
	// OperatorToken is asked of operators; needed beyond loopback.
	OperatorToken string `yaml:"operatorToken,omitempty"`
	// Platform is the platform's object API.
	Platform string `yaml:"platform"`
	// Peers are the mesh addresses of daemons to start from.
	Peers []string `yaml:"peers,omitempty"`
	// MaxBody is the largest request body in bytes; default 1 MiB.
	MaxBody int `yaml:"maxBody,omitempty"`
}

const (
	defaultBody = 1 << 20
	largestBody = 2 << 20
)

// Load reads and checks a settings file.
func Load(file string) (Prefs, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Prefs{}, &Error{Op: "load", Kind: Unreadable, Err: err}
	}
	return Parse(file, data)
}

// Parse checks the text of a settings file.
func Parse(file string, data []byte) (Prefs, error) {
	var p Prefs
	c, err := check.Decode(file, data, &p)
	if err != nil {
		return Prefs{}, err
	}
	if p.MaxBody == 0 {
		p.MaxBody = defaultBody
	}
	if p.DataCentre == "" {
		c.Add("dataCentre", "missing")
	}
	c.Address("callers", p.Callers)
	c.Address("mesh", p.Mesh)
	c.Address("operator", p.Operator)
	c.Address("platform", p.Platform)
	for i, peer := range p.Peers {
		c.Address(fmt.Sprintf("peers[%d]", i), peer)
	}
	if p.MaxBody < 0 || p.MaxBody > largestBody {
		c.Add("maxBody", "must be between 1 and %d bytes", largestBody)
	}
	if a, err := netip.ParseAddrPort(p.Operator); err == nil && !a.Addr().IsLoopback() && p.OperatorToken == "" {
		c.Add("operatorToken", "missing: the operator interface listens beyond loopback")
	}
	return p, c.Err()
}
