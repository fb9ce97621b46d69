package native

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"catkinstep/io/connection/plat"
	"catkinstep/io/process/prefs"
	"catkinstep/io/process/router"
	"catkinstep/io/process/setup"
)

const (
	// grace is how long a planned stop may take: the linger for balancers and
	// twice the usual longest request.
	grace = 10 * time.Second
	// coldFactor and coldSlack bound what a cold server gets of all daemons in a
	// second beside its own rate: what the stand-ins for servers bear.
	coldFactor = 1.5
	coldSlack  = 5
	// retryShare is for sites whose preset names none; retryBurst is how many
	// extra attempts all daemons may make at once.
	retryShare = 0.1
	retryBurst = 40
	// holdMost bounds a grant.
	holdMost = 10 * time.Second
)

// Daemon is one running daemon of the product's own interface.
type Daemon struct {
	*router.Router
	prefs    prefs.Prefs
	platform *plat.Client
	operator *http.Server
	end      context.CancelFunc
	done     chan struct{}
	err      error
}

// Option changes a Daemon that Start makes.
type Option func(*start)

type start struct {
	log      *slog.Logger
	operator func(*Daemon) http.Handler
}

// WithLogger sets where decisions are logged; by default they are dropped.
func WithLogger(l *slog.Logger) Option { return func(s *start) { s.log = l } }

// WithOperator serves the operator's interface by a handler.
func WithOperator(h func(*Daemon) http.Handler) Option { return func(s *start) { s.operator = h } }

// Settings are a settings file in the router's terms.
func Settings(p prefs.Prefs) setup.Settings {
	return setup.Settings{
		Name: p.Mesh, DataCentre: p.DataCentre, Callers: p.Callers, Mesh: p.Mesh, Seeds: p.Peers,
		Grace: grace, ColdFactor: coldFactor, ColdSlack: coldSlack, RetryShare: retryShare, RetryBurst: retryBurst, HoldMost: holdMost,
		BodyMost: int64(p.MaxBody),
	}
}

// Start opens the daemon's addresses and runs it.
func Start(p prefs.Prefs, opts ...Option) (*Daemon, error) {
	s := start{log: slog.New(slog.DiscardHandler)}
	for _, o := range opts {
		o(&s)
	}
	d := &Daemon{prefs: p, platform: plat.New(p.Platform, p.DataCentre), done: make(chan struct{})}
	d.Router = router.New(Settings(p), NewStore(d.platform), Protocol{}, router.WithLogger(s.log))
	if s.operator != nil {
		l, err := net.Listen("tcp", p.Operator)
		if err != nil {
			return nil, &Error{Op: "listen for operators", Kind: Address, Err: err}
		}
		d.operator = &http.Server{Handler: s.operator(d), ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = d.operator.Serve(l) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.end = cancel
	go func() {
		defer close(d.done)
		d.err = d.Run(ctx)
		d.closeOperator()
	}()
	return d, nil
}

func (d *Daemon) closeOperator() {
	if d.operator != nil {
		_ = d.operator.Close()
	}
}

// Prefs are the settings that the daemon was started with.
func (d *Daemon) Prefs() prefs.Prefs { return d.prefs }

// Platform is the daemon's client of the platform.
func (d *Daemon) Platform() *plat.Client { return d.platform }

// Dead is closed once the daemon has ended.
func (d *Daemon) Dead() <-chan struct{} { return d.done }

// Err is why the daemon ended, or nil while it runs.
func (d *Daemon) Err() error {
	select {
	case <-d.done:
		return d.err
	default:
		return nil
	}
}

// Stop ends the daemon as planned: what was read is answered.
func (d *Daemon) Stop(ctx context.Context) error {
	d.end()
	select {
	case <-d.done:
		return d.err
	case <-ctx.Done():
		return &Error{Op: "stop", Kind: Stopped, Err: ctx.Err()}
	}
}

// Kill ends the daemon at once, as SIGKILL ends a process: connections break.
func (d *Daemon) Kill() {
	d.Abort()
	d.end()
	<-d.done
}
