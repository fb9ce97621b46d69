package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"catkinstep/core/version/site"
	"catkinstep/core/version/space"
	"catkinstep/io/process/admin"
)

type workspaceCmd struct {
	List   workspaceListCmd   `cmd:"" help:"List workspaces, the hashes of their keys and their allowances."`
	Add    workspaceAddCmd    `cmd:"" help:"Add a workspace."`
	Remove workspaceRemoveCmd `cmd:"" help:"Remove a workspace with its keys."`
	Limit  workspaceLimitCmd  `cmd:"" help:"Set the allowance of a workspace."`
	Key    struct {
		Add    keyAddCmd    `cmd:"" help:"Make an API key for a workspace and print it. It is not stored and cannot be printed again."`
		Remove keyRemoveCmd `cmd:"" help:"Remove an API key from a workspace."`
	} `cmd:"" help:"Add and remove API keys."`
}

type workspaceListCmd struct {
	JSON bool `help:"Print JSON."`
}

// keyDigits is how many digits of a hash are listed; enough to tell keys apart.
const keyDigits = 12

// Run lists the workspaces.
func (l *workspaceListCmd) Run(ctx context.Context, c *commands) error {
	workspaces, err := c.client().Workspaces(ctx)
	if err != nil {
		return err
	}
	if l.JSON {
		return printJSON(workspaces)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tRATE\tBURST\tPRIORITY\tKEY HASHES\t")
	for _, ws := range workspaces {
		priority, rate := "", "no limit"
		if ws.Priority != nil {
			priority = fmt.Sprint(*ws.Priority)
		}
		if ws.Rate > 0 {
			rate = fmt.Sprint(ws.Rate)
		}
		var hashes []string
		for _, h := range ws.KeyHashes {
			hashes = append(hashes, h[:min(keyDigits, len(h))])
		}
		fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%v\t\n", ws.Name, rate, ws.Burst, priority, hashes)
	}
	return w.Flush()
}

type workspaceAddCmd struct {
	Name     string  `arg:"" help:"Name of the workspace."`
	Rate     float64 `help:"Requests per second over all hosts; 0: no limit."`
	Burst    float64 `help:"Requests beyond the rate that may come at once; 0: those of a second."`
	Priority *int    `help:"Priority of its requests; 0 is the highest."`
}

// Run adds a workspace.
func (a *workspaceAddCmd) Run(ctx context.Context, c *commands) error {
	return printAccepted(c.client().ChangeWorkspace(ctx, "add", admin.WorkspaceChange{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Priority: a.Priority}))
}

type workspaceRemoveCmd struct {
	Name string `arg:"" help:"Name of the workspace."`
}

// Run removes a workspace.
func (r *workspaceRemoveCmd) Run(ctx context.Context, c *commands) error {
	return printAccepted(c.client().ChangeWorkspace(ctx, "remove", admin.WorkspaceChange{Name: r.Name}))
}

type workspaceLimitCmd struct {
	Name  string  `arg:"" help:"Name of the workspace."`
	Rate  float64 `required:"" help:"Requests per second over all hosts; 0: no limit."`
	Burst float64 `help:"Requests beyond the rate that may come at once; 0: those of a second."`
}

// Run sets an allowance.
func (l *workspaceLimitCmd) Run(ctx context.Context, c *commands) error {
	return printAccepted(c.client().ChangeWorkspace(ctx, "limit", admin.WorkspaceChange{Name: l.Name, Rate: l.Rate, Burst: l.Burst}))
}

type keyAddCmd struct {
	Name string `arg:"" help:"Name of the workspace."`
}

// Run makes a key. Only its hash leaves this process, so the key is printed last, once it is
// certain that the hash was stored.
func (a *keyAddCmd) Run(ctx context.Context, c *commands) error {
	key := admin.NewAPIKey()
	hash := space.HashKey(key).String()
	if err := printAccepted(c.client().ChangeWorkspace(ctx, "key/add", admin.WorkspaceChange{Name: a.Name, KeyHash: hash})); err != nil {
		return err
	}
	fmt.Printf("hash %s\nkey  %s\n", hash[:keyDigits], key)
	return nil
}

type keyRemoveCmd struct {
	Name string `arg:"" help:"Name of the workspace."`
	Hash string `arg:"" help:"Hash of the key, or its first digits, as workspace list prints them."`
}

// Run removes a key. A text that cannot be a hash is not sent, since it may be the key.
func (r *keyRemoveCmd) Run(ctx context.Context, c *commands) error {
	if err := site.CheckHashPrefix(r.Hash); err != nil {
		return err
	}
	return printAccepted(c.client().ChangeWorkspace(ctx, "key/remove", admin.WorkspaceChange{Name: r.Name, KeyHash: r.Hash}))
}
