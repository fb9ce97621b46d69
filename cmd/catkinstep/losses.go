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

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

type lossesCmd struct {
	Logs   []string      `arg:"" help:"Log files of daemons. Lines may have a prefix, such as that of a log collector." type:"existingfile"`
	Window time.Duration `help:"Length of the time windows of the table by time." default:"2s"`
	Most   int           `help:"Maximum number of rows of a table; 0: no limit. The table by time has no limit." default:"20"`
}

// Run counts the requests that were refused, failed or late, and prints the counts by cause,
// route, time, server and keys.
func (c *lossesCmd) Run() error {
	if c.Window <= 0 {
		return fmt.Errorf("--window must be positive, not %v", c.Window)
	}
	t := loss.New(c.Window)
	for _, name := range c.Logs {
		if err := tallyLog(t, name); err != nil {
			return err
		}
	}
	return c.print(t)
}

// tallyLog counts the lost requests of one log. It reports lines that cannot be parsed and
// goes on, since the last line of a killed daemon is often incomplete.
func tallyLog(t *loss.Tally, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file was only read
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		entry, ok, err := loss.Parse(lines.Bytes())
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s:%d: %v\n", name, n, err)
		}
		if ok {
			t.Add(entry)
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
		by      loss.Dimension
		title   string
		maxRows int
	}{{loss.ByCause, "CAUSE", c.Most}, {loss.ByRoute, "ROUTE", c.Most}, {loss.ByTime, "TIME", 0}, {loss.ByServer, "SERVER", c.Most}, {loss.ByKeys, "KEYS", c.Most}} {
		printLosses(w, table.title, t.Rows(table.by), table.maxRows)
	}
	return w.Flush()
}

// printLosses prints a table. If maxRows is positive, it prints only that many rows.
func printLosses(w io.Writer, title string, rows []loss.Row, maxRows int) {
	fmt.Fprintf(w, "%s\tLOST\tMOST OFTEN\t\n", title)
	for i, r := range rows {
		if maxRows > 0 && i == maxRows {
			fmt.Fprintf(w, "%d more\t\t\t\n", len(rows)-maxRows)
			break
		}
		fmt.Fprintf(w, "%s\t%d\t%s (%d)\t\n", r.Group, r.Lost, r.TopCause, r.TopCauseCount)
	}
	fmt.Fprintln(w)
}
