package admin

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/uptrace/bunrouter"

	"catkinstep/core/process/burn"
	"catkinstep/core/version/site"
	"catkinstep/io/process/native"
)

// maxFile bounds what operators send, in bytes.
const maxFile = 1 << 20

// Status is what the fleet has in force.
type Status struct {
	// Accepted is the version of the stored configuration.
	Accepted uint64           `json:"accepted"`
	Preset   string           `json:"preset"`
	Change   string           `json:"change"`
	Outs     []site.Exclusion `json:"outs"`
	// Everywhere is set when all known daemons have the accepted version.
	Everywhere bool           `json:"everywhere"`
	Daemons    []DaemonStatus `json:"daemons"`
}

// DaemonStatus is what one daemon has in force.
type DaemonStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Leader     bool   `json:"leader"`
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

type admin struct{ daemon *native.Daemon }

// Handler serves a daemon's operator interface.
func Handler(d *native.Daemon) http.Handler {
	a := &admin{daemon: d}
	r := bunrouter.New()
	r.GET("/status", a.status)
	r.GET("/burn", a.burn)
	r.GET("/debug/vars", d.ServeMetrics)
	r.GET("/ready", d.ServeReady)
	r.POST("/apply", a.apply)
	r.POST("/preset", a.preset)
	r.POST("/out", a.mark(site.Site.WithExclusion))
	r.POST("/in", a.mark(site.Site.WithoutExclusion))
	return a.guard(r)
}

// guard asks for the token, if the settings have one.
func (a *admin) guard(next http.Handler) http.Handler {
	token := a.daemon.Prefs().OperatorToken
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

func (a *admin) mark(with func(site.Site, site.Exclusion) (site.Site, error)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		var in struct {
			DataCentre string `json:"dataCentre"`
			Host       string `json:"host"`
		}
		if err := decode(r, &in); err != nil {
			return fail(w, err)
		}
		return a.change(w, r, func(s site.Site) (site.Site, error) {
			return with(s, site.Exclusion{DataCentre: in.DataCentre, Host: in.Host})
		})
	}
}

func (a *admin) change(w http.ResponseWriter, r bunrouter.Request, f func(site.Site) (site.Site, error)) error {
	ifVersion, _ := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	ok, err := Change(r.Context(), a.daemon.Platform(), ifVersion, f)
	if err != nil {
		return fail(w, err)
	}
	return writeJSON(w, http.StatusOK, ok)
}

func (a *admin) status(w http.ResponseWriter, r bunrouter.Request) error {
	v, version, err := current(r.Context(), a.daemon.Platform())
	if err != nil {
		return fail(w, err)
	}
	s := Status{Accepted: version, Preset: v.ActivePreset().Name, Change: v.Change, Outs: v.Exclusions, Everywhere: true}
	fleet := a.daemon.ClusterStatus(r.Context())
	for _, d := range fleet.Daemons {
		row := DaemonStatus{Name: d.Name, DataCentre: d.DataCentre, Leader: d.Leader == d.Name, Site: d.Config}
		switch {
		case row.Site >= s.Accepted:
		case !d.StoreReachable:
			row.Behind = "it does not reach the platform"
		default:
			row.Behind = "the change is on its way"
		}
		s.Everywhere = s.Everywhere && row.Behind == ""
		s.Daemons = append(s.Daemons, row)
	}
	for _, address := range fleet.Missing {
		s.Everywhere = false
		s.Daemons = append(s.Daemons, DaemonStatus{Name: address, Behind: "it does not answer: lost, or cut off"})
	}
	return writeJSON(w, http.StatusOK, s)
}

func (a *admin) burn(w http.ResponseWriter, r bunrouter.Request) error {
	v, _, err := current(r.Context(), a.daemon.Platform())
	if err != nil {
		return fail(w, err)
	}
	fleet := a.daemon.ClusterStatus(r.Context())
	out := Burn{Missing: fleet.Missing}
	var counts []burn.Counts
	for _, d := range fleet.Daemons {
		counts = append(counts, d.Counts)
	}
	var levels []burn.Objective
	for _, s := range v.Services {
		levels = append(levels, burn.Objective{Service: s.Name, AnsweredShare: s.Objectives.AnsweredShare, FastShare: s.Objectives.FastShare})
	}
	out.Rows = burn.Rates(levels, counts)
	return writeJSON(w, http.StatusOK, out)
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
