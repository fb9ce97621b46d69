package router

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"catkinstep/io/connection/guard"

	"github.com/uptrace/bunrouter"
)

// startHTTPServers starts the servers for health checks and metrics, which callers do not use.
func (r *Router) startHTTPServers() ([]io.Closer, error) {
	var servers []io.Closer
	for _, l := range []struct {
		address, path string
		handler       bunrouter.HandlerFunc
	}{{r.settings.ReadyAddress, "/*path", r.ServeReady}, {r.settings.MetricsAddress, "/metrics", r.ServeMetrics}} {
		if l.address == "" {
			continue // served elsewhere
		}
		mux := bunrouter.New()
		mux.GET(l.path, l.handler)
		s, err := r.startHTTPServer(l.address, mux)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// readHeaderTimeout bounds how long the header of a health check or an operator's request
// may take to arrive.
const readHeaderTimeout = 5 * time.Second

func (r *Router) startHTTPServer(address string, h http.Handler) (io.Closer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Address, Err: err}
	}
	s := &http.Server{Handler: guard.Handler(h), ConnContext: guard.ConnContext, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: defaultMaxHeaderBytes}
	r.tomb.Go(func() error {
		if err := s.Serve(guard.New(l, r.plan.OtherConns)); !errors.Is(err, http.ErrServerClosed) {
			return &Error{Op: "serve " + address, Kind: Stopped, Err: err}
		}
		return nil
	})
	return s, nil
}

// ServeReady answers the load balancer's health check: 200 if this daemon is ready, and
// 503 otherwise.
func (r *Router) ServeReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if !r.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return nil
}

// ServeMetrics writes the counters and latencies as JSON.
func (r *Router) ServeMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := io.WriteString(w, r.metrics.vars.String())
	return err
}
