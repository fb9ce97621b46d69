package http1_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"catkinstep/io/connection/http1"
)

const (
	sized   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1;x\r\nb\r\n0\r\nX: y\r\n\r\n"
)

func newReader(text string) *http1.Reader {
	return http1.NewReader(strings.NewReader(text), 64, 1<<10)
}

// next returns the next response with its body.
func next(r *http1.Reader, method string) (*http.Response, string, error) {
	resp, err := r.Next(method)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against a response that begins at the wrong byte.
func TestResponsesOneAfterTheOther(t *testing.T) {
	Convey("Each response ends where the next one begins", t, func() {
		r := newReader(strings.Repeat(sized+chunked+"HTTP/1.1 204 No Content\r\n\r\n", 20))
		for range 20 {
			for _, expected := range []string{"ab", "ab", ""} {
				_, body, err := next(r, http.MethodGet)
				So(err, ShouldBeNil)
				So(body, ShouldEqual, expected)
			}
		}
		So(r.Buffered(), ShouldEqual, 0)
	})
	Convey("A response to a HEAD request has no body, whatever length it names", t, func() {
		r := newReader("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + sized)
		resp, body, err := next(r, http.MethodHead)
		So(err, ShouldBeNil)
		So(body, ShouldBeEmpty)
		So(resp.ContentLength, ShouldEqual, 7)
		_, body, err = next(r, http.MethodGet)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ab")
	})
}

// Guards against a body, a status or a field that another reader of the same bytes would not find.
func TestReadsAsTheStandardLibrary(t *testing.T) {
	lines := []string{"Content-Length: 2", "Content-Length: 3", "Content-Length : 2", "Transfer-Encoding: chunked", "Transfer-Encoding: gzip", "Connection: close", "Connection: Keep-Alive, x",
		"X: y", " z", "X Y: z", ":", "", "X\x01: y", "Content-Length: 02"}
	bodies := []string{"", "ab", "2\r\nab\r\n0\r\n\r\n", "2\r\nab\r\n0\r\nX: y\r\n\r\n", "1\r\na\r\n0\r\n\r\n" + sized, "zz\r\n", "ab" + sized}
	rapid.Check(t, func(t *rapid.T) {
		head := rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 204 x", "HTTP/1.1 304 x", "HTTP/1.1 500", "HTTP/1.1 101 x", "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK"}).Draw(t, "head")
		fields := rapid.SliceOfN(rapid.SampledFrom(lines), 0, 4).Draw(t, "fields")
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodHead}).Draw(t, "method")
		text := strings.Join(append([]string{head}, fields...), "\r\n") + "\r\n\r\n" + rapid.SampledFrom(bodies).Draw(t, "body")
		resp, body, err := next(newReader(text), method)
		expected, expectedBody, expectedErr := nextOfStandardLibrary(text, method)
		if err != nil {
			return // it is stricter
		}
		if expectedErr != nil || body != expectedBody || resp.StatusCode != expected.StatusCode || resp.ContentLength != expected.ContentLength || resp.Close != expected.Close {
			t.Fatalf("%q, %s: read %q, %+v; expected %q, %+v, %v", text, method, body, resp, expectedBody, expected, expectedErr)
		}
	})
}

func nextOfStandardLibrary(text, method string) (*http.Response, string, error) {
	r := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, "", err
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp, string(body), errors.Join(err, resp.Body.Close())
	}
}

// Guards against a malformed response that a client of net/http takes.
func TestCheck(t *testing.T) {
	Convey("What net/http lets through is refused", t, func() {
		for _, text := range []string{"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab", "HTTP/1.1 000 x\r\n\r\n", "HTTP/1.1 600 x\r\n\r\n", "HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.1 200 O\x01K\r\n\r\n"} {
			resp, _, err := nextOfStandardLibrary(text, http.MethodGet)
			So(err, ShouldBeNil)
			So(http1.Check(resp), ShouldHaveSameTypeAs, &http1.Error{})
		}
	})
	Convey("A proper response is not", t, func() {
		resp, _, err := nextOfStandardLibrary(chunked, http.MethodGet)
		So(err, ShouldBeNil)
		So(http1.Check(resp), ShouldBeNil)
	})
}
