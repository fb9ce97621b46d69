// Package site is the operator's configuration: services, data centres with
// their backend servers, presets, and the marks that take a data centre or a
// host out. A Site is an immutable value; every change makes a new one through
// a With method and is written to the platform as one object, so that a single
// version orders all changes and exactly one preset is in force.
//
// # Usage
//
//	s, err := site.Parse("site.yaml", data) // err lists every mistake with its line
//	s, err = s.WithPreset("peak")
//	s, err = s.WithOut(site.Out{DataCentre: "duluth"})
//	data, err = s.Marshal()
package site
