package caller

import (
	"net"
	"time"
)

const (
	// lingerTimeout is how long lingeringClose waits for the caller to send something or to close the
	// connection after the last reply. It is longer than a reply takes to reach any caller.
	lingerTimeout = 300 * time.Millisecond
	// maxLinger is how long a caller may go on sending after the last reply. Most read the reply only when
	// they have sent their whole request.
	maxLinger = 3 * time.Second
	// maxLingerBytes is how much is discarded of what follows a request that has been read, or whose head could
	// not be. Of a body that was refused it is lingerFactor times what a body may have.
	maxLingerBytes = 256 << 10
	lingerFactor   = 4
	// lingerBuffer is the size in bytes of the reads of what is discarded.
	lingerBuffer = 16 << 10
)

// lingeringClose closes the sending side of the connection and discards what the caller still
// sends. Closing the connection with unread data would reset it, and the last reply could
// be lost.
func (c *conn) lingeringClose() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	for range c.queue { // after the last reply, addPending accepts no request
	}
	c.beginLinger(time.Now())
	buffer, end := make([]byte, lingerBuffer), time.Now().Add(maxLinger)
	for left := max(c.unreadBytes, maxLingerBytes); left > 0 && time.Now().Before(end); {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		left -= int64(n)
	}
}
