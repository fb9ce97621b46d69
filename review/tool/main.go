// Reviewtool plays the cases of a review: it starts daemons as separate processes, with the command of the
// deploy file, against stand-ins of the platform's store, of backends and of requesters in this process. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//
//	reviewtool CASE DIR DAEMON_PROGRAM [TROUBLE]
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var zones = []string{"merrimack", "pioneer-valley", "champlain", "kennebec"}

// daemonZones are the zones of the eight machines of Granite Hearth.
var daemonZones = []string{"merrimack", "merrimack", "pioneer-valley", "pioneer-valley", "pioneer-valley", "champlain", "champlain", "kennebec"}

const (
	orderPath  = "/pufi791/"
	lookupPath = "/volo102/"
	boardName  = "wuno96b"
	// judgeAfter is how long after the last request the backends may still run something.
	judgeAfter = 3 * time.Second
	playLimit  = 117 * time.Second
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: reviewtool CASE DIR DAEMON_PROGRAM [TROUBLE]")
		os.Exit(2)
	}
	program, err := filepath.Abs(os.Args[3])
	if err == nil {
		err = os.MkdirAll(os.Args[2], 0o755)
	}
	if err != nil {
		fail(err)
	}
	s, err := newSite(os.Args[2], zones)
	if err != nil {
		fail(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; s.stop(); os.Exit(2) }()
	time.AfterFunc(playLimit, func() { s.stop(); fail(errors.New("it takes too long")) })
	withTrouble := len(os.Args) < 5 || os.Args[4] != "0"
	switch os.Args[1] {
	case "refused":
		err = playRefused(s, program, withTrouble)
	case "owner":
		err = playOwner(s, program, withTrouble)
	default:
		err = fmt.Errorf("unknown case %q", os.Args[1])
	}
	s.stop()
	if err != nil {
		fail(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range s.broken {
		fmt.Println(text)
	}
	if len(s.broken) > 0 {
		fmt.Printf("broken %d times\n", len(s.broken))
		os.Exit(1)
	}
	fmt.Println("held")
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// startBoard starts the daemons and the backends of the service that is divided by key, three or four in
// each zone, and waits until keys are served.
func startBoard(s *site, program string, perZone []int, slots int, work func() time.Duration, route map[string]any) error {
	for z, n := range perZone {
		for i := range n {
			b := &backend{id: fmt.Sprintf("i-%02d%02d%08x", z, i, rand.Uint32()), service: boardName, zone: zones[z], slots: slots, keyed: true, work: work}
			if err := s.addBackend(b); err != nil {
				return err
			}
		}
	}
	s.putConfig([]map[string]any{route}, []map[string]any{{"name": boardName, "healthPath": "/healthz", "maxConns": 51, "protocol": "h1", "tls": false,
		"warmupS": 3.0, "warmupPerS": 12.0, "partitioned": true, "warmS": 3.0, "grants": "request"}})
	if err := s.startDaemons(program, daemonZones); err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the keys are granted, and the daemons know the load
	return nil
}

// markFaulty makes a share of the backends those that may answer twice.
func (s *site) markFaulty(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.backends {
		b.faulty = float64(i) < share*float64(len(s.backends))
	}
	rand.Shuffle(len(s.backends), func(i, j int) {
		s.backends[i].faulty, s.backends[j].faulty = s.backends[j].faulty, s.backends[i].faulty
	})
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// playRefused sends orders, which may run once, to a service that is divided by key. In each of some windows
// the backends shed a part of the requests, and some of them send a second answer after a few of theirs.
func playRefused(s *site, program string, withTrouble bool) error {
	const (
		perSecond   = 80
		deadline    = 600 * time.Millisecond
		windows     = 8
		shedFor     = 8500 * time.Millisecond
		garbleFor   = 5 * time.Second
		pause       = 1500 * time.Millisecond
		shedShare   = 0.3
		faultyShare = 0.6
		extraShare  = 0.03
	)
	work := func() time.Duration { return time.Duration(40+rand.IntN(76)) * time.Millisecond }
	route := map[string]any{"name": "r-n73hh2b", "routeType": "non_idempotent", "targetLatencyS": 0.25, "priority": 1,
		"match": map[string]any{"pathPrefix": orderPath}, "action": map[string]any{"service": boardName, "timeoutS": 0.6, "maxAttempts": 2}}
	if err := startBoard(s, program, []int{4, 3, 3, 3}, 4, work, route); err != nil {
		return err
	}
	s.markFaulty(faultyShare)
	var wg sync.WaitGroup
	var mu sync.Mutex
	promised, attemptsOf := map[string]int{}, map[int][]string{} // by attempt, by order
	total, served := 0, 0
	order := func(number int) {
		defer wg.Done()
		key, body := rand.IntN(lastKey+1), make([]byte, 1200)
		sentAt := time.Now()
		// A requester retries once, after a promise only, and as Retry-After says.
		for try := range 2 {
			id, left := newID(), deadline-time.Since(sentAt)
			if try == 1 {
				s.log("client: order %d is sent again as %s", number, id)
			}
			status, header := s.send(s.daemons[rand.IntN(len(s.daemons))], "POST", fmt.Sprintf("%sorder/%d", orderPath, number), id, key, left, body)
			mu.Lock()
			attemptsOf[number] = append(attemptsOf[number], id)
			if status == 200 {
				served++
			}
			if promises[status] {
				promised[id] = status
			}
			mu.Unlock()
			retryAfter, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
			pause := time.Duration(retryAfter * float64(time.Second))
			if !promises[status] || pause > (deadline-time.Since(sentAt))/3 {
				return
			}
			time.Sleep(pause)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range windows {
			if withTrouble {
				s.setTrouble(trouble{shedShare: shedShare, extraShare: extraShare})
				time.Sleep(garbleFor)
				s.setTrouble(trouble{shedShare: shedShare})
				time.Sleep(shedFor - garbleFor)
				s.setTrouble(trouble{})
				time.Sleep(pause)
			} else {
				time.Sleep(shedFor + pause)
			}
		}
	}()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for playing := true; playing; {
		select {
		case <-done:
			playing = false
		case <-ticker.C:
			total++
			wg.Add(1)
			go order(total)
		}
	}
	wg.Wait()
	time.Sleep(judgeAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, status := range promised {
		if len(s.runs[id]) > 0 {
			s.breaks("REFUSED: order %s was answered %d and has run at %v", id, status, s.runs[id])
		}
	}
	twice := 0
	for number, ids := range attemptsOf {
		runs := 0
		for _, id := range ids {
			runs += len(s.runs[id])
		}
		if runs > 1 {
			twice++
			s.log("order %d ran %d times, by the attempts %v", number, runs, ids)
		}
	}
	summary := fmt.Sprintf("%d orders, %d served, %d attempts refused, %d orders ran twice since their requester sent them again", total, served, len(promised), twice)
	s.log("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return errors.New("no order was served")
	}
	return nil
}

// playOwner sends lookups to a service that is divided by key. In each of some windows a part of them concerns
// a few hot keys, so that the leader moves keys, and some backends send a second answer after a few of theirs.
func playOwner(s *site, program string, withTrouble bool) error {
	const (
		perSecond   = 90
		deadline    = 4 * time.Second
		windows     = 11
		pause       = 2 * time.Second
		hotShare    = 0.4
		hotKeys     = 200
		garbleFor   = 5 * time.Second
		faultyShare = 0.6
		extraShare  = 0.03
	)
	work := func() time.Duration { return time.Duration(300+rand.IntN(400)) * time.Millisecond }
	route := map[string]any{"name": "r-volo", "routeType": "idempotent", "targetLatencyS": 1.5, "priority": 2,
		"match": map[string]any{"pathPrefix": lookupPath}, "action": map[string]any{"service": boardName, "timeoutS": 4.0, "maxAttempts": 2}}
	if err := startBoard(s, program, []int{4, 4, 4, 3}, 5, work, route); err != nil {
		return err
	}
	s.markFaulty(faultyShare)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	lookup := func(key int) {
		defer wg.Done()
		status, _ := s.send(s.daemons[rand.IntN(len(s.daemons))], "GET", lookupPath+"x", newID(), key, deadline, nil)
		mu.Lock()
		defer mu.Unlock()
		answers[status]++
	}
	var hot atomic.Int64 // the first of the hot keys; -1 if there are none
	hot.Store(-1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range windows {
			if withTrouble {
				hot.Store(int64(rand.IntN(lastKey - hotKeys)))
				s.log("load: %d %% of the lookups concern %d keys from %d", int(100*hotShare), hotKeys, hot.Load())
				s.setTrouble(trouble{extraShare: extraShare, extraPath: "/api/release"})
			}
			time.Sleep(garbleFor)
			hot.Store(-1)
			s.setTrouble(trouble{})
			time.Sleep(pause)
		}
	}()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for playing := true; playing; {
		select {
		case <-done:
			playing = false
		case <-ticker.C:
		}
		key := rand.IntN(lastKey + 1)
		if from := hot.Load(); from >= 0 && rand.Float64() < hotShare {
			key = int(from) + rand.IntN(hotKeys)
		}
		wg.Add(1)
		go lookup(key)
	}
	wg.Wait()
	time.Sleep(judgeAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	extras, all := 0, 0
	for _, b := range s.backends {
		extras, all = extras+b.extras, all+b.answers
	}
	s.log("answers by status: %v; second answers %d of %d", answers, extras, all)
	fmt.Printf("answers by status: %v; second answers %d of %d\n", answers, extras, all)
	if answers[200] == 0 || withTrouble && extras == 0 {
		return errors.New("no lookup was served, or no second answer sent")
	}
	return nil
}
