package picker

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// RequestArrived updates the statistics of a class and the prefill load with a new request.
// Call it once per request, not for its further attempts.
func (p *Placer) RequestArrived(now time.Duration, r PromptRequest) {
	c := p.classes[r.Class]
	if c == nil {
		c = &classStats{meanPrompt: float64(r.PromptTokens), updatedAt: now}
		p.classes[r.Class] = c
	}
	c.decay(now)
	c.samples = min(c.samples+1, meanSamples)
	c.meanPrompt += (float64(r.PromptTokens) - c.meanPrompt) / c.samples
	c.meanTimeLimit += time.Duration(float64(r.TimeLimit-c.meanTimeLimit) / c.samples)
	if p.firstArrival == 0 {
		p.firstArrival = now
	}
	// The miss factor is constant: what engines process again because others started or stopped
	// is no lasting load.
	p.prefillLoad = p.currentPrefillLoad(now) + cacheMissFactor*float64(ownTokens(r.Parts, r.PromptTokens))/loadTimeConstant.Seconds()
	p.prefillLoadAt = now
	c.work += (float64(ownTokens(r.Parts, r.PromptTokens)) + outputTokenWork*float64(r.MaxOutputTokens)) / workTimeConstant.Seconds()
}

// decay applies the exponential decay since the last update to the work.
func (c *classStats) decay(now time.Duration) {
	c.work *= math.Exp(-float64(now-c.updatedAt) / float64(workTimeConstant))
	c.updatedAt = now
}

// ObserveFirstToken updates the prefill rate with the time to the first token of a request that
// was expected to have tokens prompt tokens processed and found no other prompt of this process
// pending at its engine.
func (p *Placer) ObserveFirstToken(tokens int, took time.Duration) {
	took -= firstTokenOverhead
	if tokens < minMeasuredTokens || took <= 0 {
		return
	}
	observed := float64(tokens) / took.Seconds()
	if observed > p.prefillRate {
		p.prefillRate *= rateIncrease
	} else {
		p.prefillRate *= rateDecrease
	}
}

// currentPrefillLoad returns the prefill load decayed to now.
func (p *Placer) currentPrefillLoad(now time.Duration) float64 {
	return p.prefillLoad * math.Exp(-float64(now-p.prefillLoadAt)/float64(loadTimeConstant))
}

// BusyEngines returns the number of engines that processing prompts alone would keep fully
// busy.
func (p *Placer) BusyEngines(now time.Duration) float64 {
	if p.firstArrival == 0 {
		return 0
	}
	// The average starts at zero; filled corrects it soon after the first request.
	filled := 1 - math.Exp(-float64(max(minLoadPeriod, now-p.firstArrival))/float64(loadTimeConstant))
	return p.currentPrefillLoad(now) / p.prefillRate / filled
}

// isLight reports whether a class has short prompts compared with the whole pool.
func (p *Placer) isLight(class Class) bool {
	c := p.classes[class]
	if c == nil || len(p.classes) < 2 {
		return false
	}
	total, work := 0.0, 0.0
	for _, other := range p.classes {
		total += other.work * other.meanPrompt
		work += other.work
	}
	return work > 0 && c.meanPrompt < lightPromptRatio*total/work
}

// Work returns the work of the light classes and of all classes, averaged over recent requests,
// in tokens per second. An output token counts as several prompt tokens.
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

// SetLightShare sets the share of the work of all processes that is of light classes, from 0 to
// 1. It replaces the share that this process sees; zero restores that.
func (p *Placer) SetLightShare(share float64) {
	p.lightShare = share
}

// lightGroup reports for each engine whether it is reserved for light classes. It returns nil
// if there is no use in separating classes.
func (p *Placer) lightGroup(now time.Duration, engines []Engine) []bool {
	light, total := p.Work(now)
	settled := settledEngines(engines)
	n := len(settled)
	if n < 2 || light == 0 || light == total {
		return nil
	}
	exact := light / total * float64(n)
	switch {
	case p.lightShare > 0:
		exact = p.lightShare * float64(n)
	case now-p.firstArrival < workKnownAfter:
		exact = initialLightShare * float64(n)
	}
	if math.Abs(exact-p.lightEngines) > max(minLightGroupDeviation, lightGroupDeviationShare*float64(n)) {
		p.lightEngines = math.Round(exact)
	}
	size := min(n-1, max(1, int(p.lightEngines), minLightEngines(engines, n)))
	group := make([]bool, len(engines))
	chosen := 0
	for _, i := range interleaveDomains(engines) {
		if chosen < size && settled[i] {
			group[i] = true
			chosen++
		}
	}
	return group
}

// minLightEngines returns the least size of the light group: one engine, or one in each failure
// domain if there are enough engines for each domain.
func minLightEngines(engines []Engine, settled int) int {
	domains := map[registrar.FailureDomain]bool{}
	for i := range engines {
		domains[engines[i].Domain] = true
	}
	if settled < enginesPerDomainForLight*len(domains) {
		return 1
	}
	return len(domains)
}

// interleaveDomains returns the indices of the engines ordered so that any number of them taken
// from the front is spread evenly over the failure domains. Within a domain the oldest engines
// come first, so that a new one displaces none. The order is the same in all processes.
func interleaveDomains(engines []Engine) []int {
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
