package picker

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/profiler"
)

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
	// maxResponsePrefill is the share of the time of a response that an engine may spend on the
	// prompts of its requests in flight, for the most urgent requests.
	maxResponsePrefill = 0.7
	// A prompt is small up to smallPromptShare of the prefill budget and smallPromptRatio of the
	// mean prompt length of all classes, weighted by their work.
	smallPromptShare = 0.1
	smallPromptRatio = 0.5
	// maxResponseShare is the share of a request's TimeLimit within which the response to a small
	// prompt must be expected. The rest covers the requests of other processes that this process
	// does not know of yet.
	maxResponseShare = 0.6
	// assumedStepTime is the time that an engine takes to generate one token without other requests.
	assumedStepTime = 5 * time.Millisecond
)

// admission holds what decides about the admission of one request.
type admission struct {
	// budget is the time that an engine may spend on the prompts of its requests in flight.
	budget time.Duration
	// responseShare is the share of the time of a response that an engine may spend on them if
	// that is more.
	responseShare float64
	// utilization is the share of the budget that is in use at the engines of the request's group.
	utilization float64
	// lightGroup reports for each engine whether it is reserved for light classes, nil if none is.
	lightGroup []bool
	lightClass bool
	// smallPrompt is the largest number of tokens of a small prompt.
	smallPrompt float64
}

func (p *Placer) newAdmission(now time.Duration, r PromptRequest, engines []Engine) admission {
	share := prefillShare(r)
	a := admission{
		budget: p.prefillBudget(r, share), responseShare: maxResponsePrefill * share / maxPrefillShare,
		lightGroup: p.lightGroup(now, engines), lightClass: p.isLight(r.Class),
	}
	a.utilization = p.prefillUtilization(engines, a.lightGroup, a.lightClass, a.budget)
	a.smallPrompt = min(smallPromptShare*p.prefillRate*a.budget.Seconds(), smallPromptRatio*p.meanPrompt())
	return a
}

// isOtherGroup reports whether an engine is meant for other classes than the request's.
func (a *admission) isOtherGroup(engine int) bool {
	return a.lightGroup != nil && a.lightGroup[engine] != a.lightClass
}

// prefillWeight returns the weight of the request's uncached tokens in the cost.
func (a *admission) prefillWeight() float64 {
	return minPrefillWeight + (maxPrefillWeight-minPrefillWeight)*a.utilization
}

// maySettle reports whether a request may be placed at an engine that admits it although another
// one has the lower cost, where it would have to compute only leastTokens. Long prompts of the
// least urgent requests do not: under overload they would take what room is left anywhere. The more
// of the budget is in use, the less may be computed again.
func (a *admission) maySettle(r PromptRequest, uncached, leastTokens float64) bool {
	if float64(r.PromptTokens) > a.smallPrompt && r.Rank >= r.Ranks-1 {
		return false
	}
	return uncached-leastTokens <= a.smallPrompt || uncached*a.utilization <= leastTokens
}

// admits reports whether an engine has room for the request: its prefill budget covers the uncached
// tokens, or the prompt is small and the request is answered in time all the same.
func (p *Placer) admits(a admission, r PromptRequest, engines []Engine, engine int, uncached float64) bool {
	if float64(r.PromptTokens) <= a.smallPrompt && p.endsInTime(r, &engines[engine], uncached) {
		return true
	}
	return p.excessFor(a, engines, engine, uncached) == 0
}

// excessFor returns the result of prefillExcess for an engine. An engine for light classes keeps
// half of its budget free of the other classes' prompts.
func (p *Placer) excessFor(a admission, engines []Engine, engine int, uncached float64) time.Duration {
	e := &engines[engine]
	budget := a.budget
	if budget > 0 {
		budget = max(budget, time.Duration(a.responseShare*float64(p.meanResponse(e))))
	}
	if a.isOtherGroup(engine) && !a.lightClass {
		budget /= 2
	}
	return p.prefillExcess(e, uncached, budget)
}

// endsInTime reports whether an engine is expected to answer the request within a part of its
// TimeLimit.
func (p *Placer) endsInTime(r PromptRequest, e *Engine, uncached float64) bool {
	prefill := time.Duration((e.PendingTokens + uncached) / p.rateOf(e) * float64(time.Second))
	generation := time.Duration(r.MaxOutputTokens) * e.stepTime(e.Requests)
	return float64(e.slotWait(r)+prefill+generation) <= maxResponseShare*float64(r.TimeLimit)
}

// AdmissionDelay estimates how long it takes until the engine that Pick chooses can admit the
// request. It is zero if an engine admits it now, if no engine is free, or if the request has no
// deadline. engines must not be empty.
//
// It guards against overload by more prompts than the engines can compute: each prefill delays
// all requests in flight at its engine, so that with too many prompts no response ends in time and
// the work is wasted. An engine therefore admits only the prompts that it can compute within a
// share of the timeout for responses. A small prompt delays the others so little that only its own
// response counts.
func (p *Placer) AdmissionDelay(now time.Duration, r PromptRequest, engines []Engine) time.Duration {
	chosen, uncached := p.Pick(now, r, engines)
	if chosen < 0 {
		return 0
	}
	a := p.newAdmission(now, r, engines)
	if p.admits(a, r, engines, chosen, uncached) {
		return 0
	}
	return p.excessFor(a, engines, chosen, uncached)
}

// prefillExcess returns by how much an engine's prefill time for its requests in flight would
// exceed the budget if it were given uncached more tokens. It is zero for an engine whose requests
// in flight have no uncached tokens, which admits a prompt of any size, and if the budget is zero,
// which means that the request has no deadline.
func (p *Placer) prefillExcess(e *Engine, uncached float64, budget time.Duration) time.Duration {
	if budget <= 0 || e.UncachedTokens == 0 {
		return 0
	}
	seconds := (e.UncachedTokens + uncached) / p.rateOf(e)
	return max(0, time.Duration(seconds*float64(time.Second))-budget)
}

// prefillShare returns the share of the time of responses that may be spent on prompts by the rank
// of a request.
func prefillShare(r PromptRequest) float64 {
	if r.Ranks <= 1 {
		return maxPrefillShare
	}
	return maxPrefillShare - (maxPrefillShare-minPrefillShare)*float64(min(r.Rank, r.Ranks-1))/float64(r.Ranks-1)
}

// prefillBudget returns the time that an engine may spend on the prompts of its requests in
// flight if a request is added. It is a share of the request's own TimeLimit or of the mean
// TimeLimit of any class, whichever is shortest.
func (p *Placer) prefillBudget(r PromptRequest, share float64) time.Duration {
	shortest := r.TimeLimit
	for _, c := range p.classes {
		if c.meanTimeLimit > 0 {
			shortest = min(shortest, c.meanTimeLimit)
		}
	}
	return time.Duration(share * float64(shortest))
}

// meanResponse estimates how long an engine generates a response, from the mean lengths of the
// classes weighted by their work. Requests are in flight for that long, and with them the prompts
// that the budget is compared with.
func (p *Placer) meanResponse(e *Engine) time.Duration {
	tokens, totalWork := 0.0, 0.0
	for _, c := range p.classes {
		tokens += c.workRate * c.meanOutput
		totalWork += c.workRate
	}
	if totalWork == 0 {
		return 0
	}
	return time.Duration(tokens / totalWork * float64(e.stepTime(e.Requests)))
}

// prefillUtilization returns the mean share of the prefill budget that is in use at the engines
// of the request's group, weighted by their speed, from 0 to 1.
func (p *Placer) prefillUtilization(engines []Engine, lightGroup []bool, lightClass bool, budget time.Duration) float64 {
	budgetTokens := p.prefillRate * budget.Seconds()
	if budgetTokens <= 0 {
		return 0
	}
	used, count := 0.0, 0.0
	for i := range engines {
		if engines[i].Limited || lightGroup != nil && lightGroup[i] != lightClass {
			continue
		}
		speed := profiler.Relative(engines[i].Speed)
		used += min(engines[i].UncachedTokens, budgetTokens*speed)
		count += speed
	}
	return used / max(1, count) / budgetTokens
}
