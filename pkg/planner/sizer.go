package planner

import (
	"math"
	"sort"
	"time"
)

const (
	// sizerUtilization is the share of the time that the upstreams of a sized pool are busy.
	// It is low because preemptible upstreams cost less than late answers, bursts grow faster
	// than upstreams start, and the preemptible upstreams of a failure domain may be taken away
	// all at once.
	sizerUtilization = 0.25
	// sizerOnDemandShare is the share of the needed upstreams that are on-demand, and
	// minOnDemand their least number, spread over domains, so that no class depends on
	// preemptible upstreams alone.
	sizerOnDemandShare = 0.15
	minOnDemand        = 2
	// fallbackShare is the share of the needed upstreams up to which on-demand upstreams
	// replace preemptible ones that are unavailable.
	fallbackShare = 0.6
	// initialReserve is the factor by which the present number of upstreams is increased while
	// the load is not known yet.
	initialReserve = 1.35
	// shrinkRatio is the ratio of the sufficient to the planned number of upstreams above which
	// a pool does not shrink, since a stopped upstream loses its cache.
	shrinkRatio = 0.8
	// shrinkDelay is how long fewer upstreams must have been sufficient before any is stopped.
	shrinkDelay = 20 * time.Second
	// refusalBackoff is the time after a refusal for which no preemptible upstreams are ordered
	// in the failure domain.
	refusalBackoff = 5 * time.Second
	// minOrderInterval is the least time between two orders for the same kind and domain.
	minOrderInterval = 2 * time.Second
	// reorderDelay is the time for which ordered upstreams may be missing before the same
	// number is ordered again.
	reorderDelay = 7 * time.Second
	// lossShare is the share of a domain's ordered preemptible upstreams below which the missing
	// ones were taken away, if all of them had served. They are then ordered again without
	// waiting for reorderDelay.
	lossShare = 0.5
	// fallbackHold is how long on-demand upstreams in place of preemptible ones are kept after
	// they were last needed.
	fallbackHold = 6 * time.Second
)

type (
	// SizedPool is the observation of a pool whose upstreams are ordered by number.
	SizedPool struct {
		Name PoolName
		// Busy is the number of upstreams that the work would keep fully busy.
		Busy float64
		// Minimum and Maximum bound the number of upstreams of both kinds together in each
		// domain.
		Minimum, Maximum int
		// Prices are the prices of an on-demand upstream by domain, in any unit. Its keys are
		// the domains that can be used.
		Prices map[FailureDomain]float64
		// OnDemand and Preemptible are the numbers of upstreams that serve now, by domain.
		OnDemand, Preemptible map[FailureDomain]int
	}

	// CountOrder sets the number of upstreams of one kind in one domain. It replaces earlier
	// orders for them and may be sent again without harm.
	CountOrder struct {
		Pool          PoolName
		FailureDomain FailureDomain
		Preemptible   bool
		Count         int
	}

	// Sizer decides on the numbers of upstreams, for platforms that take numbers instead of
	// orders for single upstreams.
	//
	// A pool grows as soon as it needs more upstreams and has room for a load that doubles
	// within seconds. It shrinks only after fewer upstreams have been sufficient for a while,
	// so a short drop of the load changes nothing. When the preemptible upstreams of a domain
	// are taken away, their number is made up in other domains, by on-demand upstreams if
	// necessary. The pool does not shrink elsewhere when the domain has upstreams again, since
	// those that would go have the prompts in demand cached.
	//
	// A Sizer is not safe for concurrent use.
	Sizer struct {
		pools map[PoolName]*sizedPoolState
	}

	sizedPoolState struct {
		// needed is the number of upstreams that the pool is to have.
		needed int
		// peak is the largest number of upstreams needed since peakSince.
		peak      int
		peakSince time.Duration
		// onDemand, without fallback, and preemptible are the planned numbers by domain.
		onDemand    map[FailureDomain]int
		preemptible map[FailureDomain]int
		// fallback are the on-demand upstreams in place of preemptible ones that are
		// unavailable.
		fallback      map[FailureDomain]int
		fallbackUntil time.Duration
		ordered       map[orderKey]sentOrder
		// unavailable is until when a domain is taken to have no preemptible upstreams.
		unavailable map[FailureDomain]time.Duration
	}

	orderKey struct {
		domain      FailureDomain
		preemptible bool
	}

	sentOrder struct {
		count  int
		sentAt time.Duration
		// metAt is when at least count upstreams served last.
		metAt time.Duration
		// met reports that at least count upstreams have served since the order.
		met bool
	}
)

// NewSizer returns a sizer without any observations.
func NewSizer() *Sizer {
	return &Sizer{pools: map[PoolName]*sizedPoolState{}}
}

// Step takes an observation of a pool and returns the orders that it calls for. now is the time
// on a monotonic clock. Call Refused for each order that is not accepted.
func (z *Sizer) Step(now time.Duration, p SizedPool) []CountOrder {
	s := z.state(p.Name)
	if s.updateNeeded(now, p) {
		s.distribute(p)
	}
	s.grow(now, p)
	var orders []CountOrder
	for _, d := range domainsByPrice(p) {
		key := orderKey{domain: d, preemptible: true}
		if now >= s.unavailable[d] {
			orders = s.appendOrder(now, orders, p.Name, key, s.preemptible[d], p.Preemptible[d])
		}
		if s.preemptible[d] > p.Preemptible[d] && s.onDemand[d]+s.fallback[d] < p.OnDemand[d] && now >= s.unavailable[d] {
			// Preemptible upstreams are still missing: keep the surplus on-demand ones until
			// those serve, except for the ones that take up their room.
			room := max(s.onDemand[d]+s.fallback[d], p.Maximum-s.preemptible[d])
			if room < p.OnDemand[d] {
				orders = s.appendOrder(now, orders, p.Name, orderKey{domain: d}, room, p.OnDemand[d])
			}
			continue
		}
		orders = s.appendOrder(now, orders, p.Name, orderKey{domain: d}, s.onDemand[d]+s.fallback[d], p.OnDemand[d])
	}
	return orders
}

// Refused records that an order was refused or could not be sent, so that it is due again. For
// preemptible upstreams the domain is taken to have none for the next 5 seconds.
func (z *Sizer) Refused(now time.Duration, o CountOrder) {
	s := z.state(o.Pool)
	if o.Preemptible {
		s.unavailable[o.FailureDomain] = now + refusalBackoff
	}
	delete(s.ordered, orderKey{domain: o.FailureDomain, preemptible: o.Preemptible})
}

// state returns the state of a pool, a new one if the pool is not known.
func (z *Sizer) state(name PoolName) *sizedPoolState {
	s := z.pools[name]
	if s == nil {
		s = &sizedPoolState{ordered: map[orderKey]sentOrder{}, unavailable: map[FailureDomain]time.Duration{}}
		z.pools[name] = s
	}
	return s
}

// updateNeeded updates the needed number of upstreams and reports whether to distribute them
// anew: at the first observation, and when fewer upstreams have been sufficient for
// shrinkDelay.
func (s *sizedPoolState) updateNeeded(now time.Duration, p SizedPool) bool {
	wanted := max(minOnDemand, len(p.Prices)*max(1, p.Minimum), int(math.Ceil(p.Busy/sizerUtilization)))
	wanted = min(wanted, len(p.Prices)*p.Maximum)
	if s.onDemand == nil {
		// The present number was chosen with knowledge of the load that is missing here.
		for _, d := range domainsByPrice(p) {
			s.needed += p.OnDemand[d] + p.Preemptible[d]
		}
		s.needed = max(int(math.Ceil(initialReserve*float64(s.needed))), wanted)
		s.peakSince = now
		return true
	}
	s.needed = max(s.needed, wanted)
	s.peak = max(s.peak, wanted)
	if float64(s.peak) > shrinkRatio*float64(s.needed) {
		s.peak = 0
		s.peakSince = now
		return false
	}
	if now-s.peakSince < shrinkDelay {
		return false
	}
	s.needed = s.peak
	s.peak = 0
	s.peakSince = now
	return true
}

// distribute spreads the needed upstreams evenly over the domains, the cheapest first.
func (s *sizedPoolState) distribute(p SizedPool) {
	domains := domainsByPrice(p)
	s.onDemand = map[FailureDomain]int{}
	s.preemptible = map[FailureDomain]int{}
	onDemandTotal := min(s.needed, max(minOnDemand, int(math.Ceil(sizerOnDemandShare*float64(s.needed)))))
	noOthers := map[FailureDomain]int{}
	missing := spreadEvenly(onDemandTotal, domains, noOthers, s.onDemand, func(FailureDomain) int { return p.Maximum })
	spreadEvenly(s.needed-onDemandTotal+missing, domains, s.onDemand, s.preemptible, func(d FailureDomain) int {
		return p.Maximum - s.onDemand[d]
	})
}

// grow adds upstreams until the needed number can be obtained. What domains without preemptible
// upstreams lack is added in the other domains, and if these are full, on-demand upstreams
// replace it up to fallbackShare.
func (s *sizedPoolState) grow(now time.Duration, p SizedPool) {
	domains := domainsByPrice(p)
	available := func(d FailureDomain) bool { return now >= s.unavailable[d] }
	have := 0
	for _, d := range domains {
		have += s.onDemand[d]
		if available(d) {
			have += s.preemptible[d]
		} else {
			have += min(s.preemptible[d], p.Preemptible[d])
		}
	}
	unplaced := spreadEvenly(s.needed-have, domains, s.onDemand, s.preemptible, func(d FailureDomain) int {
		if !available(d) {
			return 0
		}
		return p.Maximum - s.onDemand[d]
	})
	least := int(math.Ceil(fallbackShare * float64(s.needed)))
	missing := min(unplaced, least-(s.needed-unplaced))
	if missing <= 0 && now < s.fallbackUntil {
		return
	}
	s.fallback = map[FailureDomain]int{}
	if missing <= 0 {
		return
	}
	s.fallbackUntil = now + fallbackHold
	spreadEvenly(missing, domains, s.onDemand, s.fallback, func(d FailureDomain) int {
		if available(d) {
			return p.Maximum - s.preemptible[d] - s.onDemand[d]
		}
		return p.Maximum - min(s.preemptible[d], p.Preemptible[d]) - s.onDemand[d]
	})
}

// spreadEvenly adds count upstreams to the numbers in to, each in the domain that has the
// fewest in to and others together and room for one more. It returns how many found no room.
func spreadEvenly(
	count int, domains []FailureDomain, others, to map[FailureDomain]int, room func(FailureDomain) int,
) int {
	for ; count > 0; count-- {
		best, found := FailureDomain(""), false
		for _, d := range domains {
			if to[d] < room(d) && (!found || to[d]+others[d] < to[best]+others[best]) {
				best, found = d, true
			}
		}
		if !found {
			return count
		}
		to[best]++
	}
	return 0
}

// appendOrder appends an order if the number differs from the one ordered last, or if upstreams
// have been missing for reorderDelay or were taken away.
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
	if same && key.preemptible && last.met && float64(serving) < lossShare*float64(count) {
		// They were taken away. The reply to a new order tells whether others are available.
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

// domainsByPrice returns the domains, the cheapest first.
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
