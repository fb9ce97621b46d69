package keeper

import (
	"time"

	"catkinstep/core/version/fleet"
	"catkinstep/core/version/grant"
)

// plan starts a move when the holder cannot go on.
func (k *Keeper) plan(now time.Time, s *share, sp *span) {
	if sp.busy || sp.step == saving || sp.step == releasing {
		return
	}
	reason := k.unfit(now, sp)
	if reason == "" {
		return
	}
	to, ok := k.leastLoaded(s, sp)
	if !ok {
		return
	}
	k.move(s, sp, to, reason)
}

// unfit says why a range must leave its holder, or nothing.
func (k *Keeper) unfit(now time.Time, sp *span) string {
	v, ok := k.fleet.Find(sp.Holder.Server)
	switch {
	case !ok:
		return "holder is gone from the list"
	case k.over(sp.Holder):
		return "holder's life has ended"
	case v.Draining:
		return "holder is draining"
	case k.out[v.DataCentre]:
		return "data centre is out"
	case !sp.until.IsZero() && now.After(sp.until):
		return "grant ran out unanswered"
	}
	return ""
}

// over tells whether a life is proven to have ended.
func (k *Keeper) over(h grant.Holder) bool {
	if h.Server == "" || k.ended[h] {
		return true
	}
	v, ok := k.fleet.Find(h.Server)
	return ok && v.StartMillis != h.StartMillis
}

// reborn tells whether another life answers in the name and at the address of one
// that is over. A grant meant for the old life may have reached it: it may hold
// the range, and has to release it like any holder.
func (k *Keeper) reborn(h grant.Holder) bool {
	v, ok := k.fleet.Find(h.Server)
	return ok && v.StartMillis != h.StartMillis && v.Address == h.Address && !k.ended[h]
}

// fits tells whether a server may get keys.
func (k *Keeper) fits(v fleet.Server) bool {
	return !v.Draining && !k.out[v.DataCentre] && !k.ended[holder(v)] && !k.isUnresponsive(holder(v))
}

// isUnresponsive tells whether a server left a call unanswered lately.
func (k *Keeper) isUnresponsive(h grant.Holder) bool {
	at, ok := k.unresponsive[h]
	return ok && k.ticked.Sub(at) < unresponsiveFor
}

// noteAnswered notes whether a call was answered. A renewal that was not sent for
// want of a kept connection says nothing.
func (k *Keeper) noteAnswered(now time.Time, h grant.Holder, r grant.Result, renewal bool) {
	switch r {
	case grant.Done, grant.Fenced, grant.Ended:
		delete(k.unresponsive, h)
	case grant.Unsure:
		k.unresponsive[h] = now
	case grant.NotSent:
		if !renewal {
			k.unresponsive[h] = now
		}
	}
}

// move states the intent; nothing happens until it is stored.
func (k *Keeper) move(s *share, sp *span, to grant.Holder, reason string) {
	k.seq++
	sp.Next, sp.step, sp.intent, sp.origin = to, saving, k.seq, originAfter(sp.Holder)
	sp.handedBy = grant.Holder{}
	k.saver.now = true
	k.note(NoteCmd{Text: "range is to move", Service: s.service, From: sp.From, To: sp.To,
		Holder: sp.Holder, Next: sp.Next, Fence: sp.Fence, Reason: reason})
}

// originAfter is the origin of a grant after a holder that has not handed over yet.
func originAfter(h grant.Holder) grant.Origin {
	if h.Server == "" {
		return grant.First
	}
	return grant.Lost
}

// act makes the next call for a range.
func (k *Keeper) act(now time.Time, s *share, sp *span) {
	if sp.step == releasing && k.free(now, sp) {
		k.passOn(now, s, sp)
	}
	if sp.busy || now.Before(sp.due) {
		return
	}
	if sp.Holder.Server == "" {
		return
	}
	if sp.step == releasing {
		sp.busy = true
		k.cmds = append(k.cmds, ReleaseCmd{Service: s.service, Holder: sp.Holder, Before: now.Add(sendWithin),
			Call: grant.Call{Address: sp.Holder.Address, From: sp.From, To: sp.To, Fence: k.mint()}})
		return
	}
	sp.busy = true
	k.cmds = append(k.cmds, GrantCmd{Renewal: sp.renewal, Service: s.service, Holder: sp.Holder, Before: now.Add(sendWithin),
		Call: grant.Call{Address: sp.Holder.Address, From: sp.From, To: sp.To, Fence: sp.Fence, Hold: k.hold, Handover: sp.handover, Origin: sp.origin}})
}

// free tells whether the holder can no longer run anything on the range.
func (k *Keeper) free(now time.Time, sp *span) bool {
	if sp.busy {
		return false
	}
	return sp.until.IsZero() || k.over(sp.Holder) && !k.reborn(sp.Holder) || now.After(sp.until)
}

// passOn makes the next holder the holder, which has yet to confirm.
func (k *Keeper) passOn(now time.Time, s *share, sp *span) {
	k.note(NoteCmd{Text: "range is free", Service: s.service, From: sp.From, To: sp.To, Holder: sp.Holder, Next: sp.Next, Fence: sp.Fence})
	if sp.handover == "" {
		sp.closed = time.Time{} // the holder did not let go: this tells nothing of planned moves
	}
	if sp.origin == grant.Handed {
		sp.handedBy = sp.Holder
	}
	sp.Holder, sp.Next, sp.Pending = sp.Next, grant.Holder{}, true
	sp.Fence, sp.step, sp.due = k.mint(), granting, now
	sp.until, sp.next = sp.next, time.Time{}
	k.saver.later, k.publisher.due = true, true
}

// granted takes in the end of a grant. Whatever its result, the server may hold
// the range from it until it runs out, unless it surely never left.
func (k *Keeper) granted(now time.Time, m GrantedMsg) {
	k.noteAnswered(now, m.Cmd.Holder, m.Result, m.Cmd.Renewal)
	sp := k.find(m.Cmd.Service, m.Cmd.From, m.Cmd.To)
	if sp == nil || sp.Holder != m.Cmd.Holder {
		return
	}
	sp.busy = false
	if m.Result != grant.NotSent && m.Result != grant.Ended && m.Result != grant.Fenced {
		sp.until = later(sp.until, k.runsOut(m.At))
	}
	switch m.Result {
	case grant.Done:
		k.confirmedGrant(now, sp, m)
	case grant.Ended:
		k.lifeEnded(m.Cmd.Holder)
	case grant.Fenced:
		// Another leader has granted it, or an older fence of ours was late. A new
		// fence goes out only once the epoch is known to be in force.
		sp.Fence, sp.due = k.mint(), now.Add(retryCall)
		k.saver.reread, k.saver.rereadAt, k.confirmed = true, now, now.Add(-k.leaderLease)
		k.note(NoteCmd{Text: "server has seen a higher fence", Service: m.Cmd.Service, From: sp.From, To: sp.To, Holder: sp.Holder, Fence: m.Cmd.Fence})
	case grant.Unsure:
		// The next try bears a new fence: its answer shuts this one out.
		sp.Fence, sp.due = k.mint(), now.Add(retryCall)
	case grant.NotSent:
		sp.Fence, sp.due = k.mint(), now.Add(retryCall)
		if m.Cmd.Renewal {
			sp.due = now
		}
	}
	sp.renewal = m.Result == grant.Done
}

func (k *Keeper) confirmedGrant(now time.Time, sp *span, m GrantedMsg) {
	// The answer proves that the old leader's grants on these keys are refused
	// from now on: only this one counts.
	sp.until = k.runsOut(m.At)
	sp.due = now.Add(k.hold / renewShare)
	if sp.step == releasing {
		sp.due = now
		return
	}
	sp.handover = ""
	if sp.step != granting {
		return
	}
	sp.origin, sp.handedBy = grant.Kept, grant.Holder{}
	sp.step, sp.Pending = held, false
	k.saver.later, k.publisher.due = true, true
	k.learnMove(now, m.Cmd.Service, sp)
	k.note(NoteCmd{Text: "range is held", Service: m.Cmd.Service, From: sp.From, To: sp.To, Holder: sp.Holder, Fence: sp.Fence})
}

// learnMove notes how long a range was closed. Work that runs on its keys has to end
// first, which takes as long as requests of the service do.
func (k *Keeper) learnMove(now time.Time, service string, sp *span) {
	if sp.closed.IsZero() {
		return
	}
	took := now.Sub(sp.closed)
	sp.closed = time.Time{}
	for _, s := range k.shares {
		if s.service == service {
			s.moveTakes += time.Duration(moveLearn * float64(took-s.moveTakes))
		}
	}
}

func (k *Keeper) released(now time.Time, m ReleasedMsg) {
	k.noteAnswered(now, m.Cmd.Holder, m.Result, false)
	sp := k.find(m.Cmd.Service, m.Cmd.From, m.Cmd.To)
	if sp == nil || sp.Holder != m.Cmd.Holder || sp.step != releasing {
		return
	}
	sp.busy = false
	switch m.Result {
	case grant.Done:
		// A server refuses fences below the release's from now on, so that neither a
		// late grant nor the leader before can make it hold the range again.
		sp.handover, sp.origin, sp.until = m.Handover, grant.Handed, time.Time{}
	case grant.Ended:
		k.lifeEnded(m.Cmd.Holder)
	default:
		sp.due = now.Add(retryCall)
	}
}

func (k *Keeper) lifeEnded(h grant.Holder) {
	if k.ended[h] {
		return
	}
	k.ended[h] = true
	k.note(NoteCmd{Text: "server's life has ended", Holder: h, Reason: "its address belongs to another"})
}

func (k *Keeper) find(service string, from, to int) *span {
	for _, s := range k.shares {
		if s.service != service {
			continue
		}
		for _, sp := range s.spans {
			if sp.From == from && sp.To == to {
				return sp
			}
		}
	}
	return nil
}

// earlier keeps zero, which means never.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
