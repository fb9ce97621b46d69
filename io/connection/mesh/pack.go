package mesh

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"catkinstep/core/connection/wire"
)

// packLeast is the size, in bytes, from which answers are compressed. A large
// configuration took four seconds from a leader with a link of 10 Mbit/s to the
// relays elsewhere. Its names repeat: 1,640 made-up routes are 316 KB, and 24 KB
// compressed. Smaller answers are not worth the processor time.
const packLeast = 4 << 10

// pack compresses a large answer. One that cannot be compressed goes as it is.
func pack(r *wire.Reply) *wire.Reply {
	if proto.Size(r) < packLeast {
		return r
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return r // the writer will say so
	}
	var b bytes.Buffer
	w, ok := writers.Get().(*flate.Writer)
	if !ok {
		return r
	}
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil || w.Close() != nil {
		return r
	}
	return &wire.Reply{Packed: b.Bytes()}
}

// writers are kept, since a new one clears a megabyte before its first byte.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return nil // the level is a valid one
	}
	return w
}}

var errTooLarge = errors.New("the answer is too large")

// unpack is the answer inside a compressed one.
func unpack(r *wire.Reply) (*wire.Reply, error) {
	if len(r.Packed) == 0 {
		return r, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxMessage+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxMessage {
		return nil, errTooLarge
	}
	out := &wire.Reply{}
	return out, proto.Unmarshal(data, out)
}
