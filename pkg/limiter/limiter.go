// Package limiter limits the concurrent requests to one upstream, with a limit
// that adapts to the latency of the responses and to failures.
//
// Until it first shrinks, the limit is this process's share of the upstream's
// slots if the upstream reports its slots, and otherwise grows by one for each
// response. Afterwards it grows by 1/limit for each response. It grows only while
// most of it is in use.
//
// The limit shrinks when an upstream fails or is overloaded. If the upstream
// reports no slots, a response also shrinks the limit, instead of growing it,
// while the average latency is far above its baseline. If it reports slots, latency
// does not matter: up to its number of slots, more requests slow an upstream down
// only a little, and its latency varies for other reasons such as the length of the
// prompts.
//
// Times are readings of one monotonic clock.
package limiter

import "time"

const (
	// slowFactor is the ratio of average to baseline latency above which the limit shrinks.
	slowFactor = 2.5
	// shrinkFactor is what the limit is multiplied by when it shrinks.
	shrinkFactor = 0.85
	// latencySmoothing is the weight of a new sample in the moving average of the latency.
	latencySmoothing = 0.2
	// baselineDrift is the weight of a new sample above the baseline latency. A
	// sample below the baseline replaces it.
	baselineDrift = 0.01
	// minUtilization is the share of the limit that must be in use for a response to grow it.
	minUtilization = 0.75
)

type (
	// Config configures a Limiter.
	Config struct {
		// Initial is the first limit, in requests.
		Initial int
		// Maximum is the largest limit, in requests.
		Maximum int
		// SlowStart is the time over which the requests allowed to a new or
		// recovered upstream rise linearly to the limit. Zero allows all of them
		// immediately.
		SlowStart time.Duration
	}

	// Limiter counts the requests in flight to one upstream and limits them. It
	// is not safe for concurrent use.
	Limiter struct {
		config Config
		// limit is the adapted limit, before slow start and the ceiling are applied.
		limit float64
		// ceiling bounds the limit in use; the field limit may be above it.
		ceiling  int
		inFlight int
		// averageLatency and baselineLatency are times to the first byte, in
		// seconds. The baseline estimates the latency without load.
		averageLatency  float64
		baselineLatency float64
		// shrunk reports whether the limit has ever shrunk.
		shrunk bool
		// slotsKnown reports whether the ceiling derives from slots that the
		// upstream reports.
		slotsKnown bool
		// shrunkAt is when the limit last shrank. It shrinks at most once in the time
		// to the first byte of a response, so that responses to requests sent before it
		// shrank do not shrink it again.
		shrunkAt      time.Duration
		slowStartedAt time.Duration
	}
)

// New returns a limiter for an upstream that became available at now, which
// begins slow start.
func New(config Config, now time.Duration) *Limiter {
	return &Limiter{config: config, limit: float64(config.Initial), ceiling: config.Maximum, slowStartedAt: now}
}

// SetCeiling bounds the limit by ceiling, this process's share of the slots
// that the upstream reports. The bound is at least 1 and at most the configured
// maximum. Until the limit first shrinks, it is set to the ceiling. Slow responses
// no longer shrink it once SetCeiling has been called.
func (l *Limiter) SetCeiling(ceiling int) {
	l.ceiling = max(1, min(ceiling, l.config.Maximum))
	l.slotsKnown = true
	if !l.shrunk {
		l.limit = float64(l.ceiling)
	}
}

// RestartSlowStart begins slow start again, for an upstream that has recovered.
func (l *Limiter) RestartSlowStart(now time.Duration) {
	l.slowStartedAt = now
}

// Limit returns the number of requests allowed in flight at now. It is at least 1.
func (l *Limiter) Limit(now time.Duration) int {
	limit := l.fullLimit()
	if age := now - l.slowStartedAt; age < l.config.SlowStart {
		limit *= float64(age) / float64(l.config.SlowStart)
	}
	return max(1, int(limit))
}

// fullLimit returns the number of requests allowed in flight after slow start.
func (l *Limiter) fullLimit() float64 { return min(l.limit, float64(l.ceiling)) }

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// CanStart reports whether one more request may start at now.
func (l *Limiter) CanStart(now time.Duration) bool {
	return l.inFlight < l.Limit(now)
}

// HasRoom reports whether one more request may start if slow start is ignored.
func (l *Limiter) HasRoom() bool {
	return l.inFlight < max(1, int(l.fullLimit()))
}

// Latency returns the moving average of the time to the first byte, or zero
// before the first response.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.averageLatency * float64(time.Second))
}

// Start counts a request as in flight. It does not enforce the limit.
func (l *Limiter) Start() { l.inFlight++ }

// Finish ends a request that Start counted, whatever its outcome.
func (l *Limiter) Finish() { l.inFlight-- }

// ObserveFirstByte adapts the limit to a response whose first byte arrived at
// now, latency after its request was sent. The request must still be in flight:
// Finish is called after ObserveFirstByte.
func (l *Limiter) ObserveFirstByte(now, latency time.Duration) {
	seconds := latency.Seconds()
	if l.averageLatency == 0 {
		l.averageLatency = seconds
		l.baselineLatency = seconds
	}
	l.averageLatency += latencySmoothing * (seconds - l.averageLatency)
	if seconds < l.baselineLatency {
		l.baselineLatency = seconds
	} else {
		l.baselineLatency += baselineDrift * (seconds - l.baselineLatency)
	}
	if !l.slotsKnown && l.averageLatency > slowFactor*l.baselineLatency {
		l.shrink(now, latency)
		return
	}
	if float64(l.inFlight) < minUtilization*l.limit {
		return
	}
	growth := 1 / l.limit
	if !l.shrunk {
		growth = 1
	}
	l.limit = min(l.limit+growth, float64(l.ceiling))
}

// ObserveFailure shrinks the limit after a failed request, or a response that says
// that the upstream is overloaded. It does not end the request.
func (l *Limiter) ObserveFailure(now time.Duration) {
	l.shrink(now, l.Latency())
}

// shrink reduces the limit, unless it last shrank less than latency before now.
func (l *Limiter) shrink(now, latency time.Duration) {
	if l.shrunk && now-l.shrunkAt < latency {
		return
	}
	l.shrunk = true
	l.shrunkAt = now
	l.limit = max(1, l.limit*shrinkFactor)
}
