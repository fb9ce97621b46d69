package router

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"
)

// sideListeners serve the balancer's question and the metrics.
func (r *Router) sideListeners() ([]io.Closer, error) {
	var out []io.Closer
	for _, l := range []struct {
		address, path string
		answer        bunrouter.HandlerFunc
	}{{r.settings.ReadyAddress, "/*path", r.AnswerReady}, {r.settings.MetricsAddress, "/metrics", r.AnswerMetrics}} {
		if l.address == "" {
			continue // served elsewhere
		}
		mux := bunrouter.New()
		mux.GET(l.path, l.answer)
		s, err := r.side(l.address, mux)
		if err != nil {
			return out, err
		}
		out = append(out, s)
	}
	return out, nil
}

// sideTimeout bounds what a question of the balancer or an operator may take.
const sideTimeout = 5 * time.Second

func (r *Router) side(address string, h http.Handler) (io.Closer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: Address, Err: err}
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: sideTimeout, IdleTimeout: time.Minute}
	r.tomb.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return &Error{Op: "serve " + address, Kind: Stopped, Err: err}
		}
		return nil
	})
	return s, nil
}

// AnswerReady tells a balancer whether to send callers here.
func (r *Router) AnswerReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if !r.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return nil
}

// AnswerMetrics writes the counters and latencies.
func (r *Router) AnswerMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := io.WriteString(w, r.meters.vars.String())
	return err
}
