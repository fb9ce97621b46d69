package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/retry"
)

// Failure is the JSON body of every answer that is not a server's.
type Failure struct {
	// Code is stable; docs/ERRORS.md lists them.
	Code string `json:"code"`
	// Ran is notRun or unknown.
	Ran       string `json:"ran"`
	Message   string `json:"message"`
	RequestID string `json:"requestId"`
	// RetryAfter is when to come back, as a Go duration; empty when coming back
	// does not help.
	RetryAfter string `json:"retryAfter,omitempty"`
}

func refusal(code, message string) *wire.Answer {
	return &wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Code: code, Reason: message, RetryAfterMillis: comeBack(code)}
}

// comeBack is when trying again may help; zero for requests that are wrong.
func comeBack(code string) int64 {
	switch code {
	case retry.UnknownRoute, retry.MissingKey, retry.BadRequest, retry.TooLarge, retry.CrashSuspect:
		return 0
	}
	return time.Second.Milliseconds()
}

func withCode(a *wire.Answer, code string) *wire.Answer {
	if a.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		a.Reason = a.Code + ": " + a.Reason
		a.Code = code
	}
	return a
}

// status maps an outcome to HTTP.
func status(a *wire.Answer) int {
	if a.Outcome == wire.Outcome_OUTCOME_UNKNOWN {
		return http.StatusBadGateway
	}
	switch a.Code {
	case retry.UnknownRoute:
		return http.StatusNotFound
	case retry.MissingKey, retry.BadRequest:
		return http.StatusBadRequest
	case retry.TooLarge:
		return http.StatusRequestEntityTooLarge
	case retry.CrashSuspect:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func writeAnswer(w http.ResponseWriter, id string, a *wire.Answer) {
	h := w.Header()
	h.Set(HeaderID, id)
	if a.Server != "" {
		h.Set(HeaderServer, a.Server)
	}
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if a.Outcome == wire.Outcome_OUTCOME_ANSWERED {
		for _, v := range a.Headers {
			h.Add(v.Name, v.Value)
		}
		h.Set(HeaderOutcome, "answered")
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(int(a.Status))
		_, _ = w.Write(a.Body)
		return
	}
	f := Failure{Code: a.Code, Ran: "notRun", Message: a.Reason, RequestID: id}
	if a.Outcome == wire.Outcome_OUTCOME_UNKNOWN {
		f.Ran = "unknown"
	}
	if a.RetryAfterMillis > 0 {
		d := time.Duration(a.RetryAfterMillis) * time.Millisecond
		f.RetryAfter = d.String()
		h.Set("Retry-After", strconv.Itoa(max(1, int((d+time.Second-1)/time.Second))))
	}
	h.Set(HeaderOutcome, f.Ran)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(status(a))
	_ = json.NewEncoder(w).Encode(f)
}
