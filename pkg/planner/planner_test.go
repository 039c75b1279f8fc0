package planner

import (
	"fmt"
	"testing"
	"time"
)

const (
	interval       = 5 * time.Second
	startupTimeout = time.Minute
)

func newTestPlanner() *Planner {
	return New(Config{Domains: []FailureDomain{"a", "b", "c"}, StartupTimeout: startupTimeout, MaxStarting: 2})
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

// run passes the same observation a number of times and returns all orders.
func run(p *Planner, observed Pool, times int) []Order {
	var all []Order
	for i := range times {
		all = append(all, p.Step(time.Duration(i)*interval, []Pool{observed})...)
	}
	return all
}

func TestConcurrentStartsAreLimited(t *testing.T) {
	p := newTestPlanner()
	orders := run(p, pool(100, upstreams(1, false)...), int(startupTimeout/interval))
	if len(orders) != 2 {
		t.Errorf("%d orders, want 2 until the first starts time out: %v", len(orders), orders)
	}
}

func TestOneHighObservationOrdersNothing(t *testing.T) {
	p := newTestPlanner()
	for i := range 20 {
		// The load alternates between high and normal.
		requests := 5
		if i%2 == 0 {
			requests = 10
		}
		if orders := p.Step(time.Duration(i)*interval, []Pool{pool(requests, upstreams(1, false)...)}); len(orders) > 0 {
			t.Fatalf("orders: %v, want none for a load that alternates", orders)
		}
	}
}

func TestStartsSpreadOverDomains(t *testing.T) {
	p := newTestPlanner()
	orders := run(p, pool(100, upstreams(2, false)...), 3)
	if len(orders) != 2 || orders[0].FailureDomain != "c" {
		t.Errorf("orders: %v, want 2 with the first one in domain c", orders)
	}
}

func TestOnDemandShare(t *testing.T) {
	tests := map[string]struct {
		requests    int
		upstreams   []Upstream
		preemptible bool
	}{
		"too few on-demand upstreams":     {requests: 60, upstreams: upstreams(2, true), preemptible: false},
		"enough on-demand upstreams":      {requests: 60, upstreams: upstreams(5, false), preemptible: true},
		"the first upstream is on-demand": {requests: 1, preemptible: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			orders := run(newTestPlanner(), pool(test.requests, test.upstreams...), 2)
			if len(orders) == 0 || orders[0].Action != Start || orders[0].Preemptible != test.preemptible {
				t.Errorf("orders: %v, want a start first, preemptible: %t", orders, test.preemptible)
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
		// preemptible is the capacity type of the first upstream that is stopped.
		preemptible bool
	}{
		"the last upstream stays":                       {upstreams: upstreams(1, false)},
		"needed upstreams stay":                         {requests: 20, upstreams: upstreams(3, false)},
		"surplus on-demand upstreams are stopped first": {upstreams: both, stops: 1},
		"the required on-demand upstreams stay":         {upstreams: append(upstreams(1, false), upstreams(3, true)...), stops: 1, preemptible: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			orders := run(newTestPlanner(), pool(test.requests, test.upstreams...), lowObservations)
			if len(orders) != test.stops {
				t.Fatalf("orders: %v, want %d", orders, test.stops)
			}
			if test.stops > 0 && (orders[0].Action != Stop || orders[0].Preemptible != test.preemptible) {
				t.Errorf("orders: %v, want a stop first, preemptible: %t", orders, test.preemptible)
			}
		})
	}
}

// TestFailureDomainLoss removes a third of the upstreams at once: the pool must replace them
// without starting too many upstreams or stopping any.
func TestFailureDomainLoss(t *testing.T) {
	p := newTestPlanner()
	before := upstreams(9, false)
	var serving []Upstream
	for _, u := range before {
		if u.FailureDomain != "a" {
			serving = append(serving, u)
		}
	}
	total := 0
	for i := range 200 {
		now := time.Duration(i) * interval
		for _, o := range p.Step(now, []Pool{pool(60, serving...)}) {
			if o.Action == Stop {
				t.Fatalf("an upstream was stopped after %d steps", i)
			}
			total++
			serving = append(serving, Upstream{
				ID: UpstreamID(fmt.Sprintf("new-%d", total)), FailureDomain: o.FailureDomain, Slots: 10, Preemptible: o.Preemptible,
			})
		}
	}
	if utilization := 60 / float64(totalSlots(pool(60, serving...))); total > 3 || utilization > highUtilization {
		t.Errorf("%d upstreams were started for 3 that were lost, utilization is %.2f, want at most %.2f", total, utilization, highUtilization)
	}
}

// TestDomainsBecomeKnown guards against orders without a failure domain if the planner is created
// before the domains are known.
func TestDomainsBecomeKnown(t *testing.T) {
	p := New(Config{StartupTimeout: startupTimeout, MaxStarting: 2})
	p.SetDomains([]FailureDomain{"b"})
	orders := run(p, pool(100, upstreams(1, false)...), int(startupTimeout/interval))
	if len(orders) == 0 || orders[0].FailureDomain != "b" {
		t.Errorf("orders: %v, want starts in domain b", orders)
	}
}

// TestLastUpstreamsOfVersionStopLast guards against orders that stop the last upstreams of a version
// while there are others to stop: streams that they have begun would have to end.
func TestLastUpstreamsOfVersionStopLast(t *testing.T) {
	upstream := func(id, version string, load int) Upstream {
		return Upstream{ID: UpstreamID(id), FailureDomain: "a", Version: version, Slots: 8, Load: load}
	}
	tests := map[string]struct {
		upstreams []Upstream
		want      UpstreamID
	}{
		"two of the old version, idle": {
			upstreams: []Upstream{upstream("old-1", "v1", 0), upstream("old-2", "v1", 0), upstream("new-1", "v2", 1), upstream("new-2", "v2", 2), upstream("new-3", "v2", 3)},
			want:      "new-1",
		},
		"three of the old version": {
			upstreams: []Upstream{upstream("old-1", "v1", 1), upstream("old-2", "v1", 0), upstream("old-3", "v1", 1), upstream("new-1", "v2", 1), upstream("new-2", "v2", 2)},
			want:      "old-2",
		},
		"nothing else is left": {upstreams: []Upstream{upstream("old-1", "v1", 1), upstream("new-1", "v2", 0)}, want: "new-1"},
		"one version":          {upstreams: []Upstream{upstream("1", "v1", 1), upstream("2", "v1", 0)}, want: "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			order, found := stopOrder(Pool{Name: "model/m", Upstreams: test.upstreams})
			if !found || order.Upstream != test.want {
				t.Errorf("order %+v, found %t; want the stop of %s", order, found, test.want)
			}
		})
	}
}
