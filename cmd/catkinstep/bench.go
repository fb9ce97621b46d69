package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"catkinstep/io/standin/bench"
	"catkinstep/io/standin/stage"
)

type demoCmd struct {
	Site string        `help:"Site to run." enum:"lakeshore,graniteHearth" default:"lakeshore"`
	For  time.Duration `help:"How long the load runs." default:"20s"`
	Seed uint64        `help:"Seed of the random numbers." default:"1"`
	Rate float64       `help:"Requests per second for each service." default:"250"`
}

// Run runs a whole site in one process under load, with a series of operator commands and
// failures.
func (d *demoCmd) Run(ctx context.Context, c *commands) error {
	plan := stage.Lakeshore()
	if d.Site == "graniteHearth" {
		plan = stage.GraniteHearth()
	}
	opts := []bench.Option{bench.WithPlan(plan), bench.WithDuration(d.For), bench.WithSeed(d.Seed), bench.WithRate(d.Rate), bench.WithProgress(os.Stdout)}
	if c.LogLevel == "debug" {
		opts = append(opts, bench.WithLogger(c.logger()))
	}
	rows, err := bench.Run(ctx, "story", opts...)
	if err != nil {
		return err
	}
	return printRows(os.Stdout, rows)
}

type outagesCmd struct {
	Kind  string `arg:"" help:"Kind of loss: server, frozenServer, daemon, leader or dataCentre."`
	Tries int    `help:"How many losses to measure." default:"20"`
	Seed  uint64 `help:"Seed of the random numbers." default:"1"`
}

// Run measures how long keys are not served after the loss of a server, daemon or data centre.
func (o *outagesCmd) Run(ctx context.Context) error {
	results, err := bench.MeasureOutages(ctx, o.Kind, o.Tries, bench.WithSeed(o.Seed), bench.WithProgress(os.Stderr))
	if err != nil {
		return err
	}
	return printJSON(results)
}

type idleCmd struct {
	Daemons int           `help:"How many daemons to run." default:"9"`
	For     time.Duration `help:"How long to measure." default:"60s"`
}

// Run measures control traffic and platform calls without load.
func (i *idleCmd) Run(ctx context.Context) error {
	results, err := bench.MeasureIdle(ctx, i.Daemons, i.For)
	if err != nil {
		return err
	}
	return printJSON(results)
}

type benchCmd struct {
	Scenario string        `arg:"" help:"Scenario: steady, slowed, departure, turnsCold, hotKey, serverLoss or hostLoss."`
	Against  string        `help:"Baseline to measure as well." enum:",direct" default:""`
	For      time.Duration `help:"How long the load runs." default:"20s"`
	Seed     uint64        `help:"Seed of the random numbers." default:"1"`
	Rate     float64       `help:"Requests per second for each service." default:"600"`
	Site     string        `help:"Site to run." enum:"lakeshore,graniteHearth" default:"lakeshore"`
	Work     time.Duration `help:"Mean service time of a request at a server." default:"10ms"`
	JSON     string        `help:"File to which the rows are also written as JSON."`
}

// Run measures one scenario.
func (b *benchCmd) Run(ctx context.Context, c *commands) error {
	opts := []bench.Option{bench.WithDuration(b.For), bench.WithSeed(b.Seed), bench.WithRate(b.Rate), bench.WithProgress(os.Stderr)}
	plan := stage.Lakeshore()
	if b.Site == "graniteHearth" {
		plan = stage.GraniteHearth()
	}
	plan.MeanServiceTime = b.Work
	opts = append(opts, bench.WithPlan(plan))
	if b.Against != "" {
		opts = append(opts, bench.WithVariant(b.Against))
	}
	if c.LogLevel == "debug" {
		opts = append(opts, bench.WithLogger(c.logger()))
	}
	rows, err := bench.Run(ctx, b.Scenario, opts...)
	if err != nil {
		return err
	}
	if b.JSON != "" {
		data, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(b.JSON, append(data, '\n'), 0o644); err != nil { //nolint:gosec // the report may be world-readable
			return err
		}
	}
	return printRows(os.Stdout, rows)
}

// printRows prints the measurements and the oracle's verdict. It returns an error if the oracle
// found violations by catkinstep; those of a baseline are only printed.
func printRows(out io.Writer, rows []bench.Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VARIANT\tSERVICE\tREQUESTS\tANSWERED\tNOT RUN\tUNKNOWN\tP50\tP99\tP99.9\tP99 OF ALL\tIMBALANCE\tCHURN (LEAST)\tUNAVAILABLE\tEXTRA WORK\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f%%\t%d\t%d\t%v\t%v\t%v\t%v\t%.2f\t%d (%d)\t%v\t%.2f%%\t\n", r.Variant, r.Service, r.Requests,
			100*float64(r.Answered)/float64(max(1, r.Requests)), r.RefusedNotRun, r.Unknown, r.P50, r.P99, r.P999, r.P99All,
			r.Imbalance, r.Churn, r.MinChurn, r.Unavailable, 100*r.DuplicateRunShare)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	violations, printed := 0, map[string]bool{}
	for _, r := range rows {
		if printed[r.Variant] {
			continue // the verdict covers the whole run and is the same in all rows of a variant
		}
		printed[r.Variant] = true
		v := r.Violations
		fmt.Fprintf(out, "oracle on %s: twoOwners %d, doubleRun %d, wrongAnswer %d, falseNotRun %d, overload %d, newWorkAfterOut %d, cutRequest %d\n",
			r.Variant, v.TwoOwners, v.DoubleRun, v.WrongAnswer, v.FalseNotRun, v.Overload, v.NewWorkAfterOut, v.CutRequest)
		if r.Variant == bench.Catkinstep {
			violations += v.Total()
			for _, f := range v.Findings {
				fmt.Fprintln(out, "  "+f)
			}
		}
	}
	for _, r := range rows {
		if len(r.ErrorCodes) > 0 {
			fmt.Fprintf(out, "%s %s refusals and unknowns: %v\n", r.Variant, r.Service, r.ErrorCodes)
		}
	}
	if violations > 0 {
		return errors.New("the oracle found violations")
	}
	return nil
}
