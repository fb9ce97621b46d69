// Package sock bounds how long the system goes on sending on a connection whose
// other end says nothing, as after a cut: left alone it would try for minutes.
//
// # Usage
//
//	d := net.Dialer{Control: sock.Control(1500 * time.Millisecond)}
//	err := sock.Bound(conn, 5*time.Second) // of an accepted connection
//
// Errors are the system's own.
package sock

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for net.Dialer that bounds new connections.
func Control(unacknowledged time.Duration) func(network, address string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error { return set(rc, unacknowledged) }
}

// Bound bounds a connection; one that has no socket is left as it is.
func Bound(conn any, unacknowledged time.Duration) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return set(rc, unacknowledged)
}

func set(rc syscall.RawConn, d time.Duration) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, failed)
}
