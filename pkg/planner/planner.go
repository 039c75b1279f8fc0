// Package planner decides from the load of pools of upstreams which upstreams to start and
// stop.
//
// Planner orders the start or stop of single upstreams. A pool grows when its load was high, or
// requests were refused, in a few successive observations. It shrinks only after low load in
// many more of them, so that its size does not oscillate. Ordered upstreams count towards its
// size until they announce themselves or their start times out. Only a few upstreams start at
// once, because the store from which they load model weights has limited throughput.
//
// Sizer orders a number of upstreams for each failure domain, for platforms that take numbers
// instead of single starts and stops.
//
// Both distinguish two capacity types of upstreams, on-demand and preemptible. A share of each
// pool is on-demand, so that no class of work depends on preemptible upstreams
// alone.
//
// The package does no I/O and returns no errors: callers pass in what they observe and send the
// orders.
package planner

import (
	"math"
	"sort"
	"time"
)

const (
	// targetUtilization is the share of its slots that a pool should use.
	targetUtilization = 0.7
	// The load is high if more requests are in flight or waiting than highUtilization of the
	// slots, and low if there are fewer than lowUtilization of them.
	highUtilization = 0.85
	lowUtilization  = 0.4
	// highObservations and lowObservations are the numbers of successive observations of high
	// or low load after which the pool's size changes.
	highObservations = 2
	lowObservations  = 12
	// onDemandShare is the share of a pool's upstreams that should be on-demand.
	onDemandShare = 0.5
	// keptPerVersion is the number of upstreams of a version that are stopped last.
	keptPerVersion = 2
	// assumedSlots is used for upstreams that do not report their slots.
	assumedSlots = 8
)

type (
	// PoolName identifies what the upstreams of a pool serve.
	PoolName string
	// FailureDomain is a part of the deployment, such as a zone, whose hosts may fail together.
	FailureDomain string
	// UpstreamID identifies an upstream.
	UpstreamID string
	// Action is what an order asks for.
	Action string

	// Upstream is an announced upstream of a pool.
	Upstream struct {
		ID            UpstreamID
		FailureDomain FailureDomain
		Preemptible   bool
		// Version is the version of the upstream's software.
		Version string
		// Slots is the number of requests that the upstream can run at once, zero if it does not
		// report that.
		Slots int
		// Load is the number of requests at the upstream.
		Load int
		// Leaving reports that the upstream takes no new requests.
		Leaving bool
	}

	// Pool is the observation of one pool.
	Pool struct {
		Name PoolName
		// Requests is the number of requests in flight or waiting at the entry processes.
		Requests int
		// Refused is the number of requests refused since the last observation because they
		// could not be served in time.
		Refused   int
		Upstreams []Upstream
	}

	// Order asks for the start or stop of one upstream.
	Order struct {
		Action        Action
		Pool          PoolName
		FailureDomain FailureDomain
		// Upstream is the upstream to drain and stop; empty for a start.
		Upstream    UpstreamID
		Preemptible bool
	}

	// Config configures a Planner.
	Config struct {
		// Domains are the failure domains in which upstreams can be started.
		Domains []FailureDomain
		// StartupTimeout is the time that an ordered upstream may take to announce itself. An
		// order that has timed out no longer counts towards the size of the pool.
		StartupTimeout time.Duration
		// MaxStarting is the largest number of upstreams that may be starting at once over all
		// pools.
		MaxStarting int
	}

	// Planner decides on starts and stops of upstreams. It is not safe for concurrent use.
	Planner struct {
		config Config
		pools  map[PoolName]*poolState
		// evacuated are the domains in which nothing is ordered.
		evacuated map[FailureDomain]bool
	}

	poolState struct {
		// highCount and lowCount are the numbers of successive observations of high and low load.
		highCount, lowCount int
		// starting are the start orders whose upstreams have not announced themselves yet.
		starting []pendingStart
		// known are the upstreams that have been observed.
		known map[UpstreamID]bool
	}

	pendingStart struct {
		// until is when the start times out.
		until       time.Duration
		domain      FailureDomain
		preemptible bool
	}
)

// Actions of an Order.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// New returns a planner without any observations.
func New(config Config) *Planner {
	return &Planner{config: config, pools: map[PoolName]*poolState{}}
}

// SetDomains replaces Config.Domains. The slice is retained.
func (p *Planner) SetDomains(domains []FailureDomain) { p.config.Domains = domains }

// Step takes an observation of the pools and returns the resulting orders. now is the time on a
// monotonic clock. Pending starts of a pool that is missing from pools are kept and count towards
// Config.MaxStarting. If there are no failure domains, start orders have an empty FailureDomain.
func (p *Planner) Step(now time.Duration, pools []Pool) []Order {
	for _, pool := range pools {
		p.state(pool.Name).updateStarting(now, pool)
	}
	domains, usable := p.usableDomains()
	starting := 0
	for _, s := range p.pools {
		s.forgetStarting(p.evacuated)
		starting += len(s.starting)
	}
	var orders []Order
	for _, pool := range pools {
		s := p.state(pool.Name)
		pool = p.withoutEvacuated(pool)
		s.observe(pool)
		switch {
		case !usable:
		case s.highCount >= highObservations:
			for range min(s.startsNeeded(pool), p.config.MaxStarting-starting) {
				order := s.startOrder(pool, domains)
				s.starting = append(s.starting, pendingStart{
					until: now + p.config.StartupTimeout, domain: order.FailureDomain, preemptible: order.Preemptible,
				})
				starting++
				orders = append(orders, order)
			}
		case s.lowCount >= lowObservations:
			s.lowCount = 0
			if order, found := stopOrder(pool); found {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// state returns the state of a pool and creates it if necessary.
func (p *Planner) state(name PoolName) *poolState {
	s := p.pools[name]
	if s == nil {
		s = &poolState{known: map[UpstreamID]bool{}}
		p.pools[name] = s
	}
	return s
}

// updateStarting removes the pending starts whose upstreams have announced themselves or that
// have timed out. An upstream that is observed for the first time is taken to be the result of a
// pending start in its domain with its capacity type.
func (s *poolState) updateStarting(now time.Duration, pool Pool) {
	for _, u := range pool.Upstreams {
		if s.known[u.ID] {
			continue
		}
		s.known[u.ID] = true
		for i, pending := range s.starting {
			if pending.domain == u.FailureDomain && pending.preemptible == u.Preemptible {
				s.starting = append(s.starting[:i], s.starting[i+1:]...)
				break
			}
		}
	}
	kept := s.starting[:0]
	for _, pending := range s.starting {
		if now < pending.until {
			kept = append(kept, pending)
		}
	}
	s.starting = kept
}

// observe counts the successive observations of high and of low load.
func (s *poolState) observe(pool Pool) {
	slots := float64(totalSlots(pool))
	switch {
	case pool.Refused > 0 || float64(pool.Requests) > highUtilization*slots:
		s.highCount++
		s.lowCount = 0
	case float64(pool.Requests) < lowUtilization*slots:
		s.lowCount++
		s.highCount = 0
	default:
		s.highCount = 0
		s.lowCount = 0
	}
}

// startsNeeded returns how many upstreams to start in addition to those that are starting.
func (s *poolState) startsNeeded(pool Pool) int {
	needed := neededUpstreams(pool)
	if pool.Refused > 0 {
		needed = max(needed, len(servingUpstreams(pool))+1)
	}
	return max(0, needed-len(servingUpstreams(pool))-len(s.starting))
}

// startOrder orders a start in the domain with the fewest upstreams of the pool. The upstream is
// on-demand if the pool has fewer on-demand upstreams than required, otherwise preemptible.
func (s *poolState) startOrder(pool Pool, domains []FailureDomain) Order {
	counts := map[FailureDomain]int{}
	onDemand := 0
	for _, u := range servingUpstreams(pool) {
		counts[u.FailureDomain]++
		if !u.Preemptible {
			onDemand++
		}
	}
	for _, pending := range s.starting {
		counts[pending.domain]++
		if !pending.preemptible {
			onDemand++
		}
	}
	best := FailureDomain("")
	for i, d := range domains {
		if i == 0 || counts[d] < counts[best] {
			best = d
		}
	}
	return Order{
		Action: Start, Pool: pool.Name, FailureDomain: best,
		Preemptible: onDemand >= requiredOnDemand(neededUpstreams(pool)),
	}
}

// stopOrder orders the stop of a surplus upstream, if the pool has any. The upstream is on-demand
// if the pool has more on-demand upstreams than required, since they cost most, and preemptible
// otherwise. Of these it is the least loaded one in the domain with the most upstreams, and one of the
// last upstreams of a version only if there is no other: streams that it has begun go on nowhere else.
func stopOrder(pool Pool) (Order, bool) {
	serving := servingUpstreams(pool)
	if len(serving) <= max(1, neededUpstreams(pool)) {
		return Order{}, false
	}
	counts, ofVersion := map[FailureDomain]int{}, map[string]int{}
	onDemand := 0
	for _, u := range serving {
		counts[u.FailureDomain]++
		ofVersion[u.Version]++
		if !u.Preemptible {
			onDemand++
		}
	}
	preemptible := onDemand <= requiredOnDemand(len(serving)-1)
	var candidates []Upstream
	for _, u := range serving {
		if u.Preemptible == preemptible {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return Order{}, false
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if rare := ofVersion[a.Version] <= keptPerVersion; rare != (ofVersion[b.Version] <= keptPerVersion) {
			return !rare
		}
		if counts[a.FailureDomain] != counts[b.FailureDomain] {
			return counts[a.FailureDomain] > counts[b.FailureDomain]
		}
		return a.Load < b.Load
	})
	u := candidates[0]
	return Order{
		Action: Stop, Pool: pool.Name, FailureDomain: u.FailureDomain, Upstream: u.ID, Preemptible: u.Preemptible,
	}, true
}

// requiredOnDemand returns the least number of on-demand upstreams in a pool of the given size.
func requiredOnDemand(size int) int {
	return max(1, int(math.Ceil(onDemandShare*float64(size))))
}

// neededUpstreams returns the number of upstreams at which the pool's utilization is
// targetUtilization.
func neededUpstreams(pool Pool) int {
	return max(1, int(math.Ceil(float64(pool.Requests)/(targetUtilization*slotsPerUpstream(pool)))))
}

// slotsPerUpstream returns the mean number of slots of the serving upstreams.
func slotsPerUpstream(pool Pool) float64 {
	serving := servingUpstreams(pool)
	if len(serving) == 0 {
		return assumedSlots
	}
	return float64(totalSlots(pool)) / float64(len(serving))
}

// totalSlots returns the number of slots of the serving upstreams.
func totalSlots(pool Pool) int {
	total := 0
	for _, u := range servingUpstreams(pool) {
		slots := u.Slots
		if slots == 0 {
			slots = assumedSlots
		}
		total += slots
	}
	return total
}

// servingUpstreams returns the upstreams that are not leaving.
func servingUpstreams(pool Pool) []Upstream {
	var out []Upstream
	for _, u := range pool.Upstreams {
		if !u.Leaving {
			out = append(out, u)
		}
	}
	return out
}
