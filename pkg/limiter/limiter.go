// Package limiter bounds the concurrent requests to one upstream by a limit
// that it learns from latency. Until the limit has shrunk for the first time it
// stands at the slots that the upstream states, or else grows by one for each
// answer in good time; afterwards it grows by one for each full window of such
// answers. It shrinks when answers fail, and, if the upstream states no slots,
// when they slow down: below its slots an upstream is not slowed down by them.
package limiter

import "time"

const (
	// slowFactor is the latency, as a multiple of the baseline, that shrinks the limit.
	slowFactor = 2.5
	// shrink is the factor by which the limit shrinks.
	shrink = 0.85
	// smoothing is the weight of a new latency in the moving average.
	smoothing = 0.2
	// baselineDrift is the weight with which the baseline follows higher latencies.
	baselineDrift = 0.01
	// usedShare is the share of the limit that must have been in use for an answer to grow it.
	usedShare = 0.75
)

type (
	// Config bounds the limit.
	Config struct {
		Initial int
		Maximum int
		// SlowStart is the time over which the limit of a new or recovered upstream rises to its learnt value.
		SlowStart time.Duration
	}

	// Limiter counts the requests in flight to one upstream. It is not safe for concurrent use.
	Limiter struct {
		config   Config
		limit    float64
		ceiling  int
		inFlight int
		// average and baseline are latencies in seconds.
		average  float64
		baseline float64
		// shrunk reports that the limit has shrunk, shrunkAt when it did so last; it
		// shrinks once a latency at the most.
		shrunk bool
		// stated reports that the ceiling comes from slots that the upstream states.
		stated   bool
		shrunkAt time.Duration
		eased    time.Duration
	}
)

// New returns a limiter whose upstream became available at a time on a monotonic clock.
func New(config Config, now time.Duration) *Limiter {
	return &Limiter{config: config, limit: float64(config.Initial), ceiling: config.Maximum, eased: now}
}

// SetCeiling bounds the limit by this process's share of the slots that the upstream states.
func (l *Limiter) SetCeiling(ceiling int) {
	l.ceiling = max(1, min(ceiling, l.config.Maximum))
	l.stated = true
	if !l.shrunk {
		l.limit = float64(l.ceiling)
	}
}

// RestartSlowStart eases the upstream in again from now on.
func (l *Limiter) RestartSlowStart(now time.Duration) {
	l.eased = now
}

// Limit returns the number of requests allowed in flight at a time.
func (l *Limiter) Limit(now time.Duration) int {
	limit := min(l.limit, float64(l.ceiling))
	if age := now - l.eased; age < l.config.SlowStart {
		limit *= float64(age) / float64(l.config.SlowStart)
	}
	return max(1, int(limit))
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// CanStart reports whether one more request may start.
func (l *Limiter) CanStart(now time.Duration) bool {
	return l.inFlight < l.Limit(now)
}

// Latency returns the average time to the first byte, or zero before the first answer.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.average * float64(time.Second))
}

// Start counts a request that was sent.
func (l *Limiter) Start() { l.inFlight++ }

// Finish counts a request whose outcome says nothing about the upstream's load.
func (l *Limiter) Finish() { l.inFlight-- }

// ObserveFirstByte learns from the time to the first byte of one request in flight.
func (l *Limiter) ObserveFirstByte(now, latency time.Duration) {
	seconds := latency.Seconds()
	if l.average == 0 {
		l.average = seconds
		l.baseline = seconds
	}
	l.average += smoothing * (seconds - l.average)
	if seconds < l.baseline {
		l.baseline = seconds
	} else {
		l.baseline += baselineDrift * (seconds - l.baseline)
	}
	if !l.stated && l.average > slowFactor*l.baseline {
		l.shrinkOnce(now, latency)
		return
	}
	if float64(l.inFlight) < usedShare*l.limit {
		return
	}
	growth := 1 / l.limit
	if !l.shrunk {
		growth = 1
	}
	l.limit = min(l.limit+growth, float64(l.ceiling))
}

// Overloaded learns from an answer that says the upstream has too much work, or from a failure.
func (l *Limiter) Overloaded(now time.Duration) {
	l.shrinkOnce(now, l.Latency())
}

func (l *Limiter) shrinkOnce(now, latency time.Duration) {
	if l.shrunk && now-l.shrunkAt < latency {
		return
	}
	l.shrunk = true
	l.shrunkAt = now
	l.limit = max(1, l.limit*shrink)
}
