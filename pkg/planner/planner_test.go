package planner

import (
	"fmt"
	"testing"
	"time"
)

const (
	interval = 5 * time.Second
	startUp  = time.Minute
)

func newTestPlanner() *Planner {
	return New(Config{Domains: []FailureDomain{"a", "b", "c"}, StartupTimeout: startUp, MaxStarting: 2})
}

func pool(requests int, upstreams ...Upstream) Pool {
	return Pool{Name: "model/m", Requests: requests, Upstreams: upstreams}
}

func upstreams(n int, preemptible bool) []Upstream {
	var out []Upstream
	for i := range n {
		out = append(out, Upstream{
			ID: UpstreamID(fmt.Sprintf("%t-%d", preemptible, i)), FailureDomain: FailureDomain("abc"[i%3 : i%3+1]),
			Slots: 10, Preemptible: preemptible,
		})
	}
	return out
}

// run observes the same pool a number of times and returns all orders.
func run(p *Planner, observed Pool, times int) []Order {
	var all []Order
	for i := range times {
		all = append(all, p.Step(time.Duration(i)*interval, []Pool{observed})...)
	}
	return all
}

func TestNoStampede(t *testing.T) {
	p := newTestPlanner()
	orders := run(p, pool(100, upstreams(1, false)...), int(startUp/interval))
	if len(orders) != 2 {
		t.Errorf("%d orders while the first two start: %v", len(orders), orders)
	}
}

func TestOneHighObservationOrdersNothing(t *testing.T) {
	p := newTestPlanner()
	for i := range 20 {
		requests := 5
		if i%2 == 0 {
			requests = 10
		}
		if orders := p.Step(time.Duration(i)*interval, []Pool{pool(requests, upstreams(1, false)...)}); len(orders) > 0 {
			t.Fatalf("orders for a load that swings: %v", orders)
		}
	}
}

func TestStartsSpreadOverDomains(t *testing.T) {
	p := newTestPlanner()
	orders := run(p, pool(100, upstreams(2, false)...), 3)
	if len(orders) != 2 || orders[0].FailureDomain != "c" {
		t.Errorf("orders: %v", orders)
	}
}

func TestLastingShare(t *testing.T) {
	tests := map[string]struct {
		requests  int
		upstreams []Upstream
		want      bool
	}{
		"too few lasting ones":     {requests: 60, upstreams: upstreams(2, true), want: false},
		"enough lasting ones":      {requests: 60, upstreams: upstreams(5, false), want: true},
		"the first one is lasting": {requests: 1, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			orders := run(newTestPlanner(), pool(test.requests, test.upstreams...), 2)
			if len(orders) == 0 || orders[0].Action != Start || orders[0].Preemptible != test.want {
				t.Errorf("orders: %v", orders)
			}
		})
	}
}

func TestStops(t *testing.T) {
	both := append(upstreams(4, false), upstreams(2, true)...)
	tests := map[string]struct {
		requests  int
		upstreams []Upstream
		stops     int
		// preemptible is what the first stop takes.
		preemptible bool
	}{
		"never the last one":            {upstreams: upstreams(1, false)},
		"what is needed stays":          {requests: 20, upstreams: upstreams(3, false)},
		"surplus lasting ones go first": {upstreams: both, stops: 1},
		"the lasting share stays":       {upstreams: append(upstreams(1, false), upstreams(3, true)...), stops: 1, preemptible: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			orders := run(newTestPlanner(), pool(test.requests, test.upstreams...), lowObservations)
			if len(orders) != test.stops {
				t.Fatalf("orders: %v", orders)
			}
			if test.stops > 0 && (orders[0].Action != Stop || orders[0].Preemptible != test.preemptible) {
				t.Errorf("orders: %v", orders)
			}
		})
	}
}

// TestZoneLoss takes a third of the upstreams away at once: the pool grows back
// a few at a time and then stays as it is.
func TestZoneLoss(t *testing.T) {
	p := newTestPlanner()
	running := upstreams(9, false)
	var kept []Upstream
	for _, u := range running {
		if u.FailureDomain != "a" {
			kept = append(kept, u)
		}
	}
	total := 0
	for i := range 200 {
		now := time.Duration(i) * interval
		for _, o := range p.Step(now, []Pool{pool(60, kept...)}) {
			if o.Action == Stop {
				t.Fatalf("an upstream was stopped after %d steps", i)
			}
			total++
			kept = append(kept, Upstream{
				ID: UpstreamID(fmt.Sprintf("new-%d", total)), FailureDomain: o.FailureDomain, Slots: 10, Preemptible: o.Preemptible,
			})
		}
	}
	if use := 60 / float64(capacity(pool(60, kept...))); total > 3 || use > highUse {
		t.Errorf("%d upstreams were started for 3 that were lost, use is %.2f", total, use)
	}
}

// TestDomainsBecomeKnown begins before any failure domain is known.
func TestDomainsBecomeKnown(t *testing.T) {
	p := New(Config{StartupTimeout: startUp, MaxStarting: 2})
	p.SetDomains([]FailureDomain{"b"})
	orders := run(p, pool(100, upstreams(1, false)...), int(startUp/interval))
	if len(orders) == 0 || orders[0].FailureDomain != "b" {
		t.Errorf("orders in the domain b are wanted: %v", orders)
	}
}
