package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
)

// Ports are chosen from firstPort up to, but not including, endPort. The range lies below
// the ephemeral ports, which the system gives to outgoing connections and to listeners on port 0:
// one of these could take the port between the check and its use.
const (
	firstPort = 10_000
	endPort   = 32_000
)

// handedOut counts the ports that this process has tried. It takes them one after the other from a random
// one on, so that none is handed out twice: a daemon that a test stops for a while needs its own again.
var handedOut atomic.Uint32

var startPort = rand.IntN(endPort - firstPort)

// Free returns a loopback address on which nothing listens, and which this process has not got before
// unless it has used up the range.
func Free(t testing.TB) string {
	t.Helper()
	for range 100 {
		offset := (startPort + int(handedOut.Add(1))) % (endPort - firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no free port found")
	return ""
}
