package picker

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// initialPrefillRate is assumed until prefills have been observed, in tokens per second.
	initialPrefillRate = 60_000
	// minMeasuredTokens is the length from which a prefill tells something about the prefill rate.
	minMeasuredTokens = 4000
	// firstTokenOverhead is the time to the first token that does not depend on the prompt.
	firstTokenOverhead = 25 * time.Millisecond
	// rateIncrease and rateDecrease are the factors applied to the assumed prefill rate when an
	// observed one is above or below it. They settle where three in four observations are
	// below: a slow prefill mostly means that the engine processed other prompts beside it.
	rateIncrease = 1.06
	rateDecrease = 0.98
	// outputTokenWork is the work of a generated token as a multiple of that of a prompt token.
	outputTokenWork = 10
	// lightPromptRatio is the ratio of a class's mean prompt length to the pool's, weighted by
	// work, below which the class is light.
	lightPromptRatio = 0.35
	// The light group is resized only if its size differs from the light share by more than
	// minLightGroupDeviation engines and by more than lightGroupDeviationShare of all engines:
	// what an engine has cached for one group is of no use to the other.
	minLightGroupDeviation   = 0.8
	lightGroupDeviationShare = 0.1
	// enginesPerDomainForLight is the number of engines per failure domain from which each
	// domain keeps an engine for light classes.
	enginesPerDomainForLight = 3
	// workKnownAfter is the time from the first request after which the work of the classes is
	// known, and initialLightShare the share of the engines in the light group until then.
	workKnownAfter    = 8 * time.Second
	initialLightShare = 0.25
	// meanSamples is the number of requests over which the means of a class are taken.
	meanSamples = 200
	// workTimeConstant is the time constant of the exponential average of the classes' work.
	workTimeConstant = 20 * time.Second
	// loadTimeConstant is the time constant of the exponential average of the prefill load.
	loadTimeConstant = 3 * time.Second
	// minLoadPeriod is the shortest time that the prefill load is averaged over.
	minLoadPeriod = 500 * time.Millisecond
	// cacheMissFactor is the prefill work of a pool in a steady state, as a multiple of the
	// tokens that its prompts do not share.
	cacheMissFactor = 1.25
	// cacheHitShare is the share of the shared tokens that an engine that has processed them is
	// expected to have cached.
	cacheHitShare = 0.9
	// preferredCount is the number of engines, the same for all processes, that requests with
	// the same shared parts move on to as each becomes busy. nextPreferredFactor is the cached
	// share expected at each of them relative to the one before.
	preferredCount      = 3
	nextPreferredFactor = 0.6
	// tieBreakHitShare is the cached share assumed at the first preferred engine while another
	// engine has the parts. It makes all processes choose the same additional engine.
	tieBreakHitShare = 0.15
	// stepTimePerRequest is the time that a running request adds to each token that its engine
	// generates.
	stepTimePerRequest = 150 * time.Microsecond
	// crossDomainPenalty is the cost of traffic between failure domains.
	crossDomainPenalty = 5 * time.Millisecond
	// coldPenalty keeps requests away from engines that are still slow after their start.
	coldPenalty = 500 * time.Millisecond
	// maxSettledAge is the age from which every engine is settled.
	maxSettledAge = time.Minute
	// minAnnouncedTokens is the number of shared tokens from which other processes are told
	// which engine has cached them. Fewer are processed in less time than the message takes.
	minAnnouncedTokens = 1000
	// cachedPartLifetime is how long an engine is taken to have the parts of a request cached.
	cachedPartLifetime = time.Minute
	// maxCachedParts bounds the cached parts that are tracked over all engines.
	maxCachedParts = 50_000
)

type (
	// Class is the name of a class of work.
	Class string

	// PromptRequest is a model request to be placed.
	PromptRequest struct {
		Class Class
		// Parts are the parts of the prompt. The last one is taken to be unique to the request,
		// those before it to be shared with other requests.
		Parts []PromptPart
		// PromptTokens is the length of the prompt, MaxOutputTokens the limit of the answer.
		PromptTokens, MaxOutputTokens int
		// FirstTokenTarget is the target for the time to the first token, zero if there is none.
		FirstTokenTarget time.Duration
		// TimeLimit is the time within which the whole answer is due.
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
		// Incarnation orders engines by their start if incarnations are comparable.
		Incarnation registrar.Incarnation
		// Free reports that the engine takes one more request of this process.
		Free bool
		// WarmingUp reports that the engine is still slow after its start.
		WarmingUp bool
		// Age is the time since the engine started or, if that is not known, was first seen.
		Age time.Duration
		// Running is the estimated number of requests in progress, of all processes.
		Running int
		// PendingTokens is the estimated number of prompt tokens that the engine has still to
		// process for its requests.
		PendingTokens float64
		// UncachedTokens is the number of prompt tokens that the requests in progress had to
		// have processed when each started, whether that is done or not. A request is held up
		// while the engine processes the prompts of the others.
		UncachedTokens float64
		// Penalty is added to the predicted time because of recent failures.
		Penalty time.Duration
	}

	// Placer chooses engines for model requests by the predicted time to the first token.
	//
	// Engines process long prompts in chunks between the output tokens of their other
	// requests, so long prompts slow down classes of short prompts whose answers must stream
	// steadily. Classes with short prompts, called light, therefore get engines of their own,
	// the light group, in proportion to their share of the work.
	//
	// Prompts share parts, which an engine that has them cached need not process again.
	// Requests with the same last shared part prefer the same engines by rendezvous hashing,
	// in every process alike, and leave them only if waiting there takes longer than
	// processing the parts elsewhere.
	//
	// Methods that take now expect the same monotonic clock. A Placer is not safe for
	// concurrent use.
	Placer struct {
		// prefillRate is the assumed speed of an engine in prompt tokens per second.
		prefillRate float64
		classes     map[Class]*classStats
		// cached holds when each part was last sent to an engine.
		cached map[CachedPart]time.Duration
		// prefillLoad is the rate at which requests bring prompt tokens to process, in tokens
		// per second, as of prefillLoadAt.
		prefillLoad float64
		// lightEngines is the size intended for the light group.
		lightEngines float64
		// lightShare is the share of the work of all processes that is of light classes, zero
		// if it is not known.
		lightShare float64
		// firstArrival is when the first request arrived, zero if none has.
		firstArrival  time.Duration
		prefillLoadAt time.Duration
	}

	classStats struct {
		// meanPrompt is the mean prompt length in tokens, work the work in tokens per second.
		meanPrompt float64
		work       float64
		// samples is the number of requests in the means, at most meanSamples.
		samples float64
		// meanTimeLimit is the mean time within which answers are due.
		meanTimeLimit time.Duration
		updatedAt     time.Duration
	}

	// CachedPart states that an upstream has a part of prompts in its cache.
	CachedPart struct {
		Part     PrefixID
		Upstream registrar.UpstreamID
	}
)

// NewPlacer returns a placer without any observations.
func NewPlacer() *Placer {
	return &Placer{prefillRate: initialPrefillRate, classes: map[Class]*classStats{}, cached: map[CachedPart]time.Duration{}}
}

// Pick returns the index of the chosen engine, or -1 if none is free, and the number of prompt
// tokens that the engine is expected to process. engines must not be empty.
func (p *Placer) Pick(now time.Duration, r PromptRequest, engines []Engine) (index int, uncachedTokens float64) {
	group := p.lightGroup(now, engines)
	lightClass := p.isLight(r.Class)
	expectedHits := p.expectedHits(now, r, engines, group, lightClass)
	budget := p.prefillBudget(r)
	utilization := p.prefillUtilization(engines, group, lightClass, budget)
	weight := idlePrefillWeight + (fullPrefillWeight-idlePrefillWeight)*utilization
	best, bestCost, bestUncached := -1, time.Duration(0), 0.0
	for i := range engines {
		e := &engines[i]
		if !e.Free {
			continue
		}
		tokens := p.uncachedTokens(now, r, e.ID, expectedHits[i])
		cost := p.cost(r, e, tokens, weight)
		if group != nil && group[i] != lightClass {
			cost += r.FirstTokenTarget
		}
		if over := p.prefillExcess(e, tokens, budget); over > 0 {
			cost += over
			if utilization < spareUtilization {
				// There is room elsewhere: process the shared parts there again instead of refusing.
				cost += budget
			}
		}
		if contains(r.Avoid, e.ID) {
			cost += time.Hour
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestUncached = i, cost, tokens
		}
	}
	return best, bestUncached
}

// cost predicts the time to the first token, with the penalties of the engine and a quarter of
// the time by which the running requests slow down the answer. weight multiplies the
// request's own uncached tokens.
func (p *Placer) cost(r PromptRequest, e *Engine, uncached, weight float64) time.Duration {
	seconds := (e.PendingTokens + weight*uncached) / p.prefillRate
	cost := time.Duration(seconds*float64(time.Second)) + e.Penalty
	cost += time.Duration(e.Running*max(1, r.MaxOutputTokens)) * stepTimePerRequest / 4
	if !e.Local {
		cost += crossDomainPenalty
	}
	if e.WarmingUp {
		cost += coldPenalty
	}
	return cost
}
