// Package stopper decides what a process that must end by a known time still begins, and ends what would
// outlast it, so that each request gets an answer before its connection is closed.
//
// While the process stops, a request that waits is refused as soon as its response is expected to take longer than
// is left, or more wait than can be answered. Shortly before the end nothing waits any more, and then nothing that has sent no part of a response goes on.
package stopper

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// maxRefusalTime is the time before the end from which nothing waits. It is less if little time is left at
	// first: a refusalDivisor-th of it.
	maxRefusalTime = time.Second
	refusalDivisor = 4
	// answerDivisor divides the time before the end from which nothing waits: for the last of its parts the
	// attempts have ended too, and their answers are written.
	answerDivisor = 4
	// answersPerSecond is the number of refusals that a process is sure to write beside others that stop too.
	answersPerSecond = 200
)

type (
	// Stopper holds when the process ends. It is safe for concurrent use.
	Stopper struct {
		now func() time.Duration
		// lastStart is the time from which nothing waits; math.MaxInt64 while the process does not stop.
		lastStart      atomic.Int64
		endsAt         atomic.Int64
		waiting        context.Context
		stopWaiting    context.CancelCauseFunc
		attempting     context.Context
		stopAttempting context.CancelCauseFunc
	}

	// Error reports work that was ended because the process stops.
	Error struct{}
)

// Error implements error.
func (e *Error) Error() string { return "the process stops" }

// New returns a Stopper of a process that does not stop. now reads a monotonic clock.
func New(now func() time.Duration) *Stopper {
	s := &Stopper{now: now}
	s.lastStart.Store(math.MaxInt64)
	s.waiting, s.stopWaiting = context.WithCancelCause(context.Background())
	s.attempting, s.stopAttempting = context.WithCancelCause(context.Background())
	return s
}

// Stop begins to stop a process that ends after left. It returns once nothing goes on any more, or when ctx is done.
func (s *Stopper) Stop(ctx context.Context, left time.Duration) {
	refusalTime := min(maxRefusalTime, left/refusalDivisor)
	end := s.now() + left
	s.endsAt.Store(int64(end))
	s.lastStart.Store(int64(end - refusalTime))
	if timer.Sleep(ctx, left-refusalTime) {
		s.stopWaiting(&Error{})
	}
	if timer.Sleep(ctx, refusalTime-refusalTime/answerDivisor) {
		s.stopAttempting(&Error{})
	}
}

// Stopping reports whether the process stops.
func (s *Stopper) Stopping() bool { return s.lastStart.Load() != math.MaxInt64 }

// MayBegin reports whether a request whose response is expected to take so long may still begin.
func (s *Stopper) MayBegin(expected time.Duration) bool {
	return !s.Stopping() || s.now()+expected < time.Duration(s.lastStart.Load())
}

// Excess returns how many of the requests that wait have to be refused now, so that there is time to answer the
// others before the end.
func (s *Stopper) Excess(waiting int) int {
	if !s.Stopping() {
		return 0
	}
	left := max(0, time.Duration(s.endsAt.Load())-s.now())
	return max(0, waiting-int(left*answersPerSecond/time.Second))
}

// Wait returns a context in which a request waits for its turn. It ends with ctx, and with an *Error as its cause when
// nothing waits any more. stop must be called once it is not needed.
func (s *Stopper) Wait(ctx context.Context) (wait context.Context, stop func()) {
	wait, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(s.waiting, func() { cancel(context.Cause(s.waiting)) })
	return wait, func() {
		unbind()
		cancel(nil)
	}
}

// OnEnd calls end, with an *Error, when what has sent no part of a response must not go on. release must be
// called once that is not needed.
func (s *Stopper) OnEnd(end func(cause error)) (release func() bool) {
	return context.AfterFunc(s.attempting, func() { end(context.Cause(s.attempting)) })
}
