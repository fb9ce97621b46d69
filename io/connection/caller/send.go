package caller

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// sendTimeout bounds how long a piece of a reply is written to a caller that does not read it.
	sendTimeout = 5 * time.Second
	// sendPiece is how many bytes of a reply are written at a time, so that a caller on a slow link is known
	// from one that does not read.
	sendPiece = 64 << 10
)

// minSeparateBody is the size in bytes from which a body is not copied behind its head: large bodies that
// wait for slow callers would take twice their memory.
const minSeparateBody = 16 << 10

// send writes a reply with its length.
func (c *conn) send(p *pendingRequest, closeAfter bool) error {
	head, body := replyHead(p, closeAfter), p.reply.Body()
	if p.isHead || hasNoBody(p.reply.Status()) {
		body = nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	if len(body) < minSeparateBody {
		_, err := c.Write(append(head, body...))
		return err
	}
	first := min(len(body), sendPiece)
	buffers := net.Buffers{head, body[:first]}
	_, err := buffers.WriteTo(c.Conn)
	for rest := body[first:]; err == nil && len(rest) > 0; rest = rest[min(len(rest), sendPiece):] {
		c.recordSent()
		_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err = c.Write(rest[:min(len(rest), sendPiece)])
	}
	return err
}

// replyHead returns the status line and the header fields of a reply.
func replyHead(p *pendingRequest, closeAfter bool) []byte {
	var b bytes.Buffer
	b.Grow(512)
	status := p.reply.Status()
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range p.reply.Header() {
		if isHopByHop(name) {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case p.isHead && p.reply.Header().Get("Content-Length") != "":
		b.WriteString("Content-Length: " + p.reply.Header().Get("Content-Length") + "\r\n")
	case !hasNoBody(status):
		b.WriteString("Content-Length: " + strconv.Itoa(len(p.reply.Body())) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hasNoBody reports whether replies with a status never have a body.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// isHopByHop reports whether a header applies only to one connection or its framing.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Trailer", "Te", "Upgrade":
		return true
	}
	return false
}
