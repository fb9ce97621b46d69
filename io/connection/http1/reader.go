package http1

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"catkinstep/io/connection/bound"
)

// Reader reads the responses on a connection, one after the other. It is not safe for concurrent use.
type Reader struct {
	limited *bound.Reader // limits what buffer reads
	buffer  *bufio.Reader
	maxHead int
}

// NewReader returns a Reader with a buffer of bufferSize bytes, which a trailer and each line between chunks must
// fit into. The head of a response, with the interim responses before it, may have maxHead bytes. The body is not
// limited.
func NewReader(conn io.Reader, bufferSize, maxHead int) *Reader {
	limited := bound.NewReader(conn)
	return &Reader{limited: limited, buffer: bufio.NewReaderSize(limited, bufferSize), maxHead: maxHead}
}

// Buffered is the number of bytes that have been received and not read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Next reads the head of the next response to a request with the given method. It skips interim responses,
// which are 1xx other than 101. The ContentLength is -1 if it is not known. The body is valid until the next call,
// and without a length or an encoding it ends with the connection.
func (r *Reader) Next(method string) (*http.Response, error) {
	r.limited.SetLimit(r.maxHead)
	defer r.limited.SetLimit(0)
	for {
		resp, err := r.readHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, r.frame(resp, method)
		}
	}
}

// readHead reads a status line and header fields.
func (r *Reader) readHead() (*http.Response, error) {
	text := textproto.NewReader(r.buffer)
	line, err := text.ReadLine()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	resp, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	resp.Header = http.Header(fields)
	return resp, checkNames(fields)
}

// parseStatusLine parses a version, a status and a reason, which may be missing with the blank before it.
func parseStatusLine(line string) (*http.Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	minor, isVersion1 := strings.CutPrefix(version, "HTTP/1.")
	if !isVersion1 || len(minor) != 1 || !isDigits(minor) {
		return nil, malformed(BadStatusLine, "version", version)
	}
	if len(code) != 3 || !isDigits(code) {
		return nil, malformed(BadStatusLine, "status", rest)
	}
	status, _ := strconv.Atoi(code) // cannot fail
	resp := &http.Response{Proto: version, ProtoMajor: 1, ProtoMinor: int(minor[0] - '0'), StatusCode: status, Status: rest}
	return resp, checkStatus(status, rest)
}

func isDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}
