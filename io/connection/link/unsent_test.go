package link

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
	"catkinstep/core/request/proof"
)

// flakyServer records the requests whose head reached it. It closes or resets connections at random: as they
// open, before or after a request has been read, or after the response.
type flakyServer struct {
	net.Listener
	mu      sync.Mutex
	rng     *rand.Rand
	arrived map[string]bool
}

func startFlakyServer(t *testing.T, seed uint64) *flakyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &flakyServer{Listener: l, rng: rand.New(rand.NewPCG(seed, 5)), arrived: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *flakyServer) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// end closes a connection, sometimes with a reset.
func (s *flakyServer) end(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok && s.draw(2) == 0 {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *flakyServer) serve(c net.Conn) {
	defer s.end(c)
	r := bufio.NewReader(c)
	for {
		if s.draw(12) == 0 {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(names.Default().ID)
		s.mu.Lock()
		s.arrived[id] = true
		s.mu.Unlock()
		switch s.draw(8) {
		case 0:
			return // the body may still be on its way
		case 1:
			time.Sleep(time.Duration(s.draw(8)) * time.Millisecond)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCatkinstep-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id); err != nil {
			return
		}
		if req.ContentLength > minConcurrentWrite { // the response is early, and the rest of the body unread
			return
		}
	}
}

func (s *flakyServer) hasArrived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived[id]
}

// Guards against a request that counts as unsent and is read by the server all the same, then or later: its
// caller gets a promise that it has not run.
func TestUnsentRequestsNeverArrive(t *testing.T) {
	for seed := range uint64(6) {
		Convey(fmt.Sprintf("Connections that break and callers that give up at any moment, seed %d", seed), t, func() {
			s := startFlakyServer(t, seed)
			client, rng := New(s.Addr().String(), "server-1", names.Default(), 3), rand.New(rand.NewPCG(seed, 6))
			var unsent []string
			for i := range 300 {
				id := fmt.Sprint(seed, "-", i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(6000))*time.Microsecond)
				req := Request{Method: http.MethodPost, Target: "/", Host: "h", ID: id, TimeLeft: time.Second, Header: http.Header{names.Default().ID: {id}}}
				if rng.IntN(4) == 0 {
					req.Body = make([]byte, rng.IntN(8*minConcurrentWrite))
				}
				resp, err := client.Do(ctx, req)
				cancel()
				if Ground(resp, err) == proof.Unsent {
					unsent = append(unsent, id)
				}
			}
			_ = s.Close()
			client.Close()
			time.Sleep(20 * time.Millisecond) // for what is still on its way
			So(unsent, ShouldNotBeEmpty)
			for _, id := range unsent {
				So(s.hasArrived(id), ShouldBeFalse)
			}
		})
	}
	Convey("A server that is gone gets nothing", t, func() {
		s := startFlakyServer(t, 1)
		_ = s.Close()
		_, err := doTry(New(s.Addr().String(), "server-1", names.Default(), 2), "order", "1")
		So(Ground(nil, err), ShouldEqual, proof.Unsent)
	})
}
