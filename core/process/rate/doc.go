// Package rate estimates how many requests a second come for each bucket of a
// service's keys, from counts of short windows.
//
// Most buckets get less than one request in a window, so that lasting rates are
// averaged over many; a key that becomes hot or cools down shows within one or two
// windows, by more than chance explains.
//
// # Usage
//
//	m := rate.New(buckets)
//	m.Add("service", bucket, 3, 270*time.Millisecond, 900*time.Millisecond)
//	for _, load := range m.Roll(now) { ... } // closes a window
//
// A Meter belongs to one goroutine; nothing here fails.
package rate
