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
)

// Client is the command line's way to a daemon.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of a daemon's operator address.
func NewClient(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Timeout: 10 * time.Second}}
}

// Apply sends a site file.
func (c *Client) Apply(ctx context.Context, file string, data []byte) (Accepted, error) {
	var a Accepted
	err := c.call(ctx, http.MethodPost, "/apply?"+url.Values{"file": {file}}.Encode(), data, &a)
	return a, err
}

// Preset puts a preset in force.
func (c *Client) Preset(ctx context.Context, name string) (Accepted, error) {
	return c.change(ctx, "/preset", map[string]any{"name": name})
}

// Out marks a data centre or host out.
func (c *Client) Out(ctx context.Context, o site.Exclusion) (Accepted, error) {
	return c.change(ctx, "/out", map[string]any{"dataCentre": o.DataCentre, "host": o.Host})
}

// In takes a mark away.
func (c *Client) In(ctx context.Context, o site.Exclusion) (Accepted, error) {
	return c.change(ctx, "/in", map[string]any{"dataCentre": o.DataCentre, "host": o.Host})
}

// Status asks what is in force where.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Burn asks for the burn report.
func (c *Client) Burn(ctx context.Context) (Burn, error) {
	var b Burn
	err := c.call(ctx, http.MethodGet, "/burn", nil, &b)
	return b, err
}

func (c *Client) change(ctx context.Context, path string, in any) (Accepted, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return Accepted{}, &Error{Op: path, Kind: Invalid, Err: err}
	}
	var a Accepted
	err = c.call(ctx, http.MethodPost, path, data, &a)
	return a, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: path, Kind: Invalid, Err: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: path, Kind: Unreachable, Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	if resp.StatusCode != http.StatusOK {
		var f failure
		if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
			return &Error{Op: path, Kind: Unreachable, Err: errors.New(resp.Status)}
		}
		return &Error{Op: path, Kind: f.Kind, Err: errors.New(f.Message)}
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &Error{Op: path, Kind: Unreachable, Err: err}
	}
	return nil
}
