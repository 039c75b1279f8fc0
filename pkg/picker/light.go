package picker

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/profiler"
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
	c.meanOutput += (float64(r.MaxOutputTokens) - c.meanOutput) / c.samples
	if r.PauseTarget > 0 {
		c.pauseTarget = r.PauseTarget
	}
	c.meanTimeLimit += time.Duration(float64(r.TimeLimit-c.meanTimeLimit) / c.samples)
	if p.firstArrival == 0 {
		p.firstArrival = now
	}
	// The miss factor is constant rather than measured: prompts that are computed again after an
	// engine has started or stopped are only a temporary load.
	p.prefillLoad = p.currentPrefillLoad(now) + cacheMissFactor*float64(ownTokens(r.Parts, r.PromptTokens))/loadTimeConstant.Seconds()
	p.prefillLoadAt = now
	c.workRate += (float64(ownTokens(r.Parts, r.PromptTokens)) + outputTokenWork*float64(r.MaxOutputTokens)) / workTimeConstant.Seconds()
}

// decay decays the work rate by the time since the last update.
func (c *classStats) decay(now time.Duration) {
	c.workRate *= math.Exp(-float64(now-c.updatedAt) / float64(workTimeConstant))
	c.updatedAt = now
}

// ObserveFirstToken updates the prefill rate with the time to the first token of a request with
// the given number of uncached prompt tokens. Call it only if no other prompt of this process was
// pending at the engine.
func (p *Placer) ObserveFirstToken(uncached int, took time.Duration) {
	took -= firstTokenOverhead
	if uncached < minObservedTokens || took <= 0 {
		return
	}
	observed := float64(uncached) / took.Seconds()
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

// BusyEngines returns the number of engines that prefills alone would keep fully busy.
func (p *Placer) BusyEngines(now time.Duration) float64 {
	if p.firstArrival == 0 {
		return 0
	}
	// Corrects the bias of the average, which starts at zero, soon after the first request.
	biasCorrection := 1 - math.Exp(-float64(max(minLoadPeriod, now-p.firstArrival))/float64(loadTimeConstant))
	return p.currentPrefillLoad(now) / p.prefillRate / biasCorrection
}

// isLight reports whether a class has short prompts, compared with the pool's mean and with the
// shortest pause that any class allows. The class that allows it needs only the former.
func (p *Placer) isLight(class Class) bool {
	c := p.classes[class]
	if c == nil || len(p.classes) < 2 {
		return false
	}
	if c.meanPrompt >= lightPromptRatio*p.meanPrompt() {
		return false
	}
	shortest := p.shortestPause()
	prefill := c.meanPrompt / p.prefillRate
	return shortest == 0 || c.pauseTarget == shortest || prefill <= maxPauseShare*shortest.Seconds()
}

// shortestPause returns the shortest pause target of any class, zero if there is none.
func (p *Placer) shortestPause() time.Duration {
	var shortest time.Duration
	for _, c := range p.classes {
		if c.pauseTarget > 0 && (shortest == 0 || c.pauseTarget < shortest) {
			shortest = c.pauseTarget
		}
	}
	return shortest
}

// meanPrompt returns the mean prompt length of all classes in tokens, weighted by their work, or
// zero if there is no work.
func (p *Placer) meanPrompt() float64 {
	weighted, totalWork := 0.0, 0.0
	for _, c := range p.classes {
		weighted += c.workRate * c.meanPrompt
		totalWork += c.workRate
	}
	if totalWork == 0 {
		return 0
	}
	return weighted / totalWork
}

// Work returns the rates of work of the light classes and of all classes in tokens per second, as
// exponential averages over workTimeConstant. The work of a request is its own prompt tokens, those
// not shared with other requests, plus outputTokenWork for each token of MaxOutputTokens.
func (p *Placer) Work(now time.Duration) (light, total float64) {
	for name, c := range p.classes {
		c.decay(now)
		total += c.workRate
		if p.isLight(name) {
			light += c.workRate
		}
	}
	return light, total
}

// SetLightShare sets the light classes' share of the work of all processes, from 0 to 1. It is
// used instead of the share that this process measures, unless it is zero. A process that has
// measured only work of light classes, or none of them, has no light group whatever the share.
func (p *Placer) SetLightShare(share float64) {
	p.lightShare = share
}

// lightGroup reports for each engine whether it is reserved for light classes. It returns nil
// if separating the classes has no use: if there are fewer than two settled engines, or if all or
// none of the work that this process has measured is of light classes.
func (p *Placer) lightGroup(now time.Duration, engines []Engine) []bool {
	light, total := p.Work(now)
	settled := settledEngines(engines)
	n := len(settled)
	if n < 2 || light == 0 || light == total {
		return nil
	}
	wantedSize := light / total * float64(n)
	switch {
	case p.lightShare > 0:
		wantedSize = p.lightShare * float64(n)
	case now-p.firstArrival < workKnownAfter:
		wantedSize = initialLightShare * float64(n)
	}
	order := interleaveDomains(engines)
	wantedSize = max(wantedSize, lightSlotsSize(engines, order, settled, p.boundedLightSize(engines, n)))
	if math.Abs(wantedSize-p.lightGroupSize) > max(minLightGroupDeviation, lightGroupDeviationShare*float64(n)) {
		p.lightGroupSize = math.Round(wantedSize)
	}
	return p.chooseLightEngines(engines, order, settled)
}

// chooseLightEngines returns the first settled engines whose speeds together come closest to that of a
// light group of the bounded size at the mean speed.
func (p *Placer) chooseLightEngines(engines []Engine, order []int, settled map[int]bool) []bool {
	n := len(settled)
	wanted := float64(p.boundedLightSize(engines, n)) * meanSpeed(engines, settled)
	least := min(n-1, minLightEngines(engines, n))
	group := make([]bool, len(engines))
	chosen, speed := 0, 0.0
	for _, i := range order {
		if !settled[i] {
			continue
		}
		own := profiler.Relative(engines[i].Speed)
		if chosen >= n-1 || chosen >= least && speed+own/2 > wanted {
			break
		}
		group[i] = true
		chosen++
		speed += own
	}
	return group
}

// boundedLightSize returns the number of engines in the light group out of the given number of
// settled ones.
func (p *Placer) boundedLightSize(engines []Engine, settled int) int {
	return min(settled-1, max(1, int(p.lightGroupSize), minLightEngines(engines, settled)))
}

// lightSlotsSize returns the number of engines whose slots, up to maxSlotUtilization, hold the
// requests that are in flight at a light group of the given size; zero if slots are not known.
func lightSlotsSize(engines []Engine, order []int, settled map[int]bool, groupSize int) float64 {
	size, counted := 0.0, 0
	for _, i := range order {
		if !settled[i] {
			continue
		}
		if counted >= groupSize {
			break
		}
		counted++
		if engines[i].Slots > 0 {
			size += float64(engines[i].Requests) / (maxSlotUtilization * float64(engines[i].Slots))
		}
	}
	return size
}

// minLightEngines returns the least size of the light group: one engine per failure domain if
// there are at least enginesPerDomainForLight settled engines per domain on average, otherwise
// one engine.
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

// interleaveDomains returns the indices of the engines in an order in which the first n engines
// are spread evenly over the failure domains, for any n. Within a domain the engines of the
// earliest incarnations come first, so that a new engine displaces none. The order is the same in
// all processes.
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
