package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"catkinstep/io/standin/oracle"
	"catkinstep/io/standin/server"
	"catkinstep/io/standin/store"
)

type standinCmd struct {
	Platform platformCmd `cmd:"" help:"Run a stand-in for the platform's object API."`
	Server   serverCmd   `cmd:"" help:"Run a stand-in for one backend server."`
	Verdict  verdictCmd  `cmd:"" help:"Check the requests that server stand-ins ran: find keys with two owners, double runs and overload."`
}

type platformCmd struct {
	Listen string `help:"Address as IP:PORT." default:"127.0.0.1:7000"`
	Seed   uint64 `help:"Seed of the injected faults." default:"1"`
}

// Run runs the platform stand-in.
func (p *platformCmd) Run(ctx context.Context) error {
	s := &http.Server{Addr: p.Listen, Handler: store.New(store.WithSeed(p.Seed)), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	return nil
}

type serverCmd struct {
	Listen     string        `help:"Address as IP:PORT." required:""`
	Service    string        `help:"Name of the service." required:""`
	DataCentre string        `help:"Name of the data centre."`
	Slots      int           `help:"How many requests the server runs concurrently." default:"3"`
	Keyed      bool          `help:"Run a request only while the server holds its key."`
	Cold       time.Duration `help:"How long the server is cold after its start." default:"3s"`
	ColdRate   float64       `help:"How many requests per second the server can handle while cold; 0: never cold." default:"20"`
	Work       time.Duration `help:"Mean service time of a request." default:"5ms"`
	Seed       uint64        `help:"Seed of the random numbers." default:"1"`
	Workspaces []string      `help:"Workspaces whose requests the server may get; none: callers need no keys."`
}

// Run runs a backend server stand-in.
func (s *serverCmd) Run(ctx context.Context) error {
	v := server.New(server.Config{
		Address: s.Listen, Service: s.Service, DataCentre: s.DataCentre, Slots: s.Slots,
		Keyed: s.Keyed, MeanServiceTime: s.Work, ColdPeriod: s.Cold, ColdRate: s.ColdRate, Seed: s.Seed, Workspaces: s.Workspaces,
	}, nil)
	if err := v.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	v.Stop()
	return nil
}

type verdictCmd struct {
	Servers []string `arg:"" help:"Addresses of server stand-ins."`
}

// Run fetches the requests that the server stand-ins ran and passes them to the oracle, which
// checks them against the guarantees of the product. It prints the oracle's verdict, which holds
// the violations by kind, and returns an error if there are any.
func (v *verdictCmd) Run(ctx context.Context) error {
	o := oracle.New()
	for _, address := range v.Servers {
		runs, err := fetchRuns(ctx, address)
		if err != nil {
			return fmt.Errorf("verdict: %s: %w", address, err)
		}
		for _, r := range runs {
			o.RecordRun(r)
		}
	}
	verdict := o.Verdict()
	fmt.Printf("%d runs\n", o.RunCount())
	if err := printJSON(verdict); err != nil {
		return err
	}
	if verdict.Total() > 0 {
		return errors.New("the oracle found violations")
	}
	return nil
}

func fetchRuns(ctx context.Context, address string) ([]oracle.Run, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/runs", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	var runs []oracle.Run
	err = json.NewDecoder(resp.Body).Decode(&runs)
	return runs, err
}
