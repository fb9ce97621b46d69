package site

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// WithPreset activates the named preset and deactivates all others.
func (s Site) WithPreset(name string) (Site, error) {
	found := false
	presets := slices.Clone(s.Presets)
	for i := range presets {
		presets[i].Active = presets[i].Name == name
		found = found || presets[i].Active
	}
	if !found {
		return s, &Error{Op: "preset use", Kind: Unknown, Err: fmt.Errorf("no preset %q", name)}
	}
	s.Presets = presets
	s.ChangeDescription = "preset use " + name
	return s, nil
}

// WithExclusion takes a data centre or a host out of service. It replaces an earlier
// exclusion of the same one.
func (s Site) WithExclusion(e Exclusion) (Site, error) {
	if err := s.checkExclusion(e, "out"); err != nil {
		return s, err
	}
	s = s.removeExclusion(e)
	s.Exclusions = append(s.Exclusions, e)
	s.ChangeDescription = "out " + e.DataCentre + e.Host
	return s, nil
}

// WithoutExclusion removes an exclusion; removing one that is absent is not an error.
func (s Site) WithoutExclusion(e Exclusion) (Site, error) {
	if err := s.checkExclusion(e, "in"); err != nil {
		return s, err
	}
	s = s.removeExclusion(e)
	s.ChangeDescription = "in " + e.DataCentre + e.Host
	return s, nil
}

// WithWriteID sets the ID by which a writer recognises its own write.
func (s Site) WithWriteID(id string) Site {
	s.WriteID = id
	return s
}

// WithListingTimes sets when servers were listed, given the site before a change: now for those
// that the change brought into service, and unchanged for the others.
func (s Site) WithListingTimes(previous Site, now time.Time) Site {
	before := map[string]int64{}
	for _, d := range previous.DataCentres {
		for _, server := range d.Servers {
			if previous.inService(d.Name, server.Address) {
				before[server.Address] = server.ListedAt
			}
		}
	}
	s.DataCentres = slices.Clone(s.DataCentres)
	for i, d := range s.DataCentres {
		servers := slices.Clone(d.Servers)
		for j, server := range servers {
			listedAt, wasInService := before[server.Address]
			if !wasInService {
				listedAt = now.UnixMilli()
			}
			servers[j].ListedAt = listedAt
		}
		s.DataCentres[i].Servers = servers
	}
	return s
}

func (s Site) inService(dataCentre, address string) bool {
	return !s.DataCentreExcluded(dataCentre) && !s.HostExcluded(address)
}

// WithFile replaces everything that the operator's file sets. The exclusions and the
// choice of the active preset stay, since later commands set them: an operator who
// adds a server while the preset "peak" is active must not deactivate it that way.
// Exclusions of data centres that the file no longer has are dropped. Workspaces stay unless the
// file lists some or, as workspaces: [], says that there are none: commands add them and their
// keys, and a file that was written before must not lock callers out.
func (s Site) WithFile(file Site) (Site, error) {
	file.ChangeDescription = "apply " + file.Name
	if file.Workspaces == nil {
		file.Workspaces = s.Workspaces
	}
	if len(s.Presets) == 0 {
		return file, nil
	}
	active := s.ActivePreset().Name
	next, err := file.WithPreset(active)
	if err != nil {
		return s, &Error{Op: "apply", Kind: Invalid,
			Err: fmt.Errorf("the file lacks the active preset %q: switch to another preset first", active)}
	}
	next.Exclusions = nil
	for _, e := range s.Exclusions {
		if next.checkExclusion(e, "apply") == nil {
			next.Exclusions = append(next.Exclusions, e)
		}
	}
	next.ChangeDescription = file.ChangeDescription
	return next, nil
}

func (s Site) removeExclusion(e Exclusion) Site {
	s.Exclusions = slices.DeleteFunc(slices.Clone(s.Exclusions), func(other Exclusion) bool {
		return other.DataCentre == e.DataCentre && other.Host == e.Host
	})
	return s
}

func (s Site) checkExclusion(e Exclusion, op string) error {
	if e.DataCentre != "" {
		if _, ok := s.DataCentre(e.DataCentre); !ok {
			return &Error{Op: op, Kind: Unknown, Err: fmt.Errorf("no data centre %q", e.DataCentre)}
		}
		return nil
	}
	// The host may also be an entry host, on which a daemon runs; site files do not list those.
	if _, err := netip.ParseAddr(e.Host); err == nil {
		return nil
	}
	if _, err := netip.ParseAddrPort(e.Host); err == nil {
		return nil
	}
	return &Error{Op: op, Kind: Unknown, Err: fmt.Errorf("%q is not an IP address, with or without a port", e.Host)}
}
