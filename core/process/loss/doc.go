// Package loss counts the requests that daemons logged as not answered within their
// latency target. It groups them by cause, route, time, server and key range, to show
// what limits the system under overload or failures.
//
// # Usage
//
//	t := loss.New(2 * time.Second)
//	if e, ok, err := loss.Parse(line); err == nil && ok {
//		t.Add(e)
//	}
//	for _, row := range t.Rows(loss.ByCause) { ... }
//
// Parse returns the errors of encoding/json; nothing else here fails.
package loss
