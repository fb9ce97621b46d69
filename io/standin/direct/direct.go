// Package direct is the baseline of the benchmarks: entry hosts that do not coordinate.
// Each chooses backend servers on its own, round robin or by the hash of the key, with
// static limits. Keys have no holder, and cold servers get no slow start.
//
// # Usage
//
//	b := direct.New(site)
//	err := b.Start("127.20.1.1:8080")
//	b.SetExcluded("duluth", true)
//	b.Stop()
//
// Errors say which address could not be listened on.
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

// maxAttempts limits the servers that one request is sent to.
const maxAttempts = 2

// Baseline is a set of entry hosts that do not coordinate.
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

// New returns a Baseline without hosts.
func New(s site.Site) *Baseline { return &Baseline{site: s, excluded: map[string]bool{}} }

// Start starts one more entry host.
func (b *Baseline) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("direct: %w", err)
	}
	h := &host{baseline: b, roundRobin: map[string]int{}, slots: map[string]chan struct{}{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext}}}
	h.http = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	b.hosts = append(b.hosts, h)
	go func() { _ = h.http.Serve(l) }()
	return nil
}

// SetExcluded excludes a data centre, or includes it again, at once on every host.
func (b *Baseline) SetExcluded(dataCentre string, exclude bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excluded[dataCentre] = exclude
}

// Stop stops all hosts.
func (b *Baseline) Stop() {
	for _, h := range b.hosts {
		_ = h.http.Close()
	}
}

// ServeHTTP sends a request to a server. It retries once if the request did not run or is
// idempotent.
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

// pickServer returns the next server of the service, or the one that the key's hash selects if
// the service has keys; empty if all are excluded.
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
		return servers[grant.HashKey(key)%len(servers)]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roundRobin[s.Name]++
	return servers[h.roundRobin[s.Name]%len(servers)]
}

// acquireSlot waits until this host has fewer requests running on a server than the server has
// slots. It returns false if the context ends first.
func (h *host) acquireSlot(ctx context.Context, s site.Service, server string) bool {
	h.mu.Lock()
	serverSlots := h.slots[server]
	if serverSlots == nil {
		serverSlots = make(chan struct{}, s.Slots)
		h.slots[server] = serverSlots
	}
	h.mu.Unlock()
	select {
	case serverSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *host) releaseSlot(server string) {
	h.mu.Lock()
	serverSlots := h.slots[server]
	h.mu.Unlock()
	<-serverSlots
}

func (h *host) send(ctx context.Context, server, path string, r *http.Request, body []byte) (data []byte, outcome string) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, "notRun"
	}
	n := names.Default()
	req.Header.Set(n.ID, r.Header.Get(n.ID))
	req.Header.Set(n.Key, strconv.Itoa(grant.HashKey(path[strings.LastIndex(path, "/")+1:])))
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
