package racer

import (
	"context"
	"time"
)

// The attempts of a race.
const (
	// First is the attempt that the race begins with, Copy the one that is sent if that is slow.
	First Lane = iota
	Copy
	none
)

// Results of an attempt.
const (
	// Answered means that the response is relayed.
	Answered Result = iota
	// AnsweredError means that the upstream responded with an error that is relayed if the other
	// attempt brings nothing better.
	AnsweredError
	// Failed means that the attempt has no response that can be relayed.
	Failed
	// Cancelled is Failed because of the deadline or since the client has left.
	Cancelled
)

type (
	// Lane is one of the two attempts of a race.
	Lane int

	// Result is what became of an attempt.
	Result int

	// Race sends a request to an upstream and, if that is slow, a copy of it to another one. The first
	// response wins, and the other attempt is cancelled.
	Race struct {
		// Send sends an attempt and returns once its upstream has responded or it has failed. It is
		// called on a goroutine of its own and must return soon after its context is done. The context of
		// the attempt that wins stays open as long as that of the race.
		Send func(ctx context.Context, lane Lane) Result
		// Delay returns the time after which the copy is due. The second result is false if none is sent.
		Delay func() (time.Duration, bool)
		// Copy is called when the copy is due. It reports whether the copy is sent.
		Copy func() bool
		// Settle is called for an attempt that failed while the other one goes on.
		Settle func(Lane)
		// Discard is called for an attempt that lost, on another goroutine than Run after Send has returned.
		Discard func(Lane)
		// ErrorsUntil is when a response with an error is not kept back any longer for the other attempt.
		ErrorsUntil time.Time
		// OnEnd is called for each attempt that was sent, when its result is known or it has lost.
		OnEnd func(lane Lane, took time.Duration, result Result, won bool)

		lanes   [none]laneState
		running int
		// kept is the attempt with an error response that is kept back.
		kept    Lane
		results chan finished
		// over is closed when the race is decided.
		over chan struct{}
	}

	laneState struct {
		cancel    context.CancelCauseFunc
		startedAt time.Time
		// open reports that the attempt was sent and that OnEnd has not been called for it.
		open bool
		// returned reports that Run knows the result, so that Discard is not called on the attempt's goroutine.
		returned bool
	}

	finished struct {
		lane   Lane
		result Result
		// panicked is what Send panicked with, nil if it did not.
		panicked any
	}

	// LostError is the cause with which the attempt is cancelled that has lost.
	LostError struct{}
)

// Error implements error.
func (e *LostError) Error() string { return "the other attempt has responded" }

// Run runs the race and returns the attempt whose result counts. Of that nothing but OnEnd has been
// called, also if it has failed. An attempt that was cancelled may still be ending.
func (r *Race) Run(ctx context.Context) Lane {
	r.results, r.over, r.kept = make(chan finished), make(chan struct{}), none
	defer close(r.over)
	r.start(ctx, First)
	var due, keptUntil <-chan time.Time
	if delay, known := r.Delay(); known {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	for {
		select {
		case <-due:
			if ctx.Err() == nil && r.Copy() {
				r.start(ctx, Copy)
			}
		case <-keptUntil:
			return r.win(r.kept, AnsweredError)
		case f := <-r.results:
			if f.panicked != nil {
				r.cancelAll()
				panic(f.panicked)
			}
			r.running--
			r.lanes[f.lane].returned = true
			if winner, decided := r.decide(f); decided {
				return winner
			}
			if r.kept != none && keptUntil == nil {
				timer := time.NewTimer(time.Until(r.ErrorsUntil))
				defer timer.Stop()
				keptUntil = timer.C
			}
		}
	}
}

// cancelAll cancels the attempts that were sent.
func (r *Race) cancelAll() {
	for _, s := range r.lanes {
		if s.cancel != nil {
			s.cancel(&LostError{})
		}
	}
}

// start sends an attempt. A panic of Send is raised by Run, since on the goroutine of the attempt it would end the
// process.
func (r *Race) start(ctx context.Context, lane Lane) {
	r.running++
	s := &r.lanes[lane]
	s.startedAt, s.open = time.Now(), true
	ctx, s.cancel = context.WithCancelCause(ctx)
	go func() {
		f := finished{lane: lane}
		defer func() {
			f.panicked = recover()
			select {
			case r.results <- f:
			case <-r.over:
				r.Discard(lane)
			}
		}()
		f.result = r.Send(ctx, lane)
	}()
}

// decide takes the result of an attempt and reports whether it decides the race.
func (r *Race) decide(f finished) (winner Lane, decided bool) {
	last := r.running == 0
	switch {
	case f.result == Answered, last && r.kept == none:
		return r.win(f.lane, f.result), true
	case f.result == AnsweredError && r.kept == none:
		r.kept = f.lane
		return none, false
	case f.result == AnsweredError:
		// Both upstreams respond with errors, and the earlier one is as good.
		return r.win(r.kept, AnsweredError), true
	}
	r.end(f.lane, f.result, false)
	r.lanes[f.lane].cancel(context.Canceled)
	r.Settle(f.lane)
	if last {
		return r.win(r.kept, AnsweredError), true
	}
	return none, false
}

// win ends the race and cancels the attempt that has lost.
func (r *Race) win(winner Lane, result Result) Lane {
	other := First + Copy - winner
	if s := &r.lanes[other]; s.open {
		s.cancel(&LostError{})
		if s.returned {
			go r.Discard(other)
		}
	}
	r.end(winner, result, true)
	r.end(other, Cancelled, false)
	return winner
}

// end reports the end of an attempt. It has no effect the second time.
func (r *Race) end(lane Lane, result Result, won bool) {
	s := &r.lanes[lane]
	if s.open {
		s.open = false
		r.OnEnd(lane, time.Since(s.startedAt), result, won)
	}
}
