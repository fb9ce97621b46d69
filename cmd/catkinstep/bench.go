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
	Site string        `help:"Whose site." enum:"lakeshore,graniteHearth" default:"lakeshore"`
	For  time.Duration `help:"How long the load runs." default:"20s"`
	Seed uint64        `help:"Seed." default:"1"`
	Rate float64       `help:"Requests a second of each service." default:"250"`
}

// Run plays a short story over a whole site in one process.
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
	return conclude(os.Stdout, rows)
}

type outagesCmd struct {
	Kind  string `arg:"" help:"One of server, frozenServer, daemon, leader, dataCentre."`
	Tries int    `help:"How often." default:"20"`
	Seed  uint64 `help:"Seed." default:"1"`
}

// Run measures how long keys are not served after a loss.
func (o *outagesCmd) Run(ctx context.Context) error {
	got, err := bench.MeasureOutages(ctx, o.Kind, o.Tries, bench.WithSeed(o.Seed), bench.WithProgress(os.Stderr))
	if err != nil {
		return err
	}
	return printJSON(got)
}

type idleCmd struct {
	Daemons int           `help:"How many." default:"9"`
	For     time.Duration `help:"How long." default:"60s"`
}

// Run counts control traffic and platform calls without any load.
func (i *idleCmd) Run(ctx context.Context) error {
	got, err := bench.MeasureIdle(ctx, i.Daemons, i.For)
	if err != nil {
		return err
	}
	return printJSON(got)
}

type benchCmd struct {
	Scenario string        `arg:"" help:"One of steady, slowed, departure, turnsCold, hotKey, serverLoss, hostLoss."`
	Against  string        `help:"Measure a baseline too." enum:",direct" default:""`
	For      time.Duration `help:"How long the load runs." default:"20s"`
	Seed     uint64        `help:"Seed." default:"1"`
	Rate     float64       `help:"Requests a second of each service." default:"600"`
	Site     string        `help:"Whose site." enum:"lakeshore,graniteHearth" default:"lakeshore"`
	Work     time.Duration `help:"Mean time of a request at a server." default:"10ms"`
	JSON     string        `help:"Write the rows to a file."`
}

// Run measures a scenario.
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
		if err := os.WriteFile(b.JSON, append(data, '\n'), 0o644); err != nil { //nolint:gosec // a report for everyone
			return err
		}
	}
	return conclude(os.Stdout, rows)
}

// conclude prints the measures and the oracle's verdict; a violation by
// catkinstep is an error.
func conclude(out io.Writer, rows []bench.Row) error {
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
	bad, seen := 0, map[string]bool{}
	for _, r := range rows {
		if seen[r.Variant] {
			continue // the verdict is of the whole run, the same in all rows
		}
		seen[r.Variant] = true
		v := r.Violations
		fmt.Fprintf(out, "oracle on %s: twoOwners %d, doubleRun %d, wrongAnswer %d, falseNotRun %d, overload %d, newWorkAfterOut %d, cutRequest %d\n",
			r.Variant, v.TwoOwners, v.DoubleRun, v.WrongAnswer, v.FalseNotRun, v.Overload, v.NewWorkAfterOut, v.CutRequest)
		if r.Variant == bench.Catkinstep {
			bad += v.Total()
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
	if bad > 0 {
		return errors.New("the oracle found violations")
	}
	return nil
}
