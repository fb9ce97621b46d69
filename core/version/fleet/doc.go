// Package fleet is the list of backend servers as they describe themselves.
// A Fleet is immutable.
//
// # Usage
//
//	f := fleet.New(servers)
//	s, ok := f.Find(id)
//	for _, s := range f.ByService("intake") { ... }
package fleet
