package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"catkinstep/io/process/admin"
	"catkinstep/io/process/logs"
	"catkinstep/io/process/native"
	"catkinstep/io/process/prefs"
	"catkinstep/io/process/router"
)

// stopTimeout is how long a graceful shutdown may take before the process exits anyway.
const stopTimeout = 15 * time.Second

type serveCmd struct {
	Settings string `help:"Settings file of this host." required:""`
}

// Run runs a daemon until a signal stops it.
func (s *serveCmd) Run(ctx context.Context, c *commands) error {
	hangups := notifyHangup()
	p, err := prefs.Load(s.Settings)
	if err != nil {
		return err
	}
	out := logs.New(os.Stdout)
	defer out.Close()
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: c.level()}))
	router.LimitHeap(native.RouterSettings(p))
	d, err := native.Start(p, native.WithLogger(logger), native.WithOperatorHandler(admin.Handler))
	if err != nil {
		return err
	}
	go reloadOnHangup(ctx, hangups, logger, func() error { return s.reload(d) })
	select {
	case <-ctx.Done():
	case <-d.Done():
		return d.Err()
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return d.Stop(stopCtx)
}

// reload reads the settings file again. Settings that cannot change while the daemon runs, such as its
// addresses, stay as they are; Router.Reload logs a warning.
func (s *serveCmd) reload(d *native.Daemon) error {
	p, err := prefs.Load(s.Settings)
	if err != nil {
		return err
	}
	d.Reload(native.RouterSettings(p))
	return nil
}
