package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/io/connection/chunk"
)

const (
	earlyHead = "HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: ID\r\n"
	partSize  = 3000
)

// answerEarly returns a responder that answers before it has read the body, and then ends the connection. The
// connection is reset, since its bytes have not been read.
func answerEarly(text string, pause time.Duration) responder {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(names.Default().ID)))
		time.Sleep(pause)
		return false
	}
}

// answerThenRead returns a responder that answers before it reads the body, ends its answer, and reads on.
func answerThenRead(text string) responder {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(names.Default().ID)))
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	}
}

func upload(client *Client, id string, size int) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, Request{Method: http.MethodPost, Target: "/", Host: "h", ID: id, TimeLeft: time.Second,
		Header: http.Header{names.Default().ID: {id}}, Body: chunk.Of(make([]byte, size))})
}

// Guards against a part of a response that is passed on as a whole one: the server has reset the connection
// while the request was being written, and the write has taken the error.
func TestResponseThatIsCutDuringTheUpload(t *testing.T) {
	const tries = 20
	part := strings.Repeat("x", partSize)
	for _, size := range []int{64 << 10, 4 << 20, 20 << 20} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
			Convey("No part of a response without a length is taken, "+strconv.Itoa(size>>10)+" KB, after "+pause.String(), t, func() {
				for _, respond := range []responder{
					answerEarly(earlyHead+"\r\n"+part, pause),
					func(c net.Conn, r *http.Request) bool {
						answerEarly(earlyHead+"\r\n"+part, pause)(c, r)
						return resetConnection(c, r)
					},
				} {
					taken := 0
					client := startServer(t, respond).newClient()
					for i := range tries {
						if _, err := upload(client, strconv.Itoa(i), size); err == nil {
							taken++
						}
					}
					So(taken, ShouldEqual, 0)
				}
			})
		}
	}
}

// Guards against a whole response that is lost since it came before the request had been written.
func TestWholeResponseDuringTheUpload(t *testing.T) {
	part := strings.Repeat("x", partSize)
	for name, text := range map[string]string{
		"with a length":    earlyHead + "Content-Length: 3000\r\n\r\n" + part,
		"in chunks":        earlyHead + "Transfer-Encoding: chunked\r\n\r\nbb8\r\n" + part + "\r\n0\r\n\r\n",
		"without a length": earlyHead + "\r\n" + part,
	} {
		Convey("A response "+name+" is returned, of a server that reads the request after it", t, func() {
			client := startServer(t, answerThenRead(text)).newClient()
			for i := range 10 {
				resp, err := upload(client, strconv.Itoa(i), 4<<20)
				So(err, ShouldBeNil)
				So(len(resp.Body), ShouldEqual, partSize)
			}
		})
	}
	Convey("A response with a length is returned at once, of a server that does not read the request", t, func() {
		ended := make(chan struct{})
		defer close(ended)
		client := startServer(t, func(c net.Conn, r *http.Request) bool {
			answerEarly(earlyHead+"Content-Length: 3000\r\n\r\n"+part, 0)(c, r)
			<-ended
			return false
		}).newClient()
		resp, err := upload(client, "1", 20<<20)
		So(err, ShouldBeNil)
		So(len(resp.Body), ShouldEqual, partSize)
	})
}
