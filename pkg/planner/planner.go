// Package planner turns the load of pools of upstreams into orders to start
// and stop upstreams.
//
// It is a pure part: Step takes what is observed at a time and returns the
// orders that are due. A pool grows when its load has been high, or requests
// were refused, for a few observations, and shrinks only after a much longer
// time of low load, so that it does not oscillate. Ordered upstreams count as
// capacity until they announce themselves or their time to start has passed,
// and only a few start at once, since the weight store is limited. A share of
// each pool is lasting, so that no class rests on preemptible upstreams alone.
package planner

import (
	"math"
	"sort"
	"time"
)

const (
	// targetUse is the part of the slots that a pool is sized for.
	targetUse = 0.7
	// highUse and lowUse are the parts above and below which the size changes.
	highUse = 0.85
	lowUse  = 0.4
	// highObservations and lowObservations are how often in a row the load must be high or low.
	highObservations = 2
	lowObservations  = 12
	// lastingShare is the part of the needed upstreams that are not preemptible.
	lastingShare = 0.5
	// assumedSlots stands for the slots of upstreams that do not state them.
	assumedSlots = 8
)

type (
	// PoolName names what the upstreams of a pool serve.
	PoolName string
	// FailureDomain is a part of the deployment that fails as a whole.
	FailureDomain string
	// UpstreamID identifies an upstream.
	UpstreamID string
	// Action says what an order asks for.
	Action string

	// Upstream is one running upstream of a pool.
	Upstream struct {
		ID            UpstreamID
		FailureDomain FailureDomain
		Preemptible   bool
		Slots         int
		Load          int
		// Leaving upstreams take nothing new.
		Leaving bool
	}

	// Pool is what is observed of one pool.
	Pool struct {
		Name PoolName
		// Requests are in progress and waiting at the entry processes.
		Requests int
		// Refused counts the requests that could not be served in time since the last observation.
		Refused   int
		Upstreams []Upstream
	}

	// Order is due for sending.
	Order struct {
		Action        Action
		Pool          PoolName
		FailureDomain FailureDomain
		// Upstream is the one to drain and stop; empty for a start.
		Upstream    UpstreamID
		Preemptible bool
	}

	// Config configures a Planner.
	Config struct {
		// Domains are all failure domains.
		Domains []FailureDomain
		// StartupTimeout is the time that an ordered upstream may take to announce itself.
		StartupTimeout time.Duration
		// MaxStarting is the number of upstreams that may start at once, over all pools.
		MaxStarting int
	}

	// Planner decides on orders. It is not safe for concurrent use.
	Planner struct {
		config Config
		pools  map[PoolName]*poolState
	}

	poolState struct {
		high, low int
		// starting are the orders whose upstreams have not announced themselves.
		starting []startingOrder
		known    map[UpstreamID]bool
	}

	startingOrder struct {
		until       time.Duration
		domain      FailureDomain
		preemptible bool
	}
)

// The actions.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// New returns a planner.
func New(config Config) *Planner {
	return &Planner{config: config, pools: map[PoolName]*poolState{}}
}

// SetDomains replaces the failure domains that upstreams are ordered in.
func (p *Planner) SetDomains(domains []FailureDomain) { p.config.Domains = domains }

// Step observes the pools at a time on a monotonic clock and returns the orders that are due.
func (p *Planner) Step(now time.Duration, pools []Pool) []Order {
	for _, pool := range pools {
		p.state(pool.Name).notice(now, pool)
	}
	starting := 0
	for _, s := range p.pools {
		starting += len(s.starting)
	}
	var orders []Order
	for _, pool := range pools {
		s := p.state(pool.Name)
		s.observe(pool)
		switch {
		case s.high >= highObservations:
			for range min(s.missing(pool), p.config.MaxStarting-starting) {
				order := s.start(pool, p.config.Domains)
				s.starting = append(s.starting, startingOrder{
					until: now + p.config.StartupTimeout, domain: order.FailureDomain, preemptible: order.Preemptible,
				})
				starting++
				orders = append(orders, order)
			}
		case s.low >= lowObservations:
			s.low = 0
			if order, found := stop(pool); found {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

func (p *Planner) state(name PoolName) *poolState {
	s := p.pools[name]
	if s == nil {
		s = &poolState{known: map[UpstreamID]bool{}}
		p.pools[name] = s
	}
	return s
}

// notice takes upstreams that announced themselves, and starts whose time has passed, off the list.
func (s *poolState) notice(now time.Duration, pool Pool) {
	for _, u := range pool.Upstreams {
		if s.known[u.ID] {
			continue
		}
		s.known[u.ID] = true
		for i, started := range s.starting {
			if started.domain == u.FailureDomain && started.preemptible == u.Preemptible {
				s.starting = append(s.starting[:i], s.starting[i+1:]...)
				break
			}
		}
	}
	kept := s.starting[:0]
	for _, started := range s.starting {
		if now < started.until {
			kept = append(kept, started)
		}
	}
	s.starting = kept
}

// observe counts how long the load has been high or low.
func (s *poolState) observe(pool Pool) {
	slots := float64(capacity(pool))
	switch {
	case pool.Refused > 0 || float64(pool.Requests) > highUse*slots:
		s.high++
		s.low = 0
	case float64(pool.Requests) < lowUse*slots:
		s.low++
		s.high = 0
	default:
		s.high = 0
		s.low = 0
	}
}

// missing returns how many upstreams more the pool needs.
func (s *poolState) missing(pool Pool) int {
	needed := neededUpstreams(pool)
	if pool.Refused > 0 {
		needed = max(needed, len(serving(pool))+1)
	}
	return max(0, needed-len(serving(pool))-len(s.starting))
}

// start chooses the domain with the fewest upstreams of the pool, and a lasting
// upstream as long as the lasting share is not reached.
func (s *poolState) start(pool Pool, domains []FailureDomain) Order {
	counts := map[FailureDomain]int{}
	lasting := 0
	for _, u := range serving(pool) {
		counts[u.FailureDomain]++
		if !u.Preemptible {
			lasting++
		}
	}
	for _, started := range s.starting {
		counts[started.domain]++
		if !started.preemptible {
			lasting++
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
		Preemptible: lasting >= lastingFloor(neededUpstreams(pool)),
	}
}

// stop chooses the upstream to give up: a lasting one while more than their
// share run, since they cost most; from the domain with the most upstreams, the
// least loaded first.
func stop(pool Pool) (Order, bool) {
	running := serving(pool)
	if len(running) <= max(1, neededUpstreams(pool)) {
		return Order{}, false
	}
	counts := map[FailureDomain]int{}
	lasting := 0
	for _, u := range running {
		counts[u.FailureDomain]++
		if !u.Preemptible {
			lasting++
		}
	}
	preemptible := lasting <= lastingFloor(len(running)-1)
	var candidates []Upstream
	for _, u := range running {
		if u.Preemptible == preemptible {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return Order{}, false
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
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

func lastingFloor(needed int) int {
	return max(1, int(math.Ceil(lastingShare*float64(needed))))
}

// neededUpstreams returns the size at which the pool's load is at the target.
func neededUpstreams(pool Pool) int {
	return max(1, int(math.Ceil(float64(pool.Requests)/(targetUse*slotsEach(pool)))))
}

func slotsEach(pool Pool) float64 {
	running := serving(pool)
	if len(running) == 0 {
		return assumedSlots
	}
	return float64(capacity(pool)) / float64(len(running))
}

func capacity(pool Pool) int {
	total := 0
	for _, u := range serving(pool) {
		slots := u.Slots
		if slots == 0 {
			slots = assumedSlots
		}
		total += slots
	}
	return total
}

func serving(pool Pool) []Upstream {
	var out []Upstream
	for _, u := range pool.Upstreams {
		if !u.Leaving {
			out = append(out, u)
		}
	}
	return out
}
