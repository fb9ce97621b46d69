// Package flood is a stand-in for a server in trouble that sends bytes without end.
//
// # Usage
//
//	s := flood.Start(t, "HTTP/1.1 200 OK\r\nX: ", "junk")
//	err := call(s.Address())
//	<-s.Stopped // the caller has closed the connection
package flood

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
)

// blockSize is the least size in bytes of a write.
const blockSize = 64 << 10

// Server answers each request with a beginning and then with a part that it repeats until the connection
// is closed.
type Server struct {
	listener net.Listener
	begin    string
	block    []byte
	// Stopped gets an element for each connection on which the writes have failed, unless it is full.
	Stopped chan struct{}
}

// Start starts a Server on a loopback address. It ends with the test.
func Start(t testing.TB, begin, part string) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{listener: l, begin: begin, block: bytes.Repeat([]byte(part), 1+blockSize/len(part)), Stopped: make(chan struct{}, 100)}
	go s.accept()
	return s
}

// Address returns the address of the Server.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.write(c)
	}
}

func (s *Server) write(c net.Conn) {
	defer c.Close() //nolint:errcheck // its writes have failed
	_, err := c.Read(make([]byte, 4096))
	if err == nil {
		_, err = io.WriteString(c, s.begin)
	}
	for err == nil {
		_, err = c.Write(s.block)
	}
	select {
	case s.Stopped <- struct{}{}:
	default: // nobody waits for it
	}
}

// Allocated returns the bytes that the process allocates while f runs.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
