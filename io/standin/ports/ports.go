package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Ports are chosen from firstPort up to, but not including, endPort. The range lies below
// the ephemeral ports, which the system gives to outgoing connections and to listeners on port 0:
// one of these could take the port between the check and its use.
const (
	firstPort = 10_000
	endPort   = 32_000
)

// Free returns a loopback address on which nothing listens.
func Free(t testing.TB) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort))
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
