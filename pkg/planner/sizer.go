package planner

import (
	"math"
	"sort"
	"time"
)

const (
	// sizerUtilization is the part of the engines' time that a sized pool is busy with.
	// Preemptible upstreams are cheap against late answers, bursts come faster than
	// upstreams start, and a failure domain's may be taken away at once.
	sizerUtilization = 0.25
	// sizerOnDemandShare is the part of the needed upstreams that are lasting, and
	// fewestLasting the least number, in different domains, so that no class rests
	// on preemptible ones alone.
	sizerOnDemandShare = 0.15
	minOnDemand        = 2
	// fallbackShare is the part of the needed upstreams below which lasting ones
	// stand in for preemptible ones that are not to be had.
	fallbackShare = 0.6
	// initialReserve multiplies what is there while the load is not known yet.
	initialReserve = 1.35
	// shrinkRatio is how much smaller a pool must suffice before any upstream is
	// given up, since its memory is lost with it.
	shrinkRatio = 0.8
	// shrinkDelay is how long fewer upstreams must have sufficed before any is given up.
	shrinkDelay = 20 * time.Second
	// refusalBackoff is how long a failure domain that has no preemptible upstreams is not asked again.
	refusalBackoff = 5 * time.Second
	// minOrderInterval is the least time between two orders for the same upstreams.
	minOrderInterval = 2 * time.Second
	// reorderDelay is how long ordered upstreams may take to serve before they are ordered again.
	reorderDelay = 7 * time.Second
	// lossShare is the part of the preemptible upstreams of a domain that is gone at
	// once when they are taken away.
	lossShare = 0.5
	// fallbackHold is how long lasting upstreams that stand in are kept after the need for them.
	fallbackHold = 6 * time.Second
)

type (
	// SizedPool is what is observed of a pool whose upstreams are ordered by number.
	SizedPool struct {
		Name PoolName
		// Busy is the number of upstreams that the work would keep busy all the time.
		Busy float64
		// Minimum and Maximum bound the upstreams of both kinds in each domain.
		Minimum, Maximum int
		// Prices are those of a lasting upstream by domain.
		Prices map[FailureDomain]float64
		// OnDemand and Preemptible are the upstreams that serve now, by domain.
		OnDemand, Preemptible map[FailureDomain]int
	}

	// CountOrder asks for a number of upstreams of one kind in one domain.
	CountOrder struct {
		Pool          PoolName
		FailureDomain FailureDomain
		Preemptible   bool
		Count         int
	}

	// Sizer decides on the numbers of upstreams. It is a pure part like Planner,
	// for platforms that take numbers in place of single orders. Numbers can be
	// sent again without harm.
	//
	// It answers three patterns. Load that doubles within seconds: a pool grows at
	// once and has room for a burst. Load that falls for a moment: it shrinks only
	// after fewer upstreams have sufficed for long, and never because a domain has
	// upstreams again, since those that would go have read what is asked for. And
	// domains whose preemptible upstreams are taken away: what they lack grows
	// elsewhere, lasting if need be.
	//
	// It is not safe for concurrent use.
	Sizer struct {
		pools map[PoolName]*sizedPoolState
	}

	sizedPoolState struct {
		needed int
		// peak is the most that was needed since enoughSince.
		peak        int
		peakSince   time.Duration
		onDemand    map[FailureDomain]int
		preemptible map[FailureDomain]int
		// fallback are lasting upstreams in place of preemptible ones that are not to be had.
		fallback      map[FailureDomain]int
		fallbackUntil time.Duration
		ordered       map[orderKey]sentOrder
		unavailable   map[FailureDomain]time.Duration
	}

	orderKey struct {
		domain      FailureDomain
		preemptible bool
	}

	sentOrder struct {
		count  int
		sentAt time.Duration
		// metAt is when as many served last.
		metAt time.Duration
		// met reports that as many have served since the order.
		met bool
	}
)

// NewSizer returns a sizer that has ordered nothing.
func NewSizer() *Sizer {
	return &Sizer{pools: map[PoolName]*sizedPoolState{}}
}

// Step observes a pool at a time on a monotonic clock and returns the orders that are due.
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
			// Lasting upstreams are given up once those in their place serve, but for
			// those whose room these need.
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

// Refused notes that an order was refused, for preemptible upstreams because
// the domain has none at the moment.
func (z *Sizer) Refused(now time.Duration, o CountOrder) {
	s := z.state(o.Pool)
	if o.Preemptible {
		s.unavailable[o.FailureDomain] = now + refusalBackoff
	}
	delete(s.ordered, orderKey{domain: o.FailureDomain, preemptible: o.Preemptible})
}

func (z *Sizer) state(name PoolName) *sizedPoolState {
	s := z.pools[name]
	if s == nil {
		s = &sizedPoolState{ordered: map[orderKey]sentOrder{}, unavailable: map[FailureDomain]time.Duration{}}
		z.pools[name] = s
	}
	return s
}

// updateNeeded follows the load and reports whether the pool is to be divided anew: at
// the beginning, and when fewer upstreams have sufficed for long.
func (s *sizedPoolState) updateNeeded(now time.Duration, p SizedPool) bool {
	wanted := max(minOnDemand, len(p.Prices)*max(1, p.Minimum), int(math.Ceil(p.Busy/sizerUtilization)))
	wanted = min(wanted, len(p.Prices)*p.Maximum)
	if s.onDemand == nil {
		// What is there was sized by someone who knew more.
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
	fixed := min(s.needed, max(minOnDemand, int(math.Ceil(sizerOnDemandShare*float64(s.needed)))))
	none := map[FailureDomain]int{}
	missing := spreadEvenly(fixed, domains, none, s.onDemand, func(FailureDomain) int { return p.Maximum })
	spreadEvenly(s.needed-fixed+missing, domains, s.onDemand, s.preemptible, func(d FailureDomain) int {
		return p.Maximum - s.onDemand[d]
	})
}

// grow adds upstreams until the needed number can be had. What domains without
// preemptible upstreams lack goes to the others, lasting if they are full.
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
	left := spreadEvenly(s.needed-have, domains, s.onDemand, s.preemptible, func(d FailureDomain) int {
		if !available(d) {
			return 0
		}
		return p.Maximum - s.onDemand[d]
	})
	least := int(math.Ceil(fallbackShare * float64(s.needed)))
	missing := min(left, least-(s.needed-left))
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

// spreadEvenly adds upstreams one at a time to the domain that has the fewest of both
// kinds and room for more, and returns how many found none.
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

// appendOrder adds an appendOrder if the number differs from the last one, or if upstreams
// have been missing for long.
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
		// They were taken away; the answer to a new order tells whether there are others.
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
