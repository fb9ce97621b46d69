package router

import (
	"context"
	"time"

	"catkinstep/core/connection/wire"
)

const (
	// carryOfferInterval is the time between two rounds in which a host that reaches no servers asks
	// others whether they carry its requests.
	carryOfferInterval = 250 * time.Millisecond
	// carryRefusalDelay is the time after which callers should retry if nobody does.
	carryRefusalDelay = 250 * time.Millisecond
)

// offerCarry asks other daemons whether they carry requests, if that is due.
func (c *control) offerCarry(now time.Time) {
	if !c.reach.CutOff() || !c.due(now, &c.lastRuns.carryOffer, carryOfferInterval) {
		return
	}
	candidates := c.members.Carriers(now)
	c.r.mu.Lock()
	targets := c.r.carriers.Targets(time.Now(), candidates)
	c.r.mu.Unlock()
	for _, address := range targets {
		if c.pendingOffers[address] {
			continue
		}
		c.pendingOffers[address] = true
		go c.r.offerCarryTo(address)
	}
}

// carryOfferEndedMsg reports that a daemon answered whether it carries requests, or did not.
type carryOfferEndedMsg struct{ address string }

// offerCarryTo asks a daemon whether it carries requests. If it does not answer, the connection that
// requests would use is dropped, unless some still wait for their replies there.
func (r *Router) offerCarryTo(address string) {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), meshTimeout)
	defer cancel()
	reply, err := r.callBulk(ctx, address, &wire.Call{Kind: &wire.Call_CarryOffer{CarryOffer: &wire.CarryOffer{}}})
	willing := err == nil && reply.GetCarryOffer().GetWilling()
	r.mu.Lock()
	r.carriers.RecordAnswer(time.Now(), address, willing)
	inFlight := r.carriers.InFlight(address)
	r.mu.Unlock()
	if ctx.Err() != nil && inFlight == 0 {
		r.mesh.DropBulk(address)
	}
	if !willing {
		r.log.Info("carry: daemon does not carry requests", "daemon", address, "err", err)
	}
	r.post(carryOfferEndedMsg{address: address})
}
