package router

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/stopper"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

// declinedError reports a request that another entry process has passed on and that is not taken, since this one stops.
type declinedError struct{}

// Error implements error.
func (e *declinedError) Error() string { return "the process that the request was passed on to stops" }

// refuseOutlasting refuses the waiting requests whose responses would not be complete before the process ends, and of
// more than can be answered until then the least urgent and latest ones whose turn does not come in time.
func (d *dispatcher) refuseOutlasting() {
	if !d.stopper.Stopping() {
		return
	}
	d.refuseWaiters(func(r dispatchRequest) *translator.RefusalError { return d.stopRefusal(&r, 0) })
	waiting := slices.SortedFunc(maps.Values(d.waiters), func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(b.request.rank, a.request.rank), cmp.Compare(b.request.arrived, a.request.arrived))
	})
	for _, w := range waiting[:d.stopper.Excess(len(waiting))] {
		r := &w.request
		wait := d.pool(r.pool).scheduler.WaitEstimate(scheduler.Class(r.class.GetName()), scheduler.Tier(r.rank), scheduler.Organisation(r.organisation))
		refusal := d.stopRefusal(r, cmp.Or(wait, r.deadline-d.now()))
		if refusal != nil && d.pool(r.pool).scheduler.Remove(w.item.ID) {
			d.refuseWaiter(w.item.ID, refusal)
		}
	}
}

// stopRefusal refuses a request whose turn comes after wait if its response would not be complete before the process
// ends. One of unknown duration is taken to need half of the time allowed. What an upstream has begun is not refused
// before nothing waits any more, since only this process can go on with it.
func (d *dispatcher) stopRefusal(r *dispatchRequest, wait time.Duration) *translator.RefusalError {
	if !d.stopper.Stopping() {
		return nil
	}
	expected, known := d.pool(r.pool).averageDurations[scheduler.Class(r.class.GetName())]
	switch {
	case r.interrupted || r.version != nil:
		expected, wait = 0, 0
	case !known:
		expected = (r.deadline - r.arrived) / 2
	}
	if d.stopper.MayBegin(wait + expected) {
		return nil
	}
	return d.refuseStopped(r)
}

// refuseStopped returns the refusal of a request that waits in a process that stops. Other entry processes take
// it as soon as they have room: after the time that those which wait here have to wait for it.
func (d *dispatcher) refuseStopped(r *dispatchRequest) *translator.RefusalError {
	wait := d.pool(r.pool).scheduler.WaitEstimate(scheduler.Class(r.class.GetName()), scheduler.Tier(r.rank), scheduler.Organisation(r.organisation))
	refusal := translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeStopping,
		"the process stops before the request can be served", wait+rand.N(wait+minRetryAfter))
	if r.declinable {
		// The process that passed the request on tries another one.
		refusal.Cause = &declinedError{}
	}
	return refusal
}

// waitContext returns a context that ends when the call has waited for too long: with ctx, at the call's deadline,
// or when the process stops.
func (h *callHandler) waitContext(ctx context.Context) (context.Context, func()) {
	ctx, stop := h.router.stopper.Wait(ctx)
	ctx, cancel := context.WithTimeout(ctx, h.call.deadline-h.router.dispatcher.now())
	return ctx, func() {
		cancel()
		stop()
	}
}

// causeOf returns why reading a response has failed: an *stopper.Error if the process stops, or err.
func (at *attempt) causeOf(err error) error {
	var stopped *stopper.Error
	if errors.As(context.Cause(at.response.Request.Context()), &stopped) {
		return stopped
	}
	return err
}
