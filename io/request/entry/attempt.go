package entry

import (
	"context"
	"errors"
	"time"

	"catkinstep/core/connection/wire"
	"catkinstep/core/request/pick"
	"catkinstep/core/request/retry"
	"catkinstep/core/version/route"
)

// ownerPatience bounds the wait for a shard that is between owners. Moves and
// failovers take less than two seconds; a request that waits longer is given
// up on, and its caller told so at once.
const ownerPatience = 3 * time.Second

// answer makes attempts until one counts, and says what became of them all.
func (e *Entry) answer(ctx context.Context, q *request) *wire.Answer {
	a, maybeRan := e.attempts(ctx, q)
	return retry.Final(a, q.first, maybeRan)
}

func (e *Entry) attempts(ctx context.Context, q *request) (a *wire.Answer, maybeRan bool) {
	if e.router.Refused(time.Now(), q.order.Fingerprint) {
		return refusal(retry.CrashSuspect, "backend servers were lost each time it ran"), false
	}
	e.earn(q)
	var tried []string
	for n := 0; ; n++ {
		changed := e.router.Changed()
		if q.free {
			a = e.free(ctx, q, &tried)
		} else {
			a = e.owned(ctx, q)
		}
		maybeRan = maybeRan || a.Outcome == wire.Outcome_OUTCOME_UNKNOWN
		switch retry.Next(a, q.order.Idempotent) {
		case retry.Stop:
			return a, maybeRan
		case retry.Elsewhere:
			if !q.free && a.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
				return a, maybeRan // its one server is full: come back later
			}
			if !e.take(q) || !e.timeLeft(ctx, q) {
				return a, maybeRan
			}
		case retry.Again:
			if time.Since(q.began) > ownerPatience || !e.wait(ctx, n, changed) {
				return withCode(a, retry.HeldTooLong), maybeRan
			}
		}
	}
}

// wait lets the assignments settle: until the next snapshot, or a little while.
func (e *Entry) wait(ctx context.Context, n int, changed <-chan struct{}) bool {
	e.mu.Lock()
	jitter := e.random.Float64()
	e.mu.Unlock()
	t := time.NewTimer(retry.Backoff(n, jitter))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-changed:
	}
	return true
}

func (e *Entry) timeLeft(ctx context.Context, q *request) bool {
	return ctx.Err() == nil && time.Now().Before(q.deadline)
}

// owned sends a request to the only server that may run it.
func (e *Entry) owned(ctx context.Context, q *request) *wire.Answer {
	r := e.router.Route()
	to, err := r.Owner(q.order.Service, q.order.Shard)
	if err != nil {
		var re *route.Error
		if errors.As(err, &re) {
			return refusal(string(re.Kind), err.Error())
		}
		return refusal(retry.Moving, err.Error())
	}
	return e.send(ctx, q, to)
}

// free sends a lookup to the better of two servers, and to another one when
// the first takes longer than most.
func (e *Entry) free(ctx context.Context, q *request, tried *[]string) *wire.Answer {
	targets := e.router.Route().Servers(q.order.Service)
	to, ok := e.choose(targets, *tried)
	if !ok {
		return refusal(retry.Moving, "no backend server is in service")
	}
	*tried = append(*tried, to.Server)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the slower attempt is called off
	answers := make(chan *wire.Answer, 2)
	go func() { answers <- e.send(ctx, q, to) }()
	after := e.hedgeAfter(q)
	if after <= 0 {
		return <-answers
	}
	t := time.NewTimer(after)
	defer t.Stop()
	select {
	case a := <-answers:
		return a
	case <-t.C:
	}
	second, ok := e.choose(targets, *tried)
	if !ok || second.Server == to.Server || !e.takeHedge(q) {
		return <-answers
	}
	*tried = append(*tried, second.Server)
	go func() { answers <- e.send(ctx, q, second) }()
	first := <-answers
	if first.Outcome == wire.Outcome_OUTCOME_ANSWERED {
		return first
	}
	other := <-answers
	if other.Outcome == wire.Outcome_OUTCOME_ANSWERED || first.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		return other
	}
	return first
}

func (e *Entry) choose(targets []route.Target, tried []string) (route.Target, bool) {
	from := make([]pick.Candidate, len(targets))
	for i, t := range targets {
		from[i] = pick.Candidate{Address: t.Server, Far: t.DataCentre != e.router.Route().DataCentre}
	}
	e.mu.Lock()
	address := e.picker.Choose(time.Now(), from, tried)
	e.mu.Unlock()
	for _, t := range targets {
		if t.Server == address {
			return t, true
		}
	}
	return route.Target{}, false
}

func (e *Entry) send(ctx context.Context, q *request, to route.Target) *wire.Answer {
	began := time.Now()
	e.mu.Lock()
	e.picker.Begin(began, to.Server)
	e.mu.Unlock()
	a := e.router.Send(ctx, to, q.order, q.deadline)
	outcome := pick.Failed
	switch {
	case a.Outcome == wire.Outcome_OUTCOME_ANSWERED:
		outcome = pick.Answered
	case ctx.Err() != nil:
		// Called off since the other attempt won: its time so far counts.
		outcome = pick.Answered
	case a.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		outcome = pick.Refused
	}
	e.mu.Lock()
	e.picker.End(time.Now(), began, q.order.Service, to.Server, outcome, a.Waiting)
	e.mu.Unlock()
	return a
}

func (e *Entry) earn(q *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budget(q)
	b.retry.Request()
	if q.free {
		b.hedge.Request()
	}
}

func (e *Entry) take(q *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(q).retry.Take()
}

func (e *Entry) takeHedge(q *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(q).hedge.Take()
}

func (e *Entry) hedgeAfter(q *request) time.Duration {
	if q.preset.HedgeShare <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.picker.HedgeAfter(q.service.Name)
}

const (
	retryBurst = 20
	hedgeBurst = 5
)

func (e *Entry) budget(q *request) *budgets {
	b := e.budgets[q.service.Name]
	if b == nil {
		b = &budgets{retry: retry.NewBudget(q.preset.RetryShare, retryBurst), hedge: retry.NewBudget(q.preset.HedgeShare, hedgeBurst)}
		e.budgets[q.service.Name] = b
	}
	b.retry.SetShare(q.preset.RetryShare)
	b.hedge.SetShare(q.preset.HedgeShare)
	return b
}
