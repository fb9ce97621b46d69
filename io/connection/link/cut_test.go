package link

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
)

// cutHeads are heads whose server ends the connection before their last byte. What comes before none of
// their bytes is a response.
var cutHeads = map[string]string{
	"with a length":        "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 0\r\n\r\n",
	"in chunks":            "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n",
	"without a length":     "HTTP/1.1 200 OK\r\n" + idLine + "X: y\r\n\r\n",
	"that closes":          "HTTP/1.1 200 OK\r\n" + idLine + "Connection: close\r\n\r\n",
	"of HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + idLine + "X: y\r\n\r\n",
	"with plain line ends": "HTTP/1.1 200 OK\n" + strings.ReplaceAll(idLine, "\r", "") + "X: y\n\n",
	"behind an interim":    "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n" + idLine + "\r\n",
	"without a body":       "HTTP/1.1 204 No Content\r\n" + idLine + "\r\n",
	"that is long":         "HTTP/1.1 200 OK\r\n" + idLine + "X: " + strings.Repeat("y", 3000) + "\r\nY: z\r\n\r\n",
}

// cutsOf returns the positions at which a head is cut: all, or those of its first and last bytes if it is long.
func cutsOf(head string) []int {
	const edge = 200
	var out []int
	for i := 1; i < len(head); i++ {
		if len(head) < 2*edge || i < edge || i > len(head)-edge {
			out = append(out, i)
		}
	}
	return out
}

// answerInOrder returns a responder that answers the nth request with the nth text and ends the connection. It reads
// the request's body first if isRead is set.
func answerInOrder(texts []string, isRead bool) responder {
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	return func(c net.Conn, r *http.Request) bool {
		if isRead {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(<-next, "ID", r.Header.Get(names.Default().ID)))
		return false
	}
}

// uploadConnected uploads again if no connection could be opened within DialTimeout: the server has not
// answered then.
func uploadConnected(client *Client, id string, size int) (resp *Response, err error) {
	for range 5 {
		resp, err = upload(client, id, size)
		if KindOf(err) != ConnectFailed {
			break
		}
	}
	return resp, err
}

// Guards against an empty or short body that is passed on as a whole one: the server has ended the connection in the
// middle of the head, while the request was written or after it.
func TestHeadsThatEndMidway(t *testing.T) {
	for name, head := range cutHeads {
		Convey("No part of a head "+name+" is a response", t, func() {
			var parts []string
			for _, n := range cutsOf(head) {
				parts = append(parts, head[:n])
			}
			for _, body := range []int{0, 64 << 10} {
				for _, isRead := range []bool{true, false} {
					client := startServer(t, answerInOrder(parts, isRead)).newClient()
					var others []string
					for i, part := range parts {
						resp, err := uploadConnected(client, strconv.Itoa(100+i), body)
						if err == nil || resp != nil || KindOf(err) != ConnectionLost && KindOf(err) != InvalidResponse {
							others = append(others, fmt.Sprintf("%d bytes of %q: response %v, error %v", len(part), name, resp != nil, err))
						}
					}
					So(others, ShouldBeEmpty)
				}
			}
		})
	}
}
