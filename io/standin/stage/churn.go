package stage

import (
	"context"
	"sync"
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/version/grant"
)

// Churn polls the table of keys that the leader stores on the platform, and counts how often a
// bucket of keys moved from one server to another. It looks only at the first key of each bucket.
type Churn struct {
	cluster *Cluster

	mu       sync.Mutex
	holders  map[string][]string // address of each bucket's holder, by service and bucket
	moves    map[string]int
	minMoves map[string]int
}

// NewChurn starts a Churn, which polls until the context ends.
func NewChurn(ctx context.Context, cluster *Cluster) *Churn {
	c := &Churn{cluster: cluster, holders: map[string][]string{}, moves: map[string]int{}, minMoves: map[string]int{}}
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

// ExpectMoves adds the moves that an event makes necessary to the minimum: movesPerBucket for
// each bucket that these servers hold now, which is 2 if the buckets move away and come back.
func (c *Churn) ExpectMoves(service string, servers []string, movesPerBucket int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, holder := range c.holders[service] {
		for _, s := range servers {
			if holder == s {
				c.minMoves[service] += movesPerBucket
			}
		}
	}
}

// Moves returns the number of moves of a service's buckets so far, and the minimum that the
// expected events make necessary.
func (c *Churn) Moves(service string) (moves, minMoves int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moves[service], c.minMoves[service]
}

func (c *Churn) poll() {
	data, _ := c.cluster.Store.Value(tableObject)
	table, err := grant.Unmarshal(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ranges := range table.Services {
		bucketHolders := c.holders[ranges.Service]
		if bucketHolders == nil {
			bucketHolders = make([]string, keeper.Buckets)
			c.holders[ranges.Service] = bucketHolders
		}
		for bucket := range bucketHolders {
			keyRange, ok := table.RangeOf(ranges.Service, bucket*(grant.LastKey+1)/keeper.Buckets)
			holder := keyRange.Holder.Address
			if !ok || !keyRange.IsOpen() || holder == bucketHolders[bucket] {
				continue
			}
			if bucketHolders[bucket] != "" {
				c.moves[ranges.Service]++
			}
			bucketHolders[bucket] = holder
		}
	}
}

// tableObject is the name of the platform's object that holds the table of keys.
const tableObject = "tables/keys"
