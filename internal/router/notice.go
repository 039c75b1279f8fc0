package router

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/parser"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// maxLoggedBytes bounds what is logged of a header of an upstream.
const maxLoggedBytes = 64

// handleNotices passes on what the headers of a response say of the upstream besides its
// load: that it is leaving or has been replaced by another run, that it wants no requests of this
// process for a time, and how many it takes from all processes.
func (r *Router) handleNotices(at *attempt, info translator.ResponseInfo) {
	g := at.grant
	r.dispatcher.observeResponse(g, at.response, info)
	if at.isFromOtherRun(info) {
		if r.dispatcher.withdraw(g.upstream) {
			r.logLeave(*g.upstream, leaveReplaced, g.upstream.URL)
		}
		return
	}
	if info.Leaving && r.dispatcher.withdraw(g.upstream) {
		r.logLeave(*g.upstream, leaveInResponse, g.upstream.URL)
	}
	r.handleRequestLimit(at, info)
	r.handleWarmUp(at, info)
	if info.RetryAfter == "" {
		return
	}
	longest := r.settings.GetEntry().GetUpstreamLimits().GetRetryAfter().AsDuration()
	pause, ok := parser.RetryAfter(info.RetryAfter, longest)
	if !ok {
		r.log.Warn("upstream asks for a pause that is no usable number of seconds", zap.String("upstream", string(g.upstream.ID)),
			zap.String("retryAfter", strconv.Quote(info.RetryAfter[:min(len(info.RetryAfter), maxLoggedBytes)])), zap.Duration("pause", pause))
	}
	if pause > 0 {
		r.dispatcher.pauseUpstream(g, pause)
	}
}

// withdraw marks an upstream as leaving for the rest of its incarnation, also one whose lease
// has ended here, and queues that for the control processes. It reports whether the upstream
// was not leaving before.
func (d *dispatcher) withdraw(u *registrar.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.registry.Get(u.ID)
	if d.registry.HasDeparted(u.ID, u.Incarnation) || known != nil && known.State == registrar.Leaving {
		return false
	}
	leaving, accepted := d.registry.Withdraw(d.now(), u.ID, u.Incarnation)
	if known == nil {
		d.registry.Depart(d.now(), registrar.Departure{ID: u.ID, Incarnation: u.Incarnation})
		leaving, accepted = *u, true
		leaving.State = registrar.Leaving
	}
	if accepted {
		d.withdrawn[u.ID] = leaving
		d.onWithdrawn(leaving)
	}
	return accepted
}

// unreportedWithdrawals returns the upstreams whose withdrawal no control process has
// acknowledged yet.
func (d *dispatcher) unreportedWithdrawals() []registrar.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]registrar.Upstream, 0, len(d.withdrawn))
	for _, u := range d.withdrawn {
		out = append(out, u)
	}
	return out
}

// withdrawalReported records that a control process has acknowledged a withdrawal.
func (d *dispatcher) withdrawalReported(id registrar.UpstreamID, incarnation registrar.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withdrawn[id].Incarnation == incarnation {
		delete(d.withdrawn, id)
	}
}

// pauseUpstream keeps this process's requests away from an upstream for a time that it has
// asked for. Then one request is sent as a probe. Waiting requests for which this leaves no
// upstream until their deadline are refused.
func (d *dispatcher) pauseUpstream(g *grant, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	g.state.circuit.PauseUntil(now, now+pause)
	p := d.pools[g.pool]
	if p == nil {
		return
	}
	for id, w := range d.waiters {
		if w.request.pool != g.pool {
			continue
		}
		if refusal := d.pausedRefusal(w.request); refusal != nil && p.scheduler.Remove(id) {
			d.refuseWaiter(id, refusal)
		}
	}
}

// pausedRefusal returns the refusal of a request whose deadline passes before any upstream
// of its pool wants requests again, or nil.
func (d *dispatcher) pausedRefusal(r dispatchRequest) *translator.RefusalError {
	now := d.now()
	var earliest time.Duration
	for _, u := range d.serving(r.pool, r.version) {
		until := d.upstreamStates[u.ID].circuit.PausedUntil(now)
		if until < r.deadline {
			return nil
		}
		if earliest == 0 || until < earliest {
			earliest = until
		}
	}
	if earliest == 0 {
		return nil
	}
	return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeOverloaded,
		"all upstreams have asked for a pause beyond the deadline", jitterRetryAfter(earliest-now))
}

// depart records that a run of an upstream has left for good, also if it is not known yet. It
// returns the upstream if that was news of it.
func (d *dispatcher) depart(departure registrar.Departure) *registrar.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.registry.Depart(d.now(), departure) {
		return nil
	}
	return d.registry.Get(departure.ID)
}

// isLeaving reports whether an upstream has said that it is leaving.
func (d *dispatcher) isLeaving(u *registrar.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.registry.Get(u.ID)
	return known != nil && known.Incarnation == u.Incarnation && known.State == registrar.Leaving
}

// checkLeaving returns a *leavingUpstreamError if an upstream has said that it is leaving.
func (d *dispatcher) checkLeaving(u *registrar.Upstream) error {
	if d.isLeaving(u) {
		return &leavingUpstreamError{Upstream: u.ID}
	}
	return nil
}

// isServing reports whether a run of an upstream or an earlier one is known and not leaving.
func (d *dispatcher) isServing(u *registrar.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.registry.Get(u.ID)
	return known != nil && known.Incarnation <= u.Incarnation && known.State != registrar.Leaving
}
