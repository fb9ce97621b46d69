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
	ready := bunrouter.New()
	ready.GET("/*path", r.answerReady)
	first, err := r.side(r.settings.Ready, ready)
	if err != nil {
		return nil, err
	}
	if r.settings.Metrics == "" {
		return []io.Closer{first}, nil
	}
	metrics := bunrouter.New()
	metrics.GET("/metrics", r.answerMetrics)
	second, err := r.side(r.settings.Metrics, metrics)
	return []io.Closer{first, second}, err
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

func (r *Router) answerReady(w http.ResponseWriter, _ bunrouter.Request) error {
	if !r.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return nil
}

func (r *Router) answerMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := io.WriteString(w, r.meters.vars.String())
	return err
}
