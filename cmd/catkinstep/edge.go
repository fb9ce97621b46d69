package main

import (
	"context"
	"log/slog"
	"os"

	"catkinstep/io/process/logs"
	"catkinstep/io/process/router"
	bridge "catkinstep/platform"
)

// edgeCmd is the counterpart of serveCmd for the users' platform. Package bridge, in the folder
// platform, translates that platform's settings, objects and headers.
type edgeCmd struct {
	Settings string `help:"Settings file of the platform." required:"" env:"${settingsEnv}"`
}

// Run runs a daemon on the users' platform until a signal stops it.
func (e *edgeCmd) Run(ctx context.Context, c *commands) error {
	hangups := notifyHangup()
	s, err := bridge.Load(e.Settings)
	if err != nil {
		return err
	}
	out := logs.New(os.Stdout)
	defer out.Close()
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: c.level()}))
	router.LimitHeap(s.Daemon)
	r := router.New(s.Daemon, bridge.NewStore(s.StoreAddress), bridge.NewProtocol(), router.WithLogger(logger))
	go reloadOnHangup(ctx, hangups, logger, func() error { return e.reload(r) })
	return r.Run(ctx)
}

// reload reads the settings file again. Settings that cannot change while the daemon runs, such as its
// addresses, stay as they are; Router.Reload logs a warning.
func (e *edgeCmd) reload(r *router.Router) error {
	s, err := bridge.Load(e.Settings)
	if err != nil {
		return err
	}
	r.Reload(s.Daemon)
	return nil
}
