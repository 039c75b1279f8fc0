package router

import (
	"cmp"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

// headersReceived records the time to the response headers of an attempt, and the load
// that they report, if any. Without a time of measurement it was measured now.
func (d *dispatcher) headersReceived(g *grant, timeToHeaders time.Duration, load *registrar.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if load != nil {
		g.state.reportedLoad = *load
		g.state.reportedLoad.MeasuredAt = cmp.Or(load.MeasuredAt, d.now())
	}
	g.state.headersReceived(d.now(), timeToHeaders)
}

// firstTokenReceived records that the upstream has processed the prompt, as the first
// event of the response shows.
func (d *dispatcher) firstTokenReceived(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finishPrefill(g)
	d.observeFirstToken(g)
}

// finishPrefill removes the grant's prompt from the pending tokens of its upstream.
// Further calls have no effect.
func (d *dispatcher) finishPrefill(g *grant) {
	if !g.prefillDone {
		g.prefillDone = true
		g.state.pendingTokens -= g.uncachedTokens
	}
}

// release ends a grant with the outcome of the attempt and the cost of the request in
// tokens.
func (d *dispatcher) release(g *grant, outcome attemptOutcome, cost scheduler.Cost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finish(g, outcome, cost)
}

// finish charges the cost, updates the state of the upstream and of the pool, and dispatches
// waiting requests.
func (d *dispatcher) finish(g *grant, outcome attemptOutcome, cost scheduler.Cost) {
	p := d.pools[g.pool]
	p.scheduler.RecordCost(g.item, cost)
	p.inProgress--
	d.finishPrefill(g)
	g.state.uncachedTokens -= g.uncachedTokens
	g.state.requestFinished(d.now(), outcome)
	d.observeEnd(g, outcome)
	if outcome == outcomeUnreachable || outcome == outcomeTimedOut {
		d.failuresIn(g.upstream.FailureDomain).Add(d.now())
	}
	if outcome == outcomeTimedOut {
		d.onTimedOut(g.upstream)
	}
	if outcome == outcomeAnswered {
		d.budgets.RecordSuccess()
		average := p.averageDurations[g.item.Class]
		p.averageDurations[g.item.Class] = average + (d.now()-g.grantedAt-average)/durationAverageDivisor
	}
	d.dispatchWaiting(g.pool, p)
}
