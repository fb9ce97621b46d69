// Package sock sets the TCP user timeout: how long the kernel waits for sent data to be
// acknowledged before it closes the connection. Without it, the kernel retransmits for
// minutes, for example in a network partition.
//
// # Usage
//
//	d := net.Dialer{Control: sock.Control(1500 * time.Millisecond)}
//	err := sock.SetUserTimeout(conn, 5*time.Second) // for an accepted connection
//	if sock.IsGone(conn) {}                           // although there may be unread bytes
//
// Errors are those of the system calls.
package sock

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for the Control field of net.Dialer that sets the TCP user timeout
// of new connections.
func Control(timeout time.Duration) func(network, address string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error { return setRawConnTimeout(rc, timeout) }
}

// SetUserTimeout sets the TCP user timeout of a connection. It does nothing if the
// connection has no socket.
func SetUserTimeout(conn any, timeout time.Duration) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setRawConnTimeout(rc, timeout)
}

// setRawConnTimeout sets the TCP user timeout of a socket.
func setRawConnTimeout(rc syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := rc.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
