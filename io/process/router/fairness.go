package router

import (
	"slices"
	"time"

	"catkinstep/core/request/spread"
)

// recordDemand counts a request of its workspace, and defers it if the workspace sends far more than
// the others while servers are overloaded.
func (r *Router) recordDemand(req *request) {
	w := req.identity.workspace
	if w.Name == "" {
		return
	}
	weight := r.current.Load().config.WorkspaceWeight(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fairness.Record(time.Now(), w.Name, weight) {
		r.log.Info("workspaces: heavy ones changed", "workspaces", r.fairness.Heavy())
	}
	req.requirements.Deferred = r.fairness.IsHeavy(w.Name)
}

// busyReasons are the reasons of refusals that end when less is asked for.
var busyReasons = []spread.Reason{spread.AllBusy, reasonServerContended, reasonKeyOverloaded}

// recordBusyRefusal counts a refusal if its reason is that servers are busy.
func (r *Router) recordBusyRefusal(reason string) {
	if !slices.Contains(busyReasons, spread.Reason(reason)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fairness.RecordRefusal()
}
