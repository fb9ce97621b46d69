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
	fmt.Printf("%s: valid: %d services, %d data centres, preset %s in force\n", c.File, len(s.Services), len(s.DataCentres), s.ActivePreset().Name)
	return nil
}

type applyCmd struct {
	File string `short:"f" help:"Site file." required:""`
}

// Run puts a site file in force. It checks the file locally first, so that problems are
// reported with the local file name.
func (a *applyCmd) Run(ctx context.Context, c *commands) error {
	data, err := os.ReadFile(a.File)
	if err != nil {
		return err
	}
	if _, err := site.Parse(a.File, data); err != nil {
		return err
	}
	return printAccepted(c.client().Apply(ctx, a.File, data))
}

type presetCmd struct {
	Use struct {
		Name string `arg:"" help:"Name of the preset."`
	} `cmd:"" help:"Put a preset in force."`
}

// Run puts a preset in force.
func (p *presetCmd) Run(ctx context.Context, c *commands) error {
	return printAccepted(c.client().UsePreset(ctx, p.Use.Name))
}

type dataCentreCmd struct {
	Out struct {
		Name string `arg:"" help:"Name of the data centre."`
	} `cmd:"" help:"Send no new requests to a data centre, and move its keys away."`
	In struct {
		Name string `arg:"" help:"Name of the data centre."`
	} `cmd:"" help:"Put a data centre back into service."`
}

type hostCmd struct {
	Out struct {
		Address string `arg:"" help:"A backend server as IP:PORT, or the IP address of a host."`
		Lost    bool   `help:"Confirm that it has stopped for good: its keys move without being released."`
	} `cmd:"" help:"Send no new requests to a host, and move its keys away."`
	In struct {
		Address string `arg:"" help:"A backend server as IP:PORT, or the IP address of a host."`
	} `cmd:"" help:"Put a host back into service."`
}

// Run takes a data centre out of service, or puts it back.
func (d *dataCentreCmd) Run(ctx context.Context, c *commands) error {
	if d.Out.Name != "" {
		return printAccepted(c.client().Exclude(ctx, site.Exclusion{DataCentre: d.Out.Name}))
	}
	return printAccepted(c.client().RemoveExclusion(ctx, site.Exclusion{DataCentre: d.In.Name}))
}

// Run takes a host out of service, or puts it back.
func (h *hostCmd) Run(ctx context.Context, c *commands) error {
	if h.Out.Address != "" {
		return printAccepted(c.client().Exclude(ctx, site.Exclusion{Host: h.Out.Address}))
	}
	return printAccepted(c.client().RemoveExclusion(ctx, site.Exclusion{Host: h.In.Address}))
}

func printAccepted(accepted admin.AcceptedChange, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("accepted as version %d: %s (preset %s)\n", accepted.Version, accepted.Description, accepted.Preset)
	return nil
}

type statusCmd struct {
	JSON bool `help:"Print JSON."`
}

// Run prints which configuration each daemon has in force.
func (s *statusCmd) Run(ctx context.Context, c *commands) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(status)
	}
	fmt.Printf("accepted: version %d (%s), preset %s\n", status.AcceptedVersion, status.ChangeDescription, status.Preset)
	for _, e := range status.Exclusions {
		fmt.Printf("out: %s%s\n", e.DataCentre, e.Host)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATA CENTRE\tDAEMON\tLEADER\tIN FORCE\t")
	for _, d := range status.Daemons {
		inForce := fmt.Sprintf("version %d", d.ConfigVersion)
		if d.BehindReason != "" {
			inForce += ": " + d.BehindReason
		}
		if d.CutOff {
			inForce += "; reaches no servers, others serve its requests"
		}
		leader := ""
		if d.Leader {
			leader = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", d.DataCentre, d.Name, leader, inForce)
	}
	return w.Flush()
}

type reportCmd struct {
	Burn   burnCmd   `cmd:"" help:"Show how fast services use up their error budgets, and why."`
	Losses lossesCmd `cmd:"" help:"Show which requests were lost and why, from daemons' logs."`
}

type burnCmd struct {
	JSON bool `help:"Print JSON."`
}

// Run prints the burn report.
func (b *burnCmd) Run(ctx context.Context, c *commands) error {
	r, err := c.client().BurnReport(ctx)
	if err != nil {
		return err
	}
	if b.JSON {
		return printJSON(r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tDATA CENTRE\tWINDOW\tREQUESTS\tANSWERED BURN\tFAST BURN\tCAUSE\tNOT KNOWN\t")
	for _, row := range r.Rows {
		dataCentre, unobserved := row.DataCentre, ""
		if dataCentre == "" {
			dataCentre = "all"
		}
		if row.ObservedFor < row.Window {
			unobserved = (row.Window - row.ObservedFor).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%.2f\t%.2f\t%s\t%s\t\n", row.Service, dataCentre, row.Window, row.Requests, row.AnsweredBurn, row.FastBurn, row.Cause, unobserved)
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
