package sock

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states of a connection whose other end has closed it, as the kernel numbers them.
const (
	stateClose     = 7
	stateCloseWait = 8
	stateLastAck   = 9
)

// IsGone reports whether the other end of a connection has closed it, or this one has. It also sees that while
// there are bytes that have not been read. It returns false if the kernel does not say.
func IsGone(conn any) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err == nil && (info.State == stateClose || info.State == stateCloseWait || info.State == stateLastAck)
	})
	return gone || err != nil
}
