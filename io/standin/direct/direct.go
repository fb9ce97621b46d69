// Package direct is the baseline that the bench compares with: entry hosts that
// each send to the backend servers on their own, round robin or by hash, with
// static limits. It has no owner of keys and no slow start.
//
// # Usage
//
//	d := direct.New(site, hosts)
//	err := d.Start("127.20.1.1:8080")
//	d.SetOut("duluth", true)
//	d.Stop()
//
// Errors say which address could not be opened.
package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"catkinstep/core/connection/names"
	"catkinstep/core/version/grant"
	"catkinstep/core/version/site"
)

const maxAttempts = 2

// Direct is the baseline's entry hosts.
type Baseline struct {
	site site.Site

	mu       sync.Mutex
	excluded map[string]bool
	hosts    []*host
}

type host struct {
	baseline *Baseline
	http     *http.Server
	client   *http.Client

	mu         sync.Mutex
	roundRobin map[string]int
	slots      map[string]chan struct{}
}

// New returns a baseline without hosts.
func New(s site.Site) *Baseline { return &Baseline{site: s, excluded: map[string]bool{}} }

// Start runs one more entry host.
func (d *Baseline) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("direct: %w", err)
	}
	h := &host{baseline: d, roundRobin: map[string]int{}, slots: map[string]chan struct{}{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext}}}
	h.http = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.hosts = append(d.hosts, h)
	go func() { _ = h.http.Serve(l) }()
	return nil
}

// SetOut takes a data centre out, or in again, at once at every host.
func (d *Baseline) SetExcluded(dataCentre string, exclude bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[dataCentre] = exclude
}

// Stop ends all hosts.
func (d *Baseline) Stop() {
	for _, h := range d.hosts {
		_ = h.http.Close()
	}
}

// ServeHTTP sends a request to the next server and retries a lookup once.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	service, ok := h.baseline.site.Service(name)
	if !ok {
		http.NotFound(w, r)
		return
	}
	timeout, err := time.ParseDuration(r.Header.Get("Catkinstep-Timeout"))
	if err != nil {
		timeout = service.DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	body, _ := io.ReadAll(r.Body)
	outcome := "notRun"
	for range maxAttempts {
		server := h.pickServer(service, path)
		if server == "" || !h.acquireSlot(ctx, service, server) {
			break
		}
		data, result := h.send(ctx, server, "/"+path, r, body)
		h.releaseSlot(server)
		if result == "answered" {
			w.Header().Set("Catkinstep-Outcome", result)
			_, _ = w.Write(data)
			return
		}
		outcome = result
		if !service.IsIdempotent(r.Method) && outcome != "notRun" {
			break
		}
	}
	w.Header().Set("Catkinstep-Outcome", outcome)
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(map[string]string{"code": "direct"})
}

func (h *host) pickServer(s site.Service, path string) string {
	h.baseline.mu.Lock()
	var servers []string
	for _, d := range h.baseline.site.DataCentres {
		for _, v := range d.Servers {
			if v.Service == s.Name && !h.baseline.excluded[d.Name] {
				servers = append(servers, v.Address)
			}
		}
	}
	h.baseline.mu.Unlock()
	if len(servers) == 0 {
		return ""
	}
	if s.Keyed {
		key := path[strings.LastIndex(path, "/")+1:]
		return servers[grant.KeyOf(key)%len(servers)]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roundRobin[s.Name]++
	return servers[h.roundRobin[s.Name]%len(servers)]
}

// enter waits for one of this host's slots at a server.
func (h *host) acquireSlot(ctx context.Context, s site.Service, server string) bool {
	h.mu.Lock()
	c := h.slots[server]
	if c == nil {
		c = make(chan struct{}, s.Slots)
		h.slots[server] = c
	}
	h.mu.Unlock()
	select {
	case c <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *host) releaseSlot(server string) {
	h.mu.Lock()
	c := h.slots[server]
	h.mu.Unlock()
	<-c
}

func (h *host) send(ctx context.Context, server, path string, r *http.Request, body []byte) (data []byte, outcome string) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, "notRun"
	}
	n := names.Default()
	req.Header.Set(n.ID, r.Header.Get(n.ID))
	req.Header.Set(n.Key, strconv.Itoa(grant.KeyOf(path[strings.LastIndex(path, "/")+1:])))
	resp, err := h.client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, "notRun"
	}
	if err != nil {
		return nil, "unknown"
	}
	defer resp.Body.Close() //nolint:errcheck // all that counts has been read
	if resp.Header.Get(n.NotRun) != "" {
		return nil, "notRun"
	}
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return nil, "unknown"
	}
	return data, "answered"
}
