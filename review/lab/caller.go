package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callerHost is the Host of callers' requests.
const callerHost = "ficu95.example"

// caller sends requests one after the other on a connection to a daemon that it keeps.
type caller struct {
	lab    *lab
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
}

// result is what a caller got for a request.
type result struct {
	id             string
	sentAt, doneAt time.Time
	status         int // 0 if there was no complete answer
	sent           bool
	err            error
}

// send sends a request and waits for the answer.
func (c *caller) send(method, path string, deadline time.Duration, header string) result {
	out := result{id: c.lab.nextAttempt(), sentAt: time.Now()}
	out.status, out.sent, out.err = c.exchange(out.id, method, path, deadline, header)
	out.doneAt = time.Now()
	if out.err != nil {
		c.close()
	}
	c.lab.record("caller: %s %s %s at %s, sent at %.3f: status %d %v", out.id, method, path, c.daemon.name, c.lab.since(out.sentAt), out.status, errText(out.err))
	return out
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *caller) exchange(id, method, path string, deadline time.Duration, fields string) (status int, sent bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.daemon.frontend, time.Second); err != nil {
			return 0, false, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nFrom-Daemon: %s\r\n%s", method, path, callerHost, id, deadline.Milliseconds(), c.daemon.name, fields)
	if method == http.MethodPost {
		text += "Content-Length: 5\r\n\r\nlabel"
	} else {
		text += "\r\n"
	}
	if _, err = io.WriteString(c.conn, text); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err = io.ReadAll(resp.Body); err != nil {
		return 0, true, err
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, true, nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// isReady asks a daemon's ready address.
func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
