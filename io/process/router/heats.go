package router

import (
	"time"

	"catkinstep/core/process/keeper"
)

// heats are the leader's counts of requests for keys, over all daemons.
type heats struct {
	rates map[string][]float64 // by service
	sums  map[string][]float64
	since time.Time
}

// heatFades is the weight of the newest second in the rates: hot keys come
// within a second and go after four or five.
const heatFades = 0.4

func newHeats() *heats {
	return &heats{rates: map[string][]float64{}, sums: map[string][]float64{}}
}

// add counts requests for a bucket.
func (h *heats) add(service string, bucket, requests uint32) {
	if bucket >= keeper.Buckets {
		return
	}
	if h.sums[service] == nil {
		h.sums[service] = make([]float64, keeper.Buckets)
	}
	h.sums[service][bucket] += float64(requests)
}

// roll closes a window and returns the rates of each service.
func (h *heats) roll(now time.Time) []keeper.LoadMsg {
	took := now.Sub(h.since).Seconds()
	first := h.since.IsZero()
	h.since = now
	if first || took <= 0 {
		return nil
	}
	var out []keeper.LoadMsg
	for service, sums := range h.sums {
		rates := h.rates[service]
		next := make([]float64, keeper.Buckets)
		for i, n := range sums {
			next[i] = heatFades * n / took
			if rates != nil {
				next[i] += (1 - heatFades) * rates[i]
			}
			sums[i] = 0
		}
		h.rates[service] = next
		out = append(out, keeper.LoadMsg{Service: service, Rates: next})
	}
	return out
}
