package picker

import (
	"math"
	"time"

	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// initialPrefillRate is the estimated prefill rate before any observation, in tokens per
	// second.
	initialPrefillRate = 60_000
	// minObservedTokens is the least number of uncached tokens for which a time to the first
	// token updates the estimated prefill rate. Shorter prefills say too little about the rate.
	minObservedTokens = 4000
	// firstTokenOverhead is the part of the time to the first token that does not depend on the
	// prompt.
	firstTokenOverhead = 25 * time.Millisecond
	// rateIncrease and rateDecrease are the factors applied to the estimated prefill rate when an
	// observed one is above or below it. The estimate settles where three in four observed rates
	// are below it: a slow prefill mostly means that the engine computed other prompts at the
	// same time.
	rateIncrease = 1.06
	rateDecrease = 0.98
	// outputTokenWork is the work of an output token as a multiple of that of a prompt token.
	outputTokenWork = 10
	// lightPromptRatio is the ratio of a class's mean prompt length to that of all classes,
	// weighted by their work, below which the class is light.
	lightPromptRatio = 0.35
	// maxPauseShare is the share of the shortest pause target that the prefill of a light class's
	// mean prompt may take. A class with longer prompts would break the pauses of the class with that
	// target, since several of its prompts often come at a time.
	maxPauseShare = 0.15
	// maxSlotUtilization is the share of the slots of the light group that may be in use before it
	// grows.
	maxSlotUtilization = 0.6
	// The light group is resized only if its size differs from the wanted size by more than
	// minLightGroupDeviation engines and by more than lightGroupDeviationShare of the settled
	// engines: what an engine has cached for one group is of no use to the other.
	minLightGroupDeviation   = 0.8
	lightGroupDeviationShare = 0.1
	// enginesPerDomainForLight is the number of engines per failure domain from which each
	// domain keeps an engine for light classes.
	enginesPerDomainForLight = 3
	// workKnownAfter is the time after the first request from which the measured work of the
	// classes is used. Until then initialLightShare of the settled engines are in the light group.
	workKnownAfter    = 8 * time.Second
	initialLightShare = 0.25
	// meanSamples is the number of requests over which the means of a class are taken.
	meanSamples = 200
	// workTimeConstant is the time constant of the exponential average of the classes' work.
	workTimeConstant = 20 * time.Second
	// loadTimeConstant is the time constant of the exponential average of the prefill load.
	loadTimeConstant = 3 * time.Second
	// minLoadPeriod is the shortest period over which the prefill load is averaged.
	minLoadPeriod = 500 * time.Millisecond
	// cacheMissFactor is the prefill work of a pool in a steady state, as a multiple of the
	// tokens that its prompts do not share.
	cacheMissFactor = 1.25
	// cacheHitRatio is the ratio of the shared tokens that an engine is expected to have cached
	// after it has computed them.
	cacheHitRatio = 0.9
	// preferredCount is the number of preferred engines of requests with the same shared parts.
	// All processes prefer the same engines in the same order and use the next one when one is
	// busy. nextHitRatioFactor is the hit ratio expected at each of them relative to the one
	// before.
	preferredCount     = 3
	nextHitRatioFactor = 0.6
	// tieBreakHitRatio is the hit ratio expected at the first preferred engine while some engine
	// is assumed to have the parts cached. It makes all processes choose the same additional
	// engine.
	tieBreakHitRatio = 0.15
	// stepTimePerRequest is the time that a running request adds to each token that its engine
	// generates.
	stepTimePerRequest = 150 * time.Microsecond
	// crossDomainPenalty is added to the predicted time for an engine in another failure domain,
	// because of the traffic between domains.
	crossDomainPenalty = 5 * time.Millisecond
	// warmUpPenalty keeps requests away from engines that are still slow after their start.
	warmUpPenalty = 500 * time.Millisecond
	// maxSettledAge is the age from which an engine is settled however old the others are.
	maxSettledAge = time.Minute
	// minReportedTokens is the number of shared tokens from which the engine that caches them is
	// reported to other processes. Fewer are computed in less time than the message takes.
	minReportedTokens = 1000
	// cachedPartLifetime is how long an engine is assumed to have the parts of a request cached.
	// Callers that expire cached parts themselves must use the same time.
	cachedPartLifetime = time.Minute
	// maxCachedParts is the largest number of cached parts that are tracked over all engines.
	maxCachedParts = 50_000
)

type (
	// Class is the name of a class of work.
	Class string

	// PromptRequest is a model request to be placed.
	PromptRequest struct {
		Class Class
		// Parts are the parts of the prompt. The last one is taken to be the request's own, those
		// before it to be shared with other requests.
		Parts []PromptPart
		// PromptTokens is the length of the prompt, MaxOutputTokens the largest length of the
		// response, both in tokens.
		PromptTokens, MaxOutputTokens int
		// FirstTokenTarget is the target for the time from the request's arrival to the first
		// token, zero if there is none.
		FirstTokenTarget time.Duration
		// PauseTarget is the target for the time between two events of the response, zero if there
		// is none.
		PauseTarget time.Duration
		// TimeLimit is the time from the request's arrival within which the whole response is
		// due. Zero means no limit; AdmissionDelay is then zero.
		TimeLimit time.Duration
		// Rank is the position of the request's priority among Ranks priorities, 0 the most urgent.
		Rank, Ranks int
		// Avoid lists the upstreams at which the request has failed before.
		Avoid []registrar.UpstreamID
	}

	// Engine is an upstream that runs models and could take the request.
	Engine struct {
		ID     registrar.UpstreamID
		Domain registrar.FailureDomain
		// Local reports that the engine is in the failure domain of this process.
		Local bool
		// Incarnation is larger for engines that started later. It must be comparable across
		// engines, as for registrar.NewExclusive. It is used only to put older engines first in
		// the light group.
		Incarnation registrar.Incarnation
		// Free reports that the engine has a slot for one more request of this process.
		Free bool
		// Limited reports that the engine takes only few requests a second. It serves no light
		// group and counts for no capacity.
		Limited bool
		// WarmingUp reports that the engine is still slow after its start.
		WarmingUp bool
		// Age is the time since the engine started or, if that is not known, was first seen.
		Age time.Duration
		// Requests is the estimated number of requests in flight, of all processes.
		Requests int
		// Slots is the number of requests that the engine runs at a time, zero if not known. It
		// queues others.
		Slots int
		// PendingTokens is the estimated number of prompt tokens that the engine still has to
		// compute for its requests.
		PendingTokens float64
		// UncachedTokens is the number of uncached prompt tokens of the requests in flight,
		// counted when each one started. Tokens that have been computed since still count until
		// their request ends, because computing them has already delayed the other requests in
		// flight.
		UncachedTokens float64
		// Penalty is added to the predicted time because of recent failures.
		Penalty time.Duration
		// Speed is the speed relative to the other engines, zero if unknown. See profiler.Relative.
		Speed float64
		// Slowdown is the time that work takes at present as a multiple of the usual time, zero if
		// unknown. It lasts for a fraction of a second and counts only for the predicted time.
		Slowdown float64
	}

	// Placer chooses engines for model requests by the predicted time to the first token.
	//
	// Engines compute long prompts in chunks between the output tokens of their other requests,
	// so long prompts slow down classes of short prompts whose responses must stream steadily.
	// Classes with short prompts, called light, therefore get engines of their own, the light
	// group, in proportion to their share of the work.
	//
	// Prompts share parts, which an engine that has them cached need not compute again. All
	// processes prefer the same engines for requests with the same last shared part, by
	// rendezvous hashing, and place them elsewhere only if waiting there takes longer than
	// computing the parts again.
	//
	// Methods that take now expect the same monotonic clock. A Placer is not safe for
	// concurrent use.
	Placer struct {
		// prefillRate is the estimated prefill rate of an engine of speed 1 in prompt tokens per second.
		prefillRate float64
		classes     map[Class]*classStats
		// cached holds, by part and engine, when it was last recorded that the engine caches the
		// part. Only the last shared part of a prompt is recorded.
		cached map[CachedPart]time.Duration
		// prefillLoad is the average rate at which requests bring prompt tokens to compute, in
		// tokens per second, as of prefillLoadAt.
		prefillLoad float64
		// lightGroupSize is the size of the light group before minLightEngines and the number of
		// engines bound it.
		lightGroupSize float64
		// lightShare is the light classes' share of the work of all processes, zero if it is not
		// known.
		lightShare float64
		// firstArrival is when the first request arrived, zero if none has.
		firstArrival  time.Duration
		prefillLoadAt time.Duration
	}

	classStats struct {
		// meanPrompt is the mean prompt length in tokens, workRate the rate of work in tokens per
		// second.
		meanPrompt float64
		workRate   float64
		// meanOutput is the mean largest length of the response in tokens.
		meanOutput float64
		// samples is the number of requests in the means, at most meanSamples.
		samples float64
		// meanTimeLimit is the mean time within which responses are due.
		meanTimeLimit time.Duration
		// pauseTarget is that of the latest request that has one.
		pauseTarget time.Duration
		updatedAt   time.Duration
	}

	// CachedPart states that an upstream has cached the prompt up to the end of the part with
	// this ID.
	CachedPart struct {
		Part     PrefixID
		Upstream registrar.UpstreamID
	}

	// choice is the engine with the lowest cost so far.
	choice struct {
		found bool
		index int
		cost  time.Duration
	}
)

// NewPlacer returns a placer without any observations.
func NewPlacer() *Placer {
	return &Placer{prefillRate: initialPrefillRate, classes: map[Class]*classStats{}, cached: map[CachedPart]time.Duration{}}
}

// Pick returns the index of the chosen engine, or -1 if none is free, and the number of prompt
// tokens that the engine is expected to compute. engines must not be empty.
//
// The engine with the lowest cost is chosen among those that admit the request, if there are any
// that it may settle for, and otherwise among all.
func (p *Placer) Pick(now time.Duration, r PromptRequest, engines []Engine) (index int, uncachedTokens float64) {
	a := p.newAdmission(now, r, engines)
	hitRatios := p.expectedHitRatios(now, r, engines, a.lightGroup, a.lightClass)
	tokens := make([]float64, len(engines))
	leastTokens := math.Inf(1)
	for i := range engines {
		tokens[i] = p.uncachedTokens(now, r, engines[i].ID, hitRatios[i])
		if engines[i].Free {
			leastTokens = min(leastTokens, tokens[i])
		}
	}
	var any, admitting choice
	for i := range engines {
		e := &engines[i]
		if !e.Free {
			continue
		}
		cost := p.cost(r, e, tokens[i], a.prefillWeight())
		if a.isOtherGroup(i) {
			cost += r.FirstTokenTarget
		}
		if over := p.excessFor(a, engines, i, tokens[i]); over > 0 {
			cost += over
			if a.utilization < spareUtilization {
				// Other engines have prefill budget left: prefer them even though they compute the
				// shared parts again.
				cost += a.budget
			}
		}
		if contains(r.Avoid, e.ID) {
			cost += time.Hour
		}
		any.consider(i, cost)
		if p.admits(a, r, engines, i, tokens[i]) && a.maySettle(r, tokens[i], leastTokens) {
			admitting.consider(i, cost)
		}
	}
	switch {
	case admitting.found:
		return admitting.index, tokens[admitting.index]
	case any.found:
		return any.index, tokens[any.index]
	default:
		return -1, 0
	}
}

// slotWait estimates how long the engine queues a request before it runs, as if its requests in
// flight had responses of the same length.
func (e *Engine) slotWait(r PromptRequest) time.Duration {
	if e.Slots == 0 || e.Requests < e.Slots {
		return 0
	}
	response := time.Duration(r.MaxOutputTokens) * e.stepTime(e.Slots)
	return response * time.Duration(e.Requests-e.Slots+1) / time.Duration(e.Slots)
}

// consider replaces the choice if the cost is lower.
func (c *choice) consider(index int, cost time.Duration) {
	if !c.found || cost < c.cost {
		*c = choice{found: true, index: index, cost: cost}
	}
}

// cost predicts the time to the first token and adds the engine's penalties and a quarter of the
// time by which the running requests slow down the generation of the response. weight multiplies
// the request's uncached tokens.
func (p *Placer) cost(r PromptRequest, e *Engine, uncached, weight float64) time.Duration {
	seconds := (e.PendingTokens + weight*uncached) / p.rateOf(e)
	cost := time.Duration(seconds * float64(time.Second))
	cost += e.scaled(time.Duration(e.Requests*max(1, r.MaxOutputTokens)) * stepTimePerRequest / 4)
	cost += e.slotWait(r)
	if slowdown := profiler.Relative(e.Slowdown); slowdown != 1 {
		cost = time.Duration(float64(cost) * slowdown)
	}
	cost += e.Penalty
	if !e.Local {
		cost += crossDomainPenalty
	}
	if e.WarmingUp {
		cost += warmUpPenalty
	}
	return cost
}
