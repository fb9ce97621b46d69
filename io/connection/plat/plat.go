package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"catkinstep/core/connection/wire"
)

// Kind sorts the errors of this package.
type Kind string

// Kinds of errors.
const (
	Conflict    Kind = "conflict"
	Unsure      Kind = "unsure"
	Unreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is tells whether an error is of this package and of a kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

const (
	// callTimeout is far above the platform's ordinary milliseconds; a call
	// that takes longer counts as failed and is followed by a backoff.
	callTimeout = 2 * time.Second
	// watchWait is how long a watch waits for a change. It bounds the time
	// between two words with the platform, which leases with a hold rely on.
	watchWait = 5 * time.Second
	// callsPerSecond and callBurst bound one daemon's calls whatever happens.
	callsPerSecond = 10
	callBurst      = 30
	watchBackoff   = 200 * time.Millisecond
	watchAtMost    = 5 * time.Second
	maxObject      = 1 << 20
)

// Client is one daemon's access to the platform. It is safe for concurrent use.
type Client struct {
	base       string
	dataCentre string
	http       *http.Client
	limit      *rate.Limiter
}

// New returns a client of the platform at an IP number with a port.
func New(address, dataCentre string) *Client {
	return &Client{
		base:       "http://" + address,
		dataCentre: dataCentre,
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
		limit:      rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// Read returns an object, or nil when there is none of that name.
func (c *Client) Read(ctx context.Context, name string) (*wire.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, body, err := c.call(ctx, http.MethodGet, "/objects/"+name, nil, nil) //nolint:bodyclose // call has read and closed it
	if err != nil {
		return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		v, err := version(resp)
		if err != nil {
			return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: err}
		}
		return &wire.Object{Name: name, Version: v, Value: body}, nil
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: errors.New(resp.Status)}
}

// Write makes a conditional update; ifVersion 0 means that the object must not
// exist yet. It returns the object with its new version.
func (c *Client) Write(ctx context.Context, name string, ifVersion uint64, value []byte) (*wire.Object, error) {
	op := "write " + name
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{"If-Match": {strconv.FormatUint(ifVersion, 10)}}
	resp, _, err := c.call(ctx, http.MethodPut, "/objects/"+name, value, header) //nolint:bodyclose // call has read and closed it
	if err != nil {
		return nil, &Error{Op: op, Kind: Unsure, Err: err}
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		v, err := version(resp)
		if err != nil {
			return nil, &Error{Op: op, Kind: Unsure, Err: err}
		}
		return &wire.Object{Name: name, Version: v, Value: value}, nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return nil, &Error{Op: op, Kind: Conflict, Err: fmt.Errorf("it is no longer at version %d", ifVersion)}
	case resp.StatusCode >= 500:
		return nil, &Error{Op: op, Kind: Unsure, Err: errors.New(resp.Status)}
	}
	return nil, &Error{Op: op, Kind: Unreachable, Err: errors.New(resp.Status)}
}

// watched is the answer of one long poll.
type watched struct {
	Revision uint64          `json:"revision"`
	Objects  []watchedObject `json:"objects"`
}

type watchedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Watch tells of every change of any object, from all that exist on, until the
// context ends. Each poll that ends, with a change or without, is told once
// with a nil object, since it proves contact; asked is when it began.
func (c *Client) Watch(ctx context.Context, tell func(asked time.Time, o *wire.Object, err error)) {
	after, wait := uint64(0), watchBackoff
	for ctx.Err() == nil {
		asked := time.Now()
		w, err := c.poll(ctx, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			tell(asked, nil, err)
			pause(ctx, wait/2+time.Duration(rand.Int64N(int64(wait))))
			wait = min(2*wait, watchAtMost)
			continue
		}
		wait = watchBackoff
		after = w.Revision
		for _, o := range w.Objects {
			tell(asked, &wire.Object{Name: o.Name, Version: o.Version, Value: o.Value}, nil)
		}
		tell(asked, nil, nil)
	}
}

func (c *Client) poll(ctx context.Context, after uint64) (watched, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {watchWait.String()}}
	resp, body, err := c.call(ctx, http.MethodGet, "/watch?"+q.Encode(), nil, nil) //nolint:bodyclose // call has read and closed it
	if err != nil {
		return watched{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return watched{}, errors.New(resp.Status)
	}
	var w watched
	return w, json.Unmarshal(body, &w)
}

// call makes one call, within the budget. A call that the budget holds back
// past its deadline fails without having been sent.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, []byte, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return nil, nil, err
	}
	if body != nil {
		// No GetBody: the transport must never send a write a second time.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Catkinstep-Data-Centre", c.dataCentre)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	data, err := io.ReadAll(io.LimitReader(resp.Body, 32*maxObject))
	return resp, data, err
}

func version(resp *http.Response) (uint64, error) {
	v, err := strconv.ParseUint(resp.Header.Get("Catkinstep-Version"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("no version in the answer: %w", err)
	}
	return v, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
