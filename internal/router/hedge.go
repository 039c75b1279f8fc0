package router

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/budgeter"
	"github.com/comfreybend/comfreybend/internal/racer"
	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/stopper"
	"github.com/comfreybend/comfreybend/pkg/hedger"
	"github.com/comfreybend/comfreybend/pkg/retrier"
)

// lane is one of the two attempts of a call that is sent to a second upstream while the first is slow.
type lane struct {
	grant   *grant
	attempt *attempt
	err     error
	// broken is why a stream broke before its first event.
	broken error
}

// mayCopy reports whether a copy of the call may be sent: it may run more than once, and the client has
// no part of a stream.
func (h *callHandler) mayCopy() bool {
	return h.router.racer.Enabled() && h.call.retryable && !h.progressed && h.lastEventID == scanner.NoEventID
}

// race sends an attempt and, if its upstream is slow, a copy to another one. The attempt whose response
// came first becomes the current one.
func (h *callHandler) race(ctx context.Context, g *grant) error {
	var lanes [2]lane
	lanes[racer.First].grant = g
	h.sending.Add(1)
	counts := !h.countedForCopies && !h.call.relay.GetCounted()
	h.countedForCopies = true
	winner := &lanes[h.router.racer.Run(ctx, racer.Request{
		ID: string(h.requestID), Pool: hedger.Pool(g.pool.String()), Class: hedger.Class(h.call.class.GetName()),
		Deadline: h.call.deadline, Counts: counts,
		Send:    func(ctx context.Context, l racer.Lane) racer.Result { return h.sendLane(ctx, &lanes[l]) },
		Settle:  func(l racer.Lane) { h.settleLane(ctx, &lanes[l]) },
		Discard: func(l racer.Lane) { h.router.discardLane(&lanes[l]) },
		Copy: func(decide func(hedger.Request, hedger.Load) bool) bool {
			lanes[racer.Copy].grant = h.grantCopy(g, decide)
			return lanes[racer.Copy].grant != nil
		},
		TakeRetry: func() bool { return h.takeRetry(budgeter.Copied) },
		Upstream:  func(l racer.Lane) string { return string(lanes[l].grant.upstream.ID) },
	})]
	return h.finishSend(ctx, winner.grant, winner.attempt, winner.err)
}

// sendLane sends one of the attempts. It does not use what the handler changes meanwhile.
func (h *callHandler) sendLane(ctx context.Context, l *lane) racer.Result {
	defer h.sending.Done()
	l.attempt, l.err = h.router.upstreamClient.send(ctx, h.call, l.grant, scanner.NoEventID)
	switch {
	case errors.Is(l.err, context.Canceled), errors.As(l.err, new(*deadlineError)), errors.As(l.err, new(*stopper.Error)):
		return racer.Cancelled
	case l.err != nil, h.isUnusable(l.attempt.response.StatusCode):
		return racer.Failed
	case l.attempt.response.StatusCode >= http.StatusBadRequest:
		return racer.AnsweredError
	case !h.call.stream || !isEventStream(l.attempt.response):
		return racer.Answered
	}
	if l.attempt.load != nil {
		l.attempt.load.MeasuredAt = h.router.dispatcher.now()
	}
	l.attempt.response.Body, l.broken = racer.AwaitEvent(l.attempt.response.Body)
	l.attempt.recordActivity(h.router.dispatcher.now())
	switch {
	case l.broken == nil, errors.Is(l.broken, io.EOF) && h.call.format.EndsWithBody(0):
		return racer.Answered
	case ctx.Err() != nil:
		return racer.Cancelled
	default:
		return racer.Failed
	}
}

// settleLane records an attempt that failed while the other one goes on.
func (h *callHandler) settleLane(ctx context.Context, l *lane) {
	switch {
	case l.broken == nil:
		h.recordNotRun(h.finishSend(ctx, l.grant, l.attempt, l.err))
	case ctx.Err() != nil:
		h.router.discardLane(l)
	default:
		h.current = l.attempt
		_ = h.recordBrokenStream(ctx, l.broken)
	}
}

// discardLane ends an attempt that has lost. It says nothing of its upstream and costs nobody anything.
func (r *Router) discardLane(l *lane) {
	if l.attempt != nil {
		l.attempt.close(&racer.LostError{})
	}
	r.dispatcher.release(l.grant, outcomeAbandoned, 0)
}

// grantCopy returns a grant of another upstream for a copy of the call, or nil if none is sent.
func (h *callHandler) grantCopy(first *grant, decide func(hedger.Request, hedger.Load) bool) *grant {
	request := h.dispatchRequest()
	request.pick.Avoid = append(slices.Clone(h.failedUpstreams), first.upstream.ID)
	if request.prompt != nil {
		request.prompt.Avoid = request.pick.Avoid
	}
	left := hedger.Request{AttemptsLeft: h.attemptLimit() - h.attempts, Barred: h.barsCopies()}
	g := h.router.dispatcher.grantCopy(request, func(load hedger.Load) bool { return decide(left, load) })
	if g != nil {
		h.attempts++
		h.sending.Add(1)
	}
	return g
}

// barsCopies reports whether the call must not be sent to another upstream: its key has been withdrawn,
// no upstream can be reached from this host, or the call may be what ends upstreams.
func (h *callHandler) barsCopies() bool {
	c, s := h.call, h.router.isolation
	// The first attempt reads the client meanwhile, so that it is not changed.
	client := c.client
	return h.router.controlPlane.checkKey(&client) != nil || client.organisation != c.client.organisation ||
		c.probe || len(h.endedRuns) > 0 || h.mayHaveEndedEngines() || h.router.forwarder.CutOff() ||
		s.accused.Load() && s.heldRefusal(s.suspectIDs(c)) != nil
}

// grantCopy grants one of the upstreams that a request does not avoid, if decide allows that by what is in
// flight at its pool. A copy never waits.
func (d *dispatcher) grantCopy(r dispatchRequest, decide func(hedger.Load) bool) *grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, p := d.now(), d.pools[r.pool]
	upstreams, candidates := d.candidates(r.pool, p)
	load := hedger.Load{Waiting: p.scheduler.Waiting()}
	for i := range candidates {
		c := &candidates[i]
		s := d.upstreamStates[c.ID]
		if !s.limited && s.circuit.State(now) != retrier.Open {
			load.Running += c.Load()
			load.Slots += c.Slots
		}
		if slices.Contains(r.pick.Avoid, c.ID) {
			c.Free, c.Ready = false, false
		}
		if c.Free {
			load.Others++
		}
	}
	if r.prompt != nil && d.placer.AdmissionDelay(now, *r.prompt, d.placerEngines(upstreams, candidates)) > 0 {
		// The engines have begun as many prompts as they can read in time.
		load.Waiting++
	}
	if !decide(load) {
		return nil
	}
	d.nextItem++
	return d.grantUpstream(&waiter{request: r, item: d.schedulerItem(r, p)}, r.pool, upstreams, candidates)
}
