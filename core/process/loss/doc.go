// Package loss counts lost requests, those that daemons logged as refused, failed, or answered
// after their latency target. It groups them by cause, route, time, server and key range, to
// show what limits the system under overload or failures.
//
// # Usage
//
//	t := loss.New(2 * time.Second)
//	if e, ok, err := loss.Parse(line); err == nil && ok {
//		t.Add(e)
//	}
//	for _, row := range t.Rows(loss.ByCause) { ... }
//
// Parse returns the errors of encoding/json; no other function returns an error.
package loss
