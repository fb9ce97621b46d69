package site

import (
	"fmt"

	"catkinstep/core/version/check"
)

// rules are the checks of a site file that no type can express.
type rules struct{ *check.Checker }

// site applies them all.
func (c rules) site(s Site) {
	if s.Name == "" {
		c.Add("name", "missing")
	}
	c.services(s)
	c.dataCentres(s)
	c.presets(s)
	for i, o := range s.Outs {
		if err := s.known(o, "check"); err != nil {
			c.Add(fmt.Sprintf("outs[%d]", i), "%v", err)
		}
	}
}

func (c rules) services(s Site) {
	if len(s.Services) == 0 {
		c.Add("services", "missing")
	}
	names := map[string]bool{}
	for i, v := range s.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at, v.Name, names)
		if v.Slots < 1 {
			c.Add(at+".slots", "must be at least 1")
		}
		if v.Connections < v.Slots {
			c.Add(at+".connections", "must be at least the slots (%d)", v.Slots)
		}
		if v.KeySegment < 0 {
			c.Add(at+".keySegment", "must not be negative")
		}
		if v.KeyByID && (!v.Keyed || v.KeySegment > 0) {
			c.Add(at+".keyByID", "needs keyed: true, and no keySegment")
		}
		if v.Attempts < 1 {
			c.Add(at+".attempts", "must be at least 1")
		}
		if v.ColdRate < 0 {
			c.Add(at+".coldRate", "must not be negative")
		}
		c.share(at+".levels.answered", v.Levels.Answered)
		c.share(at+".levels.fastShare", v.Levels.FastShare)
	}
}

func (c rules) dataCentres(s Site) {
	if len(s.DataCentres) == 0 {
		c.Add("dataCentres", "missing")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, d := range s.DataCentres {
		at := fmt.Sprintf("dataCentres[%d]", i)
		c.name(at, d.Name, names)
		for j, v := range d.Servers {
			field := fmt.Sprintf("%s.servers[%d]", at, j)
			c.Address(field+".address", v.Address)
			if addresses[v.Address] {
				c.Add(field+".address", "%s stands twice", v.Address)
			}
			addresses[v.Address] = true
			if _, ok := s.Service(v.Service); !ok {
				c.Add(field+".service", "no service %q", v.Service)
			}
		}
	}
}

func (c rules) presets(s Site) {
	names := map[string]bool{}
	inForce := ""
	for i, p := range s.Presets {
		at := fmt.Sprintf("presets[%d]", i)
		c.name(at, p.Name, names)
		if p.InForce && inForce != "" {
			c.Add(at+".inForce", "two presets in force, %q and %q", inForce, p.Name)
		}
		if p.InForce {
			inForce = p.Name
		}
		if p.RetryShare < 0 || p.RetryShare > 1 {
			c.Add(at+".retryShare", "must be between 0 and 1")
		}
		for j, d := range p.Out {
			if _, ok := s.DataCentre(d); !ok {
				c.Add(fmt.Sprintf("%s.out[%d]", at, j), "no data centre %q", d)
			}
		}
	}
	if inForce == "" {
		c.Add("presets", "no preset has inForce: true")
	}
}

func (c rules) name(at, name string, seen map[string]bool) {
	if name == "" {
		c.Add(at+".name", "missing")
		return
	}
	if seen[name] {
		c.Add(at+".name", "%q stands twice", name)
	}
	seen[name] = true
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' {
			c.Add(at+".name", "%q may hold letters, digits and hyphens only", name)
			return
		}
	}
}

func (c rules) share(field string, v float64) {
	if v <= 0 || v > 1 {
		c.Add(field, "must be above 0 and at most 1")
	}
}
