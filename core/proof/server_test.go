package proof

import (
	"time"

	"catkinstep/core/connection/queue"
	"catkinstep/core/connection/wire"
	"catkinstep/core/request/retry"
	"catkinstep/io/standin/oracle"
)

// server is a fake backend server: tokens, deadlines on its own clock, slots.
type server struct {
	w       *world
	address string
	place   string
	checks  bool

	alive       bool
	incarnation uint64
	began       time.Time
	frozen      time.Time // until when it does nothing
	breaking    time.Time // until when its connections break, while it works on
	token       uint64
	running     map[uint64]uint64 // token by run
	nextRun     uint64
}

func newServer(w *world, address, place string, checks bool) *server {
	s := &server{w: w, address: address, place: place, checks: checks}
	s.start()
	return s
}

func (s *server) start() {
	s.alive = true
	s.incarnation++
	s.began = s.w.now
	s.token = 0
	s.running = map[uint64]uint64{}
	s.frozen, s.breaking = time.Time{}, time.Time{}
}

func (s *server) kill() { s.alive = false }

func (s *server) clock() time.Duration { return s.w.now.Sub(s.began) }

// do runs something in the server's process: at once, or when it thaws. It is
// dropped when the process that it was meant for has ended.
func (s *server) do(f func()) {
	in := s.incarnation
	if s.w.now.Before(s.frozen) {
		s.w.after(s.frozen.Sub(s.w.now), func() {
			if s.alive && s.incarnation == in {
				s.do(f)
			}
		})
		return
	}
	if s.alive && s.incarnation == in {
		f()
	}
}

func (s *server) grant(token uint64) queue.Msg {
	if s.checks && token < s.token {
		return queue.GrantRefusedMsg{Token: token}
	}
	s.token = max(s.token, token)
	others := 0
	for _, t := range s.running {
		if t != token {
			others++
		}
	}
	return queue.GrantedMsg{Token: token, Incarnation: s.incarnation, Clock: s.clock(), Others: others, Running: len(s.running)}
}

// order runs an order and answers in the end.
func (s *server) order(c queue.SendCmd, answer func(queue.Msg)) {
	if s.checks && (c.Token != s.token || c.Incarnation != s.incarnation) {
		answer(queue.NotRunMsg{Seq: c.Seq, Code: retry.Fenced})
		return
	}
	if s.clock() >= c.NotAfter {
		answer(queue.NotRunMsg{Seq: c.Seq, Code: retry.DeadlineOver})
		return
	}
	if len(s.running) >= 3 {
		answer(queue.NotRunMsg{Seq: c.Seq, Code: retry.Shed})
		return
	}
	s.w.follow(c.Order.Id, "runs at %s incarnation %d under token %d", s.address, s.incarnation, c.Token)
	s.nextRun++
	run, began, in := s.nextRun, s.w.now, s.incarnation
	s.running[run] = c.Token
	work := s.w.between(2*time.Millisecond, 12*time.Millisecond)
	if s.w.random.IntN(40) == 0 {
		work = s.w.between(100*time.Millisecond, 900*time.Millisecond)
	}
	record := func(end time.Time) {
		if limit := s.began.Add(c.NotAfter); end.After(limit) {
			end = limit
		}
		s.w.oracle.Ran(oracle.Run{Server: s.address, DataCentre: s.place, Service: "k", ID: c.Order.Id, Key: c.Order.Path,
			Idempotent: c.Order.Idempotent, Start: began, End: end})
	}
	if work > c.NotAfter-s.clock() {
		work = c.NotAfter - s.clock()
	}
	ended := false
	s.w.after(work, func() {
		if s.incarnation != in || !s.alive {
			if !ended {
				record(began) // it died with its process, at the latest now
			}
			return
		}
		s.do(func() {
			ended = true
			delete(s.running, run)
			record(s.w.now)
			if s.clock() < c.NotAfter {
				answer(queue.AnsweredMsg{Seq: c.Seq, Latency: s.w.now.Sub(began), Answer: &wire.Answer{Status: 200, Body: []byte(c.Order.Id)}})
			}
		})
	})
}
