// Package admin is the operator's interface of a daemon: changes of the
// configuration, which are conditional updates of one platform object, the
// status of the whole fleet, the burn report, and the daemon's metrics.
//
// # Usage
//
//	native.Start(prefs, native.WithOperator(admin.Handler))
//
//	c := admin.NewClient("127.0.0.1:7200", token)
//	r, err := c.Preset(ctx, "peak")
//
// Errors are of type *Error. Conflict means that somebody else's change came
// first, and names it; nothing was changed then.
package admin
