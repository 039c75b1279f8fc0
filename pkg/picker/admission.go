package picker

import "time"

const (
	// maxPrefillShare and minPrefillShare are the shares of the shortest response timeout that
	// an engine may spend on the prompts of its requests, for the most and for the least urgent
	// requests. The rest is left for generating responses, and for requests of other processes
	// that this process does not know of yet.
	maxPrefillShare = 0.4
	minPrefillShare = 0.3
	// minPrefillWeight is the weight of a request's uncached tokens relative to the tokens that
	// are pending at the engine, since computing them delays every other request there. The
	// weight rises to maxPrefillWeight with the utilization of the prefill budget, because
	// computing shared parts again then takes budget that other requests need.
	minPrefillWeight = 4
	maxPrefillWeight = 16
	// spareUtilization is the utilization of the prefill budget below which engines without
	// budget left for a request get an additional cost. A request whose parts are cached only at
	// such engines is then placed at another one, which computes the parts again, instead of
	// being delayed.
	spareUtilization = 0.5
)

// AdmissionDelay estimates how long it takes until the engine that Pick chooses can admit the
// request. It is zero if the engine can admit it now, if no engine is free, or if the request has no
// deadline. engines must not be empty.
//
// It guards against overload by more prompts than the engines can compute: each prefill delays
// all requests in flight at its engine, so that with too many prompts no response ends in time and
// the work is wasted. An engine therefore admits only the prompts that it can compute within a
// share of the timeout for responses.
func (p *Placer) AdmissionDelay(now time.Duration, r PromptRequest, engines []Engine) time.Duration {
	chosen, uncached := p.Pick(now, r, engines)
	if chosen < 0 {
		return 0
	}
	return p.prefillExcess(&engines[chosen], uncached, p.prefillBudget(r))
}

// prefillExcess returns by how much an engine's prefill time for its requests in flight would
// exceed the budget if it were given uncached more tokens. It is zero for an engine whose requests
// in flight have no uncached tokens, which admits a prompt of any size, and if the budget is zero,
// which means that the request has no deadline.
func (p *Placer) prefillExcess(e *Engine, uncached float64, budget time.Duration) time.Duration {
	if budget <= 0 || e.UncachedTokens == 0 {
		return 0
	}
	seconds := (e.UncachedTokens + uncached) / p.prefillRate
	return max(0, time.Duration(seconds*float64(time.Second))-budget)
}

// prefillBudget returns the time that an engine may spend on the prompts of its requests in
// flight if a request of r's rank is added. It is a share of the request's own TimeLimit or of
// the mean TimeLimit of any class, whichever is shortest.
func (p *Placer) prefillBudget(r PromptRequest) time.Duration {
	shortest := r.TimeLimit
	for _, c := range p.classes {
		if c.meanTimeLimit > 0 {
			shortest = min(shortest, c.meanTimeLimit)
		}
	}
	share := maxPrefillShare
	if r.Ranks > 1 {
		share -= (maxPrefillShare - minPrefillShare) * float64(min(r.Rank, r.Ranks-1)) / float64(r.Ranks-1)
	}
	return time.Duration(share * float64(shortest))
}

// prefillUtilization returns the mean share of the prefill budget that is in use at the engines
// of the request's group, from 0 to 1.
func (p *Placer) prefillUtilization(engines []Engine, lightGroup []bool, lightClass bool, budget time.Duration) float64 {
	budgetTokens := p.prefillRate * budget.Seconds()
	if budgetTokens <= 0 {
		return 0
	}
	used, count := 0.0, 0.0
	for i := range engines {
		if lightGroup != nil && lightGroup[i] != lightClass {
			continue
		}
		used += min(engines[i].UncachedTokens, budgetTokens)
		count++
	}
	return used / max(1, count) / budgetTokens
}
