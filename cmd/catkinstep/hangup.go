package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// notifyHangup returns a channel that receives SIGHUP until the process ends. The signal never gets its default
// action back: it would end a daemon that is stopping, and cut its running requests.
func notifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloadOnHangup calls reload on each SIGHUP, until the process ends. A daemon that is stopping, so that
// ctx is done, keeps its settings.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, logger *slog.Logger, reload func() error) {
	for range hangups {
		if ctx.Err() != nil {
			logger.Info("settings: not reloaded, the daemon is stopping")
			continue
		}
		if err := reload(); err != nil {
			logger.Error("settings: reload failed, keeping the old settings", "err", err)
		}
	}
}
