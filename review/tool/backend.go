package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	lastKey    = 65535
	queueLimit = 16
	beatPause  = 870 * time.Millisecond
)

// hold is a backend's hold on one key.
type hold struct {
	fence     uint64
	expiresAt time.Time // zero if the key is not held
	// grantedUntil is when the last grant of the key would have run out, whether released since or not.
	grantedUntil time.Time
}

// backend is a stand-in of one backend server. It is sound, but for what its trouble says.
type backend struct {
	site        *site
	id, service string
	zone        string
	slots       int
	keyed       bool
	work        func() time.Duration
	listener    net.Listener
	born        int64
	faulty      bool // one of those that may send second answers

	// The fields below are guarded by site.mu.
	holds   []hold
	running map[string]int // by attempt, the key or -1
	waiting int
	freed   chan struct{} // closed and replaced when a slot becomes free
	answers int           // answers sent
	extras  int           // second answers sent
}

// trouble is what goes wrong at the backends at present.
type trouble struct {
	shedShare  float64 // part of the requests that are rejected although slots are free
	extraShare float64 // part of the answers of faulty backends that are followed by a second one
	// extraPath restricts the second answers to those to one call; empty: all answers are alike.
	extraPath string
}

func (b *backend) start() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", b.site.network, 100+len(b.site.backends)))
	if err != nil {
		return err
	}
	b.listener, b.born = l, time.Now().UnixMilli()
	b.holds, b.running, b.freed = make([]hold, lastKey+1), map[string]int{}, make(chan struct{})
	go b.accept()
	go b.beat()
	return nil
}

func (b *backend) beat() {
	for n := 1; ; n++ {
		b.site.store.put("servers", b.id, map[string]any{
			"address": b.listener.Addr().String(), "born": b.born,
			"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "capacity": b.slots},
			"status": map[string]any{"state": "ready", "sequence": n, "warmupLeftS": 0},
		})
		time.Sleep(beatPause)
	}
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// serve answers one request after the other. A second answer to a request is sent late: once the next
// request has arrived on the connection, where its answer is expected.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if extra != nil {
			b.site.log("backend %s: second answer sent, as %s %s %s arrives", b.id, req.Method, req.URL.Path, req.Header.Get("Attempt-Id"))
			if _, err := c.Write(extra); err != nil {
				return
			}
		}
		answer := b.answer(req, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		extra = nil
		if b.sendsExtra(req.URL.Path) {
			extra = answer
			b.site.log("backend %s: will answer %s %s %s twice", b.id, req.Method, req.URL.Path, req.Header.Get("Attempt-Id"))
		}
	}
}

// sendsExtra decides whether an answer is followed by a second one, and counts it. Of the answers of each
// faulty backend no more than extraShare are.
func (b *backend) sendsExtra(path string) bool {
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	b.answers++
	t := b.site.trouble
	if !b.faulty || t.extraShare == 0 {
		return false
	}
	if t.extraPath == "" && rand.Float64() >= t.extraShare {
		return false
	}
	if t.extraPath != "" && (path != t.extraPath || float64(b.extras+1) > t.extraShare*float64(b.answers)) {
		return false
	}
	b.extras++
	return true
}

func (b *backend) answer(req *http.Request, body []byte) []byte {
	id := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Expected-Instance"); want != "" && want != b.id {
		return response(http.StatusMisdirectedRequest, id, nil, "Instance-Id", b.id, "Not-Executed", "1")
	}
	switch req.URL.Path {
	case "/healthz":
		return response(http.StatusOK, id, nil, "Instance-Id", b.id, "Backend-Load", b.load())
	case "/api/grant":
		return b.grant(body)
	case "/api/release":
		return b.release(body)
	}
	return b.run(req, id)
}

// run queues a request for a slot and runs it.
func (b *backend) run(req *http.Request, id string) []byte {
	s := b.site
	key := -1
	if b.keyed {
		key, _ = strconv.Atoi(req.Header.Get("Shard-Key"))
	}
	ms, _ := strconv.ParseFloat(req.Header.Get("Deadline-Ms"), 64)
	deadline := time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	s.mu.Lock()
	if id == "" {
		s.mu.Unlock()
		return response(http.StatusBadRequest, id, nil, "Not-Executed", "1")
	}
	if rand.Float64() < s.trouble.shedShare {
		s.log("backend %s: %s not run (shed)", b.id, id)
		s.mu.Unlock()
		return response(http.StatusServiceUnavailable, id, nil, "Not-Executed", "1", "Backend-Load", b.load())
	}
	if b.waiting >= queueLimit {
		s.mu.Unlock()
		return response(http.StatusServiceUnavailable, id, nil, "Not-Executed", "1", "Backend-Load", b.load())
	}
	b.waiting++
	for len(b.running) >= b.slots && time.Now().Before(deadline) {
		freed := b.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(time.Until(deadline)):
		}
		s.mu.Lock()
	}
	b.waiting--
	if !time.Now().Before(deadline) {
		s.mu.Unlock()
		return response(http.StatusServiceUnavailable, id, nil, "Not-Executed", "1", "Backend-Load", b.load())
	}
	if key >= 0 && !b.holds[key].expiresAt.After(time.Now()) {
		s.mu.Unlock()
		return response(http.StatusMisdirectedRequest, id, nil, "Instance-Id", b.id, "Not-Executed", "1", "Backend-Load", b.load())
	}
	b.running[id] = key
	s.recordRun(b, id, key)
	s.mu.Unlock()
	work, status := b.work(), http.StatusOK
	if left := time.Until(deadline); work > left {
		work, status = left, http.StatusGatewayTimeout
	}
	time.Sleep(work)
	s.mu.Lock()
	delete(b.running, id)
	close(b.freed)
	b.freed = make(chan struct{})
	s.log("backend %s: %s run ends, %d", b.id, id, status)
	s.mu.Unlock()
	return response(status, id, []byte("work of "+b.id+" on "+id), "Backend-Signature", "sig-"+b.id+"-"+id, "Backend-Load", b.load())
}

type keyRange struct {
	From  int     `json:"startKey"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"holdS"`
}

func (b *backend) grant(body []byte) []byte {
	var g keyRange
	if json.Unmarshal(body, &g) != nil || g.HoldS <= 0 || g.From < 0 || g.To > lastKey {
		return response(http.StatusBadRequest, "", nil)
	}
	s := b.site
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := g.From; k <= g.To; k++ {
		if b.holds[k].fence > g.Fence {
			return response(http.StatusConflict, "", nil)
		}
	}
	now := time.Now()
	s.checkOwner(now, b, g)
	until := now.Add(time.Duration(g.HoldS * float64(time.Second)))
	if b.holds[g.From].fence != g.Fence {
		s.log("backend %s: granted %d to %d, fence %d", b.id, g.From, g.To, g.Fence)
	}
	for k := g.From; k <= g.To; k++ {
		b.holds[k] = hold{fence: g.Fence, expiresAt: until, grantedUntil: until}
	}
	return response(http.StatusOK, "", nil)
}

// release stops new work on the keys at once, and is answered when the work that was running on them has
// ended.
func (b *backend) release(body []byte) []byte {
	var g keyRange
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To > lastKey {
		return response(http.StatusBadRequest, "", nil)
	}
	s := b.site
	s.mu.Lock()
	s.log("backend %s: asked to release %d to %d, fence %d, at work on %d of them", b.id, g.From, g.To, g.Fence, b.atWork(g))
	for k := g.From; k <= g.To; k++ {
		b.holds[k].fence, b.holds[k].expiresAt = max(b.holds[k].fence, g.Fence), time.Time{}
	}
	for b.atWork(g) > 0 {
		freed := b.freed
		s.mu.Unlock()
		<-freed
		s.mu.Lock()
	}
	s.log("backend %s: has released %d to %d, fence %d", b.id, g.From, g.To, g.Fence)
	s.mu.Unlock()
	return response(http.StatusOK, "", nil, "Handover", fmt.Sprintf("%016x", rand.Uint64()))
}

// atWork returns how many requests are running on the keys. site.mu must be held.
func (b *backend) atWork(g keyRange) int {
	n := 0
	for _, key := range b.running {
		if g.From <= key && key <= g.To {
			n++
		}
	}
	return n
}

// load is the value of Backend-Load.
func (b *backend) load() string {
	b.site.mu.Lock()
	defer b.site.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", len(b.running), b.waiting, b.slots)
}

// response formats an answer with the given pairs of header names and values.
func response(status int, id string, body []byte, header ...string) []byte {
	var w bytes.Buffer
	fmt.Fprintf(&w, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		fmt.Fprintf(&w, "Attempt-Id: %s\r\n", id)
	}
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&w, "%s: %s\r\n", header[i], header[i+1])
	}
	w.WriteString("\r\n")
	w.Write(body)
	return w.Bytes()
}
