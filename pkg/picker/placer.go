package picker

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// initialReadRate is assumed before any prompt was read, in tokens a second.
	initialReadRate = 60_000
	// measuredPrompt is the least number of tokens that tells something about the read rate.
	measuredPrompt = 4000
	// firstTokenOverhead is the part of the time to the first token that does not depend on the prompt.
	firstTokenOverhead = 25 * time.Millisecond
	// faster and slower change the rate believed after a reading above or below it,
	// so that three in four are below: a slow one mostly means that others were
	// read beside it.
	faster = 1.06
	slower = 0.98
	// outputWeight is the work of a generated token as a multiple of a read one's.
	outputWeight = 10
	// lightPart is the part of the pool's mean prompt below which a class is light.
	lightPart = 0.35
	// lightSlack is how far the light classes' part of the work must be from their
	// engines before those change, since their memory is of no use to the others.
	lightSlack     = 0.8
	lightSlackPart = 0.1
	// enginesPerDomain is the number from which each failure domain keeps a light engine.
	enginesPerDomain = 3
	// knownAfter is the time after which the classes' work is known,
	// and initialLight the part of the engines for light classes before.
	knownAfter   = 8 * time.Second
	initialLight = 0.25
	// meanOver is the number of requests that the mean prompt of a class is taken over.
	meanOver = 200
	// workMemory is the time over which the classes' work is averaged.
	workMemory = 20 * time.Second
	// loadMemory is the time over which the load of reading is averaged.
	loadMemory = 3 * time.Second
	// shortestLoad is the time over which load is taken as known at the least.
	shortestLoad = 500 * time.Millisecond
	// missFactor is the reading beside prompts' own parts that a steady pool does.
	missFactor = 1.25
	// hitShare is how much of the shared parts is expected in the memory of an
	// upstream that has read them.
	hitShare = 0.9
	// homes is the number of engines that requests with the same parts go to one
	// after the other as each gets busy, for all processes alike, and nextHome is
	// what is expected there in part of what is expected at the one before.
	homes    = 3
	nextHome = 0.6
	// nextReader makes all processes choose the same engine to read parts that
	// others hold already.
	nextReader = 0.15
	// stepGrowth is what one running request adds to the time of each generated token.
	stepGrowth = 150 * time.Microsecond
	// remotePenalty stands for the traffic between failure domains.
	remotePenalty = 5 * time.Millisecond
	// coldPenalty keeps requests from upstreams that are slow after their start.
	coldPenalty = 500 * time.Millisecond
	// longestSettling is the age from which every engine is a home of parts.
	longestSettling = time.Minute
	// worthTelling is the number of shared tokens from which other processes are
	// told who has read them; fewer are read in less than the message takes.
	worthTelling = 1000
	// memoryLifetime is how long a dispatch makes an upstream one that has read the parts.
	memoryLifetime = time.Minute
	// rememberedParts bounds the parts remembered over all upstreams.
	rememberedParts = 50_000
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
		rate    float64
		classes map[Class]*classWork
		read    map[CachedPart]time.Duration
		// reading is the rate of tokens that the requests ask to be read, in tokens a second, as of readingAt.
		reading float64
		// lightSize is the number of engines for light classes.
		lightSize float64
		// agreed is the light classes' part of the work over all processes, zero if it is not known.
		agreed float64
		// begun is when the first request arrived.
		begun     time.Duration
		readingAt time.Duration
	}

	classWork struct {
		// prompt is the mean of the prompts' tokens, work the tokens a second.
		prompt float64
		work   float64
		seen   float64
		// limit is the mean time in which answers are due.
		limit   time.Duration
		updated time.Duration
	}

	// CachedPart tells that an upstream has a part of prompts in its memory.
	CachedPart struct {
		Part     PrefixID
		Upstream registrar.UpstreamID
	}
)

// NewPlacer returns a placer that has learnt nothing.
func NewPlacer() *Placer {
	return &Placer{rate: initialReadRate, classes: map[Class]*classWork{}, read: map[CachedPart]time.Duration{}}
}

// Pick returns the position of the chosen engine and the tokens that it is
// expected to read, or -1 if none is free.
func (p *Placer) Pick(now time.Duration, r PromptRequest, engines []Engine) (position int, unread float64) {
	light := p.lightGroup(now, engines)
	wanted := p.isLight(r.Class)
	expected := p.expected(now, r, engines, light, wanted)
	allowed := p.allowedReading(r)
	full := p.fullness(engines, light, wanted, allowed)
	weight := idleWeight + (fullWeight-idleWeight)*full
	best, bestCost, bestUnread := -1, time.Duration(0), 0.0
	for i := range engines {
		e := &engines[i]
		if !e.Free {
			continue
		}
		tokens := p.unread(now, r, e.ID, expected[i])
		cost := p.cost(r, e, tokens, weight)
		if light != nil && light[i] != wanted {
			cost += r.FirstTokenTarget
		}
		if over := p.overcommitment(e, tokens, allowed); over > 0 {
			cost += over
			if full < roomy {
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
	seconds := (e.PendingTokens + weight*unread) / p.rate
	cost := time.Duration(seconds*float64(time.Second)) + e.Penalty
	cost += time.Duration(e.Running*max(1, r.MaxOutputTokens)) * stepGrowth / 4
	if !e.Local {
		cost += remotePenalty
	}
	if e.Cold {
		cost += coldPenalty
	}
	return cost
}
