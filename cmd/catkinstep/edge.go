package main

import (
	"context"
	"log/slog"
	"os"

	"catkinstep/io/process/logs"
	"catkinstep/io/process/router"
	"catkinstep/platform"
)

type edgeCmd struct {
	Settings string `help:"Settings file of the platform." env:"CATKINSTEP_BOOT" required:""`
}

// Run runs a daemon on the users' platform until it is told to stop.
func (e *edgeCmd) Run(ctx context.Context, c *commands) error {
	s, err := platform.Load(e.Settings)
	if err != nil {
		return err
	}
	out := logs.New(os.Stdout)
	defer out.Close()
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: c.level()}))
	r := router.New(s.Router, platform.NewStore(s.StoreAddress), platform.NewSpeech(), router.WithLogger(logger))
	return r.Run(ctx)
}
