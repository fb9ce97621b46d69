package store

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	maxObjectBytes  = 1 << 20
	maxWatchWait    = time.Minute
)

// Faults are the faults to inject into the platform.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DownDataCentres lists the data centres whose calls fail, as in a network partition.
	DownDataCentres []string `json:"downFor"`
	// Delay is added to every call.
	Delay time.Duration `json:"slow"`
	// LostResponseShare is the share of writes that take effect, but whose response is lost.
	LostResponseShare float64 `json:"loseReplies"`
}

// Option configures a Store.
type Option func(*Store)

// WithSeed seeds the random choice of lost responses; 1 by default.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.rng = rand.New(rand.NewPCG(seed, 3)) }
}

// WithHostListDelay sets how late the list of hosts shows a change; 5s by default.
func WithHostListDelay(d time.Duration) Option { return func(s *Store) { s.hostListDelay = d } }

// Store is an in-memory object store. It is an http.Handler.
type Store struct {
	mu            sync.Mutex
	revision      uint64
	objects       map[string]object
	changed       chan struct{} // closed and replaced when an object or the faults change
	faults        Faults
	callCounts    map[string]int
	rng           *rand.Rand
	hostListDelay time.Duration
	hosts         map[string]host
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
}

type object struct {
	version uint64
	value   []byte
}

type host struct {
	state         string
	changedAt     time.Time
	previousState string
}

// New returns an empty Store.
func New(opts ...Option) *Store {
	s := &Store{
		objects:       map[string]object{},
		changed:       make(chan struct{}),
		callCounts:    map[string]int{},
		hosts:         map[string]host{},
		hostListDelay: 5 * time.Second,
		writeLimiter:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		readLimiter:   rate.NewLimiter(readsPerSecond, readsPerSecond),
	}
	WithSeed(1)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces all injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed) // wakes the waiting watches
	s.changed = make(chan struct{})
}

// SetHost sets the state of a host. The list of hosts shows it after the delay.
func (s *Store) SetHost(address, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[address] = host{state: state, changedAt: time.Now(), previousState: s.hosts[address].state}
}

// CallCounts returns the number of calls so far, by "kind dataCentre".
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// Value returns an object's value and version; both are zero if there is no such object.
func (s *Store) Value(name string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[name]
	return o.value, o.version
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/faults" && r.Method == http.MethodPost:
		s.serveFaults(w, r)
		return
	case r.URL.Path == "/calls":
		writeJSON(w, s.CallCounts())
		return
	}
	loseResponse, ok := s.admit(w, r)
	if !ok {
		return
	}
	name, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	switch {
	case isObject && r.Method == http.MethodGet:
		s.serveRead(w, name)
	case isObject && r.Method == http.MethodPut:
		s.serveWrite(w, r, name, loseResponse)
	case r.URL.Path == "/watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/hosts":
		s.serveHosts(w)
	default:
		http.NotFound(w, r)
	}
}

// admit counts the call and applies faults and rate limits. If loseResponse is set, the write
// takes effect, but its response is lost.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) (loseResponse, ok bool) {
	dataCentre := r.Header.Get("Catkinstep-Data-Centre")
	kind := "read"
	switch {
	case r.Method == http.MethodPut:
		kind = "write"
	case r.URL.Path == "/watch":
		kind = "watch"
	}
	s.mu.Lock()
	s.callCounts[kind+" "+dataCentre]++
	f := s.faults
	loseResponse = kind == "write" && s.rng.Float64() < f.LostResponseShare
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return false, false
		}
	}
	limiter := s.readLimiter
	if kind == "write" {
		limiter = s.writeLimiter
	}
	switch {
	case isDown(f, dataCentre):
		// Breaks the connection, because a status code would mean that the platform can be reached.
		panic(http.ErrAbortHandler)
	case !limiter.Allow():
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false, false
	}
	return loseResponse, true
}

func isDown(f Faults, dataCentre string) bool {
	if f.Down {
		return true
	}
	for _, d := range f.DownDataCentres {
		if d == dataCentre {
			return true
		}
	}
	return false
}

func (s *Store) serveRead(w http.ResponseWriter, name string) {
	s.mu.Lock()
	o, ok := s.objects[name]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Catkinstep-Version", strconv.FormatUint(o.version, 10))
	_, _ = w.Write(o.value)
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, name string, loseResponse bool) {
	wantVersion, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	current := s.objects[name].version
	if current == wantVersion {
		s.revision++
		current = s.revision
		s.objects[name] = object{version: current, value: value}
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
		if loseResponse {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Catkinstep-Version", strconv.FormatUint(current, 10))
		return
	}
	s.mu.Unlock()
	http.Error(w, "the version is "+strconv.FormatUint(current, 10), http.StatusPreconditionFailed)
}

type watchResponse struct {
	Revision uint64        `json:"revision"`
	Objects  []watchObject `json:"objects"`
}

type watchObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	prefix := r.URL.Query().Get("prefix")
	timeout := time.NewTimer(min(wait, maxWatchWait))
	defer timeout.Stop()
	for {
		s.mu.Lock()
		resp := watchResponse{Revision: s.revision}
		for name, o := range s.objects {
			if o.version > after && strings.HasPrefix(name, prefix) {
				resp.Objects = append(resp.Objects, watchObject{name, o.version, o.value})
			}
		}
		changed, f := s.changed, s.faults
		s.mu.Unlock()
		if isDown(f, r.Header.Get("Catkinstep-Data-Centre")) {
			panic(http.ErrAbortHandler)
		}
		if len(resp.Objects) > 0 {
			writeJSON(w, resp)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, resp)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveHosts(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := map[string]string{}
	for address, h := range s.hosts {
		states[address] = h.state
		if time.Since(h.changedAt) < s.hostListDelay {
			states[address] = h.previousState
		}
	}
	writeJSON(w, states)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Down              bool     `json:"down"`
		DownDataCentres   []string `json:"downFor"`
		Delay             string   `json:"slow"`
		LostResponseShare float64  `json:"loseReplies"`
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay := time.Duration(0)
	if req.Delay != "" {
		var err error
		if delay, err = time.ParseDuration(req.Delay); err != nil {
			http.Error(w, "slow: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.SetFaults(Faults{Down: req.Down, DownDataCentres: req.DownDataCentres, Delay: delay, LostResponseShare: req.LostResponseShare})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
