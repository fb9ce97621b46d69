package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sendTimeout bounds the writing of an answer to a caller that does not read.
const sendTimeout = 5 * time.Second

// send writes an answer in one piece, framed by its length.
func (c *conn) send(j *job, last bool) error {
	var b strings.Builder
	b.Grow(256 + len(j.reply.Body))
	status := j.reply.Status
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range j.reply.Header {
		if hopByHop(name) {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	bodiless := status == http.StatusNoContent || status == http.StatusNotModified
	switch {
	case j.head && j.reply.Header.Get("Content-Length") != "":
		b.WriteString("Content-Length: " + j.reply.Header.Get("Content-Length") + "\r\n")
	case !bodiless:
		b.WriteString("Content-Length: " + strconv.Itoa(len(j.reply.Body)) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !j.head && !bodiless {
		b.Write(j.reply.Body)
	}
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := c.Write([]byte(b.String()))
	return err
}

// hopByHop tells which headers concern one connection only, or its framing.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Trailer", "Te", "Upgrade":
		return true
	}
	return false
}
