package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"catkinstep/core/process/memory"
	"catkinstep/io/connection/chunk"
)

const (
	// The blocks of a body grow from firstBlock to lastBlock bytes, so that one takes little more than its
	// size, however long it is.
	firstBlock  = 4 << 10
	blockGrowth = 4
	lastBlock   = 256 << 10
	// stallTimeout is after how long without a byte a large body makes room for others, if there is none.
	stallTimeout = 500 * time.Millisecond
)

var (
	errBodyTooLarge = errors.New("caller: request body too large")
	errNoRoom       = errors.New("caller: no memory for the request")
)

// hasBody reports whether a request has a body.
func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

// chunkedHead precedes the chunks of a body for the parser of chunks, which reads both from one reader.
const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// bodySource returns the reader of a request's body, which ends with it.
func (c *conn) bodySource(r *http.Request) (io.Reader, error) {
	if r.ContentLength > 0 {
		return io.LimitReader(c.reader, r.ContentLength), nil
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	c.reader = bufio.NewReaderSize(io.MultiReader(strings.NewReader(chunkedHead), bytes.NewReader(bytes.Clone(buffered)), c.Conn), readBufferSize)
	chunked, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	return chunked.Body, nil
}

// gathering is a body that is being read.
type gathering struct {
	body  chunk.Body
	small int64 // bytes reserved for its beginning
	// large is set once the body is large, and evicted if it made room for others. progressAt is when its last
	// byte arrived. All three are guarded by conn.mu.
	large, evicted bool
	progressAt     time.Time
}

// readBody reads a body of at most maxBytes. The length is -1 if it is not known.
func (c *conn) readBody(src io.Reader, length, maxBytes int64) (*gathering, error) {
	g := &gathering{}
	c.setGathering(g)
	defer c.setGathering(nil)
	for int64(g.body.Len()) != length {
		block, err := c.nextBlock(g, length, maxBytes)
		if err != nil {
			return g, c.gatherError(g, err)
		}
		n, err := readBlock(progressReader{c: c, r: src}, block)
		g.body = g.body.With(block[:n])
		switch {
		case int64(g.body.Len()) > maxBytes:
			return g, errBodyTooLarge
		case errors.Is(err, io.EOF) && int64(g.body.Len()) < length:
			return g, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return g, nil
		case err != nil:
			return g, c.gatherError(g, err)
		}
	}
	return g, nil
}

// gatherError returns why a body could not be read.
func (c *conn) gatherError(g *gathering, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.wasEvicted(g) {
		return errNoRoom
	}
	return unexpectedEnd(err)
}

// nextBlock waits for the next byte of a body and returns memory for it and those after it.
func (c *conn) nextBlock(g *gathering, length, maxBytes int64) ([]byte, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	have := int64(g.body.Len())
	size := min(max(firstBlock, have*(blockGrowth-1)), lastBlock)
	if have >= memory.SmallBody {
		c.setLarge(g)
		return c.largeBlock(int(size))
	}
	size = min(size, memory.SmallBody-have, maxBytes-have+1)
	if length >= 0 {
		size = min(size, length-have)
	}
	if !c.server.memory.Reserve(memory.SmallBodies, size) {
		return nil, errNoRoom
	}
	g.small += size
	return make([]byte, size), nil
}

// largeBlock returns memory for a part of a large body. If there is none, a body that makes no progress makes
// room.
func (c *conn) largeBlock(size int) ([]byte, error) {
	block := c.server.memory.Alloc(memory.LargeBodies, size)
	if block == nil && c.server.evictStalled(time.Now()) {
		block = c.server.memory.Alloc(memory.LargeBodies, size)
	}
	if block == nil {
		return nil, errNoRoom
	}
	return block, nil
}

// readBlock reads until a block is full or the source ends.
func readBlock(src io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var k int
		k, err = src.Read(block[n:])
		n += k
	}
	return n, err
}

// progressReader records when the bytes of a body arrive.
type progressReader struct {
	c *conn
	r io.Reader
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.c.recordProgress()
	}
	return n, err
}

// expectsContinue reports whether the caller waits for the permission to send the body.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
