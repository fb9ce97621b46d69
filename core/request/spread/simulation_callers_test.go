package spread

import "time"

func (sim *simulation) refuse(from origin, req Requirements, retryAfter time.Duration) {
	sim.recordOutcome(from, req, false)
	if sim.callersRetry && !from.retried {
		sim.sendAgain(from, req, retryAfter)
		return
	}
	sim.refused++
	sim.finish(from, true, false)
}

func (sim *simulation) recordOutcome(from origin, req Requirements, served bool) {
	if sim.promoters != nil {
		sim.promoters[from.daemon].Record(sim.now, req.EffectiveRank(), served)
	}
}

func (sim *simulation) drawPromotion(from origin, req *Requirements) {
	req.Promoted = req.Rank > 0 && sim.random.Float64() < sim.promoters[from.daemon].Share()
}

// sendAgain simulates a caller that sends a refused request again. The other daemon cannot know that it
// is the same request.
func (sim *simulation) sendAgain(from origin, req Requirements, retryAfter time.Duration) {
	from.daemon, from.retried = sim.random.IntN(len(sim.daemons)), true
	req.Excluded = nil
	sim.schedule(min(retryAfter, req.Deadline.Sub(sim.now)/3), func() {
		again := req
		again.ReceivedAt = sim.now
		sim.drawPromotion(from, &again)
		sim.send(from, again)
	})
}
