// Package link is an HTTP/1.1 client for one instance of a backend server. It
// reuses connections, with one request at a time on each, and reports the outcome
// of a request: a complete response, proof that the server did not run the
// request, or an unknown outcome.
//
// A response counts only if it cannot belong to another request on its connection: it has the request's
// ID, and no earlier request there had the same; or it has none, and is the first response there. The
// head, the body and all large bodies together are limited, so that a server that sends bytes without
// end costs one request and one connection.
//
// The package does not use http.Transport, which retries some requests on its own
// and does not report whether any bytes were sent. Here a request is written at
// most once.
//
// # Usage
//
//	client := link.New("10.0.0.9:8080", "server-1", names.Default(), 5)
//	defer client.Close()
//	resp, err := client.Do(ctx, link.Request{...})
//
// Errors are of type *Error. The kinds ConnectionRefused, ConnectFailed, NotSent,
// TooLate and Withheld prove that the server did not run the request.
package link
