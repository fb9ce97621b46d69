package stage

import (
	"context"
	"sync"
	"time"

	"catkinstep/core/process/daemon"
	"catkinstep/core/version/shard"
	"catkinstep/core/version/table"
)

// Churn follows the owners of all shards in the platform's objects and counts
// how often one server took over from another.
type Churn struct {
	stage *Stage

	mu    sync.Mutex
	owner map[string][]string // by service
	moves map[string]int
	least map[string]int
}

// NewChurn begins to follow until the context ends.
func NewChurn(ctx context.Context, r *Stage) *Churn {
	c := &Churn{stage: r, owner: map[string][]string{}, moves: map[string]int{}, least: map[string]int{}}
	c.look()
	go func() {
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				c.look()
			}
		}
	}()
	return c
}

// Expect adds the moves that an event needs at least: each shard of these
// servers has to move, times the number of ways.
func (c *Churn) Expect(service string, servers []string, ways int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.owner[service] {
		for _, s := range servers {
			if o == s {
				c.least[service] += ways
			}
		}
	}
}

// Moves returns the moves of a service's shards so far, and the least possible.
func (c *Churn) Moves(service string) (moves, least int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moves[service], c.least[service]
}

func (c *Churn) look() {
	data, _ := c.stage.Store.Value(daemon.HomesObject)
	homes, err := shard.UnmarshalHomes(data)
	if err != nil {
		return
	}
	tables := map[string]table.Table{}
	for _, d := range c.stage.plan.Site.DataCentres {
		data, _ := c.stage.Store.Value(daemon.TablePrefix + d.Name)
		if t, err := table.Unmarshal(data); err == nil {
			tables[d.Name] = t
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, row := range homes.Rows {
		have := c.owner[service]
		if len(have) != len(row) {
			have = make([]string, len(row))
			c.owner[service] = have
		}
		for s := range row {
			now, ok := tables[homes.Home(service, uint32(s))].Owner(service, uint32(s))
			if !ok || now == have[s] {
				continue
			}
			if have[s] != "" {
				c.moves[service]++
			}
			have[s] = now
		}
	}
}
