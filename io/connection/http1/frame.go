package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// frame determines where the body of a response ends, and whether its connection ends with it.
func (r *Reader) frame(resp *http.Response, method string) error {
	length, err := lengthOf(resp.Header)
	if err != nil {
		return err
	}
	chunked, err := isChunked(resp, length >= 0)
	if err != nil {
		return err
	}
	resp.ContentLength, resp.Close = length, closes(resp)
	switch {
	case method == http.MethodHead:
		resp.Body = http.NoBody
	case !allowsBody(resp.StatusCode):
		resp.ContentLength, resp.Body = 0, http.NoBody
	case chunked:
		resp.TransferEncoding = []string{"chunked"}
		delete(resp.Header, "Transfer-Encoding")
		chunks, err := r.readChunks()
		resp.Body = io.NopCloser(chunks)
		return err
	case length == 0:
		resp.Body = http.NoBody
	case length > 0:
		resp.Body = io.NopCloser(&sizedBody{r: r.buffer, left: length})
	default:
		resp.Close = true
		resp.Body = io.NopCloser(r.buffer)
	}
	return nil
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// lengthOf returns the length that the header names, or -1. It may be named more than once.
func lengthOf(header http.Header) (int64, error) {
	values := header["Content-Length"]
	if len(values) == 0 {
		return -1, nil
	}
	for _, v := range values {
		if strings.TrimSpace(v) != strings.TrimSpace(values[0]) {
			return 0, malformed(BadFraming, "different lengths, one", v)
		}
	}
	length, err := strconv.ParseUint(strings.TrimSpace(values[0]), 10, 63)
	if err != nil {
		return 0, malformed(BadFraming, "length", values[0])
	}
	return int64(length), nil
}

// isChunked reports whether the body is sent in chunks. RFC 9112, 6.1 and 6.3: the framing of an encoding under
// HTTP/1.0 is faulty, and one beside a length ought to be an error.
func isChunked(resp *http.Response, hasLength bool) (bool, error) {
	values := resp.Header["Transfer-Encoding"]
	if len(values) == 0 {
		return false, nil
	}
	encoding := strings.Join(values, ", ")
	if hasLength || resp.ProtoMinor == 0 || !strings.EqualFold(encoding, "chunked") {
		return false, malformed(BadFraming, "encoding", encoding)
	}
	return true, nil
}

// closes reports whether the server closes the connection after a response.
func closes(resp *http.Response) bool {
	isClose, isKeepAlive := false, false
	for _, v := range resp.Header["Connection"] {
		for _, option := range strings.Split(v, ",") {
			isClose = isClose || strings.EqualFold(strings.TrimSpace(option), "close")
			isKeepAlive = isKeepAlive || strings.EqualFold(strings.TrimSpace(option), "keep-alive")
		}
	}
	return isClose || resp.ProtoMinor == 0 && !isKeepAlive
}

// sizedBody is a body of known length.
type sizedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left > 0 {
		err = unexpectedEnd(err)
	}
	return n, err
}

// chunkedHead precedes the chunks of a body for the parser of chunks, which reads both from one reader.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunkedBody is a body in chunks. Its trailer is read with its end, and dropped.
type chunkedBody struct{ resp *http.Response }

// readChunks returns the body of a response whose chunks begin here.
func (r *Reader) readChunks() (io.Reader, error) {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered()) // cannot fail
	r.buffer = bufio.NewReaderSize(io.MultiReader(strings.NewReader(chunkedHead), bytes.NewReader(bytes.Clone(buffered)), r.limited), r.buffer.Size())
	resp, err := http.ReadResponse(r.buffer, nil) //nolint:bodyclose // it ends with its last chunk
	return chunkedBody{resp: resp}, err
}

// Read implements io.Reader.
func (b chunkedBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if err := checkNames(b.resp.Trailer); err != nil {
			return n, err
		}
	}
	return n, err
}
