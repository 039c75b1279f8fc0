package planner

import (
	"testing"
	"time"
)

// TestNoOrdersInEvacuatedDomain guards against starts and stops in an evacuated domain, and against demand
// that is not met since the upstreams and pending starts there are counted on.
func TestNoOrdersInEvacuatedDomain(t *testing.T) {
	evacuated := map[FailureDomain]bool{"a": true}
	tests := map[string]struct {
		requests, upstreams int
		domains             map[FailureDomain]bool
		starts, stops       bool
	}{
		"demand that the others cannot meet":      {requests: 55, upstreams: 6, domains: evacuated, starts: true},
		"the same demand without an evacuation":   {requests: 45, upstreams: 6},
		"demand that needs those there":           {requests: 45, upstreams: 6, domains: evacuated, starts: true},
		"surplus in all domains":                  {requests: 1, upstreams: 9, domains: evacuated, stops: true},
		"all domains are evacuated":               {requests: 90, upstreams: 6, domains: map[FailureDomain]bool{"a": true, "b": true, "c": true}},
		"surplus only in the domain":              {requests: 0, upstreams: 1, domains: evacuated},
		"all upstreams are in the domain":         {requests: 5, upstreams: 1, domains: evacuated, starts: true},
		"nothing runs and all domains are usable": {requests: 5, starts: true},
		"nothing runs and no domain can be used":  {requests: 5, domains: map[FailureDomain]bool{"a": true, "b": true, "c": true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner()
			p.SetEvacuated(test.domains)
			started, stopped := false, false
			for _, o := range run(p, pool(test.requests, upstreams(test.upstreams, false)...), 2*lowObservations) {
				started, stopped = started || o.Action == Start, stopped || o.Action == Stop
				if test.domains[o.FailureDomain] || o.FailureDomain == "" {
					t.Errorf("order %+v in an evacuated domain", o)
				}
			}
			if started != test.starts || stopped != test.stops {
				t.Errorf("started %t, stopped %t; want %t, %t", started, stopped, test.starts, test.stops)
			}
		})
	}
}

// TestPendingStartsInEvacuatedDomain guards against demand that waits for upstreams which were ordered in a
// domain before it was evacuated.
func TestPendingStartsInEvacuatedDomain(t *testing.T) {
	p := newTestPlanner()
	observed := pool(12, upstreams(1, false)...)
	observed.Upstreams[0].FailureDomain = "b"
	orders := run(p, observed, highObservations)
	if len(orders) != 1 || orders[0].FailureDomain != "a" {
		t.Fatalf("orders %+v, want a start in a", orders)
	}
	p.SetEvacuated(map[FailureDomain]bool{"a": true})
	if orders = p.Step(3*interval, []Pool{observed}); len(orders) != 1 || orders[0].FailureDomain != "c" {
		t.Errorf("orders %+v after the evacuation of a, want a start in c", orders)
	}
}

// TestSizerLeavesEvacuatedDomain guards against numbers that are ordered for an evacuated domain, against
// demand that is not met in the others, against upstreams that are stopped when their domain comes back, and
// against those that were added in the others and are paid for ever after.
func TestSizerLeavesEvacuatedDomain(t *testing.T) {
	const busy = 6.0
	evacuated := map[FailureDomain]bool{"a": true}
	tests := map[string]struct {
		// before is the load before the evacuation, during that in it, for length.
		before, during float64
		length         time.Duration
	}{
		"short":                         {before: busy, during: busy, length: 10 * time.Second},
		"long, and the pool has shrunk": {before: busy, during: 2, length: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, z := newFakePlatform(2), NewSizer()
			p.run(z, 0, 30*time.Second, test.before)
			whole := p.pool
			there := [2]int{whole.OnDemand["a"], whole.Preemptible["a"]}
			p.pool = withoutDomains(whole, evacuated)
			now := 30 * time.Second
			p.run(z, now, now+test.length, test.during)
			now += test.length
			onDemand, preemptible := p.total()
			enough := onDemand + preemptible
			if enough < sizeFor(test.during) {
				t.Errorf("%d upstreams in the other domains, want enough for a load of %v", enough, test.during)
			}
			if _, ordered := p.pool.OnDemand["a"]; ordered || p.pool.Preemptible["a"] > 0 {
				t.Error("upstreams were ordered in the evacuated domain")
			}
			p.pool = merged(whole, p.pool, there)
			others := p.pool.Preemptible["b"]
			p.run(z, now, now+shrinkDelay/2, test.during)
			if got := [2]int{p.pool.OnDemand["a"], p.pool.Preemptible["a"]}; got != there || p.pool.Preemptible["b"] < others {
				t.Errorf("%v upstreams after the domain has come back, want the %v that were there; %d in b, want %d", got, there, p.pool.Preemptible["b"], others)
			}
			p.run(z, now+shrinkDelay/2, now+2*shrinkDelay, test.during)
			if onDemand, preemptible = p.total(); onDemand+preemptible > enough {
				t.Errorf("%d upstreams in the end, want no more than the %d that were enough without the domain", onDemand+preemptible, enough)
			}
			for d, price := range p.pool.Prices {
				if n := p.pool.OnDemand[d] + p.pool.Preemptible[d]; n < 1 || n > 8 {
					t.Errorf("%d upstreams in %s at the price %v in the end, want them spread evenly", n, d, price)
				}
			}
		})
	}
}

// withoutDomains returns an observation of a pool without evacuated domains.
func withoutDomains(p SizedPool, evacuated map[FailureDomain]bool) SizedPool {
	out := p
	out.Prices, out.OnDemand, out.Preemptible = map[FailureDomain]float64{}, map[FailureDomain]int{}, map[FailureDomain]int{}
	for d, price := range p.Prices {
		out.Prices[d], out.OnDemand[d], out.Preemptible[d] = price, p.OnDemand[d], p.Preemptible[d]
	}
	out.Evacuate(evacuated)
	return out
}

// merged returns an observation with the upstreams that were left in a, beside those of the other domains.
func merged(whole, others SizedPool, there [2]int) SizedPool {
	out := withoutDomains(whole, nil)
	for d := range others.Prices {
		out.OnDemand[d], out.Preemptible[d] = others.OnDemand[d], others.Preemptible[d]
	}
	out.OnDemand["a"], out.Preemptible["a"] = there[0], there[1]
	return out
}
