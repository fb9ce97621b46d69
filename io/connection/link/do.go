package link

import (
	"context"
	"errors"
	"net/http"
	"time"

	"catkinstep/io/connection/chunk"
)

// Request is a request to a server.
type Request struct {
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	// Header is sent unchanged, except for the deadline and instance headers, which the
	// Client sets.
	Header http.Header
	Body   chunk.Body
	// ID is the request ID, which servers echo. The same ID may be sent again.
	ID string
	// TimeLeft is the time until the caller's deadline. It is sent to the server.
	TimeLeft time.Duration
	// DecidedAt is when the server was chosen; zero for control calls.
	DecidedAt time.Time
	// SendBefore is the time until which the request may be sent, however long it takes to get a
	// connection; zero if it may be sent at any time.
	SendBefore time.Time
	// ControlCall marks a call that the daemon makes on its own behalf, such as a grant. It
	// has no caller's deadline to send, and its response names no ID. A connection is opened for
	// it, so that no response to an earlier call can be taken for its own.
	ControlCall bool
	// ExistingConnOnly sends a control call on an idle connection or not at all, so that it
	// reaches the same instance of the server as an earlier call. Only a response with status 200
	// is returned, and that may be the second copy of an earlier one.
	ExistingConnOnly bool
	// LatestConn is the last connection that an ExistingConnOnly call may use; 0 if it may use any.
	LatestConn uint64
}

// Response is a server's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Declined means that the server states that it did not run the request: the header says so, and the
	// ID that this is meant. A status states nothing; servers send each with requests that have run.
	Declined bool
	// OutcomeLost means that a previous holder of the request's key may have run the request
	// and that its outcome is lost.
	OutcomeLost bool
	// Load is the load that the server reports, or nil.
	Load *Load
	// RateLimited means that the server names a limit, and RateLimit is how many requests a second
	// it takes; NaN if what it says is no number.
	RateLimited bool
	RateLimit   float64
	// Server is the ID of the server that the request was sent to.
	Server string
	// Conn is the connection on which the response arrived. Connections are numbered in the order
	// in which they are opened.
	Conn uint64
}

// Load is the load of a server, as reported with a response.
type Load struct {
	Running, Waiting, Slots int
	// Bytes is the size of the response body.
	Bytes int
	// Slowdown is the server's current service time relative to the usual one; 0 if it
	// is not reported.
	Slowdown float64
}

// Do sends a request once and reads the complete response. If the context ends, the
// connection is closed, which tells the server to stop.
func (cl *Client) Do(ctx context.Context, req Request) (*Response, error) {
	if err := cl.checkGate(req); err != nil {
		return nil, err
	}
	c, err := cl.getConn(ctx, time.Now(), req)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, idleTime, err := cl.roundTrip(ctx, c, req)
	stopped := stop()
	if err != nil {
		resetConn(c)
		var e *Error
		if errors.As(err, &e) {
			e.ReusedConn = c.reused
		}
		if ctx.Err() != nil && !NotRun(err) && !LackedMemory(err) {
			return nil, &Error{Op: "do", Kind: ContextDone, Err: context.Cause(ctx)}
		}
		return nil, err
	}
	if idleTime <= 0 || !stopped || c.r.Buffered() > 0 || c.isWorn() {
		_ = c.Close()
		return resp, nil
	}
	c.reusableUntil = time.Now().Add(idleTime)
	cl.putIdleConn(c)
	return resp, nil
}

func (cl *Client) roundTrip(ctx context.Context, c *conn, req Request) (*Response, time.Duration, error) {
	if !req.SendBefore.IsZero() && time.Now().After(req.SendBefore) {
		return nil, 0, &Error{Op: "write", Kind: TooLate, Err: errTooLate}
	}
	if err := cl.checkGate(req); err != nil {
		return nil, 0, err
	}
	c.recordID(req.ID)
	w, err := cl.startWrite(c, req)
	if err != nil {
		return nil, 0, err
	}
	resp, idleTime, err := cl.readResponse(ctx, c, req, w)
	if err == nil && !w.hasSucceeded() {
		idleTime = 0 // the body is still being written, so that no other request may use the connection
	}
	return resp, idleTime, err
}

var errTooLate = errors.New("the connection was not there in time")
