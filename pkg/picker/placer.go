package picker

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// readWeight is the weight of reading a prompt, which delays every request beside it,
	// against waiting for others to be read.
	readWeight = 4
	// stepGrowth is what one running request adds to the time of each generated token.
	stepGrowth = 150 * time.Microsecond
	// remotePenalty stands for the traffic between failure domains.
	remotePenalty = 5 * time.Millisecond
	// coldPenalty keeps requests from upstreams that are slow after their start.
	coldPenalty = 500 * time.Millisecond
	// longestSettling is the age from which every engine is a home of parts.
	longestSettling = time.Minute
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
		Parts []Part
		// In and Out are the tokens of the prompt and the most that are generated.
		In, Out int
		// FirstToken is the time in which the first token is due; zero for none.
		FirstToken time.Duration
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
		// Pending are the tokens of prompts there that are still to be read, as far
		// as they are known or expected.
		Pending float64
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
		read    map[partAt]time.Duration
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
		prompt  float64
		work    float64
		seen    float64
		updated time.Duration
	}

	partAt struct {
		part     PrefixID
		upstream registrar.UpstreamID
	}
)

// NewPlacer returns a placer that has learnt nothing.
func NewPlacer() *Placer {
	return &Placer{rate: initialReadRate, classes: map[Class]*classWork{}, read: map[partAt]time.Duration{}}
}

// Arrived learns what a class asks for from a request that arrives.
func (p *Placer) Arrived(now time.Duration, r PromptRequest) {
	c := p.classes[r.Class]
	if c == nil {
		c = &classWork{prompt: float64(r.In), updated: now}
		p.classes[r.Class] = c
	}
	c.decay(now)
	c.seen = min(c.seen+1, meanOver)
	c.prompt += (float64(r.In) - c.prompt) / c.seen
	if p.begun == 0 {
		p.begun = now
	}
	// What engines read again because others came or went is no lasting load.
	p.reading = p.readingNow(now) + missFactor*float64(own(r.Parts, r.In))/loadMemory.Seconds()
	p.readingAt = now
	c.work += (float64(own(r.Parts, r.In)) + outputWeight*float64(r.Out)) / workMemory.Seconds()
}

func (c *classWork) decay(now time.Duration) {
	c.work *= math.Exp(-float64(now-c.updated) / float64(workMemory))
	c.updated = now
}

// Measured learns the read rate from the time to the first token of a request
// that found nothing of this process's before it.
func (p *Placer) Measured(tokens int, took time.Duration) {
	took -= firstTokenOverhead
	if tokens < measuredPrompt || took <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	if seen > p.rate {
		p.rate *= faster
	} else {
		p.rate *= slower
	}
}

// unread returns the tokens that an upstream is expected to read for a request,
// of whose shared parts it is expected to have read a share.
func (p *Placer) unread(now time.Duration, r PromptRequest, id registrar.UpstreamID, expected float64) float64 {
	fresh := float64(own(r.Parts, r.In))
	shared := float64(r.In) - fresh
	if shared <= 0 {
		return fresh
	}
	at, found := p.read[partAt{part: lastShared(r.Parts), upstream: id}]
	if found && now-at < memoryLifetime {
		expected = hitShare
	}
	return fresh + shared*(1-expected)
}

// Placed remembers that an upstream reads a request's parts.
func (p *Placer) Placed(now time.Duration, r PromptRequest, id registrar.UpstreamID) {
	if len(r.Parts) == 0 {
		return
	}
	if len(p.read) >= rememberedParts {
		for key, at := range p.read {
			if now-at > memoryLifetime {
				delete(p.read, key)
			}
		}
	}
	if len(p.read) < rememberedParts {
		p.read[partAt{part: lastShared(r.Parts), upstream: id}] = now
	}
}

func (p *Placer) readingNow(now time.Duration) float64 {
	return p.reading * math.Exp(-float64(now-p.readingAt)/float64(loadMemory))
}

// Busy returns how many engines reading alone would keep busy all the time.
func (p *Placer) Busy(now time.Duration) float64 {
	if p.begun == 0 {
		return 0
	}
	// Soon after the first request the memory is not filled yet.
	filled := 1 - math.Exp(-float64(max(shortestLoad, now-p.begun))/float64(loadMemory))
	return p.readingNow(now) / p.rate / filled
}

// Pick returns the position of the chosen engine and the tokens that it is
// expected to read, or -1 if none is free.
func (p *Placer) Pick(now time.Duration, r PromptRequest, engines []Engine) (position int, unread float64) {
	light := p.lightGroup(now, engines)
	wanted := p.isLight(r.Class)
	expected := p.expected(now, r, engines, light, wanted)
	best, bestCost, bestUnread := -1, time.Duration(0), 0.0
	for i := range engines {
		e := &engines[i]
		if !e.Free {
			continue
		}
		tokens := p.unread(now, r, e.ID, expected[i])
		cost := p.cost(r, e, tokens)
		if light != nil && light[i] != wanted {
			cost += r.FirstToken
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

// expected returns the share of the request's shared parts that each engine is
// expected to have read, as far as their hashes tell.
func (p *Placer) expected(now time.Duration, r PromptRequest, engines []Engine, light []bool, wanted bool) map[int]float64 {
	out := map[int]float64{}
	share := hitShare
	for rank, i := range homesOf(r, engines, light, wanted) {
		if rank > 0 || !p.heldElsewhere(now, r, engines, i) {
			out[i] = share
		}
		share *= nextHome
	}
	return out
}

// heldElsewhere reports that this process has placed the request's shared
// parts lately, but not at their home: a home that is new has not read them.
func (p *Placer) heldElsewhere(now time.Duration, r PromptRequest, engines []Engine, home int) bool {
	part := lastShared(r.Parts)
	held := false
	for i := range engines {
		at, found := p.read[partAt{part: part, upstream: engines[i].ID}]
		if !found || now-at >= memoryLifetime {
			continue
		}
		if i == home {
			return false
		}
		held = true
	}
	return held
}

// cost predicts the time to the first token, and what the request will suffer from those beside it.
func (p *Placer) cost(r PromptRequest, e *Engine, unread float64) time.Duration {
	seconds := (e.Pending + readWeight*unread) / p.rate
	cost := time.Duration(seconds*float64(time.Second)) + e.Penalty
	cost += time.Duration(e.Running*max(1, r.Out)) * stepGrowth / 4
	if !e.Local {
		cost += remotePenalty
	}
	if e.Cold {
		cost += coldPenalty
	}
	return cost
}

// isLight reports a class whose prompts are short beside those of the pool.
func (p *Placer) isLight(class Class) bool {
	c := p.classes[class]
	if c == nil || len(p.classes) < 2 {
		return false
	}
	total, work := 0.0, 0.0
	for _, other := range p.classes {
		total += other.work * other.prompt
		work += other.work
	}
	return work > 0 && c.prompt < lightPart*total/work
}

// Work returns the work of the light classes and of all, in tokens a second.
func (p *Placer) Work(now time.Duration) (light, total float64) {
	for name, c := range p.classes {
		c.decay(now)
		total += c.work
		if p.isLight(name) {
			light += c.work
		}
	}
	return light, total
}

// Agree takes the part of the work that the light classes have over all
// processes, in place of what this one sees.
func (p *Placer) Agree(lightPart float64) {
	p.agreed = lightPart
}

// lightGroup returns which engines the light classes have to themselves, or
// nil if there is no use in keeping classes apart.
func (p *Placer) lightGroup(now time.Duration, engines []Engine) []bool {
	light, total := p.Work(now)
	settled := settledEngines(engines)
	n := len(settled)
	if n < 2 || light == 0 || light == total {
		return nil
	}
	exact := light / total * float64(n)
	switch {
	case p.agreed > 0:
		exact = p.agreed * float64(n)
	case now-p.begun < knownAfter:
		exact = initialLight * float64(n)
	}
	if math.Abs(exact-p.lightSize) > max(lightSlack, lightSlackPart*float64(n)) {
		p.lightSize = math.Round(exact)
	}
	size := min(n-1, max(1, int(p.lightSize), leastLight(engines, n)))
	group := make([]bool, len(engines))
	chosen := 0
	for _, i := range spreadOrder(engines) {
		if chosen < size && settled[i] {
			group[i] = true
			chosen++
		}
	}
	return group
}

// leastLight is the number of engines that light classes keep in any case: one
// in each failure domain while there are several for each.
func leastLight(engines []Engine, settled int) int {
	domains := map[registrar.FailureDomain]bool{}
	for i := range engines {
		domains[engines[i].Domain] = true
	}
	if settled < enginesPerDomain*len(domains) {
		return 1
	}
	return len(domains)
}

// spreadOrder orders engines so that each beginning of the list holds equally
// many of each failure domain, the oldest first, so that a new engine pushes
// none out. The order is the same for all processes.
func spreadOrder(engines []Engine) []int {
	hashes := make([]uint64, len(engines))
	order := make([]int, len(engines))
	for i := range engines {
		hashes[i] = xxhash.Sum64String(string(engines[i].ID))
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		first, second := &engines[order[a]], &engines[order[b]]
		if first.Incarnation != second.Incarnation {
			return first.Incarnation < second.Incarnation
		}
		return hashes[order[a]] < hashes[order[b]]
	})
	rank := make([]int, len(engines))
	count := map[registrar.FailureDomain]int{}
	for _, i := range order {
		rank[i] = count[engines[i].Domain]
		count[engines[i].Domain]++
	}
	sort.SliceStable(order, func(a, b int) bool { return rank[order[a]] < rank[order[b]] })
	return order
}

// homesOf returns the positions of the engines in the request's group with the
// highest hashes of its last shared part, the highest first; none if it shares none.
func homesOf(r PromptRequest, engines []Engine, light []bool, wanted bool) []int {
	if len(r.Parts) < 2 {
		return nil
	}
	part := string(lastShared(r.Parts))
	settled := settledAge(engines)
	var (
		found  []int
		hashes []uint64
	)
	for i := range engines {
		if light != nil && light[i] != wanted || engines[i].Age < settled {
			continue
		}
		h := xxhash.Sum64String(part + "\x00" + string(engines[i].ID))
		at := sort.Search(len(hashes), func(k int) bool { return hashes[k] < h })
		if at >= homes {
			continue
		}
		found = slices.Insert(found, at, i)
		hashes = slices.Insert(hashes, at, h)
		if len(found) > homes {
			found, hashes = found[:homes], hashes[:homes]
		}
	}
	return found
}

// settledAge returns the age from which an engine is a home. One that is new
// beside the others would take parts away that they have read, and may soon be
// gone again.
func settledAge(engines []Engine) time.Duration {
	ages := make([]time.Duration, len(engines))
	for i := range engines {
		ages[i] = engines[i].Age
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	return min(longestSettling, ages[len(ages)/2]/2)
}

// settledEngines returns the positions of the engines that are settled.
func settledEngines(engines []Engine) map[int]bool {
	age := settledAge(engines)
	out := make(map[int]bool, len(engines))
	for i := range engines {
		if engines[i].Age >= age {
			out[i] = true
		}
	}
	return out
}

// lastShared returns the last part that other requests share.
func lastShared(parts []Part) PrefixID {
	if len(parts) == 0 {
		return ""
	}
	return parts[max(0, len(parts)-2)].ID
}

// own returns the tokens of a prompt that no other request shares.
func own(parts []Part, in int) int {
	shared := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		shared += part.Tokens
	}
	return max(0, in-shared)
}
