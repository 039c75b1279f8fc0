package planner

import (
	"testing"
	"time"
)

const sizerStep = 500 * time.Millisecond

// sizedPlatform carries out orders at once.
type sizedPlatform struct {
	pool SizedPool
	// dry domains have no preemptible upstreams.
	dry    map[FailureDomain]bool
	orders int
}

func newSizedPlatform(lasting int) *sizedPlatform {
	p := &sizedPlatform{dry: map[FailureDomain]bool{}, pool: SizedPool{
		Name: "engines", Minimum: 1, Maximum: 10,
		Prices:      map[FailureDomain]float64{"a": 1, "b": 0.8, "c": 1.2, "d": 0.9},
		OnDemand:     map[FailureDomain]int{},
		Preemptible: map[FailureDomain]int{},
	}}
	for d := range p.pool.Prices {
		p.pool.OnDemand[d] = lasting
	}
	return p
}

// run lets a time pass in which a load keeps a number of upstreams busy.
func (p *sizedPlatform) run(z *Sizer, from, until time.Duration, busy float64) {
	p.pool.Busy = busy
	for now := from; now < until; now += sizerStep {
		for _, o := range z.Step(now, p.pool) {
			p.orders++
			switch {
			case !o.Preemptible:
				p.pool.OnDemand[o.FailureDomain] = o.Count
			case p.dry[o.FailureDomain] && o.Count > p.pool.Preemptible[o.FailureDomain]:
				z.Refused(now, o)
			default:
				p.pool.Preemptible[o.FailureDomain] = o.Count
			}
		}
	}
}

func (p *sizedPlatform) total() (lasting, preemptible int) {
	for d := range p.pool.Prices {
		lasting += p.pool.OnDemand[d]
		preemptible += p.pool.Preemptible[d]
	}
	return lasting, preemptible
}

func TestSizer(t *testing.T) {
	tests := map[string]struct {
		play                func(*sizedPlatform, *Sizer)
		minimum, maximum    int
		lastingMin, lastMax int
	}{
		"lasting upstreams are exchanged for preemptible ones": {
			play:    func(p *sizedPlatform, z *Sizer) { p.run(z, 0, 10*time.Second, 4) },
			minimum: 22, maximum: 22, lastingMin: 4, lastMax: 4,
		},
		"a burst grows the pool at once": {
			play: func(p *sizedPlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 2)
				p.run(z, 10*time.Second, 13*time.Second, 6)
			},
			minimum: 24, maximum: 26, lastingMin: 4, lastMax: 7,
		},
		"a short lull takes nothing away": {
			play: func(p *sizedPlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 4)
				p.run(z, 10*time.Second, 20*time.Second, 1)
			},
			minimum: 22, maximum: 22, lastingMin: 4, lastMax: 4,
		},
		"a long lull shrinks it": {
			play: func(p *sizedPlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 4)
				p.run(z, 10*time.Second, 60*time.Second, 1)
			},
			minimum: 4, maximum: 5, lastingMin: 2, lastMax: 2,
		},
		"a domain that is taken away grows elsewhere": {
			play: func(p *sizedPlatform, z *Sizer) {
				p.run(z, 0, 10*time.Second, 4)
				p.dry["c"] = true
				p.pool.Preemptible["c"] = 0
				p.run(z, 10*time.Second, 30*time.Second, 4)
			},
			minimum: 16, maximum: 28, lastingMin: 3, lastMax: 7,
		},
		"none to be had anywhere: lasting ones stand in": {
			play: func(p *sizedPlatform, z *Sizer) {
				for d := range p.pool.Prices {
					p.dry[d] = true
				}
				p.run(z, 0, 20*time.Second, 4)
			},
			minimum: 9, maximum: 16, lastingMin: 9, lastMax: 16,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newSizedPlatform(4)
			test.play(p, NewSizer())
			lasting, preemptible := p.total()
			if n := lasting + preemptible; n < test.minimum || n > test.maximum {
				t.Errorf("%d lasting and %d preemptible", lasting, preemptible)
			}
			if lasting < test.lastingMin || lasting > test.lastMax {
				t.Errorf("%d lasting", lasting)
			}
		})
	}
}

// TestSizerFewCalls holds a steady load for minutes: once the reserve for an
// unknown load is given back there are no orders.
func TestSizerFewCalls(t *testing.T) {
	p := newSizedPlatform(4)
	z := NewSizer()
	p.run(z, 0, 2*shrinkAfter, 4)
	before := p.orders
	p.run(z, 2*shrinkAfter, 3*time.Minute, 3.9)
	if p.orders != before {
		t.Errorf("%d orders under a steady load", p.orders-before)
	}
}

// TestSizerRefills loses upstreams that were ordered: they are ordered again.
func TestSizerRefills(t *testing.T) {
	p := newSizedPlatform(4)
	z := NewSizer()
	p.run(z, 0, 10*time.Second, 4)
	p.pool.Preemptible["a"] = 0
	p.run(z, 10*time.Second, 10*time.Second+2*refillAfter, 4)
	if _, preemptible := p.total(); preemptible < 12 {
		t.Errorf("%d preemptible upstreams", preemptible)
	}
}

// TestSizerNoticesALossAtOnce takes a domain's upstreams away right after a new
// process took charge: they are ordered again at the next look, not after a refill.
func TestSizerNoticesALossAtOnce(t *testing.T) {
	p := newSizedPlatform(4)
	// With 20 upstreams in all a successor orders what already serves.
	p.pool.Maximum = 5
	p.run(NewSizer(), 0, 10*time.Second, 4)
	successor := NewSizer()
	p.run(successor, 10*time.Second, 10*time.Second+sizerStep, 4)
	p.pool.Preemptible["b"] = 0
	lost := 10*time.Second + orderInterval
	p.run(successor, lost, lost+2*sizerStep, 4)
	if p.pool.Preemptible["b"] == 0 {
		t.Error("the loss was not noticed")
	}
}
