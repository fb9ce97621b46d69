package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"catkinstep/io/process/logs"
	"catkinstep/io/process/router"
	bridge "catkinstep/platform"
)

type edgeCmd struct {
	Settings string `help:"Settings file of the platform." required:"" env:"${settingsEnv}"`
}

// Run runs a daemon on the users' platform until it is asked to stop.
func (e *edgeCmd) Run(ctx context.Context, c *commands) error {
	s, err := bridge.Load(e.Settings)
	if err != nil {
		return err
	}
	out := logs.New(os.Stdout)
	defer out.Close()
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: c.level()}))
	r := router.New(s.Daemon, bridge.NewStore(s.StoreAddress), bridge.NewProtocol(), router.WithLogger(logger))
	go reload(ctx, e.Settings, r, logger)
	return r.Run(ctx)
}

// reload reads the settings file again at each SIGHUP. What cannot be changed
// while the daemon runs, as its addresses, is named and stays as it was.
func reload(ctx context.Context, file string, r *router.Router, logger *slog.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
		}
		s, err := bridge.Load(file)
		if err != nil {
			logger.Error("settings: not reloaded, the old ones stay in force", "err", err)
			continue
		}
		r.Reload(s.Daemon)
	}
}
