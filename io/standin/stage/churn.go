package stage

import (
	"context"
	"sync"
	"time"

	"catkinstep/core/process/keeper"
	"catkinstep/core/version/grant"
)

// Churn polls the table of keys that the leader stores on the platform, and counts how often a
// bucket of keys moved from one server to another. It judges a bucket by its first key.
type Churn struct {
	cluster *Cluster

	mu       sync.Mutex
	owners   map[string][]string // address of each bucket's holder, by service
	moves    map[string]int
	minMoves map[string]int
}

// NewChurn starts a Churn, which polls until the context ends.
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

// ExpectMoves adds to the minimum the moves that an event makes necessary: movesPerBucket for
// each bucket that these servers hold now. That is 2 where the buckets leave and come back.
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
	for _, share := range table.Services {
		bucketOwners := c.owners[share.Service]
		if bucketOwners == nil {
			bucketOwners = make([]string, keeper.Buckets)
			c.owners[share.Service] = bucketOwners
		}
		for bucket := range bucketOwners {
			keyRange, ok := table.RangeOf(share.Service, bucket*(grant.LastKey+1)/keeper.Buckets)
			owner := keyRange.Holder.Address
			if !ok || !keyRange.IsOpen() || owner == bucketOwners[bucket] {
				continue
			}
			if bucketOwners[bucket] != "" {
				c.moves[share.Service]++
			}
			bucketOwners[bucket] = owner
		}
	}
}

// tableObject is the name of the platform's object that holds the table of keys.
const tableObject = "tables/keys"
