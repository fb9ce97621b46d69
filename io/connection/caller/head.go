package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"catkinstep/core/process/memory"
)

const (
	// maxFields is how many header fields a request may have. A parsed field takes many times the bytes of a
	// short one, so that heads of legal size could take all memory.
	maxFields = 256
	// usualHead is the size in bytes of the heads that are read without a reservation.
	usualHead = 2 << 10
	// requestBytes is what a request takes besides its head and its body: goroutines, log lines, the parsed
	// path, and a small response. fieldBytes is what each field takes.
	requestBytes = 24 << 10
	fieldBytes   = 256
)

var (
	errHeadTooLarge  = errors.New("caller: request head too large")
	errTooManyFields = errors.New("caller: too many header fields")
)

// head is the head of a request as it was received.
type head struct {
	text   []byte
	fields int
}

// cost is the memory in bytes that a request with this head takes.
func (h head) cost() int64 {
	return requestBytes + 2*int64(len(h.text)) + fieldBytes*int64(h.fields)
}

// readHead reads the head of a request, with the empty line at its end, as far as it is within the limits. It
// is parsed only then: what has been parsed of it would take more memory while the rest is awaited.
func (c *conn) readHead(maxBytes int) (head, error) {
	h, lines := head{text: make([]byte, 0, usualHead/4)}, 0
	reserved := int64(0)
	defer func() { c.server.memory.Release(memory.Requests, reserved) }()
	for lineStart := 0; ; {
		part, err := c.reader.ReadSlice('\n')
		if len(h.text)+len(part) > maxBytes {
			return h, errHeadTooLarge
		}
		if len(h.text)+len(part) > usualHead && reserved == 0 {
			if !c.server.memory.Reserve(memory.Requests, int64(maxBytes)) {
				return h, errNoRoom
			}
			reserved = int64(maxBytes)
		}
		h.text = append(h.text, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // the line goes on
		}
		if err != nil {
			return h, unexpectedEnd(err)
		}
		if len(bytes.TrimRight(h.text[lineStart:], "\r\n")) == 0 {
			return h, nil
		}
		lineStart = len(h.text)
		if lines++; lines > maxFields+1 {
			return h, errTooManyFields
		}
		h.fields = lines - 1
	}
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parsers are readers for the heads that have been read.
var parsers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parse returns the request with a head. Its body is not read from it; bodySource returns the reader of that.
func (h head) parse() (*http.Request, error) {
	parser, _ := parsers.Get().(*bufio.Reader)
	defer parsers.Put(parser)
	parser.Reset(bytes.NewReader(h.text))
	r, err := http.ReadRequest(parser)
	if err != nil {
		return nil, err
	}
	r.Body = http.NoBody
	return r, nil
}
