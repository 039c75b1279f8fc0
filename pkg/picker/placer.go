package picker

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// initialPrefillRate is assumed before any prompt was read, in tokens a second.
	initialPrefillRate = 60_000
	// minMeasuredTokens is the least number of tokens that tells something about the read rate.
	minMeasuredTokens = 4000
	// firstTokenOverhead is the part of the time to the first token that does not depend on the prompt.
	firstTokenOverhead = 25 * time.Millisecond
	// rateIncrease and slower change the rate believed after a reading above or below it,
	// so that three in four are below: a slow one mostly means that others were
	// read beside it.
	rateIncrease = 1.06
	rateDecrease = 0.98
	// outputTokenWork is the work of a generated token as a multiple of a read one's.
	outputTokenWork = 10
	// lightPromptRatio is the part of the pool's mean prompt below which a class is light.
	lightPromptRatio = 0.35
	// minLightGroupDeviation is how far the light classes' part of the work must be from their
	// engines before those change, since their memory is of no use to the others.
	minLightGroupDeviation     = 0.8
	lightGroupDeviationShare = 0.1
	// enginesPerDomainForLight is the number from which each failure domain keeps a light engine.
	enginesPerDomainForLight = 3
	// workKnownAfter is the time after which the classes' work is known,
	// and initialLight the part of the engines for light classes before.
	workKnownAfter   = 8 * time.Second
	initialLightShare = 0.25
	// meanSamples is the number of requests that the mean prompt of a class is taken over.
	meanSamples = 200
	// workTimeConstant is the time over which the classes' work is averaged.
	workTimeConstant = 20 * time.Second
	// loadTimeConstant is the time over which the load of reading is averaged.
	loadTimeConstant = 3 * time.Second
	// minLoadPeriod is the time over which load is taken as known at the least.
	minLoadPeriod = 500 * time.Millisecond
	// cacheMissFactor is the reading beside prompts' own parts that a steady pool does.
	cacheMissFactor = 1.25
	// cacheHitShare is how much of the shared parts is expected in the memory of an
	// upstream that has read them.
	cacheHitShare = 0.9
	// preferredCount is the number of engines that requests with the same parts go to one
	// after the other as each gets busy, for all processes alike, and nextHome is
	// what is expected there in part of what is expected at the one before.
	preferredCount    = 3
	nextPreferredFactor = 0.6
	// tieBreakHitShare makes all processes choose the same engine to read parts that
	// others hold already.
	tieBreakHitShare = 0.15
	// stepTimePerRequest is what one running request adds to the time of each generated token.
	stepTimePerRequest = 150 * time.Microsecond
	// crossDomainPenalty stands for the traffic between failure domains.
	crossDomainPenalty = 5 * time.Millisecond
	// coldPenalty keeps requests from upstreams that are slow after their start.
	coldPenalty = 500 * time.Millisecond
	// maxSettledAge is the age from which every engine is a home of parts.
	maxSettledAge = time.Minute
	// minAnnouncedTokens is the number of shared tokens from which other processes are
	// told who has read them; fewer are read in less than the message takes.
	minAnnouncedTokens = 1000
	// cachedPartLifetime is how long a dispatch makes an upstream one that has read the parts.
	cachedPartLifetime = time.Minute
	// maxCachedParts bounds the parts remembered over all upstreams.
	maxCachedParts = 50_000
)

type (
	// Class names a class of work.
	Class string

	// PromptRequest is a model request to be placed.
	PromptRequest struct {
		Class Class
		// Parts are the parts of the prompt; the last one is the request's own.
		Parts []PromptPart
		// PromptTokens and MaxOutputTokens are the tokens of the prompt and the most that are generated.
		PromptTokens, MaxOutputTokens int
		// FirstTokenTarget is the time in which the first token is due; zero for none.
		FirstTokenTarget time.Duration
		// TimeLimit is the time in which the whole answer is due.
		TimeLimit time.Duration
		// Rank is the request's priority among Ranks, 0 the most urgent.
		Rank, Ranks int
		// Avoid lists upstreams at which the request has failed before.
		Avoid []registrar.UpstreamID
	}

	// Engine is an upstream that could take the request.
	Engine struct {
		ID     registrar.UpstreamID
		Domain registrar.FailureDomain
		Local  bool
		// Incarnation orders engines by their start, where incarnations are comparable.
		Incarnation registrar.Incarnation
		// Free reports that it takes one more request of this process.
		Free bool
		// Cold reports that it is slow after its start.
		Cold bool
		// Age is how long it has been known.
		Age time.Duration
		// Running is the expected number of requests there.
		Running int
		// PendingTokens are the tokens of prompts there that are still to be read, as far
		// as they are known or expected.
		PendingTokens float64
		// UncachedTokens are the tokens that its requests in progress had to be read at their
		// start: each of them is held up while the others are read.
		UncachedTokens float64
		// Penalty is what its failures of late count for.
		Penalty time.Duration
	}

	// Placer chooses upstreams for model requests by the predicted time to the
	// first token.
	//
	// It answers two patterns. Long prompts are read in chunks between the tokens
	// of all requests beside them, so that a class of short prompts whose answers
	// must flow suffers from long ones: light classes get upstreams of their own,
	// as many as their part of the work asks for. And prompts share parts, which
	// an upstream that has read them need not read again: requests with the same
	// last shared part have the same home by hash, for all processes alike, and
	// leave it only if waiting there is worse than reading the parts elsewhere.
	//
	// It is not safe for concurrent use.
	Placer struct {
		prefillRate    float64
		classes map[Class]*classStats
		cached    map[CachedPart]time.Duration
		// prefillLoad is the rate of tokens that the requests ask to be read, in tokens a second, as of readingAt.
		prefillLoad float64
		// lightEngines is the number of engines for light classes.
		lightEngines float64
		// lightShare is the light classes' part of the work over all processes, zero if it is not known.
		lightShare float64
		// firstArrival is when the first request arrived.
		firstArrival     time.Duration
		prefillLoadAt time.Duration
	}

	classStats struct {
		// meanPrompt is the mean of the prompts' tokens, work the tokens a second.
		meanPrompt float64
		work   float64
		samples   float64
		// meanTimeLimit is the mean time in which answers are due.
		meanTimeLimit   time.Duration
		updatedAt time.Duration
	}

	// CachedPart tells that an upstream has a part of prompts in its memory.
	CachedPart struct {
		Part     PrefixID
		Upstream registrar.UpstreamID
	}
)

// NewPlacer returns a placer that has learnt nothing.
func NewPlacer() *Placer {
	return &Placer{prefillRate: initialPrefillRate, classes: map[Class]*classStats{}, cached: map[CachedPart]time.Duration{}}
}

// Pick returns the position of the chosen engine and the tokens that it is
// expected to read, or -1 if none is free.
func (p *Placer) Pick(now time.Duration, r PromptRequest, engines []Engine) (position int, unread float64) {
	light := p.lightGroup(now, engines)
	wanted := p.isLight(r.Class)
	expected := p.expectedHits(now, r, engines, light, wanted)
	allowed := p.prefillBudget(r)
	full := p.prefillUtilization(engines, light, wanted, allowed)
	weight := idlePrefillWeight + (fullPrefillWeight-idlePrefillWeight)*full
	best, bestCost, bestUnread := -1, time.Duration(0), 0.0
	for i := range engines {
		e := &engines[i]
		if !e.Free {
			continue
		}
		tokens := p.uncachedTokens(now, r, e.ID, expected[i])
		cost := p.cost(r, e, tokens, weight)
		if light != nil && light[i] != wanted {
			cost += r.FirstTokenTarget
		}
		if over := p.prefillExcess(e, tokens, allowed); over > 0 {
			cost += over
			if full < spareUtilization {
				cost += allowed
			}
		}
		if contains(r.Avoid, e.ID) {
			cost += time.Hour
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestUnread = i, cost, tokens
		}
	}
	return best, bestUnread
}

// cost predicts the time to the first token, and what the request will suffer from those beside it.
func (p *Placer) cost(r PromptRequest, e *Engine, unread, weight float64) time.Duration {
	seconds := (e.PendingTokens + weight*unread) / p.prefillRate
	cost := time.Duration(seconds*float64(time.Second)) + e.Penalty
	cost += time.Duration(e.Running*max(1, r.MaxOutputTokens)) * stepTimePerRequest / 4
	if !e.Local {
		cost += crossDomainPenalty
	}
	if e.Cold {
		cost += coldPenalty
	}
	return cost
}
