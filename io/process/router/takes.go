package router

import (
	"context"
	"sync"
	"time"

	"catkinstep/core/connection/wire"
)

// takeResult is what became of a question for tokens.
type takeResult struct {
	granted int
	// wait is the time until there may be more.
	wait time.Duration
	// answered is set if the daemon that was asked has allowances to hand out, or reaches one that has.
	answered bool
}

// pendingTake is a question for tokens that waits for its answer.
type pendingTake struct {
	workspace string
	count     int
	result    takeResult
	done      chan struct{} // closed once result is set
}

// takeTarget is a daemon that is asked for tokens, for this one's own requests or for those of others.
type takeTarget struct {
	address string
	relayed bool
}

// takeQueues hold the questions for tokens that wait. One call to a daemon is under way at a time, and the
// next one asks for all that came meanwhile: so calls grow with the time that they take, not with the requests.
type takeQueues struct {
	mu     sync.Mutex
	queues map[takeTarget]*takeQueue
}

type takeQueue struct {
	waiting   []*pendingTake
	isSending bool
}

// add adds a question, and reports whether its sender must begin to send.
func (q *takeQueues) add(target takeTarget, p *pendingTake) (begin bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = map[takeTarget]*takeQueue{}
	}
	queue := q.queues[target]
	if queue == nil {
		queue = &takeQueue{}
		q.queues[target] = queue
	}
	queue.waiting = append(queue.waiting, p)
	begin = !queue.isSending
	queue.isSending = true
	return begin
}

// next returns the questions that wait. If there are none, nobody sends any more.
func (q *takeQueues) next(target takeTarget) []*pendingTake {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queues[target]
	waiting := queue.waiting
	if queue.waiting = nil; len(waiting) == 0 {
		delete(q.queues, target)
	}
	return waiting
}

// callTake asks a daemon, which may be this one, for tokens.
func (r *Router) callTake(ctx context.Context, target takeTarget, workspace string, count int) takeResult {
	if target.address == r.self.Address {
		return r.takeFromPool(workspace, count)
	}
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	p := &pendingTake{workspace: workspace, count: count, done: make(chan struct{})}
	if r.takes.add(target, p) {
		go r.sendTakes(target)
	}
	select {
	case <-p.done:
		return p.result
	case <-ctx.Done():
		return takeResult{}
	}
}

// sendTakes sends the questions for a daemon, until there are none.
func (r *Router) sendTakes(target takeTarget) {
	for waiting := r.takes.next(target); len(waiting) > 0; waiting = r.takes.next(target) {
		r.sendTake(target, waiting)
	}
}

func (r *Router) sendTake(target takeTarget, waiting []*pendingTake) {
	m, byWorkspace := &wire.Take{Relayed: target.relayed}, map[string]int{}
	for _, p := range waiting {
		i, ok := byWorkspace[p.workspace]
		if !ok {
			i = len(m.Asks)
			byWorkspace[p.workspace] = i
			m.Asks = append(m.Asks, &wire.TakeAsk{Workspace: p.workspace})
		}
		m.Asks[i].Count += uint32(p.count)
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), poolTimeout)
	defer cancel()
	reply, err := r.callShared(ctx, target.address, &wire.Call{Kind: &wire.Call_Take{Take: m}})
	for _, p := range waiting {
		if i := byWorkspace[p.workspace]; err == nil && i < len(reply.GetTake().GetAnswers()) {
			p.result = takeOf(reply.Take.Answers[i], p.count)
		}
		close(p.done)
	}
}

// takeOf takes up to count of the tokens in an answer.
func takeOf(a *wire.TakeAnswer, count int) takeResult {
	granted := min(count, int(a.Granted))
	a.Granted -= uint32(granted)
	return takeResult{granted: granted, wait: millis(a.BackMillis), answered: !a.Unknown}
}
