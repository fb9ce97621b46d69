package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"catkinstep/io/standin/oracle"
)

// maxAttempts limits how often a request is sent.
const maxAttempts = 3

// call is one request of a caller, with all its attempts.
type call struct {
	id, key       string
	number        uint64
	nonIdempotent bool
	dueAt         time.Time
}

// attemptResult is the result of one attempt. The code says why the request was not answered.
type attemptResult struct {
	callerResult oracle.CallerResult
	code         string
	retry        bool
}

// send sends a request with all its attempts, and records the result.
func (g *Generator) send(c call) {
	var last attemptResult
	mayHaveRun := false // an attempt may have run
	for attempt := range uint64(maxAttempts) {
		last = g.attempt(c, attempt)
		mayHaveRun = mayHaveRun || last.callerResult.Outcome == "unknown"
		if !last.retry {
			break
		}
		g.countRetry()
	}
	if mayHaveRun && last.callerResult.Outcome == "notRun" {
		last.callerResult.Outcome = "unknown" // only the last attempt is known not to have run
	}
	latency := time.Since(c.dueAt)
	g.recorder.RecordResult(last.callerResult)
	g.record(c, last, latency)
}

func (g *Generator) attempt(c call, attempt uint64) attemptResult {
	host := g.balancer.Pick(c.number + attempt*7919)
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeout+time.Second)
	defer cancel()
	method, body := http.MethodGet, ""
	if c.nonIdempotent {
		method, body = http.MethodPost, "{}"
	}
	url := "http://" + host + "/" + g.config.Service + strings.ReplaceAll(g.config.Path, "KEY", c.key)
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		return attemptResult{callerResult: oracle.CallerResult{ID: c.id, Outcome: "notRun"}, code: err.Error()}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Catkinstep-Request-Id", c.id)
	req.Header.Set("Catkinstep-Timeout", g.config.Timeout.String())
	resp, err := g.client.Do(req)
	if err != nil {
		return g.connectionFailed(c, host, err)
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return g.connectionFailed(c, host, err)
	}
	result := parseReply(c, resp, data)
	result.retry = c.nonIdempotent && g.config.DedupByID && result.callerResult.Outcome == "unknown" && result.code != "outcomeLost"
	return result
}

// connectionFailed returns the result of an attempt that got no reply. If the host refused the
// connection or was killed, the request is retried if that is safe, as callers do. Otherwise, the
// host has lost the request, unless the attempt timed out.
func (g *Generator) connectionFailed(c call, host string, err error) attemptResult {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	if refused || g.balancer.WasKilled(host) {
		// Unless the connection was refused, a non-idempotent request may have run. If the
		// service does not recognise its ID, a retry could run it a second time.
		callerResult := oracle.CallerResult{ID: c.id, Outcome: "unknown"}
		if refused {
			callerResult.Outcome = "notRun"
		}
		return attemptResult{callerResult: callerResult, code: "hostLost", retry: refused || !c.nonIdempotent || g.config.DedupByID}
	}
	return attemptResult{callerResult: oracle.CallerResult{ID: c.id, Outcome: "unknown", ConnectionLost: !timedOut}, code: "noAnswer"}
}

// parseReply returns the result of an attempt that got a reply. The reply to an answered request
// must contain the request's ID and key.
func parseReply(c call, resp *http.Response, data []byte) attemptResult {
	callerResult := oracle.CallerResult{ID: c.id, Outcome: resp.Header.Get("Catkinstep-Outcome")}
	if callerResult.Outcome == "answered" {
		var answered struct {
			ID, Path string
		}
		callerResult.WrongReply = json.Unmarshal(data, &answered) != nil || answered.ID != c.id || !strings.Contains(answered.Path, c.key)
		return attemptResult{callerResult: callerResult}
	}
	var failure struct{ Code string }
	_ = json.Unmarshal(data, &failure)
	return attemptResult{callerResult: callerResult, code: failure.Code}
}
