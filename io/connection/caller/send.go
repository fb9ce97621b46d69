package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sendTimeout bounds how long a reply is written to a caller that does not read it.
const sendTimeout = 5 * time.Second

// send writes a reply in one piece, with its length.
func (c *conn) send(p *pendingRequest, closeAfter bool) error {
	var b strings.Builder
	b.Grow(256 + len(p.reply.Body))
	status := p.reply.Status
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range p.reply.Header {
		if isHopByHop(name) {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	noBody := status == http.StatusNoContent || status == http.StatusNotModified
	switch {
	case p.isHead && p.reply.Header.Get("Content-Length") != "":
		b.WriteString("Content-Length: " + p.reply.Header.Get("Content-Length") + "\r\n")
	case !noBody:
		b.WriteString("Content-Length: " + strconv.Itoa(len(p.reply.Body)) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !p.isHead && !noBody {
		b.Write(p.reply.Body)
	}
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := c.Write([]byte(b.String()))
	return err
}

// isHopByHop reports whether a header applies only to one connection or its framing.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Trailer", "Te", "Upgrade":
		return true
	}
	return false
}
