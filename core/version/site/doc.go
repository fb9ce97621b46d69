// Package site is the operator's configuration: services, data centres with
// their backend servers, presets, and the exclusions that take a data centre or a
// host out of service. A Site is an immutable value. Every change makes a new one
// through a With method and is written to the platform as one object, so that a
// single version orders all changes and exactly one preset is active.
//
// # Usage
//
//	s, err := site.Parse("site.yaml", data) // err lists every problem with its line
//	s, err = s.WithPreset("peak")
//	s, err = s.WithExclusion(site.Exclusion{DataCentre: "duluth"})
//	data, err = s.Marshal()
package site
