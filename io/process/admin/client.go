package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"catkinstep/core/version/site"
	"catkinstep/io/connection/http1"
)

// maxResponseBytes limits the body of a response. The largest is the status of all daemons.
const maxResponseBytes = 32 << 20

// Client calls the operator interface of a daemon for the command line.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// NewClient returns a client of the daemon at an operator address. The token may be empty.
func NewClient(address, token string) *Client {
	return &Client{baseURL: "http://" + address, token: token, httpClient: &http.Client{Timeout: 10 * time.Second}}
}

// Apply puts a site file in force. The file name is for errors.
func (c *Client) Apply(ctx context.Context, file string, data []byte) (AcceptedChange, error) {
	var a AcceptedChange
	err := c.call(ctx, http.MethodPost, "/apply?"+url.Values{"file": {file}}.Encode(), data, &a)
	return a, err
}

// UsePreset makes a preset the active one.
func (c *Client) UsePreset(ctx context.Context, name string) (AcceptedChange, error) {
	return c.postChange(ctx, "/preset", map[string]any{"name": name})
}

// Exclude takes a data centre or host out of service.
func (c *Client) Exclude(ctx context.Context, exclusion site.Exclusion) (AcceptedChange, error) {
	return c.postChange(ctx, "/out", map[string]any{"dataCentre": exclusion.DataCentre, "host": exclusion.Host})
}

// RemoveExclusion puts a data centre or host back into service.
func (c *Client) RemoveExclusion(ctx context.Context, exclusion site.Exclusion) (AcceptedChange, error) {
	return c.postChange(ctx, "/in", map[string]any{"dataCentre": exclusion.DataCentre, "host": exclusion.Host})
}

// Status returns which configuration each daemon has in force.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// BurnReport returns the burn report of all daemons.
func (c *Client) BurnReport(ctx context.Context) (BurnReport, error) {
	var b BurnReport
	err := c.call(ctx, http.MethodGet, "/burn", nil, &b)
	return b, err
}

func (c *Client) postChange(ctx context.Context, path string, in any) (AcceptedChange, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return AcceptedChange{}, &Error{Op: path, Kind: Invalid, Err: err}
	}
	var a AcceptedChange
	err = c.call(ctx, http.MethodPost, path, data, &a)
	return a, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: path, Kind: Invalid, Err: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return &Error{Op: path, Kind: Unreachable, Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read, or is not wanted
	data, err := http1.ReadAll(resp, maxResponseBytes)
	if err != nil {
		return &Error{Op: path, Kind: Unreachable, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		var failure errorBody
		if err := json.Unmarshal(data, &failure); err != nil {
			return &Error{Op: path, Kind: Unreachable, Err: errors.New(resp.Status)}
		}
		return &Error{Op: path, Kind: failure.Kind, Err: errors.New(failure.Message)}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Op: path, Kind: Unreachable, Err: err}
	}
	return nil
}
