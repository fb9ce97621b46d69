// Command lab plays the scripted cases of the second review. It starts the project's daemons as separate processes,
// and stands in for the platform's store, for backend servers and for callers, all on loopback.
//
// Usage: lab CASE RECORD, in the repository's root. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a case, so that no process outlives it.
const maxRun = 117 * time.Second

// verdict is the exit status of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(*lab) verdict{
	"hangup": playHangup, "poison": playPoison, "stale": playStale, "beat": playBeat, "cutoff": playCutoff, "odd": playOdd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(int(notRun))
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(int(notRun))
	}
	ended := make(chan verdict, 1)
	go func() { ended <- play(l, cases[os.Args[1]]) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	v := notRun
	select {
	case v = <-ended:
	case <-signals:
		l.record("the case was interrupted")
	case <-time.After(maxRun):
		l.record("the case took too long")
	}
	l.close()
	fmt.Println("verdict:", []string{"the rule held", "the rule was broken", "the case could not run"}[v])
	os.Exit(int(v))
}

// play runs a case. A failure of the stand-ins themselves means that it could not run.
func play(l *lab, run func(*lab) verdict) (v verdict) {
	defer func() {
		if r := recover(); r != nil {
			l.record("the case could not run: %v", r)
			v = notRun
		}
	}()
	return run(l)
}
