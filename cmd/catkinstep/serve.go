package main

import (
	"context"
	"time"

	"catkinstep/io/process/admin"
	"catkinstep/io/process/node"
	"catkinstep/io/process/prefs"
)

// stopPatience is how long a planned stop may take before it is forced.
const stopPatience = 15 * time.Second

type serveCmd struct {
	Settings string `help:"Settings file of this host." required:""`
}

// Run runs a daemon until it is told to stop.
func (s *serveCmd) Run(ctx context.Context, c *commands) error {
	p, err := prefs.Load(s.Settings)
	if err != nil {
		return err
	}
	n, err := node.Start(p, node.WithLogger(c.logger()), node.WithOperator(admin.Handler))
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.Dead():
		return n.Err()
	}
	stop, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	return n.Stop(stop)
}
