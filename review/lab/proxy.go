package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// partition cuts one daemon off from the store and from all other daemons, and leaves its links to callers and to
// backend servers alone. All those connections go through proxies, which forward, or hold back everything.
//
// Daemons tell each other their addresses, and learn them from the store. So the proxies replace them in what they
// forward by the addresses of proxies, which have the same length.
type partition struct {
	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
	// toInside and toOutside are the pairs of texts that are replaced on the way to the daemon and from it.
	toInside, toOutside [][2][]byte
}

func newPartition() *partition {
	p := &partition{}
	p.healed = sync.NewCond(&p.mu)
	return p
}

// set cuts the daemon off, or heals the cut.
func (p *partition) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	p.healed.Broadcast()
}

// await waits while the daemon is cut off.
func (p *partition) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

func (p *partition) cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut
}

// proxy listens at an address and forwards connections to another one. inbound is set if they lead to the daemon.
func (p *partition) proxy(at, to string, inbound bool) {
	listener, err := net.Listen("tcp", at)
	must(err)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(from, to, inbound)
		}
	}()
}

func (p *partition) serve(from net.Conn, to string, inbound bool) {
	p.await()
	target, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	forth, back := p.toOutside, p.toInside
	if inbound {
		forth, back = back, forth
	}
	go p.forward(target, from, forth)
	go p.forward(from, target, back)
}

// forward copies what arrives on one connection to another. What arrives during a cut is held back, and is lost if its
// sender closes the connection meanwhile.
func (p *partition) forward(to, from net.Conn, replace [][2][]byte) {
	defer func() { _ = to.Close() }()
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- buffer[:n]
			}
			if err != nil {
				if p.cut() {
					_ = to.Close()
				}
				return
			}
		}
	}()
	for chunk := range chunks {
		p.await()
		for _, pair := range replace {
			chunk = bytes.ReplaceAll(chunk, pair[0], pair[1])
		}
		if _, err := to.Write(chunk); err != nil {
			_ = from.Close()
			return
		}
	}
}
