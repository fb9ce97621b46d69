// Package shard divides keys into hash ranges and says in which data centre
// each range has its home. Nothing is kept per key: a billion keys are some
// thousands of shards, and only moves of shards are ever written.
//
// # Usage
//
//	n := shard.Of("blade-4711", 256)           // the shard of a key
//	want := shard.Spread(have, weights)        // fewest moves to an even spread
//	homes = homes.WithHome("workshop", n, "duluth", source)
//
// Errors: none of the functions fail; Unmarshal returns an *Error.
package shard
