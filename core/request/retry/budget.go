package retry

// Budget bounds extra attempts to a share of the requests, so that a general
// slowness is not made worse by everybody trying twice.
type Budget struct {
	share  float64
	tokens float64
	most   float64
}

// NewBudget returns a Budget of a share of the requests, with room for a burst.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, tokens: float64(burst), most: float64(burst)}
}

// SetShare follows a change of the configuration.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetBurst follows a change of the number of daemons that share the burst.
func (b *Budget) SetBurst(burst float64) {
	b.most = burst
	b.tokens = min(b.tokens, burst)
}

// Request earns the share of one request.
func (b *Budget) Request() { b.tokens = min(b.most, b.tokens+max(0, b.share)) }

// Take spends one extra attempt, if there is one to spend.
func (b *Budget) Take() bool {
	if b.tokens < 1 || b.share < 0 {
		return false
	}
	b.tokens--
	return true
}
