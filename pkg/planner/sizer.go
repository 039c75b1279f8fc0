package planner

import (
	"math"
	"sort"
	"time"
)

const (
	// A sized pool should have upstreamsPerBusy times as many upstreams as its load keeps busy, and
	// spareFactor times the square root of that number in addition: random fluctuations grow with
	// the root of the load, bursts with the load. Both are large because preemptible upstreams
	// cost less than late responses, bursts grow faster than upstreams start, and the preemptible
	// upstreams of a failure domain may be reclaimed all at once.
	upstreamsPerBusy = 3.1
	spareFactor      = 1.9
	// sizerOnDemandShare is the share of a pool's target size that should be on-demand, and
	// minOnDemand the least number of on-demand upstreams, so that no class of work depends on
	// preemptible upstreams alone. They are spread over the domains.
	sizerOnDemandShare = 0.15
	minOnDemand        = 2
	// fallbackShare limits the on-demand upstreams that replace unavailable preemptible ones:
	// they are added only until the pool has this share of its target size.
	fallbackShare = 0.6
	// initialSizeFactor is multiplied by the current number of upstreams to get a pool's first
	// target size, while the load is not known yet. If the lease holder is lost before the first burst,
	// nobody orders others for 8 s.
	initialSizeFactor = 1.35
	// shrinkRatio is the ratio of the needed number of upstreams to the target size above which a
	// pool does not shrink, since a stopped upstream loses its cache.
	shrinkRatio = 0.8
	// shrinkDelay is how long fewer upstreams must have been needed before any is stopped.
	shrinkDelay = 20 * time.Second
	// refusalBackoff is the time for which no preemptible upstreams are ordered in a failure
	// domain after the platform refused an order there.
	refusalBackoff = 5 * time.Second
	// minOrderInterval is the least time between two orders for the same domain and capacity
	// type.
	minOrderInterval = 2 * time.Second
	// reorderDelay is the time for which ordered upstreams may be missing before the same
	// number is ordered again.
	reorderDelay = 7 * time.Second
	// minRemainingShare is used to detect reclaimed upstreams. If all of a domain's ordered
	// preemptible upstreams have served and fewer than this share still do, the platform is
	// assumed to have reclaimed the others, and the same number is ordered again without waiting
	// for reorderDelay.
	minRemainingShare = 0.5
	// fallbackHoldTime is how long on-demand upstreams in place of preemptible ones are kept after
	// they were last needed.
	fallbackHoldTime = 6 * time.Second
)

type (
	// SizedPool is the observation of a pool for which the platform takes numbers of upstreams.
	SizedPool struct {
		Name PoolName
		// Busy is the number of upstreams that the current work would keep fully busy.
		Busy float64
		// Limited is the number of upstreams that take only few requests a second. They are not
		// counted on.
		Limited int
		// Maximum bounds the number of upstreams in each domain, on-demand and preemptible
		// together. Minimum, or 1 if it is less, times the number of domains is the least target
		// size of the pool.
		Minimum, Maximum int
		// Prices holds the price of an on-demand upstream by domain. The unit is arbitrary, since
		// only the order of the prices matters. The keys are the domains that can be used.
		Prices map[FailureDomain]float64
		// OnDemand and Preemptible are the numbers of upstreams that serve now, by domain.
		OnDemand, Preemptible map[FailureDomain]int
		// evacuated are the domains that Evacuate has taken out.
		evacuated map[FailureDomain]bool
	}

	// CountOrder sets the number of upstreams of one capacity type in one domain of a pool. It
	// replaces earlier orders for these and is idempotent.
	CountOrder struct {
		Pool          PoolName
		FailureDomain FailureDomain
		Preemptible   bool
		Count         int
	}

	// Sizer decides on the numbers of upstreams, for platforms that take numbers instead of
	// orders for single upstreams.
	//
	// A pool grows as soon as it needs more upstreams, and has enough spare capacity for a load
	// that doubles within seconds. It shrinks only after fewer upstreams have been needed for a
	// while, so that a short drop of the load changes nothing. When preemptible upstreams of a
	// domain are unavailable, upstreams are added in other domains, on-demand ones if necessary.
	// When the domain has upstreams again, preemptible ones added in other domains are kept until
	// the pool shrinks, since they have cached the prompts in use; the additional on-demand ones
	// are stopped after fallbackHoldTime.
	//
	// A Sizer is not safe for concurrent use.
	Sizer struct {
		pools map[PoolName]*sizedPoolState
	}

	sizedPoolState struct {
		// targetSize is the number of upstreams that the pool should have.
		targetSize int
		// peakNeeded is the largest number of upstreams needed since peakSince.
		peakNeeded int
		peakSince  time.Duration
		// onDemand and preemptible are the planned numbers of upstreams by domain.
		onDemand    map[FailureDomain]int
		preemptible map[FailureDomain]int
		// fallback is the number of further on-demand upstreams by domain, which replace
		// preemptible ones that are unavailable.
		fallback      map[FailureDomain]int
		fallbackUntil time.Duration
		ordered       map[orderKey]sentOrder
		// unavailableUntil is the time until which a domain is assumed to have no preemptible
		// upstreams available.
		unavailableUntil map[FailureDomain]time.Duration
		// evacuated are the domains that were evacuated at the latest observation.
		evacuated map[FailureDomain]bool
		// rebalanceAt is when the upstreams are distributed anew since a domain has come back, zero
		// for never.
		rebalanceAt time.Duration
	}

	orderKey struct {
		domain      FailureDomain
		preemptible bool
	}

	sentOrder struct {
		count  int
		sentAt time.Duration
		// metAt is when at least count upstreams last served, or when the order was sent if that
		// is later.
		metAt time.Duration
		// met reports that at least count upstreams have served since the order.
		met bool
	}
)

// NewSizer returns a sizer without any observations.
func NewSizer() *Sizer {
	return &Sizer{pools: map[PoolName]*sizedPoolState{}}
}

// Step takes an observation of a pool and returns the resulting orders. now is the time on a
// monotonic clock. Call RecordRefusal for each order that is not accepted.
func (z *Sizer) Step(now time.Duration, p SizedPool) []CountOrder {
	s := z.state(p.Name)
	rebalance := s.updateEvacuated(now, p)
	if len(p.Prices) == 0 && len(p.evacuated) > 0 {
		return nil
	}
	if s.updateTargetSize(now, p) || rebalance {
		s.distribute(p)
	}
	s.grow(now, p)
	var orders []CountOrder
	for _, d := range domainsByPrice(p) {
		available := now >= s.unavailableUntil[d]
		if available {
			// The platform starts no more than the domain's maximum has space for beside the on-demand
			// upstreams, and does not start the others later by itself.
			count := min(s.preemptible[d], max(p.Preemptible[d], p.Maximum-p.OnDemand[d]))
			orders = s.appendOrder(now, orders, p.Name, orderKey{domain: d, preemptible: true}, count, p.Preemptible[d])
		}
		onDemand := s.onDemand[d] + s.fallback[d]
		if available && onDemand < p.OnDemand[d] {
			// A surplus on-demand upstream is kept for each planned preemptible one that does not serve yet.
			onDemand = min(p.OnDemand[d], onDemand+max(0, s.preemptible[d]-p.Preemptible[d]))
		}
		orders = s.appendOrder(now, orders, p.Name, orderKey{domain: d}, onDemand, p.OnDemand[d])
	}
	return orders
}

// RecordRefusal records that an order was refused or could not be sent, so that a later Step may return
// it again. If it was for preemptible upstreams, the domain is assumed to have none available for
// refusalBackoff.
func (z *Sizer) RecordRefusal(now time.Duration, o CountOrder) {
	s := z.state(o.Pool)
	if o.Preemptible {
		s.unavailableUntil[o.FailureDomain] = now + refusalBackoff
	}
	delete(s.ordered, orderKey{domain: o.FailureDomain, preemptible: o.Preemptible})
}

// state returns the state of a pool and creates it if necessary.
func (z *Sizer) state(name PoolName) *sizedPoolState {
	s := z.pools[name]
	if s == nil {
		s = &sizedPoolState{ordered: map[orderKey]sentOrder{}, unavailableUntil: map[FailureDomain]time.Duration{}}
		z.pools[name] = s
	}
	return s
}

// updateTargetSize updates the target size and reports whether to distribute the upstreams anew:
// at the first observation, and when fewer upstreams have been needed for shrinkDelay.
func (s *sizedPoolState) updateTargetSize(now time.Duration, p SizedPool) bool {
	needed := max(minOnDemand, len(p.Prices)*max(1, p.Minimum), sizeFor(p.Busy))
	needed = min(needed+p.Limited, len(p.Prices)*p.Maximum)
	if s.onDemand == nil {
		s.targetSize = min(max(initialSize(p), needed), len(p.Prices)*p.Maximum)
		s.peakSince = now
		return true
	}
	s.targetSize = max(s.targetSize, needed)
	s.peakNeeded = max(s.peakNeeded, needed)
	if float64(s.peakNeeded) > shrinkRatio*float64(s.targetSize) {
		s.peakNeeded = 0
		s.peakSince = now
		return false
	}
	if now-s.peakSince < shrinkDelay {
		return false
	}
	s.targetSize = s.peakNeeded
	s.peakNeeded = 0
	s.peakSince = now
	return true
}

// sizeFor returns the number of upstreams for a load that keeps busy of them busy all the time.
func sizeFor(busy float64) int {
	return int(math.Ceil(upstreamsPerBusy*busy + spareFactor*math.Sqrt(busy)))
}

// initialSize returns the target size at the first observation, when the load is not known. The process that
// chose the current number of upstreams knew it, and has added spare ones if any is preemptible.
func initialSize(p SizedPool) int {
	current, preemptible := 0, 0
	for d := range p.Prices {
		current += p.OnDemand[d] + p.Preemptible[d]
		preemptible += p.Preemptible[d]
	}
	if preemptible > 0 {
		return current
	}
	return int(math.Ceil(initialSizeFactor * float64(current)))
}

// distribute spreads the target size evenly over the domains, starting with the cheapest one.
func (s *sizedPoolState) distribute(p SizedPool) {
	domains := domainsByPrice(p)
	s.onDemand = map[FailureDomain]int{}
	s.preemptible = map[FailureDomain]int{}
	onDemandTotal := min(s.targetSize, max(minOnDemand, int(math.Ceil(sizerOnDemandShare*float64(s.targetSize)))))
	noExisting := map[FailureDomain]int{}
	unplaced := spreadEvenly(onDemandTotal, domains, noExisting, s.onDemand, func(FailureDomain) int { return p.Maximum })
	spreadEvenly(s.targetSize-onDemandTotal+unplaced, domains, s.onDemand, s.preemptible, func(d FailureDomain) int {
		return p.Maximum - s.onDemand[d]
	})
}

// grow adds upstreams until the target size can be reached. Upstreams that cannot be obtained
// because no preemptible ones are available in a domain are added in other domains. If these are
// at their maximum, on-demand upstreams are added instead, see fallbackShare.
func (s *sizedPoolState) grow(now time.Duration, p SizedPool) {
	domains := domainsByPrice(p)
	available := func(d FailureDomain) bool { return now >= s.unavailableUntil[d] }
	obtainable := 0
	for _, d := range domains {
		obtainable += s.onDemand[d]
		if available(d) {
			obtainable += s.preemptible[d]
		} else {
			obtainable += min(s.preemptible[d], p.Preemptible[d])
		}
	}
	unplaced := spreadEvenly(s.targetSize-obtainable, domains, s.onDemand, s.preemptible, func(d FailureDomain) int {
		if !available(d) {
			return 0
		}
		return p.Maximum - s.onDemand[d]
	})
	fallbackSize := int(math.Ceil(fallbackShare * float64(s.targetSize)))
	fallbackCount := min(unplaced, fallbackSize-(s.targetSize-unplaced))
	if fallbackCount <= 0 && now < s.fallbackUntil {
		return
	}
	s.fallback = map[FailureDomain]int{}
	if fallbackCount <= 0 {
		return
	}
	s.fallbackUntil = now + fallbackHoldTime
	spreadEvenly(fallbackCount, domains, s.onDemand, s.fallback, func(d FailureDomain) int {
		if available(d) {
			return p.Maximum - s.preemptible[d] - s.onDemand[d]
		}
		return p.Maximum - min(s.preemptible[d], p.Preemptible[d]) - s.onDemand[d]
	})
}

// spreadEvenly adds count upstreams to the map counts one by one, each in the domain with the
// smallest sum of counts and existing among the domains whose number in counts is below the limit.
// It returns how many could not be added.
func spreadEvenly(
	count int, domains []FailureDomain, existing, counts map[FailureDomain]int, limit func(FailureDomain) int,
) int {
	for ; count > 0; count-- {
		best, found := FailureDomain(""), false
		for _, d := range domains {
			if counts[d] < limit(d) && (!found || counts[d]+existing[d] < counts[best]+existing[best]) {
				best, found = d, true
			}
		}
		if !found {
			return count
		}
		counts[best]++
	}
	return 0
}

// appendOrder appends an order if count differs from the number ordered last, or if upstreams have
// been missing for reorderDelay or were reclaimed, but not within minOrderInterval of the last
// order.
func (s *sizedPoolState) appendOrder(
	now time.Duration, orders []CountOrder, name PoolName, key orderKey, count, serving int,
) []CountOrder {
	last, found := s.ordered[key]
	if found && serving >= last.count {
		last.metAt = now
		last.met = true
		s.ordered[key] = last
	}
	same := found && last.count == count
	if same && key.preemptible && last.met && float64(serving) < minRemainingShare*float64(count) {
		// The upstreams were reclaimed. The reply to a new order shows whether others are
		// available.
		same = false
	}
	if found && now-last.sentAt < minOrderInterval || same && now-max(last.metAt, last.sentAt) < reorderDelay {
		return orders
	}
	if same && serving >= count {
		return orders
	}
	s.ordered[key] = sentOrder{count: count, sentAt: now, metAt: now, met: serving >= count}
	return append(orders, CountOrder{
		Pool: name, FailureDomain: key.domain, Preemptible: key.preemptible, Count: count,
	})
}

// domainsByPrice returns the domains that can be used, the cheapest first.
func domainsByPrice(p SizedPool) []FailureDomain {
	out := make([]FailureDomain, 0, len(p.Prices))
	for d := range p.Prices {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool {
		if p.Prices[out[i]] != p.Prices[out[j]] {
			return p.Prices[out[i]] < p.Prices[out[j]]
		}
		return out[i] < out[j]
	})
	return out
}
