package picker

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// RequestArrived learns what a class asks for from a request that arrives.
func (p *Placer) RequestArrived(now time.Duration, r PromptRequest) {
	c := p.classes[r.Class]
	if c == nil {
		c = &classWork{prompt: float64(r.PromptTokens), updated: now}
		p.classes[r.Class] = c
	}
	c.decay(now)
	c.seen = min(c.seen+1, meanOver)
	c.prompt += (float64(r.PromptTokens) - c.prompt) / c.seen
	c.limit += time.Duration(float64(r.TimeLimit-c.limit) / c.seen)
	if p.begun == 0 {
		p.begun = now
	}
	// What engines read again because others came or went is no lasting load.
	p.reading = p.readingNow(now) + missFactor*float64(own(r.Parts, r.PromptTokens))/loadMemory.Seconds()
	p.readingAt = now
	c.work += (float64(own(r.Parts, r.PromptTokens)) + outputWeight*float64(r.MaxOutputTokens)) / workMemory.Seconds()
}

func (c *classWork) decay(now time.Duration) {
	c.work *= math.Exp(-float64(now-c.updated) / float64(workMemory))
	c.updated = now
}

// ObserveFirstToken learns the read rate from the time to the first token of a request
// that found nothing of this process's before it.
func (p *Placer) ObserveFirstToken(tokens int, took time.Duration) {
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

func (p *Placer) readingNow(now time.Duration) float64 {
	return p.reading * math.Exp(-float64(now-p.readingAt)/float64(loadMemory))
}

// BusyEngines returns how many engines reading alone would keep busy all the time.
func (p *Placer) BusyEngines(now time.Duration) float64 {
	if p.begun == 0 {
		return 0
	}
	// Soon after the first request the memory is not filled yet.
	filled := 1 - math.Exp(-float64(max(shortestLoad, now-p.begun))/float64(loadMemory))
	return p.readingNow(now) / p.rate / filled
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

// SetLightShare takes the part of the work that the light classes have over all
// processes, in place of what this one sees.
func (p *Placer) SetLightShare(lightPart float64) {
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
