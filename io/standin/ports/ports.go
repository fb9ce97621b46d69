package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// Ports are chosen from firstPort up to, but not including, endPort. The range lies below
// the ephemeral ports, which the system gives to outgoing connections and to listeners on port 0:
// one of these could take the port between the check and its use.
const (
	firstPort = 10_000
	endPort   = 32_000
	blockSize = 200
	blocks    = (endPort - firstPort) / blockSize
)

// allocator hands out the ports of blocks that no other process has. A process has a block while it listens
// on the block's first port. Otherwise another one could get a port between the check and its use, or while a
// daemon that a test stops for a while does not listen on it.
type allocator struct {
	firstBlock int // where the search for blocks begins

	mu      sync.Mutex
	claimed []net.Listener // on the first ports of the blocks
	offered int            // ports of these blocks that have been looked at
}

var process = allocator{firstBlock: rand.IntN(blocks)}

// Free returns a loopback address on which nothing listens, and which neither this process nor another one
// that runs has got before, unless the range is used up.
func Free(t testing.TB) string {
	t.Helper()
	address, err := process.free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (a *allocator) free() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range blocks * blockSize {
		if address := a.next(); address != "" && isFree(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, endPort-1)
}

// next returns the address of the next port, or "" if there is none here.
func (a *allocator) next() string {
	const perBlock = blockSize - 1 // the first port of a block is not handed out
	if a.offered >= len(a.claimed)*perBlock && !a.claim() {
		a.offered = 0 // the range is used up: begin again
	}
	if len(a.claimed) == 0 {
		return ""
	}
	block, port := a.offered/perBlock, a.offered%perBlock
	a.offered++
	return loopback(portOf(a.claimed[block]) + 1 + port)
}

// claim adds a block that no process has, and reports whether there was one.
func (a *allocator) claim() bool {
	for i := range blocks {
		l, err := net.Listen("tcp", loopback(firstPort+(a.firstBlock+i)%blocks*blockSize))
		if err == nil {
			a.claimed = append(a.claimed, l)
			return true
		}
	}
	return false
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	return err == nil && l.Close() == nil
}

func portOf(l net.Listener) int { return l.Addr().(*net.TCPAddr).Port }

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
