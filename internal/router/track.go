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
	// trackSamples bounds the remembered changes of the requests in flight.
	trackSamples = 512
	// failureMemory is the time over which a failure is forgotten.
	failureMemory = 4 * time.Second
	// failurePenalty is what one failure counts for, as a delay.
	failurePenalty = 400 * time.Millisecond
)

type (
	// track is what this process has learnt about one incarnation of an upstream.
	track struct {
		limiter *limiter.Limiter
		circuit *retrier.CircuitBreaker
		samples []inFlightSample
		// created is when the incarnation became known.
		created time.Duration
		// pending are the tokens of this process's prompts that the upstream has still to read.
		pending float64
		// begun are the tokens that this process's requests in progress had to be read at their start.
		begun float64
		// failures are the attempts that failed of late.
		failures fading
		// load is the upstream's load as its latest answer told.
		load registrar.Load
		// lost is closed when the announcement lease ends.
		lost chan struct{}
	}

	// fading counts events and forgets them over time.
	fading struct {
		weight  float64
		updated time.Duration
	}

	inFlightSample struct {
		at    time.Duration
		count int
	}
)

func newUpstreamState(l *settings.UpstreamLimits, now time.Duration) *track {
	return &track{
		created: now,
		limiter: limiter.New(limiter.Config{
			Initial:   int(l.GetInitialConcurrency()),
			Maximum:   int(l.GetMaximumConcurrency()),
			SlowStart: slowStart,
		}, now),
		circuit: retrier.NewCircuitBreaker(retrier.CircuitBreakerConfig{
			Failures: int(l.GetCircuitFailures()),
			Pause:    l.GetCircuitPause().AsDuration(),
		}),
		lost: make(chan struct{}),
	}
}

func (t *track) free(now time.Duration) bool {
	return t.circuit.State(now) != retrier.Open && t.limiter.CanStart(now)
}

func (t *track) start(now time.Duration) {
	t.limiter.Start()
	t.circuit.Started(now)
	t.sample(now)
}

// answered learns from the response headers of an attempt.
func (t *track) answered(now, firstByte time.Duration) {
	t.limiter.ObserveFirstByte(now, firstByte)
	if t.circuit.Succeeded() {
		t.limiter.RestartSlowStart(now)
	}
}

func (t *track) finish(now time.Duration, v attemptOutcome) {
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
	t.sample(now)
}

// add counts an event.
func (f *fading) add(now time.Duration) {
	f.weight = f.at(now) + 1
	f.updated = now
}

// at returns the weight at a time.
func (f *fading) at(now time.Duration) float64 {
	return f.weight * math.Exp(-float64(now-f.updated)/float64(failureMemory))
}

// penalty returns what the events of late count for, as a delay.
func (f *fading) penalty(now time.Duration) time.Duration {
	return time.Duration(f.at(now) * float64(failurePenalty))
}

func (t *track) sample(now time.Duration) {
	t.samples = append(t.samples, inFlightSample{at: now, count: t.limiter.InFlight()})
	if len(t.samples) > 2*trackSamples {
		t.samples = append(t.samples[:0], t.samples[trackSamples:]...)
	}
}

// inFlightAt returns the requests that were in flight at a time, as far as remembered.
func (t *track) inFlightAt(at time.Duration) int {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].at <= at {
			return t.samples[i].count
		}
	}
	return 0
}

// lose tells the attempts in progress that the announcement lease has ended.
func (t *track) lose() {
	select {
	case <-t.lost:
	default:
		close(t.lost)
	}
}
