package back

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/retry"
)

// Headers between a dispatcher and a backend server.
const (
	HeaderID          = "Catkinstep-Request-Id"
	HeaderToken       = "Catkinstep-Token"
	HeaderIncarnation = "Catkinstep-Incarnation"
	HeaderNotAfter    = "Catkinstep-Not-After"
	HeaderShard       = "Catkinstep-Shard"
	HeaderOutcome     = "Catkinstep-Outcome"
	HeaderCode        = "Catkinstep-Code"
	// OutcomeNotRun is the value of HeaderOutcome in a refusal.
	OutcomeNotRun = "notRun"
	// GrantPath is where a server takes fencing tokens.
	GrantPath = "/catkinstep/grant"
)

const (
	dialTimeout  = 250 * time.Millisecond
	grantTimeout = 400 * time.Millisecond
	maxBody      = 1 << 20
)

// GrantReply is a server's answer to a token.
type GrantReply struct {
	// Token is the highest token that the server has taken.
	Token       uint64 `json:"token"`
	Incarnation uint64 `json:"incarnation"`
	// ClockMicros is the server's monotonic clock.
	ClockMicros int64 `json:"clockMicros"`
	// Others counts orders under older tokens that still run.
	Others int `json:"others"`
	// Running counts all orders that still run.
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

// Order is one order to be written.
type Order struct {
	*wire.Order
	Token       uint64
	Incarnation uint64
	NotAfter    time.Duration
}

// Client is the way to one backend server. It is safe for concurrent use.
type Client struct {
	base   string
	orders *http.Client
	grants *http.Client
}

// New returns a client that opens at most so many connections for orders. One
// more is kept for tokens, so that probing never waits for orders.
func New(address string, connections int) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	orders := &http.Transport{
		DialContext: dial, DisableCompression: true, MaxConnsPerHost: max(1, connections-1),
		MaxIdleConnsPerHost: max(1, connections-1), IdleConnTimeout: 30 * time.Second,
	}
	grants := &http.Transport{DialContext: dial, MaxConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	never := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:   "http://" + address,
		orders: &http.Client{Transport: orders, CheckRedirect: never},
		grants: &http.Client{Transport: grants, CheckRedirect: never},
	}
}

// Close ends idle connections.
func (c *Client) Close() {
	c.orders.CloseIdleConnections()
	c.grants.CloseIdleConnections()
}

// Grant offers a token and learns what the server says of itself.
func (c *Client) Grant(ctx context.Context, token uint64) (GrantReply, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	body, _ := json.Marshal(map[string]uint64{"token": token})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+GrantPath, bytes.NewReader(body))
	if err != nil {
		return GrantReply{}, &Error{Op: "grant", Kind: NotRun, Err: err}
	}
	resp, err := c.grants.Do(req)
	if err != nil {
		return GrantReply{}, failure("grant", err, true)
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	var g GrantReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&g); err != nil {
		return g, &Error{Op: "grant", Kind: Unsure, Err: err}
	}
	if resp.StatusCode == http.StatusConflict {
		return g, &Error{Op: "grant", Kind: Fenced, Code: retry.Fenced, Err: fmt.Errorf("it has token %d", g.Token)}
	}
	return g, nil
}

// Send writes an order and reads the whole answer.
func (c *Client) Send(ctx context.Context, o Order) (*wire.Answer, time.Duration, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), o)
	if err != nil {
		return nil, 0, &Error{Op: "send", Kind: NotRun, Code: retry.BadRequest, Err: err}
	}
	began := time.Now()
	resp, err := c.orders.Do(req)
	if err != nil {
		return nil, 0, failure("send", err, connected.Load())
	}
	defer resp.Body.Close() //nolint:errcheck // a body left unread ends the connection, as it should
	if id := resp.Header.Get(HeaderID); id != "" && id != o.Id {
		// Answers have crossed on this connection. Nothing more on it can be
		// trusted; closing the body unread drops it.
		return nil, 0, &Error{Op: "send", Kind: Crossed, Code: retry.AnswerCrossed, Err: fmt.Errorf("the answer is to %q", id)}
	}
	if resp.Header.Get(HeaderOutcome) == OutcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
		return nil, 0, &Error{Op: "send", Kind: NotRun, Code: code(resp.Header.Get(HeaderCode)), Err: errors.New("refused by the server")}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, 0, &Error{Op: "send", Kind: Unsure, Code: retry.OutcomeLost, Err: fmt.Errorf("the answer was cut: %w", err)}
	}
	if len(body) > maxBody {
		return nil, 0, &Error{Op: "send", Kind: Unsure, Code: retry.TooLarge, Err: errors.New("the answer is too large")}
	}
	a := &wire.Answer{Status: int32(resp.StatusCode), Body: body}
	for k, vs := range resp.Header {
		if internal(k) {
			continue
		}
		for _, v := range vs {
			a.Headers = append(a.Headers, &wire.Header{Name: k, Value: v})
		}
	}
	return a, time.Since(began), nil
}

func (c *Client) request(ctx context.Context, o Order) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, o.Method, c.base+o.Path, nil)
	if err != nil {
		return nil, err
	}
	for _, h := range o.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	if !o.Idempotent {
		// The transport sends a request again by itself, after a connection that
		// it reused broke, if the method or an idempotency header allows it and
		// the body can be had again. Neither may be the case here.
		req.Header.Del("Idempotency-Key")
		req.Header.Del("X-Idempotency-Key")
	}
	if len(o.Body) > 0 || !o.Idempotent {
		req.Body = io.NopCloser(bytes.NewReader(o.Body))
		req.ContentLength = int64(len(o.Body))
		req.GetBody = nil
	}
	req.Header.Set(HeaderID, o.Id)
	req.Header.Set(HeaderToken, strconv.FormatUint(o.Token, 10))
	req.Header.Set(HeaderIncarnation, strconv.FormatUint(o.Incarnation, 10))
	req.Header.Set(HeaderNotAfter, strconv.FormatInt(o.NotAfter.Microseconds(), 10))
	if o.Owned {
		req.Header.Set(HeaderShard, strconv.FormatUint(uint64(o.Shard), 10))
	}
	return req, nil
}

// failure sorts an error of the transport. Without a connection nothing was
// written; with one, the order may have arrived whatever the error says.
func failure(op string, err error, connected bool) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &Error{Op: op, Kind: Gone, Code: retry.ServerDown, Err: err}
	case !connected:
		return &Error{Op: op, Kind: NotRun, Code: retry.NotSent, Err: err}
	}
	return &Error{Op: op, Kind: Unsure, Code: retry.OutcomeLost, Err: err}
}

// code maps a server's code to one that entries know.
func code(s string) string {
	switch s {
	case retry.Fenced, retry.Out, retry.DeadlineOver:
		return s
	}
	return retry.Shed
}

// internal tells which headers are between server and dispatcher only, or
// belong to one connection.
func internal(name string) bool {
	switch name {
	case HeaderID, HeaderOutcome, HeaderCode, HeaderIncarnation, "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade":
		return true
	}
	return false
}
