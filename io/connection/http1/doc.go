// Package http1 reads HTTP/1.1 responses strictly. net/http takes heads that RFC 9112 forbids, from servers in
// trouble for example: names with blanks, so that a length or an encoding is missed, statuses that are none, and
// encodings under HTTP/1.0. The body is then not the server's, or bytes behind it become the next response.
//
// A response is refused if its version is not 1.x, its status is not 100 to 599, its reason has control
// characters, the name of a field, also in a trailer, is not a token, it has an encoding other than chunked, an
// encoding under HTTP/1.0, or both a length and an encoding. Lines that go on in the next one are taken, with a
// blank for the line break, as RFC 9112 allows.
//
// # Usage
//
//	r := http1.NewReader(conn, 2<<10, 64<<10)
//	resp, err := r.Next(http.MethodGet)  // until the end of the connection
//	body, err := io.ReadAll(resp.Body)   // before the next one
//
// Clients of net/http check what they get. An encoding that net/http has dropped is not noticed there:
//
//	resp, err := httpClient.Do(req)
//	body, err := http1.ReadAll(resp, 1<<20)
//
// Errors of malformed responses are of type *Error; others are those of the connection.
package http1
