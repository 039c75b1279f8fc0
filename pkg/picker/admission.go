package picker

import "time"

const (
	// maxPrefillShare is the share of the shortest time limit that an engine may spend on the
	// prompts of its requests, minPrefillShare the same for the least urgent requests. The rest
	// is left for the answers, and for requests that other processes start before it is known
	// here.
	maxPrefillShare = 0.4
	minPrefillShare = 0.3
	// idlePrefillWeight is the weight of a request's own uncached tokens relative to those that
	// are pending at the engine, since processing them delays every other request there. It
	// rises to fullPrefillWeight as the engines use up their prefill budget: shared parts
	// that are then processed again keep other requests out.
	idlePrefillWeight = 4
	fullPrefillWeight = 16
	// spareUtilization is the utilization of the prefill budget below which a request is not
	// refused because the engines that have its parts cached are full: other engines process
	// the parts.
	spareUtilization = 0.5
)

// AdmissionDelay returns how long a request has to wait until an engine may admit it, zero if
// one admits it now or none is free. engines must not be empty.
//
// It guards against overload by more prompts than the engines can process: every prompt that an
// engine processes delays all answers in progress there, so that with too many of them no
// answer ends in time and the work is wasted. An engine therefore admits only what it can
// process within a share of the time in which answers are due.
func (p *Placer) AdmissionDelay(now time.Duration, r PromptRequest, engines []Engine) time.Duration {
	chosen, uncached := p.Pick(now, r, engines)
	if chosen < 0 {
		return 0
	}
	return p.prefillExcess(&engines[chosen], uncached, p.prefillBudget(r))
}

// prefillExcess returns by how much the time to process the prompts of an engine's requests and
// uncached tokens more would exceed the budget. An idle engine admits a prompt of any size.
func (p *Placer) prefillExcess(e *Engine, uncached float64, budget time.Duration) time.Duration {
	if budget <= 0 || e.UncachedTokens == 0 {
		return 0
	}
	seconds := (e.UncachedTokens + uncached) / p.prefillRate
	return max(0, time.Duration(seconds*float64(time.Second))-budget)
}

// prefillBudget returns the time that an engine may spend on the prompts of its requests in
// progress when a request of this rank is added. It is a share of the shortest time limit: that
// of the request or the mean of any class.
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

// prefillUtilization returns the used share of the prefill budget of the engines in the
// request's group, from 0 to 1.
func (p *Placer) prefillUtilization(engines []Engine, lightGroup []bool, lightClass bool, budget time.Duration) float64 {
	limit := p.prefillRate * budget.Seconds()
	if limit <= 0 {
		return 0
	}
	used, count := 0.0, 0.0
	for i := range engines {
		if lightGroup != nil && lightGroup[i] != lightClass {
			continue
		}
		used += min(engines[i].UncachedTokens, limit)
		count++
	}
	return used / max(1, count) / limit
}
