package router

import (
	"context"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/budgeter"
	"github.com/comfreybend/comfreybend/internal/stopper"
)

// maxUpstreamRefusals is the number of refusals by upstreams after which a call is given up.
const maxUpstreamRefusals = 5

// service names the pool to the retry budgets.
func (k poolKey) service() budgeter.Service { return budgeter.Service(string(k.kind) + "/" + k.name) }

// takeRetry reports whether the budget allows that the call is sent again, and uses the retry up.
func (h *callHandler) takeRetry(reason budgeter.Reason) bool {
	repeat := budgeter.Repeat{Service: h.call.pool.service(), RequestID: string(h.requestID), Reason: reason, Attempts: h.attempts}
	return h.router.dispatcher.budgets.Take(h.router.dispatcher.now(), repeat)
}

// allowRetry decides whether another attempt follows one that failed with err. It
// must be called once for each failed attempt, because it updates the counts of
// attempts and refusals and may take a retry from the budget.
//
// No call is retried after its deadline, once the client has disconnected or once the process stops its attempts. An
// attempt without a connection is otherwise always retried: it put no load on the
// upstream, whose circuit breaker is open now. A refusal by an upstream is retried
// within the retry budget, until there are maxUpstreamRefusals of them. Neither
// counts as an attempt. After any other failure only retryable calls are sent
// again, within the attempt limit and the retry budget.
func (h *callHandler) allowRetry(ctx context.Context, err error) bool {
	allowed := h.mayRetry(ctx, err)
	if !allowed || h.endedTooMany() {
		h.reportEnds()
	}
	return allowed
}

func (h *callHandler) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || h.router.dispatcher.now() >= h.call.deadline {
		return false
	}
	if errors.As(err, new(*heldPartError)) || errors.As(err, new(*stopper.Error)) {
		return false
	}
	if h.engineEnded && h.mayHaveEndedEngines() {
		return false
	}
	if notRun, refused := h.recordNotRun(err); notRun {
		return !refused || h.upstreamRefusals < maxUpstreamRefusals && h.takeRetry(budgeter.Refused)
	}
	return h.call.retryable && h.attempts < h.attemptLimit() && h.takeRetry(budgeter.Failed)
}

// recordNotRun updates the counts of attempts and refusals for one that failed, and reports whether its upstream
// has not run it, and has refused it.
func (h *callHandler) recordNotRun(err error) (notRun, refused bool) {
	var failure *attemptError
	if !errors.As(err, &failure) || !failure.NotRun {
		return false, false
	}
	h.attempts--
	if failure.Refused {
		h.upstreamRefusals++
	}
	return true, failure.Refused
}

// attemptLimit returns the number of attempts that the call may make.
func (h *callHandler) attemptLimit() int {
	if limit := int(h.call.route.GetAttempts()); limit > 0 {
		return limit
	}
	return int(h.router.settings.GetEntry().GetUpstreamLimits().GetAttempts())
}

// setEntryProcesses sets the number of entry processes, and the confirmed one that shares the retry budgets.
func (d *dispatcher) setEntryProcesses(n, confirmed int) {
	d.budgets.Confirm(d.now(), confirmed)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entryProcessCount = n
}

// entryProcesses returns the number of entry processes; zero if it is not known yet.
func (d *dispatcher) entryProcesses() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryProcessCount
}
