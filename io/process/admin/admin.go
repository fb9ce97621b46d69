package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"catkinstep/core/connection/wire"
	"catkinstep/core/process/burn"
	"catkinstep/core/process/daemon"
	"catkinstep/core/version/site"
	"catkinstep/io/process/node"
)

const (
	maxFile       = 1 << 20
	statusTimeout = 700 * time.Millisecond
)

// Status is what the fleet has in force.
type Status struct {
	// Accepted is the highest configuration version that any daemon has.
	Accepted uint64     `json:"accepted"`
	Preset   string     `json:"preset"`
	Change   string     `json:"change"`
	Outs     []site.Out `json:"outs"`
	// Everywhere is set when all known daemons have the accepted version.
	Everywhere bool           `json:"everywhere"`
	Daemons    []DaemonStatus `json:"daemons"`
}

// DaemonStatus is what one daemon has in force.
type DaemonStatus struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leader     bool   `json:"leader"`
	Servers    int    `json:"servers"`
	Site       uint64 `json:"site"`
	// Behind says why the accepted version is not in force there; empty when it is.
	Behind string `json:"behind,omitempty"`
}

// Burn is the burn report.
type Burn struct {
	Rows []burn.Row `json:"rows"`
	// Missing are daemons that did not answer: their counts are not in the rows.
	Missing []string `json:"missing,omitempty"`
}

type admin struct{ node *node.Node }

// Handler serves a daemon's operator interface.
func Handler(n *node.Node) http.Handler {
	a := &admin{node: n}
	r := bunrouter.New()
	r.GET("/status", a.status)
	r.GET("/burn", a.burn)
	r.GET("/debug/vars", a.vars)
	r.POST("/apply", a.apply)
	r.POST("/preset", a.preset)
	r.POST("/out", a.mark(site.Site.WithOut))
	r.POST("/in", a.mark(site.Site.WithIn))
	return a.guard(r)
}

// guard asks for the token, if the settings have one.
func (a *admin) guard(next http.Handler) http.Handler {
	token := a.node.Prefs().OperatorToken
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			_ = fail(w, &Error{Op: "operator", Kind: Denied, Err: errors.New("the bearer token is missing or wrong")})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *admin) apply(w http.ResponseWriter, r bunrouter.Request) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFile))
	if err != nil {
		return fail(w, &Error{Op: "apply", Kind: Invalid, Err: err})
	}
	file, err := site.Parse(r.URL.Query().Get("file"), data)
	if err != nil {
		return fail(w, &Error{Op: "apply", Kind: Invalid, Err: err})
	}
	return a.change(w, r, func(s site.Site) (site.Site, error) { return s.WithFile(file) })
}

func (a *admin) preset(w http.ResponseWriter, r bunrouter.Request) error {
	var in struct {
		Name string `json:"name"`
	}
	if err := decode(r, &in); err != nil {
		return fail(w, err)
	}
	return a.change(w, r, func(s site.Site) (site.Site, error) { return s.WithPreset(in.Name) })
}

func (a *admin) mark(with func(site.Site, site.Out) (site.Site, error)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		var in struct {
			DataCentre string `json:"dataCentre"`
			Host       string `json:"host"`
			Lost       bool   `json:"lost"`
		}
		if err := decode(r, &in); err != nil {
			return fail(w, err)
		}
		return a.change(w, r, func(s site.Site) (site.Site, error) {
			return with(s, site.Out{DataCentre: in.DataCentre, Host: in.Host, Lost: in.Lost})
		})
	}
}

func (a *admin) change(w http.ResponseWriter, r bunrouter.Request, f func(site.Site) (site.Site, error)) error {
	ifVersion, _ := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	ok, o, err := Change(r.Context(), a.node.Platform(), ifVersion, f)
	if err != nil {
		return fail(w, err)
	}
	a.node.Learn(o)
	return writeJSON(w, http.StatusOK, ok)
}

func (a *admin) status(w http.ResponseWriter, r bunrouter.Request) error {
	s := Status{Everywhere: true}
	if rt := a.node.Route(); rt != nil {
		s.Accepted, s.Preset, s.Change, s.Outs = rt.SiteVersion, rt.Site.Preset().Name, rt.Site.Change, rt.Site.Outs
	}
	answers, missing := a.fleet(r.Context())
	for _, d := range answers {
		s.Accepted = max(s.Accepted, siteVersion(d))
	}
	for _, d := range answers {
		v := DaemonStatus{Address: d.Daemon, DataCentre: d.DataCentre, Leader: d.Leader == d.Daemon, Servers: len(d.Servers), Site: siteVersion(d)}
		switch {
		case v.Site == s.Accepted:
		case !d.PlatformReachable:
			v.Behind = "it does not reach the platform"
		default:
			v.Behind = "the change is on its way"
		}
		s.Everywhere = s.Everywhere && v.Behind == ""
		s.Daemons = append(s.Daemons, v)
	}
	for _, m := range missing {
		s.Everywhere = false
		s.Daemons = append(s.Daemons, DaemonStatus{Address: m.address, DataCentre: m.dataCentre, Behind: "it does not answer: lost, or cut off"})
	}
	slices.SortFunc(s.Daemons, func(a, b DaemonStatus) int {
		return strings.Compare(a.DataCentre+a.Address, b.DataCentre+b.Address)
	})
	return writeJSON(w, http.StatusOK, s)
}

type place struct{ address, dataCentre string }

// fleet asks all known daemons at once.
func (a *admin) fleet(ctx context.Context) (answers []*wire.StatusReply, missing []place) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var all []place
	if rt := a.node.Route(); rt != nil {
		for name, t := range rt.Tables {
			for _, d := range t.Daemons {
				all = append(all, place{d.Address, name})
			}
		}
	}
	if self := a.node.Prefs().Mesh; !slices.ContainsFunc(all, func(p place) bool { return p.address == self }) {
		all = append(all, place{self, a.node.Prefs().DataCentre})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() {
			s, err := a.node.StatusOf(ctx, p.address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p)
				return
			}
			answers = append(answers, s)
		})
	}
	wg.Wait()
	return answers, missing
}

func (a *admin) burn(w http.ResponseWriter, r bunrouter.Request) error {
	answers, missing := a.fleet(r.Context())
	var out Burn
	for _, m := range missing {
		out.Missing = append(out.Missing, m.address)
	}
	var counts []burn.Counts
	for _, s := range answers {
		var c burn.Counts
		if err := json.Unmarshal(s.Counters, &c); err == nil {
			counts = append(counts, c)
		}
	}
	var levels []burn.Level
	if rt := a.node.Route(); rt != nil {
		for _, v := range rt.Site.Services {
			levels = append(levels, burn.Level{Service: v.Name, Answered: v.Levels.Answered, FastShare: v.Levels.FastShare})
		}
	}
	out.Rows = burn.Sum(levels, counts)
	return writeJSON(w, http.StatusOK, out)
}

func (a *admin) vars(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := io.WriteString(w, a.node.Metrics().String())
	return err
}

func siteVersion(s *wire.StatusReply) uint64 {
	for _, v := range s.Versions {
		if v.Name == daemon.SiteObject {
			return v.Version
		}
	}
	return 0
}

func decode(r bunrouter.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxFile))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &Error{Op: "request", Kind: Invalid, Err: err}
	}
	return nil
}

type failure struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

func fail(w http.ResponseWriter, err error) error {
	f := failure{Kind: Unreachable, Message: err.Error()}
	var e *Error
	if errors.As(err, &e) {
		f.Kind = e.Kind
		f.Message = e.Err.Error()
	}
	code := map[Kind]int{Conflict: http.StatusConflict, Invalid: http.StatusUnprocessableEntity, Denied: http.StatusUnauthorized}[f.Kind]
	if code == 0 {
		code = http.StatusServiceUnavailable
	}
	return writeJSON(w, code, f)
}

func writeJSON(w http.ResponseWriter, code int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	return json.NewEncoder(w).Encode(v)
}
