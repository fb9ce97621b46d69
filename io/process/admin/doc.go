// Package admin implements the HTTP operator interface of a daemon: changes of the
// configuration, which is a site.Site and is stored as one platform object, the status of all
// daemons, the report on error budgets (the burn report), and the daemon's metrics.
//
// # Usage
//
//	native.Start(prefs, native.WithOperatorHandler(admin.Handler))
//
//	c := admin.NewClient("127.0.0.1:7200", token)
//	r, err := c.UsePreset(ctx, "peak")
//
// Errors are of type *Error. Kind Conflict means that another operator changed the
// configuration first and that nothing was changed; the message names the other change.
package admin
