package stage

import (
	"time"

	"catkinstep/core/version/site"
)

// Lakeshore returns the site of the sharpening service, at its production size.
func Lakeshore() Plan {
	return newPlan("lakeshore",
		[]string{"duluth", "marquette", "toledo", "oswego"},
		[]site.Service{
			{Name: "intake", Slots: 3, MaxConnections: 110},
			{Name: "workshop", Keyed: true, KeySegment: 2, Slots: 3, MaxConnections: 110},
		},
		map[string]int{"intake": 12, "workshop": 15})
}

// GraniteHearth returns the site of the firewood platform, at its production size.
func GraniteHearth() Plan {
	return newPlan("graniteHearth",
		[]string{"barre", "keene", "camden", "rutland"},
		[]site.Service{
			{Name: "cord-orders", Slots: 4, MaxConnections: 50},
			{Name: "haul-board", Keyed: true, KeySegment: 2, Slots: 4, MaxConnections: 50},
		},
		map[string]int{"cord-orders": 11, "haul-board": 13})
}

// newPlan returns a plan that spreads the servers evenly over the data centres. Each data
// centre has two entry hosts, and the first has one more.
func newPlan(name string, dataCentres []string, services []site.Service, serverCounts map[string]int) Plan {
	s := site.Site{Name: name, Presets: []site.Preset{
		{Name: "ordinary", Active: true, RetryShare: 0.1},
		{Name: "peak", RetryShare: 0.05},
		{Name: "maintenance", RetryShare: 0.1},
	}}
	hostCounts := map[string]int{}
	for i, dataCentre := range dataCentres {
		s.DataCentres = append(s.DataCentres, site.DataCentre{Name: dataCentre})
		hostCounts[dataCentre] = 2
		if i == 0 {
			hostCounts[dataCentre] = 3
		}
	}
	nextServer := 0
	for _, service := range services {
		service.DefaultTimeout = 2 * time.Second
		service.ColdRate = 40
		s.Services = append(s.Services, service)
		for range serverCounts[service.Name] {
			d := &s.DataCentres[nextServer%len(dataCentres)]
			d.Servers = append(d.Servers, site.Server{Service: service.Name})
			nextServer++
		}
	}
	data, err := s.Marshal()
	if err == nil {
		s, err = site.Unmarshal(data) // fills in the defaults
	}
	if err != nil {
		panic(err) // one of this package's plans is invalid
	}
	return Plan{Site: s, HostsPerDataCentre: hostCounts, MeanServiceTime: 5 * time.Millisecond}
}
