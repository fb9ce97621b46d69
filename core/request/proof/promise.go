package proof

// Statuses that promise callers that their request has not run.
const (
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// Promises reports whether a status tells a caller that its request has not run and never will. The
// caller then sends it again, even if it is not idempotent.
func Promises(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirectedRequest, statusTooManyRequests, statusServiceUnavailable:
		return true
	}
	return false
}
