// Package retrier limits retries: it provides retry budgets and circuit breakers.
// A budget decides whether a failed attempt may be retried, and limits retries to
// a ratio of the successes or of the requests. A circuit breaker keeps requests
// away from an upstream that fails.
//
// Times are readings of one monotonic clock.
package retrier

import "time"

const (
	// budgetCapacity is the largest number of retries that a Budget can hold.
	budgetCapacity    = 20
	oneHundredPercent = 100
)

type (
	// Budget limits retries to a ratio of the successes. It is not safe for
	// concurrent use.
	Budget struct {
		// ratio is the number of retries that each success adds.
		ratio float64
		// available is the number of retries that the budget holds.
		available float64
	}

	// CircuitState is whether a circuit breaker lets requests through.
	CircuitState int

	// CircuitBreakerConfig configures a CircuitBreaker.
	CircuitBreakerConfig struct {
		// Failures is the number of failures in a row that opens the circuit.
		Failures int
		// Pause is the time from the opening of the circuit to the first probe.
		Pause time.Duration
	}

	// CircuitBreaker tracks the outcomes of the requests to one upstream. It is
	// not safe for concurrent use.
	CircuitBreaker struct {
		config CircuitBreakerConfig
		// failures counts the failures since the last success.
		failures int
		// open is also true while the circuit is half-open.
		open bool
		// probing reports whether a probe is in progress.
		probing  bool
		openedAt time.Duration
		// pausedUntil is the end of a pause that the upstream asked for, zero if there is
		// none. Until then no outcome closes the circuit.
		pausedUntil time.Duration
	}
)

// The states of a circuit.
const (
	// Closed lets every request through.
	Closed CircuitState = iota
	// Open lets no request through.
	Open
	// HalfOpen lets one request through, as a probe.
	HalfOpen
)

// NewBudget returns a budget that allows retryPercent retries for every 100
// successes. It starts with 20 retries, its maximum.
func NewBudget(retryPercent int) *Budget {
	return &Budget{ratio: float64(retryPercent) / oneHundredPercent, available: budgetCapacity}
}

// RecordSuccess records a successful request.
func (b *Budget) RecordSuccess() {
	b.available = min(b.available+b.ratio, budgetCapacity)
}

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Available returns the number of retries that the budget holds.
func (b *Budget) Available() float64 { return b.available }

// SharedBudget is the share that one process has of a retry budget for several
// processes. In any window, the retries of all processes together are limited to
// a ratio of their requests plus an allowance. A SharedBudget is not safe for
// concurrent use.
//
// A process that has just started holds nothing, since the process before it may
// have used its share up. Its share of the allowance accrues only while the number
// of processes is confirmed.
type SharedBudget struct {
	// ratio is the number of retries that each request adds.
	ratio float64
	// allowance is the number of retries that all processes together may make in
	// each window whatever the number of requests.
	allowance float64
	// window is the length of the interval to which the limit applies.
	window time.Duration
	// processes is zero until it is confirmed.
	processes float64
	// confirmedUntil is the time until which the allowance accrues.
	confirmedUntil time.Duration

	// available is the number of retries that this process holds. It can be
	// negative.
	available  float64
	refilledAt time.Duration
}

const (
	// safetyFactor is the share of the budget that may be spent. The rest is a
	// margin: the times at which the processes refill their shares are not aligned
	// with the windows in which an operator measures the retries.
	safetyFactor = 0.7
	// maxCredit is the number of retries that a process may have made in advance.
	maxCredit = 1
	// ConfirmationTime is the time for which the number of processes stays confirmed.
	// Whoever confirms it must count each process for longer than that.
	ConfirmationTime = 4 * time.Second
)

// NewSharedBudget returns a budget of which nothing may be used yet. ratio is in
// retries per request, allowance in retries per window.
func NewSharedBudget(ratio, allowance float64, window time.Duration) *SharedBudget {
	return &SharedBudget{ratio: ratio, allowance: allowance, window: window, available: -maxCredit}
}

// burst returns half of this process's share of the allowance, after the safety
// margin, in retries. A process holds at most that much, and as much accrues over
// a window.
func (s *SharedBudget) burst() float64 {
	if s.processes == 0 {
		return 0
	}
	return s.allowance * safetyFactor / 2 / s.processes
}

// capacity returns the largest number of retries that this process can hold.
func (s *SharedBudget) capacity() float64 {
	return max(1, s.burst())
}

// Confirm sets the number of processes that share the budget, at least 1, for ConfirmationTime. If
// this process holds more retries than its new burst plus ratio, it loses the excess.
func (s *SharedBudget) Confirm(now time.Duration, processes int) {
	s.refill(now)
	s.processes = float64(processes)
	s.confirmedUntil = now + ConfirmationTime
	s.available = min(s.available, s.burst()+s.ratio)
}

// Clone returns a budget that holds the same.
func (s *SharedBudget) Clone() *SharedBudget {
	clone := *s
	return &clone
}

// RecordRequest records a request, which adds to the budget.
func (s *SharedBudget) RecordRequest(now time.Duration) {
	s.refill(now)
	s.available = min(s.available+s.ratio*safetyFactor, s.capacity())
}

// Take takes one retry from the budget and reports whether it may be made. It may
// as soon as the budget is above zero; a full retry is then subtracted, so the
// budget can become negative. If a whole retry had to be available first, a
// process whose share is less than one retry would leave most of its share unused.
func (s *SharedBudget) Take(now time.Duration) bool {
	s.refill(now)
	if s.available <= 0 {
		return false
	}
	s.available--
	return true
}

// Available returns the number of retries that this process holds, which may be negative.
func (s *SharedBudget) Available() float64 { return s.available }

// refill adds the part of the allowance that has accrued since the last call.
func (s *SharedBudget) refill(now time.Duration) {
	if elapsed := min(now, s.confirmedUntil) - s.refilledAt; elapsed > 0 {
		s.available = min(s.available+s.burst()*float64(elapsed)/float64(s.window), s.capacity())
	}
	s.refilledAt = now
}

// NewCircuitBreaker returns a circuit breaker in state Closed.
func NewCircuitBreaker(config CircuitBreakerConfig) *CircuitBreaker {
	return &CircuitBreaker{config: config}
}

// State returns the state of the circuit at now. While a probe is in progress,
// it is Open for other requests.
func (c *CircuitBreaker) State(now time.Duration) CircuitState {
	switch {
	case !c.open:
		return Closed
	case c.probing || now-c.openedAt < c.config.Pause || now < c.pausedUntil:
		return Open
	default:
		return HalfOpen
	}
}

// RecordStart records that a request was sent. If the circuit is half-open, the
// request is the probe, whose outcome must be passed on to RecordSuccess,
// RecordFailure, Trip or AbandonProbe.
func (c *CircuitBreaker) RecordStart(now time.Duration) {
	if c.State(now) == HalfOpen {
		c.probing = true
	}
}

// RecordSuccess records a successful request. It closes the circuit and reports
// whether it was open.
func (c *CircuitBreaker) RecordSuccess() bool {
	if c.pausedUntil != 0 && !c.probing {
		// The request was sent before the upstream asked for the pause.
		return false
	}
	recovered := c.open
	c.pausedUntil = 0
	c.failures = 0
	c.open = false
	c.probing = false
	return recovered
}

// PauseUntil opens the circuit until a time that the upstream has asked for. Then one
// request is let through as a probe. A later end that is already set stays.
func (c *CircuitBreaker) PauseUntil(now, until time.Duration) {
	c.open = true
	c.probing = false
	c.openedAt = min(now, until-c.config.Pause)
	c.pausedUntil = max(c.pausedUntil, until)
}

// PausedUntil returns the end of the pause that the upstream has asked for, or zero if
// there is none.
func (c *CircuitBreaker) PausedUntil(now time.Duration) time.Duration {
	if now >= c.pausedUntil {
		return 0
	}
	return c.pausedUntil
}

// RecordFailure records a failed request. It opens the circuit if a probe was in
// progress, or after the configured number of failures in a row.
func (c *CircuitBreaker) RecordFailure(now time.Duration) {
	c.failures++
	if c.probing || c.failures >= c.config.Failures {
		c.Trip(now)
	}
}

// Trip opens the circuit immediately, for an upstream that cannot be reached or
// does not respond in time.
func (c *CircuitBreaker) Trip(now time.Duration) {
	c.open = true
	c.probing = false
	c.openedAt = now
}

// AbandonProbe ends a probe whose outcome says nothing about the upstream's health,
// so that another request can be the probe.
func (c *CircuitBreaker) AbandonProbe() {
	c.probing = false
}
