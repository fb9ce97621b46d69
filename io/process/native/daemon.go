package native

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"catkinstep/io/connection/guard"
	"catkinstep/io/connection/plat"
	"catkinstep/io/process/prefs"
	"catkinstep/io/process/router"
	"catkinstep/io/process/setup"
)

const (
	// gracePeriod is how long a daemon may take to stop. At first, it still accepts connections,
	// until load balancers have noticed that it is not ready. The rest of the time is enough for
	// twice the duration of the longest usual request.
	gracePeriod = 10 * time.Second
	// coldFactor and coldSlack limit the requests that all daemons together send to a cold
	// server in a second; see setup.Settings. The stand-ins for backend servers can handle that
	// many while they are cold.
	coldFactor = 1.5
	coldSlack  = 5
	// retryShare applies if the active preset sets none. retryBurst is how many retries all
	// daemons together may make at once.
	retryShare = 0.1
	retryBurst = 40
	// operatorTimeout is how long an operator's request may take to arrive, maxOperatorHeaderBytes the size of
	// its header, and maxOperatorConns how many connections are kept at the operator address.
	operatorTimeout        = 5 * time.Second
	maxOperatorHeaderBytes = 16 << 10
	maxOperatorConns       = 64
	// maxGrantTTL is the longest time for which a grant is valid.
	maxGrantTTL = 10 * time.Second
)

// Daemon is a running daemon with the product's own interface.
type Daemon struct {
	*router.Router
	prefs          prefs.Prefs
	platformClient *plat.Client
	operatorServer *http.Server
	cancel         context.CancelFunc
	done           chan struct{}
	err            error
}

// Option configures the Daemon that Start returns.
type Option func(*startOptions)

type startOptions struct {
	logger          *slog.Logger
	operatorHandler func(*Daemon) http.Handler
}

// WithLogger sets the logger of the daemon's decisions. By default nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(options *startOptions) { options.logger = l } }

// WithOperatorHandler makes the daemon serve the operator interface with the handler that
// newHandler returns.
func WithOperatorHandler(newHandler func(*Daemon) http.Handler) Option {
	return func(options *startOptions) { options.operatorHandler = newHandler }
}

// RouterSettings converts the settings file of a daemon, which package prefs reads, to the
// settings of its router. The file calls the seeds peers.
func RouterSettings(p prefs.Prefs) setup.Settings {
	return setup.Settings{
		Name: p.MeshAddress, DataCentre: p.DataCentre, CallerAddress: p.CallerAddress, MeshAddress: p.MeshAddress, Seeds: p.Peers,
		GracePeriod: gracePeriod, ColdFactor: coldFactor, ColdSlack: coldSlack, RetryShare: retryShare, RetryBurst: retryBurst, MaxGrantTTL: maxGrantTTL,
		MaxBodyBytes: int64(p.MaxBodyBytes), MemoryBytes: p.MemoryMegabytes * megabyte, Descriptors: descriptorLimit(), IndirectReleases: p.IndirectReleases, LeaderWitnesses: p.LeaderWitnesses,
	}
}

const megabyte = 1_000_000

// descriptorLimit returns how many file descriptors the process may have open, or 0 if that is not known.
func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors is the most that a daemon plans with.
const maxDescriptors = 65536

// Start starts a daemon. It returns an error if it cannot listen at the operator address;
// failures of the router are reported by Done and Err.
func Start(p prefs.Prefs, opts ...Option) (*Daemon, error) {
	options := startOptions{logger: slog.New(slog.DiscardHandler)}
	for _, o := range opts {
		o(&options)
	}
	d := &Daemon{prefs: p, platformClient: plat.New(p.PlatformAddress, p.DataCentre), done: make(chan struct{})}
	d.Router = router.New(RouterSettings(p), NewStore(d.platformClient), Protocol{}, router.WithLogger(options.logger))
	if options.operatorHandler != nil {
		l, err := net.Listen("tcp", p.OperatorAddress)
		if err != nil {
			return nil, &Error{Op: "listen for operators", Kind: ListenFailed, Err: err}
		}
		d.operatorServer = &http.Server{Handler: guard.Handler(options.operatorHandler(d)), ConnContext: guard.ConnContext, ReadHeaderTimeout: operatorTimeout, ReadTimeout: operatorTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxOperatorHeaderBytes}
		go func() { _ = d.operatorServer.Serve(guard.New(l, maxOperatorConns)) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		d.err = d.Run(ctx)
		d.closeOperatorServer()
	}()
	return d, nil
}

func (d *Daemon) closeOperatorServer() {
	if d.operatorServer != nil {
		_ = d.operatorServer.Close()
	}
}

// Prefs returns the settings that the daemon was started with.
func (d *Daemon) Prefs() prefs.Prefs { return d.prefs }

// PlatformClient returns the daemon's client of the platform's object API.
func (d *Daemon) PlatformClient() *plat.Client { return d.platformClient }

// Done returns a channel that is closed once the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Err returns the error that ended the daemon, or nil while it runs.
func (d *Daemon) Err() error {
	select {
	case <-d.done:
		return d.err
	default:
		return nil
	}
}

// Stop shuts the daemon down gracefully: requests that have been read are answered.
func (d *Daemon) Stop(ctx context.Context) error {
	d.cancel()
	select {
	case <-d.done:
		return d.err
	case <-ctx.Done():
		return &Error{Op: "stop", Kind: StopTimeout, Err: ctx.Err()}
	}
}

// Kill ends the daemon at once and breaks its connections, as SIGKILL does.
func (d *Daemon) Kill() {
	d.Abort()
	d.cancel()
	<-d.done
}
