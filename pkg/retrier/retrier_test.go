package retrier

import (
	"testing"
	"time"
)

func TestBudgetBoundsRetriesToAShareOfSuccesses(t *testing.T) {
	b := NewBudget(10)
	for b.Take() {
		// The budget that was saved up at the start is used first.
	}
	retries := 0
	for range 1000 {
		b.Succeeded()
		if b.Take() {
			retries++
		}
	}
	if retries < 90 || retries > 100 {
		t.Errorf("%d retries for 1000 successes at 10 percent", retries)
	}
}

func TestCircuit(t *testing.T) {
	const pause = time.Second
	c := NewCircuitBreaker(CircuitBreakerConfig{Failures: 3, Pause: pause})
	c.Failed(0)
	c.Failed(0)
	c.Succeeded()
	c.Failed(0)
	c.Failed(0)
	if c.State(0) != Closed {
		t.Fatal("circuit opened although the failures were not in a row")
	}
	c.Failed(0)
	if c.State(pause-1) != Open {
		t.Fatal("circuit did not open")
	}
	if c.State(pause) != HalfOpen {
		t.Fatal("circuit does not probe after the pause")
	}
	c.Started(pause)
	if c.State(pause) != Open {
		t.Fatal("a second request may pass beside the probe")
	}
	c.Failed(pause)
	if c.State(2*pause-1) != Open {
		t.Fatal("a failed probe does not open the circuit again")
	}
	c.Started(2 * pause)
	if !c.Succeeded() || c.State(2*pause) != Closed {
		t.Fatal("a successful probe does not close the circuit")
	}
}

// TestSharedBudget lets many processes retry as much as they can: together they
// stay within the ratio of the requests and the allowance of a window.
func TestSharedBudget(t *testing.T) {
	const (
		ratio  = 0.2
		window = 10 * time.Second
		step   = 10 * time.Millisecond
	)
	tests := map[string]struct {
		processes int
		allowance float64
		// requests a second over all processes.
		requests float64
		// least is the number of retries that must be possible in a window.
		least float64
	}{
		"a few busy processes":      {processes: 6, allowance: 52, requests: 66, least: 60},
		"a few idle processes":      {processes: 6, allowance: 52, requests: 0, least: 10},
		"many processes":            {processes: 88, allowance: 216, requests: 540, least: 500},
		"many processes, few calls": {processes: 88, allowance: 216, requests: 20, least: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budgets := make([]*Shared, test.processes)
			for i := range budgets {
				budgets[i] = NewSharedBudget(ratio, test.allowance, window)
				budgets[i].SetProcesses(test.processes)
			}
			var taken []time.Duration
			due, next := 0.0, 0
			for now := time.Hour; now < time.Hour+3*window; now += step {
				for due += test.requests * step.Seconds(); due >= 1; due-- {
					budgets[next%test.processes].Requested(now)
					next++
				}
				for _, b := range budgets {
					for b.Take(now) {
						taken = append(taken, now)
					}
				}
			}
			most := 0
			for first, last := 0, 0; last < len(taken); last++ {
				for taken[last]-taken[first] >= window {
					first++
				}
				most = max(most, last-first+1)
			}
			if allowed := ratio*test.requests*window.Seconds() + test.allowance; float64(most) > allowed {
				t.Errorf("%d retries in a window that allows %.0f", most, allowed)
			}
			if float64(most) < test.least {
				t.Errorf("%d retries in a window", most)
			}
		})
	}
}
