package misuse

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// watchInterval is the time between two looks at the memory of a process.
const watchInterval = 5 * time.Millisecond

// Memory returns the resident memory of a process in bytes, 0 if it has ended.
func Memory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		if text, ok := strings.CutPrefix(scanner.Text(), "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// Watch is the memory of a process over time, in bytes.
type Watch struct {
	peak     atomic.Int64
	tooLarge atomic.Bool
}

// Run watches a process until ended is closed. If it needs more than limit bytes, Run calls kill and returns.
func (w *Watch) Run(pid int, limit int64, ended <-chan struct{}, kill func()) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(watchInterval):
		}
		used := Memory(pid)
		if used > w.peak.Load() {
			w.peak.Store(used)
		}
		if used > limit {
			w.tooLarge.Store(true)
			kill()
			return
		}
	}
}

// Peak is the most that the process has needed.
func (w *Watch) Peak() int64 { return w.peak.Load() }

// TooLarge reports whether it needed more than the limit.
func (w *Watch) TooLarge() bool { return w.tooLarge.Load() }
