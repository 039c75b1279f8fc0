package planner

import (
	"math"
	"sort"
	"time"
)

const (
	// sizedUse is the part of the engines' time that a sized pool is busy with.
	// Preemptible upstreams are cheap against late answers, bursts come faster than
	// upstreams start, and a failure domain's may be taken away at once.
	sizedUse = 0.25
	// lastingPart is the part of the needed upstreams that are lasting, and
	// fewestLasting the least number, in different domains, so that no class rests
	// on preemptible ones alone.
	lastingPart   = 0.15
	fewestLasting = 2
	// fallbackPart is the part of the needed upstreams below which lasting ones
	// stand in for preemptible ones that are not to be had.
	fallbackPart = 0.6
	// unknownReserve multiplies what is there while the load is not known yet.
	unknownReserve = 1.35
	// shrinkPart is how much smaller a pool must suffice before any upstream is
	// given up, since its memory is lost with it.
	shrinkPart = 0.8
	// shrinkAfter is how long fewer upstreams must have sufficed before any is given up.
	shrinkAfter = 20 * time.Second
	// unavailableFor is how long a failure domain that has no preemptible upstreams is not asked again.
	unavailableFor = 5 * time.Second
	// orderInterval is the least time between two orders for the same upstreams.
	orderInterval = 2 * time.Second
	// refillAfter is how long ordered upstreams may take to serve before they are ordered again.
	refillAfter = 7 * time.Second
	// lossPart is the part of the preemptible upstreams of a domain that is gone at
	// once when they are taken away.
	lossPart = 0.5
	// standInFor is how long lasting upstreams that stand in are kept after the need for them.
	standInFor = 6 * time.Second
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
		pools map[PoolName]*sizedState
	}

	sizedState struct {
		needed int
		// enough is the most that was needed since enoughSince.
		enough      int
		enoughSince time.Duration
		lasting     map[FailureDomain]int
		preemptible map[FailureDomain]int
		// standIns are lasting upstreams in place of preemptible ones that are not to be had.
		standIns    map[FailureDomain]int
		standInTill time.Duration
		ordered     map[countKey]orderedCount
		unavailable map[FailureDomain]time.Duration
	}

	countKey struct {
		domain      FailureDomain
		preemptible bool
	}

	orderedCount struct {
		count int
		at    time.Duration
		// fullAt is when as many served last.
		fullAt time.Duration
		// full reports that as many have served since the order.
		full bool
	}
)

// NewSizer returns a sizer that has ordered nothing.
func NewSizer() *Sizer {
	return &Sizer{pools: map[PoolName]*sizedState{}}
}

// Step observes a pool at a time on a monotonic clock and returns the orders that are due.
func (z *Sizer) Step(now time.Duration, p SizedPool) []CountOrder {
	s := z.state(p.Name)
	if s.size(now, p) {
		s.divide(p)
	}
	s.grow(now, p)
	var orders []CountOrder
	for _, d := range domainsOf(p) {
		key := countKey{domain: d, preemptible: true}
		if now >= s.unavailable[d] {
			orders = s.order(now, orders, p.Name, key, s.preemptible[d], p.Preemptible[d])
		}
		if s.preemptible[d] > p.Preemptible[d] && s.lasting[d]+s.standIns[d] < p.OnDemand[d] && now >= s.unavailable[d] {
			// Lasting upstreams are given up once those in their place serve, but for
			// those whose room these need.
			room := max(s.lasting[d]+s.standIns[d], p.Maximum-s.preemptible[d])
			if room < p.OnDemand[d] {
				orders = s.order(now, orders, p.Name, countKey{domain: d}, room, p.OnDemand[d])
			}
			continue
		}
		orders = s.order(now, orders, p.Name, countKey{domain: d}, s.lasting[d]+s.standIns[d], p.OnDemand[d])
	}
	return orders
}

// Refused notes that an order was refused, for preemptible upstreams because
// the domain has none at the moment.
func (z *Sizer) Refused(now time.Duration, o CountOrder) {
	s := z.state(o.Pool)
	if o.Preemptible {
		s.unavailable[o.FailureDomain] = now + unavailableFor
	}
	delete(s.ordered, countKey{domain: o.FailureDomain, preemptible: o.Preemptible})
}

func (z *Sizer) state(name PoolName) *sizedState {
	s := z.pools[name]
	if s == nil {
		s = &sizedState{ordered: map[countKey]orderedCount{}, unavailable: map[FailureDomain]time.Duration{}}
		z.pools[name] = s
	}
	return s
}

// size follows the load and reports whether the pool is to be divided anew: at
// the beginning, and when fewer upstreams have sufficed for long.
func (s *sizedState) size(now time.Duration, p SizedPool) bool {
	wanted := max(fewestLasting, len(p.Prices)*max(1, p.Minimum), int(math.Ceil(p.Busy/sizedUse)))
	wanted = min(wanted, len(p.Prices)*p.Maximum)
	if s.lasting == nil {
		// What is there was sized by someone who knew more.
		for _, d := range domainsOf(p) {
			s.needed += p.OnDemand[d] + p.Preemptible[d]
		}
		s.needed = max(int(math.Ceil(unknownReserve*float64(s.needed))), wanted)
		s.enoughSince = now
		return true
	}
	s.needed = max(s.needed, wanted)
	s.enough = max(s.enough, wanted)
	if float64(s.enough) > shrinkPart*float64(s.needed) {
		s.enough = 0
		s.enoughSince = now
		return false
	}
	if now-s.enoughSince < shrinkAfter {
		return false
	}
	s.needed = s.enough
	s.enough = 0
	s.enoughSince = now
	return true
}

// divide spreads the needed upstreams evenly over the domains, the cheapest first.
func (s *sizedState) divide(p SizedPool) {
	domains := domainsOf(p)
	s.lasting = map[FailureDomain]int{}
	s.preemptible = map[FailureDomain]int{}
	fixed := min(s.needed, max(fewestLasting, int(math.Ceil(lastingPart*float64(s.needed)))))
	none := map[FailureDomain]int{}
	missing := level(fixed, domains, none, s.lasting, func(FailureDomain) int { return p.Maximum })
	level(s.needed-fixed+missing, domains, s.lasting, s.preemptible, func(d FailureDomain) int {
		return p.Maximum - s.lasting[d]
	})
}

// grow adds upstreams until the needed number can be had. What domains without
// preemptible upstreams lack goes to the others, lasting if they are full.
func (s *sizedState) grow(now time.Duration, p SizedPool) {
	domains := domainsOf(p)
	available := func(d FailureDomain) bool { return now >= s.unavailable[d] }
	have := 0
	for _, d := range domains {
		have += s.lasting[d]
		if available(d) {
			have += s.preemptible[d]
		} else {
			have += min(s.preemptible[d], p.Preemptible[d])
		}
	}
	left := level(s.needed-have, domains, s.lasting, s.preemptible, func(d FailureDomain) int {
		if !available(d) {
			return 0
		}
		return p.Maximum - s.lasting[d]
	})
	least := int(math.Ceil(fallbackPart * float64(s.needed)))
	missing := min(left, least-(s.needed-left))
	if missing <= 0 && now < s.standInTill {
		return
	}
	s.standIns = map[FailureDomain]int{}
	if missing <= 0 {
		return
	}
	s.standInTill = now + standInFor
	level(missing, domains, s.lasting, s.standIns, func(d FailureDomain) int {
		if available(d) {
			return p.Maximum - s.preemptible[d] - s.lasting[d]
		}
		return p.Maximum - min(s.preemptible[d], p.Preemptible[d]) - s.lasting[d]
	})
}

// level adds upstreams one at a time to the domain that has the fewest of both
// kinds and room for more, and returns how many found none.
func level(
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

// order adds an order if the number differs from the last one, or if upstreams
// have been missing for long.
func (s *sizedState) order(
	now time.Duration, orders []CountOrder, name PoolName, key countKey, count, serving int,
) []CountOrder {
	last, found := s.ordered[key]
	if found && serving >= last.count {
		last.fullAt = now
		last.full = true
		s.ordered[key] = last
	}
	same := found && last.count == count
	if same && key.preemptible && last.full && float64(serving) < lossPart*float64(count) {
		// They were taken away; the answer to a new order tells whether there are others.
		same = false
	}
	if found && now-last.at < orderInterval || same && now-max(last.fullAt, last.at) < refillAfter {
		return orders
	}
	if same && serving >= count {
		return orders
	}
	s.ordered[key] = orderedCount{count: count, at: now, fullAt: now, full: serving >= count}
	return append(orders, CountOrder{
		Pool: name, FailureDomain: key.domain, Preemptible: key.preemptible, Count: count,
	})
}

// domainsOf returns the domains, the cheapest first.
func domainsOf(p SizedPool) []FailureDomain {
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
