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
)

// stopPatience is how long a planned stop may take before it is forced.
const stopPatience = 15 * time.Second

type serveCmd struct {
	Settings string `help:"Settings file of this host." required:""`
}

// Run runs a daemon until it is asked to stop.
func (s *serveCmd) Run(ctx context.Context, c *commands) error {
	p, err := prefs.Load(s.Settings)
	if err != nil {
		return err
	}
	out := logs.New(os.Stdout)
	defer out.Close()
	logger := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: c.level()}))
	d, err := native.Start(p, native.WithLogger(logger), native.WithOperator(admin.Handler))
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.Dead():
		return d.Err()
	}
	stop, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	return d.Stop(stop)
}
