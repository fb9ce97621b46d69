package retry

// maxReservedQuarters is how many quarters of the burst the least urgent requests leave to others.
const maxReservedQuarters = 3

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
func (b *Budget) TryWithdraw() bool { return b.TryWithdrawFor(0) }

// TryWithdrawFor takes the token for one retry of a request of a rank (see package class), and
// reports whether it may have one. Each rank leaves a quarter of the burst more than the rank before
// to more urgent requests, at most three quarters. A full budget may be used by any rank, since a small
// burst shared by many daemons would otherwise never allow a less urgent request to be retried.
func (b *Budget) TryWithdrawFor(rank int) bool {
	reserve := b.maxTokens * float64(min(max(0, rank), maxReservedQuarters)) / 4
	if b.tokens < 1 || b.share < 0 || b.tokens < min(b.maxTokens, 1+reserve) {
		return false
	}
	b.tokens--
	return true
}
