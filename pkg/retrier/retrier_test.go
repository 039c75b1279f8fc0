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
	c := NewCircuit(CircuitConfig{Failures: 3, Pause: pause})
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
