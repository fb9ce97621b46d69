// Package loss sorts the requests that daemons logged as not answered within their
// aim by cause, route, second, server and keys: it says what binds on a bad day.
//
// # Usage
//
//	t := loss.New(2 * time.Second)
//	if l, ok, err := loss.Parse(line); err == nil && ok {
//		t.Add(l)
//	}
//	for _, row := range t.Rows(loss.ByCause) { ... }
//
// Parse returns errors of encoding/json; nothing else here fails.
package loss
