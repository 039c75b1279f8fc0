package router

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

const (
	// maxTurnWait is the longest time after which a refused client is asked to come back because
	// of request limits.
	maxTurnWait = 30 * time.Second
	// maxUnheardTime is the time after which this process uses its next turn at an upstream with
	// a request limit, to learn whether it still names one.
	maxUnheardTime = 5 * time.Second
	// turnMargin is the time before a request's deadline at which its turn must come: turns are
	// used at the next maintenance.
	turnMargin = 4 * maintenanceInterval
)

// handleRequestLimit records what a response says of the upstream's request limit. Only a
// successful response of the upstream itself shows that it names none any more.
func (r *Router) handleRequestLimit(at *attempt, info translator.ResponseInfo) {
	r.dispatcher.heard(at.grant)
	crossed := info.EchoedAttempt != "" && info.EchoedAttempt != at.id
	own := at.response.StatusCode/100 == 2 && !info.FromIntermediary && !info.NotRun
	if crossed || info.RequestLimit == "" && !own {
		return
	}
	u := at.grant.upstream
	changed, usable := r.restrainer.Observe(u, info.RequestLimit, r.dispatcher.now()-at.startedAt)
	if !changed {
		return
	}
	r.isolation.wake()
	r.log.Info("upstream changes its request limit", zap.String("upstream", string(u.ID)), zap.Uint64("incarnation", uint64(u.Incarnation)),
		zap.String("attempt", string(at.id)), zap.Bool("named", info.RequestLimit != ""), zap.Bool("usable", usable),
		zap.String("limit", strconv.Quote(info.RequestLimit[:min(len(info.RequestLimit), maxLoggedBytes)])))
}

// heard records that a response of an upstream has arrived.
func (d *dispatcher) heard(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.state.heardAt = d.now()
}

// preferUnheard leaves only one candidate free if this process may send a request to it in spite
// of its limit and has not heard of it for some time. Requests that may run only once are not
// sent for that reason.
func (d *dispatcher) preferUnheard(r *dispatchRequest, candidates []picker.Candidate) {
	now := d.now()
	unheard := slices.IndexFunc(candidates, func(c picker.Candidate) bool {
		s := d.upstreamStates[c.ID]
		return s.named && c.Free && now-s.heardAt > maxUnheardTime && !slices.Contains(r.pick.Avoid, c.ID)
	})
	if unheard < 0 || !r.pick.Retryable {
		return
	}
	for i := range candidates {
		candidates[i].Free = i == unheard
	}
}

// limitedUpstreams returns the upstreams of a pool, of all versions or of one, that may get
// requests before a time, or nil if one of them has no request limit and is warm by then.
func (d *dispatcher) limitedUpstreams(key poolKey, version *registrar.Version, before time.Duration) []*registrar.Upstream {
	var out []*registrar.Upstream
	for _, u := range d.serving(key, version) {
		if d.upstreamStates[u.ID].circuit.PausedUntil(d.now()) >= before {
			continue
		}
		if r := d.restrainer.RestraintOf(u); !r.Named && r.ColdUntil < before {
			return nil
		}
		out = append(out, u)
	}
	return out
}

// limitedRefusal returns the refusal of a request to a pool all of whose upstreams have request
// limits, if these leave it no turn before its deadline, or nil.
func (d *dispatcher) limitedRefusal(r dispatchRequest, p *pool) *translator.RefusalError {
	ahead := p.scheduler.WaitingUpTo(scheduler.Tier(r.rank))
	upstreams := d.limitedUpstreams(r.pool, r.version, r.deadline)
	if upstreams == nil {
		return nil
	}
	if r.interrupted || r.version != nil {
		ahead = 0
	}
	latest := d.schedulerItem(r, p).Deadline - turnMargin
	if turns := d.restrainer.Turns(upstreams, ahead+1, latest-d.now()); len(turns) > ahead {
		return nil
	}
	return d.refuseUntilTurn(upstreams, ahead)
}

// refuseUntilTurn returns a refusal with the time after which this process may send one more
// request than ahead to upstreams with request limits.
func (d *dispatcher) refuseUntilTurn(upstreams []*registrar.Upstream, ahead int) *translator.RefusalError {
	wait := maxTurnWait
	if turns := d.restrainer.Turns(upstreams, ahead+1, maxTurnWait); len(turns) > ahead {
		wait = turns[ahead]
	}
	return translator.RefuseWithRetryAfter(http.StatusTooManyRequests, translator.CodeOverloaded,
		"all upstreams limit their requests and take none of this one before its deadline", jitterRetryAfter(wait))
}

// refuseBeyondTurns refuses the waiting requests of a pool all of whose upstreams have request
// limits that leave them no turn before their deadlines.
func (d *dispatcher) refuseBeyondTurns(key poolKey, p *pool) {
	if p.scheduler.Waiting() == 0 {
		return
	}
	waiting := map[registrar.Version][]*waiter{}
	var unbound []*waiter
	for _, w := range d.waiters {
		switch {
		case w.request.pool != key:
		case w.request.version == nil:
			unbound = append(unbound, w)
		default:
			waiting[*w.request.version] = append(waiting[*w.request.version], w)
		}
	}
	d.refuseWithoutTurn(key, p, nil, unbound)
	for version, bound := range waiting {
		d.refuseWithoutTurn(key, p, &version, bound)
	}
}

// refuseWithoutTurn refuses those of the waiting requests, which upstreams of all versions or of one
// may serve, that get no turn before their deadlines.
func (d *dispatcher) refuseWithoutTurn(key poolKey, p *pool, version *registrar.Version, waiting []*waiter) {
	longest := time.Duration(0)
	for _, w := range waiting {
		longest = max(longest, w.request.deadline)
	}
	upstreams := d.limitedUpstreams(key, version, longest)
	if len(upstreams) == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.turnRank(), b.turnRank()), cmp.Compare(a.item.ID, b.item.ID))
	})
	now, ahead := d.now(), 0
	turns := d.restrainer.Turns(upstreams, len(waiting), longest-now)
	for _, w := range waiting {
		if ahead < len(turns) && now+turns[ahead] < w.item.Deadline-turnMargin {
			ahead++
			continue
		}
		if p.scheduler.Remove(w.item.ID) {
			d.refuseWaiter(w.item.ID, d.refuseUntilTurn(upstreams, ahead))
		}
	}
}

// turnRank orders waiting requests: interrupted ones go first, the others by tier.
func (w *waiter) turnRank() scheduler.Tier {
	if w.item.Requeued {
		return 0
	}
	return w.item.Tier
}
