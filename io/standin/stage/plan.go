package stage

import (
	"time"

	"catkinstep/core/version/site"
)

// Lakeshore is the sharpening service's site at its size of today.
func Lakeshore() Plan {
	return newPlan("lakeshore",
		[]string{"duluth", "marquette", "toledo", "oswego"},
		[]site.Service{
			{Name: "intake", Slots: 3, MaxConnections: 110},
			{Name: "workshop", Keyed: true, KeySegment: 2, Slots: 3, MaxConnections: 110},
		},
		map[string]int{"intake": 12, "workshop": 15})
}

// GraniteHearth is the firewood platform's site at its size of today.
func GraniteHearth() Plan {
	return newPlan("graniteHearth",
		[]string{"barre", "keene", "camden", "rutland"},
		[]site.Service{
			{Name: "cord-orders", Slots: 4, MaxConnections: 50},
			{Name: "haul-board", Keyed: true, KeySegment: 2, Slots: 4, MaxConnections: 50},
		},
		map[string]int{"cord-orders": 11, "haul-board": 13})
}

// plan spreads the servers over the data centres; nine entry hosts stand two a
// data centre and one more in the first.
func newPlan(name string, dataCentres []string, services []site.Service, servers map[string]int) Plan {
	s := site.Site{Name: name, Presets: []site.Preset{
		{Name: "ordinary", Active: true, RetryShare: 0.1},
		{Name: "peak", RetryShare: 0.05},
		{Name: "maintenance", RetryShare: 0.1},
	}}
	hosts := map[string]int{}
	for i, p := range dataCentres {
		s.DataCentres = append(s.DataCentres, site.DataCentre{Name: p})
		hosts[p] = 2
		if i == 0 {
			hosts[p] = 3
		}
	}
	nextServer := 0
	for _, v := range services {
		v.DefaultTimeout = 2 * time.Second
		v.ColdRate = 40
		s.Services = append(s.Services, v)
		for range servers[v.Name] {
			d := &s.DataCentres[nextServer%len(dataCentres)]
			d.Servers = append(d.Servers, site.Server{Service: v.Name})
			nextServer++
		}
	}
	data, err := s.Marshal()
	if err == nil {
		s, err = site.Unmarshal(data) // with the defaults filled in
	}
	if err != nil {
		panic(err) // a plan of this package that cannot be stored
	}
	return Plan{Site: s, HostsPerDataCentre: hosts, MeanServiceTime: 5 * time.Millisecond}
}
