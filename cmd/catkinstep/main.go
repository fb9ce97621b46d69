// Command catkinstep routes callers' requests to backend servers that own keys
// exclusively. Run "catkinstep --help" for its commands; README.md has a tour.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"catkinstep/core/version/check"
	bridge "catkinstep/platform"
)

// version is what "catkinstep version" prints.
const version = "0.1.0"

type commands struct {
	Operator string `help:"Address of any daemon's operator interface, as IP:PORT." default:"127.0.0.1:7200" env:"CATKINSTEP_OPERATOR"`
	Token    string `help:"Bearer token of the operator interface." env:"CATKINSTEP_TOKEN"`
	LogLevel string `help:"Minimum level of log messages." enum:"debug,info,warn,error" default:"info"`

	Serve      serveCmd      `cmd:"" help:"Run a daemon on this host."`
	Edge       edgeCmd       `cmd:"" help:"Run a daemon on the users' platform."`
	Check      checkCmd      `cmd:"" help:"Check a site file and list all problems."`
	Apply      applyCmd      `cmd:"" help:"Put a site file in force."`
	Preset     presetCmd     `cmd:"" help:"Switch to another preset."`
	Workspace  workspaceCmd  `cmd:"" help:"Manage workspaces, their API keys and allowances."`
	Datacentre dataCentreCmd `cmd:"" help:"Take a data centre out of service, or put it back."`
	Host       hostCmd       `cmd:"" help:"Take a host out of service, or put it back."`
	Status     statusCmd     `cmd:"" help:"Show which configuration each daemon has in force."`
	Report     reportCmd     `cmd:"" help:"Show reports."`
	Demo       demoCmd       `cmd:"" help:"Run a whole site in one process, with load, operator commands and failures."`
	Outages    outagesCmd    `cmd:"" help:"Measure how long keys are not served after the loss of a server, daemon or data centre."`
	Idle       idleCmd       `cmd:"" help:"Measure control traffic and platform calls without load."`
	Bench      benchCmd      `cmd:"" help:"Run a benchmark scenario."`
	Standin    standinCmd    `cmd:"" help:"Run stand-ins for the platform and for backend servers."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("catkinstep", version)
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c commands
	k := kong.Parse(&c, kong.Name("catkinstep"), kong.Description("A router for backend servers that own keys exclusively."), kong.UsageOnError(),
		kong.Vars{"settingsEnv": bridge.SettingsEnv})
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(&c); err != nil {
		printError(err)
		stop()
		os.Exit(1) //nolint:gocritic // stop was called above
	}
}

// printError prints an error. Problems of a file are printed one per line, in the format that
// compilers use.
func printError(err error) {
	var fileErrs check.FileErrors
	if errors.As(err, &fileErrs) {
		fmt.Fprintln(os.Stderr, fileErrs)
		return
	}
	fmt.Fprintln(os.Stderr, "catkinstep:", err)
}

func (c *commands) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: c.level()}))
}

func (c *commands) level() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	return level
}
