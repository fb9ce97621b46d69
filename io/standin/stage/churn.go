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
	cluster *Cluster

	mu       sync.Mutex
	owners   map[string][]string // by service
	moves    map[string]int
	minMoves map[string]int
}

// NewChurn begins to follow until the context ends.
func NewChurn(ctx context.Context, cluster *Cluster) *Churn {
	c := &Churn{cluster: cluster, owners: map[string][]string{}, moves: map[string]int{}, minMoves: map[string]int{}}
	c.poll()
	go func() {
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				c.poll()
			}
		}
	}()
	return c
}

// Expect adds the moves that an event needs at least: each bucket of these
// servers has to move, times the number of ways.
func (c *Churn) ExpectMoves(service string, servers []string, movesPerBucket int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.owners[service] {
		for _, s := range servers {
			if o == s {
				c.minMoves[service] += movesPerBucket
			}
		}
	}
}

// Moves returns the moves of a service's buckets so far, and the least possible.
func (c *Churn) Moves(service string) (moves, minMoves int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moves[service], c.minMoves[service]
}

func (c *Churn) poll() {
	data, _ := c.cluster.Store.Value(tableObject)
	t, err := grant.Unmarshal(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, share := range t.Shares {
		bucketOwners := c.owners[share.Service]
		if bucketOwners == nil {
			bucketOwners = make([]string, keeper.Buckets)
			c.owners[share.Service] = bucketOwners
		}
		for bucket := range bucketOwners {
			r, ok := t.Owner(share.Service, bucket*(grant.LastKey+1)/keeper.Buckets)
			owner := r.Holder.Address
			if !ok || !r.Open() || owner == bucketOwners[bucket] {
				continue
			}
			if bucketOwners[bucket] != "" {
				c.moves[share.Service]++
			}
			bucketOwners[bucket] = owner
		}
	}
}

// tableObject is the platform's object that holds the table of keys.
const tableObject = "tables/keys"
