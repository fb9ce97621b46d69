// Package token provides token buckets, which limit the rate of requests.
//
// # Usage
//
//	var b token.Bucket // empty; it fills from the first call on
//	r := token.Rate{PerSecond: 5, Burst: 2}
//	if b.TryTake(now, r) { ... }
//	retryAfter := b.Wait(now, r)
package token
