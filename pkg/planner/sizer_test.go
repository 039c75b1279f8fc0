package planner

import (
	"testing"
	"time"
)

const sizerStep = 500 * time.Millisecond

// fakePlatform carries out orders immediately.
type fakePlatform struct {
	pool SizedPool
	// unavailable holds the domains that have no more preemptible upstreams.
	unavailable map[FailureDomain]bool
	orders      int
}

func newFakePlatform(onDemand int) *fakePlatform {
	p := &fakePlatform{unavailable: map[FailureDomain]bool{}, pool: SizedPool{
		Name: "engines", Minimum: 1, Maximum: 10,
		Prices:      map[FailureDomain]float64{"a": 1, "b": 0.8, "c": 1.2, "d": 0.9},
		OnDemand:    map[FailureDomain]int{},
		Preemptible: map[FailureDomain]int{},
	}}
	for d := range p.pool.Prices {
		p.pool.OnDemand[d] = onDemand
	}
	return p
}

// run steps from one time to another while the load keeps a number of upstreams busy.
func (p *fakePlatform) run(z *Sizer, from, until time.Duration, busy float64) {
	p.pool.Busy = busy
	for now := from; now < until; now += sizerStep {
		for _, o := range z.Step(now, p.pool) {
			p.orders++
			switch {
			case !o.Preemptible:
				p.pool.OnDemand[o.FailureDomain] = o.Count
			case p.unavailable[o.FailureDomain] && o.Count > p.pool.Preemptible[o.FailureDomain]:
				z.RecordRefusal(now, o)
			default:
				p.pool.Preemptible[o.FailureDomain] = o.Count
			}
		}
	}
}

func (p *fakePlatform) total() (onDemand, preemptible int) {
	for d := range p.pool.Prices {
		onDemand += p.pool.OnDemand[d]
		preemptible += p.pool.Preemptible[d]
	}
	return onDemand, preemptible
}

func TestSizer(t *testing.T) {
	tests := map[string]struct {
		scenario                 func(*fakePlatform, *Sizer)
		minTotal, maxTotal       int
		minOnDemand, maxOnDemand int
	}{
		"on-demand upstreams are replaced by preemptible ones": {
			scenario: func(p *fakePlatform, z *Sizer) { p.run(z, 0, 10*time.Second, 4) },
			minTotal: 22, maxTotal: 22, minOnDemand: 4, maxOnDemand: 4,
		},
		"a burst grows the pool immediately": {
			scenario: func(p *fakePlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 2)
				p.run(z, 10*time.Second, 13*time.Second, 6)
			},
			minTotal: 24, maxTotal: 26, minOnDemand: 4, maxOnDemand: 7,
		},
		"a short drop of the load stops nothing": {
			scenario: func(p *fakePlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 4)
				p.run(z, 10*time.Second, 20*time.Second, 1)
			},
			minTotal: 22, maxTotal: 22, minOnDemand: 4, maxOnDemand: 4,
		},
		"a long drop of the load shrinks the pool": {
			scenario: func(p *fakePlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 4)
				p.run(z, 10*time.Second, 60*time.Second, 1)
			},
			minTotal: 4, maxTotal: 5, minOnDemand: 2, maxOnDemand: 2,
		},
		"the upstreams of a lost domain are replaced elsewhere": {
			scenario: func(p *fakePlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 4)
				p.unavailable["c"] = true
				p.pool.Preemptible["c"] = 0
				p.run(z, 10*time.Second, 30*time.Second, 4)
			},
			minTotal: 16, maxTotal: 28, minOnDemand: 3, maxOnDemand: 7,
		},
		"on-demand upstreams replace unavailable preemptible ones": {
			scenario: func(p *fakePlatform, z *Sizer) {
				for d := range p.pool.Prices {
					p.unavailable[d] = true
				}
				p.run(z, 0, 20*time.Second, 4)
			},
			minTotal: 9, maxTotal: 16, minOnDemand: 9, maxOnDemand: 16,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFakePlatform(4)
			test.scenario(p, NewSizer())
			onDemand, preemptible := p.total()
			if n := onDemand + preemptible; n < test.minTotal || n > test.maxTotal {
				t.Errorf("%d on-demand and %d preemptible upstreams, want %d to %d together", onDemand, preemptible, test.minTotal, test.maxTotal)
			}
			if onDemand < test.minOnDemand || onDemand > test.maxOnDemand {
				t.Errorf("%d on-demand upstreams, want %d to %d", onDemand, test.minOnDemand, test.maxOnDemand)
			}
		})
	}
}

// TestSizerSteadyLoad guards against needless orders: under a steady load there must be none after
// the pool has shrunk from its initial size.
func TestSizerSteadyLoad(t *testing.T) {
	p := newFakePlatform(4)
	z := NewSizer()
	p.run(z, 0, 2*shrinkDelay, 4)
	before := p.orders
	p.run(z, 2*shrinkDelay, 3*time.Minute, 3.9)
	if p.orders != before {
		t.Errorf("%d orders under a steady load, want none", p.orders-before)
	}
}

// TestSizerReordersLostUpstreams removes upstreams that were ordered: they must be ordered again.
func TestSizerReordersLostUpstreams(t *testing.T) {
	p := newFakePlatform(4)
	z := NewSizer()
	p.run(z, 0, 10*time.Second, 4)
	p.pool.Preemptible["a"] = 0
	p.run(z, 10*time.Second, 10*time.Second+2*reorderDelay, 4)
	if _, preemptible := p.total(); preemptible < 12 {
		t.Errorf("%d preemptible upstreams after the loss, want at least 12", preemptible)
	}
}

// TestSizerReordersWithoutDelay removes a domain's upstreams right after a new process has taken
// over. It guards against waiting for reorderDelay although the new process has observed that the
// lost upstreams served.
func TestSizerReordersWithoutDelay(t *testing.T) {
	p := newFakePlatform(4)
	// A maximum of 5 upstreams in each of the 4 domains limits the successor's first target size,
	// so that it orders just the number that already serves.
	p.pool.Maximum = 5
	p.run(NewSizer(), 0, 10*time.Second, 4)
	successor := NewSizer()
	p.run(successor, 10*time.Second, 10*time.Second+sizerStep, 4)
	p.pool.Preemptible["b"] = 0
	lost := 10*time.Second + minOrderInterval
	p.run(successor, lost, lost+2*sizerStep, 4)
	if p.pool.Preemptible["b"] == 0 {
		t.Error("the lost upstreams were not ordered again")
	}
}

// TestSizerReplacesLimitedUpstreams guards against a pool that counts on upstreams which take only
// few requests: under the same load it needs as many more as there are of them.
func TestSizerReplacesLimitedUpstreams(t *testing.T) {
	const limited = 6
	p := newFakePlatform(4)
	z := NewSizer()
	p.run(z, 0, 2*shrinkDelay, 4)
	onDemand, preemptible := p.total()
	before := onDemand + preemptible
	p.pool.Limited = limited
	p.run(z, 2*shrinkDelay, 3*shrinkDelay, 4)
	onDemand, preemptible = p.total()
	if after := onDemand + preemptible; after < before+limited {
		t.Errorf("%d upstreams, %d of which limit their requests; want %d more than %d", after, limited, limited, before)
	}
}

// slowPlatform carries out orders as the users' platform does: upstreams start after a while, and an order starts no
// more than the domain's maximum has space for when it comes.
type slowPlatform struct {
	pool     SizedPool
	starting map[time.Duration]map[FailureDomain]int
	// paid is the sum of the upstreams over all steps, each at its price.
	paid float64
}

const upstreamStart = 4 * time.Second

func (p *slowPlatform) run(z *Sizer, from, until time.Duration, busy float64) {
	p.pool.Busy = busy
	for now := from; now < until; now += sizerStep {
		for d, n := range p.starting[now] {
			p.pool.Preemptible[d] += n
		}
		for _, o := range z.Step(now, p.pool) {
			d := o.FailureDomain
			if !o.Preemptible {
				p.pool.OnDemand[d] = min(o.Count, p.pool.Maximum-p.pool.Preemptible[d])
				continue
			}
			started := min(o.Count, p.pool.Maximum-p.pool.OnDemand[d]) - p.pool.Preemptible[d]
			if p.starting[now+upstreamStart] == nil {
				p.starting[now+upstreamStart] = map[FailureDomain]int{}
			}
			p.starting[now+upstreamStart][d] = max(0, started)
		}
		for d := range p.pool.Prices {
			p.paid += float64(p.pool.OnDemand[d]) + 0.22*float64(p.pool.Preemptible[d])
		}
	}
}

func newSlowPlatform(onDemand, maximum int) *slowPlatform {
	f := newFakePlatform(onDemand)
	f.pool.Maximum = maximum
	return &slowPlatform{pool: f.pool, starting: map[time.Duration]map[FailureDomain]int{}}
}

// TestSizerReplacesWithinMaximum guards against on-demand upstreams that are kept, at several times the price, since an
// order for preemptible ones asked for more than the domain had space for and some never started.
func TestSizerReplacesWithinMaximum(t *testing.T) {
	p, z := newSlowPlatform(23, 46), NewSizer()
	p.run(z, 0, 6*time.Second, 0)
	onDemand, preemptible := 0, 0
	for d := range p.pool.Prices {
		onDemand += p.pool.OnDemand[d]
		preemptible += p.pool.Preemptible[d]
	}
	// Of 125 upstreams 19 are on-demand. For 14 of the preemptible ones there was no space at first.
	if onDemand > 19+14 || onDemand+preemptible != 125 {
		t.Errorf("%d on-demand and %d preemptible upstreams after 6 s, want at most 33, and 125 together", onDemand, preemptible)
	}
}

// TestSizerOfSuccessor guards against a fleet that grows with each change of the lease holder.
func TestSizerOfSuccessor(t *testing.T) {
	p := newSlowPlatform(23, 46)
	p.run(NewSizer(), 0, 12*time.Second, 20)
	before := 0
	for d := range p.pool.Prices {
		before += p.pool.OnDemand[d] + p.pool.Preemptible[d]
	}
	for n := range 3 {
		start := time.Duration(n+1) * 12 * time.Second
		p.run(NewSizer(), start, start+12*time.Second, 20)
	}
	after := 0
	for d := range p.pool.Prices {
		after += p.pool.OnDemand[d] + p.pool.Preemptible[d]
	}
	if after != before {
		t.Errorf("%d upstreams after three changes of the lease holder, %d before", after, before)
	}
}
