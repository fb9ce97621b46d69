// Package rate estimates how many requests a second arrive for each bucket of a service's keys,
// from their counts in short windows.
//
// Most buckets get less than one request in a window, so steady rates are averaged over many
// windows. A key that becomes hot or cools down shows within one or two windows, by a change
// that exceeds random variation.
//
// # Usage
//
//	m := rate.New(buckets)
//	m.Add("service", bucket, 3, 270*time.Millisecond, 900*time.Millisecond)
//	for _, load := range m.CloseWindow(now) { ... }
//
// A Meter is not safe for concurrent use, and no function returns an error.
package rate
