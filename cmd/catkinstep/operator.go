package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/process/admin"
)

func (c *commands) client() *admin.Client { return admin.NewClient(c.Operator, c.Token) }

type checkCmd struct {
	File string `arg:"" help:"Site file."`
}

// Run checks a site file without a daemon.
func (c *checkCmd) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := site.Parse(c.File, data)
	if err != nil {
		return err
	}
	fmt.Printf("%s: right: %d services, %d data centres, preset %s in force\n", c.File, len(s.Services), len(s.DataCentres), s.ActivePreset().Name)
	return nil
}

type applyCmd struct {
	File string `short:"f" help:"Site file." required:""`
}

// Run checks a site file here first, so that its mistakes name this file.
func (a *applyCmd) Run(ctx context.Context, c *commands) error {
	data, err := os.ReadFile(a.File)
	if err != nil {
		return err
	}
	if _, err := site.Parse(a.File, data); err != nil {
		return err
	}
	return accepted(c.client().Apply(ctx, a.File, data))
}

type presetCmd struct {
	Use struct {
		Name string `arg:"" help:"Preset."`
	} `cmd:"" help:"Put a preset in force."`
}

// Run puts a preset in force.
func (p *presetCmd) Run(ctx context.Context, c *commands) error {
	return accepted(c.client().Preset(ctx, p.Use.Name))
}

type dataCentreCmd struct {
	Out struct {
		Name string `arg:"" help:"Data centre."`
	} `cmd:"" help:"Give a data centre no new work, and move its keys away."`
	In struct {
		Name string `arg:"" help:"Data centre."`
	} `cmd:"" help:"Take a data centre in again."`
}

type hostCmd struct {
	Out struct {
		Address string `arg:"" help:"A backend server as IP:PORT, or the IP number of a host."`
		Lost    bool   `help:"Your word that it has stopped for good: its keys move without its consent."`
	} `cmd:"" help:"Give a host no new work, and move its keys away."`
	In struct {
		Address string `arg:"" help:"A backend server as IP:PORT, or the IP number of a host."`
	} `cmd:"" help:"Take a host in again."`
}

// Run marks a data centre.
func (d *dataCentreCmd) Run(ctx context.Context, c *commands) error {
	if d.Out.Name != "" {
		return accepted(c.client().Out(ctx, site.Exclusion{DataCentre: d.Out.Name}))
	}
	return accepted(c.client().In(ctx, site.Exclusion{DataCentre: d.In.Name}))
}

// Run marks a host.
func (h *hostCmd) Run(ctx context.Context, c *commands) error {
	if h.Out.Address != "" {
		return accepted(c.client().Out(ctx, site.Exclusion{Host: h.Out.Address}))
	}
	return accepted(c.client().In(ctx, site.Exclusion{Host: h.In.Address}))
}

func accepted(a admin.Accepted, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("accepted as version %d: %s (preset %s)\n", a.Version, a.Change, a.Preset)
	return nil
}

type statusCmd struct {
	JSON bool `help:"Print JSON."`
}

// Run prints what is in force where.
func (s *statusCmd) Run(ctx context.Context, c *commands) error {
	st, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(st)
	}
	fmt.Printf("accepted: version %d (%s), preset %s\n", st.Accepted, st.Change, st.Preset)
	for _, o := range st.Outs {
		fmt.Printf("out: %s%s\n", o.DataCentre, o.Host)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATA CENTRE\tDAEMON\tLEADER\tIN FORCE\t")
	for _, d := range st.Daemons {
		force := fmt.Sprintf("version %d", d.Site)
		if d.Behind != "" {
			force += ": " + d.Behind
		}
		leader := ""
		if d.Leader {
			leader = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", d.DataCentre, d.Name, leader, force)
	}
	return w.Flush()
}

type reportCmd struct {
	Burn   burnCmd   `cmd:"" help:"How fast the service levels' error budgets burn, and why."`
	Losses lossesCmd `cmd:"" help:"Which requests were lost and why, from daemons' logs."`
}

type burnCmd struct {
	JSON bool `help:"Print JSON."`
}

// Run prints the burn report.
func (b *burnCmd) Run(ctx context.Context, c *commands) error {
	r, err := c.client().Burn(ctx)
	if err != nil {
		return err
	}
	if b.JSON {
		return printJSON(r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tDATA CENTRE\tWINDOW\tREQUESTS\tANSWERED BURN\tFAST BURN\tCAUSE\tNOT KNOWN\t")
	for _, v := range r.Rows {
		place, gap := v.DataCentre, ""
		if place == "" {
			place = "all"
		}
		if v.ObservedFor < v.Window {
			gap = (v.Window - v.ObservedFor).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%.2f\t%.2f\t%s\t%s\t\n", v.Service, place, v.Window, v.Requests, v.AnsweredBurn, v.FastBurn, v.Cause, gap)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, m := range r.Missing {
		fmt.Printf("not counted: %s does not answer\n", m)
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
