package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"
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
	// callsPerSecond and callBurst bound one daemon's calls whatever happens.
	callsPerSecond = 20
	callBurst      = 40
	maxObject      = 1 << 20
)

// Object is an object with the version that the platform gave it.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Changes are objects that changed after a revision, each as it is now.
type Changes struct {
	// Revision is the platform's; the next question starts from it.
	Revision uint64
	Objects  []Object
}

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
func (c *Client) Read(ctx context.Context, name string) (*Object, error) {
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
		return &Object{Name: name, Version: v, Value: body}, nil
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: errors.New(resp.Status)}
}

// Write makes a conditional update; ifVersion 0 means that the object must not
// exist yet. It returns the object with its new version.
func (c *Client) Write(ctx context.Context, name string, ifVersion uint64, value []byte) (*Object, error) {
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
		return &Object{Name: name, Version: v, Value: value}, nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return nil, &Error{Op: op, Kind: Conflict, Err: fmt.Errorf("it is no longer at version %d", ifVersion)}
	case resp.StatusCode >= 500:
		return nil, &Error{Op: op, Kind: Unsure, Err: errors.New(resp.Status)}
	}
	return nil, &Error{Op: op, Kind: Unreachable, Err: errors.New(resp.Status)}
}

// watched is the answer of one watch.
type watched struct {
	Revision uint64          `json:"revision"`
	Objects  []watchedObject `json:"objects"`
}

type watchedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Changed waits until objects whose names begin with a prefix change after a
// revision, and returns without any after a while. From revision 0 on it returns
// all of them at once; with no time to wait it never waits.
func (c *Client) Changed(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	op := "watch " + prefix
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	resp, body, err := c.call(ctx, http.MethodGet, "/watch?"+q.Encode(), nil, nil) //nolint:bodyclose // call has read and closed it
	if err != nil {
		return Changes{}, &Error{Op: op, Kind: Unreachable, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return Changes{}, &Error{Op: op, Kind: Unreachable, Err: errors.New(resp.Status)}
	}
	var w watched
	if err := json.Unmarshal(body, &w); err != nil {
		return Changes{}, &Error{Op: op, Kind: Unreachable, Err: err}
	}
	out := Changes{Revision: w.Revision}
	for _, o := range w.Objects {
		out.Objects = append(out.Objects, Object(o))
	}
	return out, nil
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
