// Package retrier decides whether a failed attempt may be tried again: a
// budget bounds retries to a share of successes, and a circuit keeps requests
// from an upstream that fails.
package retrier

import "time"

const (
	// budgetCapacity is the largest number of retries that a budget saves up.
	budgetCapacity = 20
	percent        = 100
)

type (
	// Budget allows retries as a share of successes. It is not safe for concurrent use.
	Budget struct {
		share float64
		saved float64
	}

	// CircuitState says whether an upstream takes requests.
	CircuitState int

	// CircuitConfig configures a Circuit.
	CircuitConfig struct {
		// Failures in a row that open the circuit.
		Failures int
		// Pause before one request probes the upstream again.
		Pause time.Duration
	}

	// Circuit follows the outcomes of one upstream. It is not safe for concurrent use.
	Circuit struct {
		config   CircuitConfig
		failures int
		open     bool
		probing  bool
		openedAt time.Duration
	}
)

// The states of a circuit.
const (
	// Closed takes every request.
	Closed CircuitState = iota
	// Open takes none.
	Open
	// HalfOpen takes one request as a probe.
	HalfOpen
)

// NewBudget returns a full budget that grows by retryPercent of a retry for each success.
func NewBudget(retryPercent int) *Budget {
	return &Budget{share: float64(retryPercent) / percent, saved: budgetCapacity}
}

// Succeeded counts a success.
func (b *Budget) Succeeded() {
	b.saved = min(b.saved+b.share, budgetCapacity)
}

// Take uses up one retry, or reports that none is left.
func (b *Budget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// NewCircuit returns a closed circuit.
func NewCircuit(config CircuitConfig) *Circuit {
	return &Circuit{config: config}
}

// State returns the state at a time on a monotonic clock.
func (c *Circuit) State(now time.Duration) CircuitState {
	switch {
	case !c.open:
		return Closed
	case c.probing || now-c.openedAt < c.config.Pause:
		return Open
	default:
		return HalfOpen
	}
}

// Started counts a request; in a half-open circuit it is the probe.
func (c *Circuit) Started(now time.Duration) {
	if c.State(now) == HalfOpen {
		c.probing = true
	}
}

// Succeeded closes the circuit and reports whether it was open.
func (c *Circuit) Succeeded() bool {
	recovered := c.open
	c.failures = 0
	c.open = false
	c.probing = false
	return recovered
}

// Failed counts a failure; enough in a row, or a failed probe, open the circuit.
func (c *Circuit) Failed(now time.Duration) {
	c.failures++
	if c.probing || c.failures >= c.config.Failures {
		c.Trip(now)
	}
}

// Trip opens the circuit at once, for an upstream that refuses connections.
func (c *Circuit) Trip(now time.Duration) {
	c.open = true
	c.probing = false
	c.openedAt = now
}

// Abandoned releases a probe whose outcome says nothing about the upstream.
func (c *Circuit) Abandoned() {
	c.probing = false
}
