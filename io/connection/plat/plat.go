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

	"catkinstep/io/connection/http1"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	Conflict       Kind = "conflict"    // the object has another version
	OutcomeUnknown Kind = "unsure"      // the write may have taken effect
	Unreachable    Kind = "unreachable" // any other failure
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether an error is an *Error of a kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

const (
	// callTimeout is far above the few milliseconds that a call normally takes. A call that
	// takes longer has failed, and is followed by a backoff.
	callTimeout = 2 * time.Second
	// callsPerSecond and callBurst limit the rate of a daemon's calls in all circumstances.
	callsPerSecond = 20
	callBurst      = 40
	maxObjectSize  = 1 << 20
	// maxResponseBytes and maxHeadBytes limit the body and the header fields of a response.
	maxResponseBytes = 32 * maxObjectSize
	maxHeadBytes     = 64 << 10
)

// Object is an object with its version, which the platform assigns.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Changes are the objects that changed after a revision, in their current state.
type Changes struct {
	// Revision is the platform's current revision, from which the next watch continues.
	Revision uint64
	Objects  []Object
}

// Client calls the object API for one daemon. It is safe for concurrent use.
type Client struct {
	baseURL    string
	dataCentre string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// New returns a client of the platform at an address, which is an IP address with a port.
func New(address, dataCentre string) *Client {
	return &Client{
		baseURL:    "http://" + address,
		dataCentre: dataCentre,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}},
		limiter:    rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// Read returns an object, or nil if there is no object with the name.
func (c *Client) Read(ctx context.Context, name string) (*Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, body, err := c.call(ctx, http.MethodGet, "/objects/"+name, nil, nil) //nolint:bodyclose // call has read and closed it
	if err != nil {
		return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		v, err := objectVersion(resp)
		if err != nil {
			return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: err}
		}
		return &Object{Name: name, Version: v, Value: body}, nil
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, &Error{Op: "read " + name, Kind: Unreachable, Err: errors.New(resp.Status)}
}

// Write writes an object if its version is ifVersion; 0 means that it must not exist yet.
// It returns the object with its new version.
func (c *Client) Write(ctx context.Context, name string, ifVersion uint64, value []byte) (*Object, error) {
	op := "write " + name
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{"If-Match": {strconv.FormatUint(ifVersion, 10)}}
	resp, _, err := c.call(ctx, http.MethodPut, "/objects/"+name, value, header) //nolint:bodyclose // call has read and closed it
	if err != nil {
		return nil, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		v, err := objectVersion(resp)
		if err != nil {
			return nil, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
		}
		return &Object{Name: name, Version: v, Value: value}, nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return nil, &Error{Op: op, Kind: Conflict, Err: fmt.Errorf("object is no longer at version %d", ifVersion)}
	case resp.StatusCode >= 500:
		return nil, &Error{Op: op, Kind: OutcomeUnknown, Err: errors.New(resp.Status)}
	}
	return nil, &Error{Op: op, Kind: Unreachable, Err: errors.New(resp.Status)}
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Revision uint64          `json:"revision"`
	Objects  []watchedObject `json:"objects"`
}

type watchedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Watch waits until objects whose names have a prefix change after a revision, and returns
// the changed objects, or none if wait has passed. With revision 0, it returns all such
// objects immediately. With a wait of zero, it does not wait for changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
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
	var w watchResponse
	if err := json.Unmarshal(body, &w); err != nil {
		return Changes{}, &Error{Op: op, Kind: Unreachable, Err: err}
	}
	out := Changes{Revision: w.Revision}
	for _, o := range w.Objects {
		out.Objects = append(out.Objects, Object(o))
	}
	return out, nil
}

// call makes a call within the rate limit. If the limit delays it beyond its deadline, it
// fails without having been sent.
func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, []byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	if err != nil {
		return nil, nil, err
	}
	if body != nil {
		// GetBody is not set, so that the transport cannot send a write a second time.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Catkinstep-Data-Centre", c.dataCentre)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read, or is not wanted
	data, err := http1.ReadAll(resp, maxResponseBytes)
	return resp, data, err
}

func objectVersion(resp *http.Response) (uint64, error) {
	v, err := strconv.ParseUint(resp.Header.Get("Catkinstep-Version"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("no version in the response: %w", err)
	}
	return v, nil
}
