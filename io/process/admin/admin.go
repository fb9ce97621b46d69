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

// maxRequestBytes limits the request bodies of operators.
const maxRequestBytes = 1 << 20

// Status is the stored configuration and how far it is in force among the daemons.
type Status struct {
	// AcceptedVersion is the version of the stored configuration.
	AcceptedVersion   uint64           `json:"accepted"`
	Preset            string           `json:"preset"`
	ChangeDescription string           `json:"change"`
	Exclusions        []site.Exclusion `json:"outs"`
	// InForceEverywhere is set when all known daemons use the accepted version.
	InForceEverywhere bool           `json:"everywhere"`
	Daemons           []DaemonStatus `json:"daemons"`
}

// DaemonStatus is the status of one daemon.
type DaemonStatus struct {
	Name          string `json:"name"`
	DataCentre    string `json:"dataCentre"`
	Leader        bool   `json:"leader"`
	ConfigVersion uint64 `json:"site"`
	// BehindReason says why the daemon does not use the accepted version; empty if it does.
	BehindReason string `json:"behind,omitempty"`
	// CutOff is set if the daemon's host reaches no servers, so that other daemons serve its requests.
	CutOff bool `json:"cutOff,omitempty"`
}

// BurnReport shows how fast each service uses up its error budgets.
type BurnReport struct {
	Rows []burn.Row `json:"rows"`
	// Missing are the addresses of daemons that did not answer. Their requests are not
	// included in the rows.
	Missing []string `json:"missing,omitempty"`
}

type handler struct{ daemon *native.Daemon }

// Handler returns the handler of a daemon's operator interface.
func Handler(d *native.Daemon) http.Handler {
	h := &handler{daemon: d}
	r := bunrouter.New()
	r.GET("/status", h.status)
	r.GET("/burn", h.burn)
	r.GET("/debug/vars", d.ServeMetrics)
	r.GET("/ready", d.ServeReady)
	r.POST("/apply", h.apply)
	r.POST("/preset", h.preset)
	r.POST("/out", h.updateExclusions(site.Site.WithExclusion))
	r.POST("/in", h.updateExclusions(site.Site.WithoutExclusion))
	h.addWorkspaceRoutes(r)
	return h.requireToken(r)
}

// requireToken rejects requests without the bearer token, if the settings have one.
func (h *handler) requireToken(next http.Handler) http.Handler {
	token := h.daemon.Prefs().OperatorToken
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			_ = writeError(w, &Error{Op: "operator", Kind: Denied, Err: errors.New("the bearer token is missing or wrong")})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) apply(w http.ResponseWriter, r bunrouter.Request) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return writeError(w, &Error{Op: "apply", Kind: Invalid, Err: err})
	}
	file, err := site.Parse(r.URL.Query().Get("file"), data)
	if err != nil {
		return writeError(w, &Error{Op: "apply", Kind: Invalid, Err: err})
	}
	return h.applyChange(w, r, func(s site.Site) (site.Site, error) { return s.WithFile(file) })
}

func (h *handler) preset(w http.ResponseWriter, r bunrouter.Request) error {
	var in struct {
		Name string `json:"name"`
	}
	if err := decode(r, &in); err != nil {
		return writeError(w, err)
	}
	return h.applyChange(w, r, func(s site.Site) (site.Site, error) { return s.WithPreset(in.Name) })
}

// updateExclusions returns a handler that adds or removes an exclusion by means of update.
func (h *handler) updateExclusions(update func(site.Site, site.Exclusion) (site.Site, error)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		var in struct {
			DataCentre string `json:"dataCentre"`
			Host       string `json:"host"`
		}
		if err := decode(r, &in); err != nil {
			return writeError(w, err)
		}
		return h.applyChange(w, r, func(s site.Site) (site.Site, error) {
			return update(s, site.Exclusion{DataCentre: in.DataCentre, Host: in.Host})
		})
	}
}

// applyChange changes the stored configuration, if it is at the version that the operator gave
// with the request, and writes the result or the error as the response.
func (h *handler) applyChange(w http.ResponseWriter, r bunrouter.Request, update func(site.Site) (site.Site, error)) error {
	ifVersion, _ := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	result, err := ChangeSite(r.Context(), h.daemon.PlatformClient(), ifVersion, update)
	if err != nil {
		return writeError(w, err)
	}
	return writeJSON(w, http.StatusOK, result)
}

func (h *handler) status(w http.ResponseWriter, r bunrouter.Request) error {
	stored, version, err := readSite(r.Context(), h.daemon.PlatformClient())
	if err != nil {
		return writeError(w, err)
	}
	s := Status{AcceptedVersion: version, Preset: stored.ActivePreset().Name, ChangeDescription: stored.ChangeDescription, Exclusions: stored.Exclusions, InForceEverywhere: true}
	cluster := h.daemon.ClusterStatus(r.Context())
	for _, d := range cluster.Daemons {
		row := DaemonStatus{Name: d.Name, DataCentre: d.DataCentre, Leader: d.Leader == d.Name, ConfigVersion: d.Config, CutOff: d.CutOff}
		switch {
		case row.ConfigVersion >= s.AcceptedVersion:
		case !d.StoreReachable:
			row.BehindReason = "it does not reach the platform"
		default:
			row.BehindReason = "the change is on its way"
		}
		s.InForceEverywhere = s.InForceEverywhere && row.BehindReason == ""
		s.Daemons = append(s.Daemons, row)
	}
	for _, address := range cluster.Missing {
		s.InForceEverywhere = false
		s.Daemons = append(s.Daemons, DaemonStatus{Name: address, BehindReason: "it does not answer: lost, or cut off"})
	}
	return writeJSON(w, http.StatusOK, s)
}

func (h *handler) burn(w http.ResponseWriter, r bunrouter.Request) error {
	stored, _, err := readSite(r.Context(), h.daemon.PlatformClient())
	if err != nil {
		return writeError(w, err)
	}
	cluster := h.daemon.ClusterStatus(r.Context())
	report := BurnReport{Missing: cluster.Missing}
	var counts []burn.Counts
	for _, d := range cluster.Daemons {
		counts = append(counts, d.Counts)
	}
	var objectives []burn.Objective
	for _, s := range stored.Services {
		objectives = append(objectives, burn.Objective{Service: s.Name, AnsweredShare: s.Objectives.AnsweredShare, FastShare: s.Objectives.FastShare})
	}
	report.Rows = burn.Rates(objectives, counts)
	return writeJSON(w, http.StatusOK, report)
}

func decode(r bunrouter.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &Error{Op: "request", Kind: Invalid, Err: err}
	}
	return nil
}

type errorBody struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) error {
	body := errorBody{Kind: Unreachable, Message: err.Error()}
	var e *Error
	if errors.As(err, &e) {
		body.Kind = e.Kind
		body.Message = e.Err.Error()
	}
	code := map[Kind]int{Conflict: http.StatusConflict, Invalid: http.StatusUnprocessableEntity, Denied: http.StatusUnauthorized}[body.Kind]
	if code == 0 {
		code = http.StatusServiceUnavailable
	}
	return writeJSON(w, code, body)
}

func writeJSON(w http.ResponseWriter, code int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	return json.NewEncoder(w).Encode(v)
}
