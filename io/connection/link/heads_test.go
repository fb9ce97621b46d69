package link

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
)

const (
	idLine = "Catkinstep-Request-Id: ID\r\n"
	okBody = "Content-Length: 2\r\n\r\nok"
)

// malformedHeads are responses that RFC 9112 does not define, or that ought to be handled as errors.
var malformedHeads = map[string]string{
	"a blank in a name":                "HTTP/1.1 200 OK\r\n" + idLine + "Back end: x\r\n" + okBody,
	"a blank behind a name":            "HTTP/1.1 200 OK\r\n" + idLine + "X : x\r\n" + okBody,
	"a tab behind a name":              "HTTP/1.1 200 OK\r\n" + idLine + "X\t: x\r\n" + okBody,
	"a control character in a name":    "HTTP/1.1 200 OK\r\n" + idLine + "X\x01Y: x\r\n" + okBody,
	"a byte above ASCII in a name":     "HTTP/1.1 200 OK\r\n" + idLine + "X\x80: x\r\n" + okBody,
	"a control character in a value":   "HTTP/1.1 200 OK\r\n" + idLine + "X: x\x01y\r\n" + okBody,
	"a NUL in a value":                 "HTTP/1.1 200 OK\r\n" + idLine + "X: x\x00y\r\n" + okBody,
	"no name":                          "HTTP/1.1 200 OK\r\n" + idLine + ": x\r\n" + okBody,
	"no colon":                         "HTTP/1.1 200 OK\r\n" + idLine + "X\r\n" + okBody,
	"a folded first line":              "HTTP/1.1 200 OK\r\n X: x\r\n" + idLine + okBody,
	"a blank behind Transfer-Encoding": "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a blank behind Content-Length":    "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length : 2\r\n\r\nok and more",
	"status 000 before a response":     "HTTP/1.1 000 X\r\n" + idLine + "\r\nHTTP/1.1 200 OK\r\n" + idLine + okBody,
	"status 099 before a response":     "HTTP/1.1 099 X\r\n" + idLine + "\r\nHTTP/1.1 200 OK\r\n" + idLine + okBody,
	"status -00 before a response":     "HTTP/1.1 -00 X\r\n" + idLine + "\r\nHTTP/1.1 200 OK\r\n" + idLine + okBody,
	"status +20 before a response":     "HTTP/1.1 +20 X\r\n" + idLine + "\r\nHTTP/1.1 200 OK\r\n" + idLine + okBody,
	"status 000":                       "HTTP/1.1 000 X\r\n" + idLine + okBody,
	"status 20":                        "HTTP/1.1 20 OK\r\n" + idLine + okBody,
	"status 2000":                      "HTTP/1.1 2000 OK\r\n" + idLine + okBody,
	"status 600":                       "HTTP/1.1 600 X\r\n" + idLine + okBody,
	"status 999":                       "HTTP/1.1 999 X\r\n" + idLine + okBody,
	"a control character in a reason":  "HTTP/1.1 200 O\x01K\r\n" + idLine + okBody,
	"version 0.9":                      "HTTP/0.9 200 OK\r\n" + idLine + okBody,
	"version 2.0":                      "HTTP/2.0 200 OK\r\n" + idLine + okBody,
	"version 9.9":                      "HTTP/9.9 200 OK\r\n" + idLine + okBody,
	"an encoding under HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a length and an encoding":         "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"different lengths":                "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 3\r\n" + okBody,
	"a length with a sign":             "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: +2\r\n\r\nok",
	"a list of lengths":                "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 2, 2\r\n\r\nok",
	"an empty length":                  "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length:\r\n\r\nok",
	"an unknown encoding":              "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: gzip\r\n\r\nok",
	"two encodings":                    "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"an encoding twice":                "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a blank in a name of the trailer": "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX y: x\r\n\r\n",
	"a cut trailer":                    "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: x\r\n",
	"no end of the chunks":             "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"a chunk with a size that is none": "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
	"a cut body":                       "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 3\r\n\r\nok",
	"a malformed interim response":     "HTTP/1.1 103 Early Hints\r\nX y: x\r\n\r\nHTTP/1.1 200 OK\r\n" + idLine + okBody,
}

// Guards against a caller that gets a line, a body or a status that is not its server's, since a malformed head is
// taken for a response.
func TestMalformedHeads(t *testing.T) {
	for name, text := range malformedHeads {
		Convey("A response with "+name+" is none, and its connection is not used again", t, func() {
			s := startServer(t, thenClose(respondWith(text)), respondWith(completeResponse))
			client := s.newClient()
			resp, err := do(client, "1")
			So(resp, ShouldBeNil)
			So(err, ShouldNotBeNil)
			So(KindOf(err), ShouldBeIn, InvalidResponse, ConnectionLost)
			So(client.idleConns, ShouldBeEmpty)
			resp, err = do(client, "2")
			So(err, ShouldBeNil)
			So(string(resp.Body), ShouldEqual, "ok")
		})
	}
}

// Guards against whole responses that are refused since their heads look unusual.
func TestUnusualHeads(t *testing.T) {
	for name, text := range map[string]string{
		"without a reason":             "HTTP/1.1 200\r\n" + idLine + okBody,
		"with an empty reason":         "HTTP/1.1 200 \r\n" + idLine + okBody,
		"with a reason above ASCII":    "HTTP/1.1 200 Tr\xc3\xa8s bien\r\n" + idLine + okBody,
		"with all kinds of token":      "HTTP/1.1 200 OK\r\n" + idLine + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + okBody,
		"with a value above ASCII":     "HTTP/1.1 200 OK\r\n" + idLine + "X: \x80\xff\r\n" + okBody,
		"with an empty value":          "HTTP/1.1 200 OK\r\n" + idLine + "X:\r\n" + okBody,
		"with a folded line":           "HTTP/1.1 200 OK\r\n" + idLine + "X: x\r\n  y\r\n" + okBody,
		"with the same length twice":   "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 2\r\n" + okBody,
		"with a newer minor version":   "HTTP/1.2 200 OK\r\n" + idLine + okBody,
		"of HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + idLine + okBody,
		"of HTTP/1.0 without a length": "HTTP/1.0 200 OK\r\n" + idLine + "\r\nok",
		"with lines that end plainly":  "HTTP/1.1 200 OK\n" + strings.ReplaceAll(idLine+okBody, "\r", ""),
		"in chunks with a trailer":     "HTTP/1.1 200 OK\r\n" + idLine + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX: x\r\n\r\n",
		"after interim responses":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: x\r\n\r\nHTTP/1.1 200 OK\r\n" + idLine + okBody,
	} {
		Convey("A response "+name+" is returned", t, func() {
			resp, err := do(startServer(t, thenClose(respondWith(text))).newClient(), "1")
			So(err, ShouldBeNil)
			So(resp.Status, ShouldEqual, 200)
			So(string(resp.Body), ShouldEqual, "ok")
		})
	}
}

// Guards against a server that gets no requests for an hour since bytes that are no response said so.
func TestMalformedHeadAnnouncesNothing(t *testing.T) {
	Convey("What a malformed head says is not believed", t, func() {
		for _, head := range []string{"HTTP/1.1 503 X\r\n" + idLine + "Retry-After: 3600\r\nX y: x\r\n", "HTTP/1.1 000 X\r\n" + idLine + "Catkinstep-Leaving: 1\r\n"} {
			s, g := startServer(t, thenClose(respondWith(head+okBody))), &fakeGate{}
			_, err := do(New(s.Addr().String(), "server-1", names.Default(), 2, WithGate(g)), "1")
			So(err, ShouldNotBeNil)
			So(g.notices, ShouldBeEmpty)
		}
	})
}
