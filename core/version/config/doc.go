// Package config holds the accepted configuration: which service handles a request,
// how many servers the request may be sent to, and how long it may take. Values are
// immutable; a change is a new Config with a higher Version.
//
// # Usage
//
//	c = c.WithIndex()
//	route, ok := c.Match(host, path, method)
//	service, ok := c.Service(route.PickService(rand.Float64()))
//
// Errors are of type *Error.
package config
