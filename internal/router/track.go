package router

import (
	"math"
	"time"

	"github.com/comfreybend/comfreybend/pkg/limiter"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// keptInFlightSamples bounds the remembered changes of the requests in flight.
	keptInFlightSamples = 512
	// failureDecayTime is the time over which a failure is forgotten.
	failureDecayTime = 4 * time.Second
	// failurePenalty is what one failure counts for, as a delay.
	failurePenalty = 400 * time.Millisecond
)

type (
	// upstreamState is what this process has learnt about one incarnation of an upstream.
	upstreamState struct {
		limiter *limiter.Limiter
		circuit *retrier.Circuit
		inFlightSamples []inFlightSample
		// firstSeen is when the incarnation became known.
		firstSeen time.Duration
		// pendingTokens are the tokens of this process's prompts that the upstream has still to read.
		pendingTokens float64
		// uncachedTokens are the tokens that this process's requests in progress had to be read at their start.
		uncachedTokens float64
		// failures are the attempts that failed of late.
		failures decayingCounter
		// reportedLoad is the upstream's reportedLoad as its latest answer told.
		reportedLoad registrar.Load
		// leaseEnded is closed when the announcement lease ends.
		leaseEnded chan struct{}
	}

	// decayingCounter counts events and forgets them over time.
	decayingCounter struct {
		weight  float64
		updated time.Duration
	}

	inFlightSample struct {
		at    time.Duration
		count int
	}
)

func newUpstreamState(l *settings.UpstreamLimits, now time.Duration) *upstreamState {
	return &upstreamState{
		firstSeen: now,
		limiter: limiter.New(limiter.Config{
			Initial:   int(l.GetInitialConcurrency()),
			Maximum:   int(l.GetMaximumConcurrency()),
			SlowStart: slowStart,
		}, now),
		circuit: retrier.NewCircuit(retrier.CircuitConfig{
			Failures: int(l.GetCircuitFailures()),
			Pause:    l.GetCircuitPause().AsDuration(),
		}),
		leaseEnded: make(chan struct{}),
	}
}

func (t *upstreamState) free(now time.Duration) bool {
	return t.circuit.State(now) != retrier.Open && t.limiter.Free(now)
}

func (t *upstreamState) start(now time.Duration) {
	t.limiter.Start()
	t.circuit.Started(now)
	t.recordInFlight(now)
}

// answered learns from the response headers of an attempt.
func (t *upstreamState) answered(now, firstByte time.Duration) {
	t.limiter.Answered(now, firstByte)
	if t.circuit.Succeeded() {
		t.limiter.Restart(now)
	}
}

func (t *upstreamState) finish(now time.Duration, v attemptOutcome) {
	t.limiter.Finish()
	switch v {
	case outcomeAnswered:
	case outcomeOverloaded:
		t.limiter.Overloaded(now)
		t.circuit.Abandoned()
	case outcomeFailed:
		t.limiter.Overloaded(now)
		t.circuit.Failed(now)
		t.failures.add(now)
	case outcomeUnreachable, outcomeTimedOut:
		t.failures.add(now)
		t.circuit.Trip(now)
	case outcomeAbandoned:
		t.circuit.Abandoned()
	}
	t.recordInFlight(now)
}

// add counts an event.
func (f *decayingCounter) add(now time.Duration) {
	f.weight = f.weightAt(now) + 1
	f.updated = now
}

// weightAt returns the weight weightAt a time.
func (f *decayingCounter) weightAt(now time.Duration) float64 {
	return f.weight * math.Exp(-float64(now-f.updated)/float64(failureDecayTime))
}

// penalty returns what the events of late count for, as a delay.
func (f *decayingCounter) penalty(now time.Duration) time.Duration {
	return time.Duration(f.weightAt(now) * float64(failurePenalty))
}

func (t *upstreamState) recordInFlight(now time.Duration) {
	t.inFlightSamples = append(t.inFlightSamples, inFlightSample{at: now, count: t.limiter.InFlight()})
	if len(t.inFlightSamples) > 2*keptInFlightSamples {
		t.inFlightSamples = append(t.inFlightSamples[:0], t.inFlightSamples[keptInFlightSamples:]...)
	}
}

// inFlightAt returns the requests that were in flight at a time, as far as remembered.
func (t *upstreamState) inFlightAt(at time.Duration) int {
	for i := len(t.inFlightSamples) - 1; i >= 0; i-- {
		if t.inFlightSamples[i].at <= at {
			return t.inFlightSamples[i].count
		}
	}
	return 0
}

// endLease tells the attempts in progress that the announcement lease has ended.
func (t *upstreamState) endLease() {
	select {
	case <-t.leaseEnded:
	default:
		close(t.leaseEnded)
	}
}
