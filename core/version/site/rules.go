package site

import (
	"fmt"

	"catkinstep/core/version/check"
)

// validator checks the rules of a site file that the field types do not express.
type validator struct{ *check.Checker }

func (c validator) checkSite(s Site) {
	if s.Name == "" {
		c.Add("name", "missing")
	}
	c.checkServices(s)
	c.checkDataCentres(s)
	c.checkPresets(s)
	c.checkWorkspaces(s)
	for i, e := range s.Exclusions {
		if err := s.checkExclusion(e, "check"); err != nil {
			c.Add(fmt.Sprintf("outs[%d]", i), "%v", err)
		}
	}
}

func (c validator) checkServices(s Site) {
	if len(s.Services) == 0 {
		c.Add("services", "missing")
	}
	names := map[string]bool{}
	for i, svc := range s.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path, svc.Name, names)
		if svc.Slots < 1 {
			c.Add(path+".slots", "must be at least 1")
		}
		if svc.MaxConnections < svc.Slots {
			c.Add(path+".connections", "must be at least slots (%d)", svc.Slots)
		}
		if svc.KeySegment < 0 {
			c.Add(path+".keySegment", "must not be negative")
		}
		if svc.KeyByID && (!svc.Keyed || svc.KeySegment > 0) {
			c.Add(path+".keyByID", "requires keyed: true and no keySegment")
		}
		if svc.MaxAttempts < 1 {
			c.Add(path+".attempts", "must be at least 1")
		}
		if svc.ColdRate < 0 {
			c.Add(path+".coldRate", "must not be negative")
		}
		c.checkShare(path+".levels.answered", svc.Objectives.AnsweredShare)
		c.checkShare(path+".levels.fastShare", svc.Objectives.FastShare)
	}
}

func (c validator) checkDataCentres(s Site) {
	if len(s.DataCentres) == 0 {
		c.Add("dataCentres", "missing")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, d := range s.DataCentres {
		path := fmt.Sprintf("dataCentres[%d]", i)
		c.checkName(path, d.Name, names)
		for j, server := range d.Servers {
			field := fmt.Sprintf("%s.servers[%d]", path, j)
			c.Address(field+".address", server.Address)
			if addresses[server.Address] {
				c.Add(field+".address", "%s is listed twice", server.Address)
			}
			addresses[server.Address] = true
			if _, ok := s.Service(server.Service); !ok {
				c.Add(field+".service", "no service %q", server.Service)
			}
		}
	}
}

func (c validator) checkPresets(s Site) {
	names := map[string]bool{}
	active := ""
	for i, p := range s.Presets {
		path := fmt.Sprintf("presets[%d]", i)
		c.checkName(path, p.Name, names)
		if p.Active && active != "" {
			c.Add(path+".inForce", "two presets have inForce: true, %q and %q", active, p.Name)
		}
		if p.Active {
			active = p.Name
		}
		if p.RetryShare < 0 || p.RetryShare > 1 {
			c.Add(path+".retryShare", "must be between 0 and 1")
		}
		for j, d := range p.ExcludedDataCentres {
			if _, ok := s.DataCentre(d); !ok {
				c.Add(fmt.Sprintf("%s.out[%d]", path, j), "no data centre %q", d)
			}
		}
	}
	if active == "" {
		c.Add("presets", "no preset has inForce: true")
	}
}

func (c validator) checkName(path, name string, seen map[string]bool) {
	if problem := nameProblem(name); problem != "" {
		c.Add(path+".name", "%s", problem)
	}
	if name != "" && seen[name] {
		c.Add(path+".name", "%q is used twice", name)
	}
	seen[name] = true
}

// nameProblem says what is wrong with a name; "" if nothing is.
func nameProblem(name string) string {
	if name == "" {
		return "missing"
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' {
			return fmt.Sprintf("%q may contain only letters, digits and hyphens", name)
		}
	}
	return ""
}

func (c validator) checkShare(field string, share float64) {
	if share <= 0 || share > 1 {
		c.Add(field, "must be above 0 and at most 1")
	}
}
