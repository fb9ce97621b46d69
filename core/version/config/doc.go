// Package config is the accepted configuration in force: which request goes to
// which service, how often it may be sent, and how long it may take. Values are
// immutable; a change is another Config with a higher Version.
//
// # Usage
//
//	route, ok := c.Match(host, path)
//	service, ok := c.Service(route.Pick(rand.Float64()))
//
// Errors are of type *Error.
package config
