package retry

// Budget is a token bucket that limits retries to a share of the requests, so that retries do
// not amplify a general slowdown.
type Budget struct {
	share     float64
	tokens    float64
	maxTokens float64
}

// NewBudget returns a Budget that allows a share of the requests to be retried. It holds at most
// burst tokens, and starts with all of them.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, tokens: float64(burst), maxTokens: float64(burst)}
}

// SetShare changes the share of the requests that may be retried. A negative share allows no
// retries.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetBurst changes the maximum number of tokens. It depends on the number of daemons, which
// share the burst.
func (b *Budget) SetBurst(burst float64) {
	b.maxTokens = burst
	b.tokens = min(b.tokens, burst)
}

// Deposit adds the tokens that one request earns.
func (b *Budget) Deposit() { b.tokens = min(b.maxTokens, b.tokens+max(0, b.share)) }

// TryWithdraw takes the token for one retry, and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 || b.share < 0 {
		return false
	}
	b.tokens--
	return true
}
