package router

import (
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/stopper"
	"github.com/comfreybend/comfreybend/pkg/limiter"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

type (
	// upstreamState is the local state of one incarnation of an upstream.
	upstreamState struct {
		limiter *limiter.Limiter
		circuit *retrier.CircuitBreaker
		// inFlight records the number of requests in progress.
		inFlight limiter.History
		// firstAnnounced is when the first announcement of the incarnation was applied.
		firstAnnounced time.Duration
		// pendingTokens are the prompt tokens of this process's requests that the upstream
		// has still to process.
		pendingTokens float64
		// uncachedTokens are the uncached prompt tokens of this process's requests in
		// progress, counted when each starts.
		uncachedTokens float64
		// failures counts recent failed attempts.
		failures retrier.FailureCounter
		// reportedLoad is the load in the upstream's latest response that has one.
		reportedLoad registrar.Load
		// limited reports that the upstream named a request limit, or was cold, when it was last a
		// candidate; named that it named a limit.
		limited, named bool
		// heardAt is when the latest response of the upstream arrived.
		heardAt time.Duration
		// foreignAnswerAt is the monotonic time in nanoseconds at which the upstream last sent an answer
		// with the id of another attempt; zero if it has not.
		foreignAnswerAt atomic.Int64
		// leaseEnded is closed when the announcement lease ends or a new incarnation is
		// announced.
		leaseEnded chan struct{}
	}
)

func newUpstreamState(l *settings.UpstreamLimits, now time.Duration) *upstreamState {
	return &upstreamState{
		firstAnnounced: now,
		limiter: limiter.New(limiter.Config{
			Initial:   int(l.GetInitialConcurrency()),
			Maximum:   int(l.GetMaximumConcurrency()),
			SlowStart: slowStart,
		}, now),
		circuit: retrier.NewCircuitBreaker(retrier.CircuitBreakerConfig{
			Failures: int(l.GetCircuitFailures()),
			Pause:    l.GetCircuitPause().AsDuration(),
		}),
		leaseEnded: make(chan struct{}),
	}
}

// free reports whether the upstream can take one more request of this process.
func (s *upstreamState) free(now time.Duration) bool {
	return s.circuit.State(now) != retrier.Open && s.limiter.CanStart(now)
}

// ready is free without regard to the slow start.
func (s *upstreamState) ready(now time.Duration) bool {
	return s.circuit.State(now) != retrier.Open && s.limiter.HasRoom()
}

// setLimited records whether the upstream names a request limit or is cold. At the end of that the
// upstream gets a slow start.
func (s *upstreamState) setLimited(now time.Duration, restraint restrainer.Restraint) {
	if s.limited && !restraint.Limited {
		s.limiter.RestartSlowStart(now)
	}
	s.limited, s.named = restraint.Limited, restraint.Named
}

func (s *upstreamState) requestStarted(now time.Duration) {
	s.limiter.Start()
	s.circuit.RecordStart(now)
	s.inFlight.Record(now, s.limiter.InFlight())
}

// headersReceived updates the limiter and the circuit breaker. An upstream that has
// recovered gets a slow start.
func (s *upstreamState) headersReceived(now, timeToHeaders time.Duration) {
	s.limiter.ObserveFirstByte(now, timeToHeaders)
	if s.circuit.RecordSuccess() {
		s.limiter.RestartSlowStart(now)
	}
}

// requestFinished records the end of a request. An unreachable or timed-out upstream opens
// the circuit breaker at once. A failure counts towards opening it and lowers the
// concurrency limit; an overload only lowers the limit.
func (s *upstreamState) requestFinished(now time.Duration, outcome attemptOutcome) {
	s.limiter.Finish()
	switch outcome {
	case outcomeAnswered:
	case outcomeOverloaded:
		s.limiter.ObserveFailure(now)
		s.circuit.AbandonProbe()
	case outcomeFailed:
		s.limiter.ObserveFailure(now)
		s.circuit.RecordFailure(now)
		s.failures.Add(now)
	case outcomeUnreachable, outcomeTimedOut:
		s.failures.Add(now)
		s.circuit.Trip(now)
	case outcomeAbandoned:
		s.circuit.AbandonProbe()
	}
	s.inFlight.Record(now, s.limiter.InFlight())
}

// endLease signals the attempts in progress that the announcement lease of this incarnation
// has ended or that a new incarnation has replaced it.
func (s *upstreamState) endLease() {
	select {
	case <-s.leaseEnded:
	default:
		close(s.leaseEnded)
	}
}

// failureOutcome returns outcomeAbandoned for an attempt that this process cancelled because
// of its prompt or because it stops, outcomeTimedOut for a connection whose upstream stopped
// acknowledging data or keep-alive probes, and outcomeFailed for other failures.
func failureOutcome(err error) attemptOutcome {
	if errors.As(err, new(*heldPartError)) || errors.As(err, new(*stopper.Error)) {
		return outcomeAbandoned
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		return outcomeTimedOut
	}
	return outcomeFailed
}
