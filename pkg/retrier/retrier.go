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

	// CircuitBreakerConfig configures a Circuit.
	CircuitBreakerConfig struct {
		// Failures in a row that open the circuit.
		Failures int
		// Pause before one request probes the upstream again.
		Pause time.Duration
	}

	// CircuitBreaker follows the outcomes of one upstream. It is not safe for concurrent use.
	CircuitBreaker struct {
		config   CircuitBreakerConfig
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

// Shared is one process's part of a retry budget that several processes share:
// a ratio of the requests, and an allowance in each window. It is not safe for
// concurrent use.
type Shared struct {
	ratio     float64
	allowance float64
	window    time.Duration
	processes float64

	saved   float64
	updated time.Duration
}

const (
	// safeShare is the part of the budget that is used, since the processes'
	// windows and the counting one's are not aligned.
	safeShare = 0.6
)

// NewSharedBudget returns a full budget for one process.
func NewSharedBudget(ratio, allowance float64, window time.Duration) *Shared {
	s := &Shared{ratio: ratio, allowance: allowance, window: window, processes: 1}
	s.saved = s.capacity()
	return s
}

// capacity is the part of the allowance that one process may use at once; the
// other part refills over a window.
func (s *Shared) capacity() float64 {
	return s.allowance * safeShare / 2 / s.processes
}

// most is what one process saves up at the most.
func (s *Shared) most() float64 {
	return max(1, s.capacity())
}

// SetProcesses tells how many processes share the budget.
func (s *Shared) SetProcesses(processes int) {
	s.processes = float64(processes)
	s.saved = min(s.saved, s.capacity()+s.ratio)
}

// Requested counts a request.
func (s *Shared) Requested(now time.Duration) {
	s.refill(now)
	s.saved = min(s.saved+s.ratio*safeShare, s.most())
}

// Take uses up one retry, or reports that none is left. A retry may be begun on
// credit: the part of one process among many is often less than one.
func (s *Shared) Take(now time.Duration) bool {
	s.refill(now)
	if s.saved <= 0 {
		return false
	}
	s.saved--
	return true
}

func (s *Shared) refill(now time.Duration) {
	elapsed := min(now-s.updated, s.window)
	s.updated = now
	grown := s.capacity() * float64(elapsed) / float64(s.window)
	s.saved = min(s.saved+grown, s.most())
}

// NewCircuitBreaker returns a closed circuit.
func NewCircuitBreaker(config CircuitBreakerConfig) *CircuitBreaker {
	return &CircuitBreaker{config: config}
}

// State returns the state at a time on a monotonic clock.
func (c *CircuitBreaker) State(now time.Duration) CircuitState {
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
func (c *CircuitBreaker) Started(now time.Duration) {
	if c.State(now) == HalfOpen {
		c.probing = true
	}
}

// Succeeded closes the circuit and reports whether it was open.
func (c *CircuitBreaker) Succeeded() bool {
	recovered := c.open
	c.failures = 0
	c.open = false
	c.probing = false
	return recovered
}

// Failed counts a failure; enough in a row, or a failed probe, open the circuit.
func (c *CircuitBreaker) Failed(now time.Duration) {
	c.failures++
	if c.probing || c.failures >= c.config.Failures {
		c.Trip(now)
	}
}

// Trip opens the circuit at once, for an upstream that refuses connections.
func (c *CircuitBreaker) Trip(now time.Duration) {
	c.open = true
	c.probing = false
	c.openedAt = now
}

// Abandoned releases a probe whose outcome says nothing about the upstream.
func (c *CircuitBreaker) Abandoned() {
	c.probing = false
}
