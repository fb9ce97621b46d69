package link

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/connection/names"
)

// tryHeader distinguishes the tries of a request at the test's server, which names it in its responses.
const tryHeader = "X-Try"

// repeatingServer sends some of its responses a second time, late.
type repeatingServer struct {
	net.Listener
	mu    sync.Mutex
	rng   *rand.Rand
	conns int
	// respond returns the response to a request, with $ID for the request's ID.
	respond func(r *http.Request) string
	// repeat decides whether a response is sent again, and when.
	repeat func(rng *rand.Rand) repetition
}

// repetition is when the second copy of a response is sent.
type repetition int

const (
	noRepetition repetition = iota
	atOnce
	asNextArrives     // before the response to the next request
	afterNextResponse // where the response to the one after that is expected
)

func startRepeatingServer(t *testing.T, seed uint64, respond func(*http.Request) string, repeat func(*rand.Rand) repetition) *repeatingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &repeatingServer{Listener: l, rng: rand.New(rand.NewPCG(seed, 3)), respond: respond, repeat: repeat}
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

func (s *repeatingServer) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // test cleanup
	s.mu.Lock()
	s.conns++
	s.mu.Unlock()
	r := bufio.NewReader(c)
	var first, then string // what is sent before the response to the next request, and after it
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := strings.ReplaceAll(s.respond(req), "$ID", req.Header.Get(names.Default().ID))
		out := first + response
		first, then = then, ""
		s.mu.Lock()
		when := s.repeat(s.rng)
		s.mu.Unlock()
		switch when {
		case atOnce:
			out += response
		case asNextArrives:
			first += response
		case afterNextResponse:
			then = response
		case noRepetition:
		}
		if _, err := c.Write([]byte(out)); err != nil {
			return
		}
	}
}

func responseOf(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

const (
	echoedID = "Catkinstep-Request-Id: $ID\r\n"
	declined = "Catkinstep-Not-Run: 1\r\n"
)

func doTry(client *Client, id, try string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return client.Do(ctx, Request{Method: http.MethodPost, Target: "/", Host: "h", ID: id, TimeLeft: time.Second, Header: http.Header{names.Default().ID: {id}, tryHeader: {try}}})
}

// Guards against a caller that gets "not run" for a request that runs: the second copy of the rejection of
// its first try was taken for the response to the second one.
func TestSecondRejectionIsNotTheNextResponse(t *testing.T) {
	Convey("The next try of a rejected request gets its own response, also where the rejection comes again as it arrives", t, func() {
		tries := 0
		s := startRepeatingServer(t, 1, func(*http.Request) string {
			if tries++; tries == 1 {
				return responseOf(503, echoedID+declined, "")
			}
			return responseOf(200, echoedID, "ran")
		}, func(*rand.Rand) repetition { return asNextArrives })
		client := New(s.Addr().String(), "server-1", names.Default(), 2)
		resp, err := doTry(client, "order", "1")
		So(err, ShouldBeNil)
		So(resp.Declined, ShouldBeTrue)
		resp, err = doTry(client, "order", "2")
		So(err, ShouldBeNil)
		So(resp.Declined, ShouldBeFalse)
		So(string(resp.Body), ShouldEqual, "ran")
	})
	Convey("A connection that has not carried the request is used before a new one is opened", t, func() {
		s := startRepeatingServer(t, 1, func(*http.Request) string { return responseOf(503, echoedID+declined, "") }, func(*rand.Rand) repetition { return noRepetition })
		client := New(s.Addr().String(), "server-1", names.Default(), 4)
		for try := range 3 {
			for request := range 2 {
				_, err := doTry(client, fmt.Sprint("order", request), fmt.Sprint(try))
				So(err, ShouldBeNil)
			}
		}
		So(s.conns, ShouldEqual, 3)
	})
}

// Guards against the response to another request, which names none, on a connection that is used again.
func TestResponseWithoutID(t *testing.T) {
	start := func(t *testing.T, header ...string) (*repeatingServer, *Client) {
		n := 0
		s := startRepeatingServer(t, 1, func(*http.Request) string { n++; return responseOf(200, header[min(n, len(header))-1], "x") }, func(*rand.Rand) repetition { return noRepetition })
		return s, New(s.Addr().String(), "server-1", names.Default(), 2)
	}
	Convey("As the first response on its connection it is taken, and ends the connection", t, func() {
		s, client := start(t, "")
		for i := range 3 {
			resp, err := doTry(client, fmt.Sprint(i), "1")
			So(err, ShouldBeNil)
			So(string(resp.Body), ShouldEqual, "x")
		}
		So(s.conns, ShouldEqual, 3)
	})
	Convey("On a connection that has served a request it is not, and proves nothing", t, func() {
		_, client := start(t, echoedID, "")
		_, err := doTry(client, "1", "1")
		So(err, ShouldBeNil)
		_, err = doTry(client, "2", "1")
		So(KindOf(err), ShouldEqual, InvalidResponse)
		So(NotRun(err), ShouldBeFalse)
	})
}

// Guards against any response that is taken for that to another try, whenever second copies come and
// whichever responses name no request.
func TestEachTryGetsItsOwnResponse(t *testing.T) {
	for seed := range uint64(8) {
		s := startRepeatingServer(t, seed, func(r *http.Request) string {
			id, status := echoedID, 200
			switch try := r.Header.Get(tryHeader); {
			case strings.HasSuffix(try, "7"):
				id = ""
			case strings.HasSuffix(try, "1"):
				status = 503
			}
			return responseOf(status, id, r.Header.Get(tryHeader))
		}, func(rng *rand.Rand) repetition { return repetition(max(0, rng.IntN(8)-4)) })
		client := New(s.Addr().String(), "server-1", names.Default(), 4)
		rng := rand.New(rand.NewPCG(seed, 5))
		var wg sync.WaitGroup
		for worker := range 3 {
			wg.Go(func() {
				for i := range 300 {
					s.mu.Lock()
					id := fmt.Sprint("r", rng.IntN(20)) // sent again soon, on any connection
					s.mu.Unlock()
					try := fmt.Sprintf("%d-%d", worker, i)
					if resp, err := doTry(client, id, try); err == nil && string(resp.Body) != try {
						t.Errorf("seed %d: try %s of request %s got the response to try %s", seed, try, id, resp.Body)
					}
				}
			})
		}
		wg.Wait()
	}
}

// Guards against connections that keep the IDs of all requests that they ever carried.
func TestConnectionCarriesALimitedNumberOfRequests(t *testing.T) {
	Convey("It is closed after maxConnRequests requests", t, func() {
		s := startRepeatingServer(t, 1, func(*http.Request) string { return responseOf(200, echoedID, "x") }, func(*rand.Rand) repetition { return noRepetition })
		client := New(s.Addr().String(), "server-1", names.Default(), 2)
		for i := range maxConnRequests + 1 {
			_, err := doTry(client, fmt.Sprint(i), "1")
			So(err, ShouldBeNil)
		}
		So(s.conns, ShouldEqual, 2)
	})
}

// Guards against a hold that lasts longer than the leader assumes: its renewal arrived after what was taken
// for the response to it.
func TestLateResponseToRenewal(t *testing.T) {
	Convey("The next renewal finds the response, is not sent, and proves nothing of the last one", t, func() {
		s := startRepeatingServer(t, 1, func(*http.Request) string { return responseOf(200, "", "") }, func(*rand.Rand) repetition { return noRepetition })
		client := New(s.Addr().String(), "server-1", names.Default(), 1)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		call := Request{Method: http.MethodPost, Target: "/", Host: "h", ControlCall: true}
		_, err := client.Do(ctx, call)
		So(err, ShouldBeNil)
		c := client.idleConns[0]
		_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")) // a call whose response is still due
		So(err, ShouldBeNil)
		for checkIdle(c) == idle && ctx.Err() == nil {
			runtime.Gosched()
		}
		call.ExistingConnOnly = true
		_, err = client.Do(ctx, call)
		So(KindOf(err), ShouldEqual, InvalidResponse)
		So(NotRun(err), ShouldBeFalse)
	})
}

// Guards against a request that is taken for one that has not run by its status, or by bytes that may not be
// meant for it.
func TestOnlyTheStatementIsProof(t *testing.T) {
	for _, test := range []struct {
		name, header string
		status       int
		declined     bool
	}{
		{"the statement with the request's ID", echoedID + declined, 503, true},
		{"the statement with the request's ID, another status", echoedID + declined, 400, true},
		{"a status that promises", echoedID, 421, false},
		{"a status that promises, too", echoedID, 503, false},
		{"the statement without an ID", declined, 503, false},
		{"the statement with a success", echoedID + declined, 200, false},
	} {
		Convey(test.name, t, func() {
			s := startRepeatingServer(t, 1, func(*http.Request) string { return responseOf(test.status, test.header, "") }, func(*rand.Rand) repetition { return noRepetition })
			resp, err := doTry(New(s.Addr().String(), "server-1", names.Default(), 2), "order", "1")
			So(err, ShouldBeNil)
			So(resp.Declined, ShouldEqual, test.declined)
			So(Ground(resp, err).Proves(), ShouldEqual, test.declined)
		})
	}
}
