package stage

import (
	"context"
	"sync"
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/version/grant"
)

// Churn follows the holders of keys in the platform's objects, by buckets of
// keys, and counts how often one server took over from another.
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

// Expect adds the moves that an event needs at least: each bucket of these
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

// Moves returns the moves of a service's buckets so far, and the least possible.
func (c *Churn) Moves(service string) (moves, least int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moves[service], c.least[service]
}

func (c *Churn) look() {
	data, _ := c.stage.Store.Value(tableObject)
	t, err := grant.Unmarshal(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, share := range t.Services {
		have := c.owner[share.Service]
		if have == nil {
			have = make([]string, keeper.Buckets)
			c.owner[share.Service] = have
		}
		for bucket := range have {
			r, ok := t.RangeOf(share.Service, bucket*(grant.LastKey+1)/keeper.Buckets)
			now := r.Holder.Address
			if !ok || !r.IsOpen() || now == have[bucket] {
				continue
			}
			if have[bucket] != "" {
				c.moves[share.Service]++
			}
			have[bucket] = now
		}
	}
}

// tableObject is the platform's object that holds the table of keys.
const tableObject = "tables/keys"
