// Package racer sends second copies of slow requests: it runs the race between the attempt at a slow
// upstream and the copy at another one, with the decisions of package hedger.
package racer

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/hedger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// errorMargin is the time before the deadline at which an error response is not kept back any longer for the
// other attempt, so that its body still arrives by the deadline.
const errorMargin = 100 * time.Millisecond

type (
	// Racer decides on the copies of a process.
	Racer struct {
		// Log takes a line for each copy.
		Log   *zap.Logger
		now   func() time.Duration
		scope tally.Scope

		mu sync.Mutex
		// hedger is nil if the settings allow no copies.
		hedger *hedger.Hedger
	}

	// Request is one of which a copy may be sent.
	Request struct {
		ID    string
		Pool  hedger.Pool
		Class hedger.Class
		// Deadline is a monotonic time.
		Deadline time.Duration
		// Counts reports that the request has not been counted before.
		Counts bool
		// Send, Settle and Discard are those of the Race.
		Send            func(ctx context.Context, lane Lane) Result
		Settle, Discard func(Lane)
		// Copy is called when the copy is due. It calls decide with what the request has left and what is in flight,
		// and reserves an upstream for the copy if decide returns true. It reports whether it has.
		Copy func(decide func(hedger.Request, hedger.Load) bool) bool
		// TakeRetry uses up a retry of the retry budget and reports whether one was left.
		TakeRetry func() bool
		// Upstream names the upstream of an attempt in the log.
		Upstream func(Lane) string
	}
)

// New returns a racer. Without settings it sends no copies.
func New(s *settings.Hedging, now func() time.Duration, scope tally.Scope) *Racer {
	r := &Racer{Log: zap.NewNop(), now: now, scope: scope}
	if s != nil && s.GetRatio() > 0 {
		r.hedger = hedger.New(hedger.Config{
			Ratio: s.GetRatio(), Quantile: s.GetQuantile(), MinimumDelay: s.GetMinimumDelay().AsDuration(),
		})
	}
	return r
}

// Enabled reports whether copies may be sent at all.
func (r *Racer) Enabled() bool { return r.hedger != nil }

// Run sends a request and, if its upstream is slow, a copy. It returns the attempt whose result counts.
func (r *Racer) Run(ctx context.Context, request Request) Lane {
	if request.Counts {
		r.change(func(h *hedger.Hedger) { h.RecordRequest(request.Pool) })
	}
	startedAt, copiedAt, copyWon := r.now(), time.Duration(0), false
	race := Race{
		Send: request.Send, Settle: request.Settle, Discard: request.Discard,
		ErrorsUntil: time.Now().Add(request.Deadline - startedAt - errorMargin),
		Delay: func() (delay time.Duration, known bool) {
			r.change(func(h *hedger.Hedger) { delay, known = h.Delay(startedAt, request.Pool, request.Class) })
			return delay, known
		},
		Copy: func() bool {
			sent := request.Copy(func(left hedger.Request, load hedger.Load) bool { return r.decide(request, left, load) })
			if sent {
				copiedAt = r.now()
			}
			return sent
		},
		OnEnd: func(lane Lane, took time.Duration, result Result, won bool) {
			r.record(request, took, result)
			copyWon = copyWon || lane == Copy && won && result == Answered
		},
	}
	winner := race.Run(ctx)
	if copiedAt != 0 {
		r.report(request, copiedAt-startedAt, r.now()-startedAt, copyWon)
	}
	return winner
}

// decide asks the hedger whether the copy is sent, and counts the reason if it is not.
func (r *Racer) decide(request Request, left hedger.Request, load hedger.Load) bool {
	reason := hedger.Sent
	left.Pool, left.Class, left.TimeLeft = request.Pool, request.Class, request.Deadline-r.now()
	r.change(func(h *hedger.Hedger) { reason = h.Decide(r.now(), left, load, request.TakeRetry) })
	if reason != hedger.Sent {
		r.count(request, "copies_not_sent", map[string]string{"reason": string(reason)})
	}
	return reason == hedger.Sent
}

// record adds the time of an attempt to the recent response times.
func (r *Racer) record(request Request, took time.Duration, result Result) {
	r.change(func(h *hedger.Hedger) {
		switch result {
		case Answered:
			h.RecordResponse(r.now(), request.Pool, request.Class, took)
		case Cancelled:
			h.RecordUnanswered(r.now(), request.Pool, request.Class, took)
		}
	})
}

// report counts and logs a copy whose race has ended.
func (r *Racer) report(request Request, after, took time.Duration, won bool) {
	outcome := "copies_lost"
	if won {
		outcome = "copies_won"
	}
	r.count(request, "copies_sent", map[string]string{})
	r.count(request, outcome, map[string]string{})
	r.Log.Info("second copy sent", zap.String("requestId", request.ID), zap.String("pool", string(request.Pool)),
		zap.String("class", string(request.Class)), zap.String("first", request.Upstream(First)), zap.String("second", request.Upstream(Copy)),
		zap.Duration("after", after), zap.Duration("took", took), zap.Bool("won", won))
}

func (r *Racer) count(request Request, name string, tags map[string]string) {
	tags["pool"], tags["class"] = string(request.Pool), string(request.Class)
	r.scope.Tagged(tags).Counter(name).Inc(1)
}

func (r *Racer) change(apply func(*hedger.Hedger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(r.hedger)
}
