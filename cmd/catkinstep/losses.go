package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"catkinstep/core/process/loss"
)

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

type lossesCmd struct {
	Logs   []string      `arg:"" help:"Logs of daemons, as they wrote them or with something before each line." type:"existingfile"`
	Window time.Duration `help:"Spans of time to count by." default:"2s"`
	Most   int           `help:"Longest table." default:"20"`
}

// Run prints the requests that were refused, failed or late, by cause and place.
func (c *lossesCmd) Run() error {
	if c.Window <= 0 {
		return fmt.Errorf("--window must be above 0, not %v", c.Window)
	}
	t := loss.New(c.Window)
	for _, name := range c.Logs {
		if err := addLog(t, name); err != nil {
			return err
		}
	}
	return c.print(t)
}

// addLog reads one log. A line that cannot be read is named and the rest is read
// all the same: the last one of a daemon that was killed is often cut.
func addLog(t *loss.Tally, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, longestLine)
	for n := 1; lines.Scan(); n++ {
		l, ok, err := loss.Parse(lines.Bytes())
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s:%d: %v\n", name, n, err)
		}
		if ok {
			t.Add(l)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (c *lossesCmd) print(t *loss.Tally) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, table := range []struct {
		by    loss.Dimension
		title string
		most  int
	}{{loss.ByCause, "CAUSE", c.Most}, {loss.ByRoute, "ROUTE", c.Most}, {loss.ByTime, "TIME", 0}, {loss.ByServer, "SERVER", c.Most}, {loss.ByKeys, "KEYS", c.Most}} {
		printLosses(w, table.title, t.Rows(table.by), table.most)
	}
	return w.Flush()
}

// printLosses prints a table, or its first rows if there is a bound.
func printLosses(w io.Writer, title string, rows []loss.Row, most int) {
	fmt.Fprintf(w, "%s\tLOST\tMOST OFTEN\t\n", title)
	for i, r := range rows {
		if most > 0 && i == most {
			fmt.Fprintf(w, "%d more\t\t\t\n", len(rows)-most)
			break
		}
		fmt.Fprintf(w, "%s\t%d\t%s (%d)\t\n", r.Group, r.Lost, r.TopCause, r.TopCauseCount)
	}
	fmt.Fprintln(w)
}
