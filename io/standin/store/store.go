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
	maxObject       = 1 << 20
	maxWait         = time.Minute
)

// Faults are what the platform can be made to do wrong.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DownFor lists data centres whose calls fail, as when they are cut off.
	DownFor []string `json:"downFor"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LoseReplies is the share of writes that take effect without an answer.
	LoseReplies float64 `json:"loseReplies"`
}

// Option changes a Store that New makes.
type Option func(*Store)

// WithSeed seeds the faults.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 3)) }
}

// WithHostLag sets how late the list of hosts follows.
func WithHostLag(d time.Duration) Option { return func(s *Store) { s.hostLag = d } }

// Store is the stand-in. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	changed  chan struct{}
	faults   Faults
	calls    map[string]int
	random   *rand.Rand
	hostLag  time.Duration
	hosts    map[string]host
	writes   *rate.Limiter
	reads    *rate.Limiter
}

type object struct {
	version uint64
	value   []byte
}

type host struct {
	state string
	since time.Time
	was   string
}

// New returns an empty Store.
func New(opts ...Option) *Store {
	s := &Store{
		objects: map[string]object{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
		hosts:   map[string]host{},
		hostLag: 5 * time.Second,
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
	}
	WithSeed(1)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed) // waiting watches find out
	s.changed = make(chan struct{})
}

// SetHost tells the list of hosts of a change, which it will show late.
func (s *Store) SetHost(address, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[address] = host{state: state, since: time.Now(), was: s.hosts[address].state}
}

// Calls returns the number of calls so far, by "kind dataCentre".
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Value returns an object's value and version; zero when there is none.
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
		reply(w, s.Calls())
		return
	}
	lose, ok := s.admit(w, r)
	if !ok {
		return
	}
	name, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	switch {
	case isObject && r.Method == http.MethodGet:
		s.serveRead(w, name)
	case isObject && r.Method == http.MethodPut:
		s.serveWrite(w, r, name, lose)
	case r.URL.Path == "/watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/hosts":
		s.serveHosts(w)
	default:
		http.NotFound(w, r)
	}
}

// admit counts the call and applies faults and limits.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) (lose, ok bool) {
	dataCentre := r.Header.Get("Catkinstep-Data-Centre")
	kind := "read"
	switch {
	case r.Method == http.MethodPut:
		kind = "write"
	case r.URL.Path == "/watch":
		kind = "watch"
	}
	s.mu.Lock()
	s.calls[kind+" "+dataCentre]++
	f := s.faults
	lose = kind == "write" && s.random.Float64() < f.LoseReplies
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-r.Context().Done():
			return false, false
		}
	}
	limiter := s.reads
	if kind == "write" {
		limiter = s.writes
	}
	switch {
	case cutOff(f, dataCentre):
		// No answer that could be mistaken for one: the connection breaks.
		panic(http.ErrAbortHandler)
	case !limiter.Allow():
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false, false
	}
	return lose, true
}

func cutOff(f Faults, dataCentre string) bool {
	if f.Down {
		return true
	}
	for _, d := range f.DownFor {
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

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, name string, lose bool) {
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	have := s.objects[name].version
	if have == want {
		s.revision++
		have = s.revision
		s.objects[name] = object{version: have, value: value}
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
		if lose {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Catkinstep-Version", strconv.FormatUint(have, 10))
		return
	}
	s.mu.Unlock()
	http.Error(w, "the version is "+strconv.FormatUint(have, 10), http.StatusPreconditionFailed)
}

type watchReply struct {
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
	end := time.NewTimer(min(wait, maxWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		out := watchReply{Revision: s.revision}
		for name, o := range s.objects {
			if o.version > after && strings.HasPrefix(name, prefix) {
				out.Objects = append(out.Objects, watchObject{name, o.version, o.value})
			}
		}
		changed, f := s.changed, s.faults
		s.mu.Unlock()
		if cutOff(f, r.Header.Get("Catkinstep-Data-Centre")) {
			panic(http.ErrAbortHandler)
		}
		if len(out.Objects) > 0 {
			reply(w, out)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveHosts(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for address, h := range s.hosts {
		out[address] = h.state
		if time.Since(h.since) < s.hostLag {
			out[address] = h.was
		}
	}
	reply(w, out)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Down        bool     `json:"down"`
		DownFor     []string `json:"downFor"`
		Slow        string   `json:"slow"`
		LoseReplies float64  `json:"loseReplies"`
	}
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	slow := time.Duration(0)
	if in.Slow != "" {
		var err error
		if slow, err = time.ParseDuration(in.Slow); err != nil {
			http.Error(w, "slow: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.SetFaults(Faults{Down: in.Down, DownFor: in.DownFor, Slow: slow, LoseReplies: in.LoseReplies})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
