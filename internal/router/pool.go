package router

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/limiter"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

// pool returns the pool of a key, which it creates if needed.
func (d *dispatcher) pool(key poolKey) *pool {
	p := d.pools[key]
	if p == nil {
		q := d.settings.GetEntry().GetQueue()
		// Only the standard policy schedules by rank and organisation.
		firstComeFirstServed := picker.Policy(d.settings.GetEntry().GetPolicy()) != picker.PolicyStandard
		p = &pool{averageDurations: map[scheduler.Class]time.Duration{}, scheduler: scheduler.New(scheduler.Config{
			MaxWaiting:           int(q.GetWaiting()),
			GuaranteedPercent:    int(q.GetGuaranteedPercent()),
			FirstComeFirstServed: firstComeFirstServed,
		})}
		d.pools[key] = p
	}
	return p
}

// schedulerItem describes a request to the scheduler. The scheduler's deadline is the
// client's less the expected duration of the response: the moving average of the class, but
// at most half of the time allowed. This leaves the response time to end by the client's
// deadline. An interrupted request may wait until the client's deadline.
func (d *dispatcher) schedulerItem(r dispatchRequest, p *pool) scheduler.Item {
	expected := min(p.averageDurations[scheduler.Class(r.class.GetName())], (r.deadline-r.arrived)/2)
	deadline := r.deadline - expected
	if r.interrupted || r.version != nil {
		deadline = r.deadline
	}
	dispatchBy := deadline
	// A request that an upstream did not get, since no connection to it could be established, has often
	// missed its target by then. It was admitted, and late is better for the client than a refusal.
	if target := r.class.GetTarget().GetFirstToken().AsDuration(); target > 0 && !r.readmitted() {
		dispatchBy = min(dispatchBy, r.arrived+target)
	}
	return scheduler.Item{
		ID:           d.nextItem,
		Class:        scheduler.Class(r.class.GetName()),
		Tier:         scheduler.Tier(r.rank),
		Organisation: scheduler.Organisation(r.organisation),
		DispatchBy:   dispatchBy,
		Deadline:     deadline,
		Requeued:     r.interrupted,
		Bound:        r.version != nil,
	}
}

// readmitted reports that the request was admitted before and its attempt has failed.
func (r *dispatchRequest) readmitted() bool { return len(r.pick.Avoid) > 0 }

// setDraining replaces the set of upstreams that get no new requests.
func (d *dispatcher) setDraining(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = map[registrar.UpstreamID]bool{}
	for _, id := range ids {
		d.draining[registrar.UpstreamID(id)] = true
	}
}

// dispatchWaiting dispatches requests until none waits or no upstream is free.
func (d *dispatcher) dispatchWaiting(key poolKey, p *pool) {
	d.dispatchBound(key, p)
	for p.scheduler.Waiting() > 0 {
		upstreams, candidates := d.candidates(key, p)
		if !picker.AnyFree(candidates) {
			p.scheduler.RecordBlocked()
			return
		}
		now := d.now()
		item, found := p.scheduler.Next(now)
		if !found {
			return
		}
		w := d.waiters[item.ID]
		w.item = item
		delete(d.waiters, item.ID)
		w.granted <- d.grantUpstream(w, key, upstreams, candidates)
	}
}

// grantUpstream chooses the upstream for a waiting request and counts the request there.
func (d *dispatcher) grantUpstream(
	w *waiter, key poolKey, upstreams []*registrar.Upstream, candidates []picker.Candidate,
) *grant {
	now := d.now()
	g := &grant{item: w.item, pool: key, grantedAt: now}
	d.preferUnheard(&w.request, candidates)
	picker.LeaveFailedDomains(w.request.pick.Avoid, candidates)
	var chosen int
	if w.request.prompt != nil {
		engines := d.placerEngines(upstreams, candidates)
		chosen, g.uncachedTokens = d.placer.Pick(now, *w.request.prompt, engines)
		g.placement.load = engines[chosen].Requests
		g.observed.tokensAhead, g.observed.othersTokens = engines[chosen].PendingTokens, engines[chosen].UncachedTokens
	} else {
		d.markCached(candidates, w.request.pick.Prefix)
		chosen = d.picker.Pick(w.request.pick, candidates)
		g.placement.load = candidates[chosen].Load()
	}
	g.upstream = upstreams[chosen]
	g.state = d.upstreamStates[g.upstream.ID]
	g.observed.profile, g.observed.deadline = d.clusterLoad.ProfileOf(now, g.upstream), w.request.deadline
	g.placement.candidates = len(candidates)
	g.placement.loadAge = measurementAge(now, max(g.state.reportedLoad.MeasuredAt, g.upstream.Load.MeasuredAt))
	if w.request.prompt != nil {
		if _, known := d.clusterLoad.LoadOfOthers(now, g.upstream); known {
			g.placement.loadAge = measurementAge(now, d.clusterLoad.UpdatedAt())
		}
		if part, report := d.placer.RecordPlacement(now, *w.request.prompt, g.upstream.ID); report {
			d.clusterLoad.RecordCachedPart(now, part)
		}
		g.prefillStartsImmediately = g.state.pendingTokens == 0
		g.state.pendingTokens += g.uncachedTokens
		g.state.uncachedTokens += g.uncachedTokens
	}
	g.reserved = d.restrainer.Reserve(g.upstream)
	g.state.requestStarted(now)
	d.pools[key].inProgress++
	return g
}

// measurementAge returns the age of a measurement, or unknownAge if at is zero because
// there is none.
func measurementAge(now, at time.Duration) time.Duration {
	if at == 0 {
		return unknownAge
	}
	return now - at
}

// pendingAverageDivisor sets the weight of a new sample in the moving average of pending
// tokens: it changes the average by 1/pendingAverageDivisor of the difference.
const pendingAverageDivisor = 32

// unknownAge is logged as the age of a load that was never reported.
const unknownAge = -time.Second

// domainPenaltyDivisor sets how much a failure counts for the whole failure domain: a
// connection failure or TCP timeout adds 1/domainPenaltyDivisor of its penalty to every
// upstream there.
const domainPenaltyDivisor = 2

// placerEngines describes upstreams to the placer, which calls an upstream that serves a
// model an engine. The load of the other entry processes is taken from the cluster load.
// While that is not known, each of their requests is assumed to have as many pending tokens
// as a request of this process has on average.
func (d *dispatcher) placerEngines(upstreams []*registrar.Upstream, candidates []picker.Candidate) []picker.Engine {
	now := d.now()
	pending, inProgress := 0.0, 0
	for _, u := range upstreams {
		pending += d.upstreamStates[u.ID].pendingTokens
		inProgress += d.upstreamStates[u.ID].limiter.InFlight()
	}
	if inProgress > 0 {
		// Where the load is spread over many entry processes, each has only one or two
		// requests in progress, so a single sample is not representative.
		d.meanPendingTokens += (pending/float64(inProgress) - d.meanPendingTokens) / pendingAverageDivisor
	}
	out := make([]picker.Engine, 0, len(upstreams))
	for i, u := range upstreams {
		c := &candidates[i]
		running, uncached := c.Load(), d.upstreamStates[u.ID].uncachedTokens
		othersPending := d.meanPendingTokens * float64(max(0, c.ReportedLoad-c.InFlightAtReport))
		if others, known := d.clusterLoad.LoadOfOthers(now, u); known {
			running = c.InFlight + others.Requests
			othersPending = float64(others.PendingTokens)
			uncached += float64(others.UncachedTokens)
		}
		out = append(out, picker.Engine{
			ID:     u.ID,
			Domain: u.FailureDomain,

			Incarnation: u.Incarnation,

			Local:          c.Local,
			Free:           c.Free,
			Limited:        d.upstreamStates[u.ID].limited,
			WarmingUp:      now < u.WarmUpEndsAt,
			Age:            now - cmp.Or(u.StartedAt, d.upstreamStates[u.ID].firstAnnounced),
			Requests:       running,
			Slots:          u.Load.Slots,
			PendingTokens:  d.upstreamStates[u.ID].pendingTokens + othersPending,
			UncachedTokens: uncached,
			Penalty:        d.upstreamStates[u.ID].failures.Penalty(now) + d.failuresIn(u.FailureDomain).Penalty(now)/domainPenaltyDivisor + d.failurePenalty(now, u),
			Speed:          c.Speed,
			Slowdown:       c.Slowdown,
		})
	}
	return out
}

// markCached marks the candidates that have a prefix in their cache.
func (d *dispatcher) markCached(candidates []picker.Candidate, prefix picker.PrefixID) {
	if prefix == "" {
		return
	}
	for i := range candidates {
		candidates[i].Cached = d.cacheIndex.Holds(candidates[i].ID, prefix)
	}
}

// candidates returns the upstreams of a pool that accept new requests, with the load known
// to this process. It also sets the concurrency limit of each from its slots and the
// demand of all entry processes.
func (d *dispatcher) candidates(key poolKey, p *pool) ([]*registrar.Upstream, []picker.Candidate) {
	now := d.now()
	domain := registrar.FailureDomain(d.settings.GetHost().GetFailureDomain())
	demand := p.inProgress + p.scheduler.Waiting()
	others := d.peerDemands.Of(now, key.String())
	var (
		upstreams  []*registrar.Upstream
		candidates []picker.Candidate
	)
	for _, u := range d.registry.Serving(key.kind, key.name) {
		if d.isWithheld(u) {
			continue
		}
		s := d.upstreamStates[u.ID]
		load := u.Load
		if s.reportedLoad.MeasuredAt > load.MeasuredAt {
			load.Running, load.Waiting, load.MeasuredAt = s.reportedLoad.Running, s.reportedLoad.Waiting, s.reportedLoad.MeasuredAt
		}
		if u.Load.Slots > 0 {
			s.limiter.SetCeiling(limiter.DivideSlots(u.Load.Slots, demand, others))
		}
		restraint := d.restrainer.RestraintOf(u)
		s.setLimited(now, restraint)
		upstreams = append(upstreams, u)
		candidates = append(candidates, picker.Candidate{
			ID:               u.ID,
			Domain:           u.FailureDomain,
			Local:            u.FailureDomain == domain,
			Preemptible:      u.Preemptible,
			Version:          u.Version,
			Free:             s.free(now) && restraint.Available,
			Ready:            s.ready(now) && restraint.Available,
			ReportedLoad:     load.Running + load.Waiting,
			InFlightAtReport: s.inFlight.At(load.MeasuredAt),
			InFlight:         s.limiter.InFlight(),
			Slots:            slotsOf(u),
			Latency:          s.limiter.Latency(),
		})
		d.setProfile(now, u, &candidates[len(candidates)-1])
	}
	return upstreams, candidates
}

// slotsOf returns the slots of an upstream, or defaultSlots if it does not report them.
func slotsOf(u *registrar.Upstream) int {
	if u.Load.Slots > 0 {
		return u.Load.Slots
	}
	return defaultSlots
}

// refuseOvercommitted refuses a model request whose prompt the upstreams cannot process in
// time beside the prompts in progress. It never refuses a request that was admitted before.
func (d *dispatcher) refuseOvercommitted(r dispatchRequest, p *pool) *translator.RefusalError {
	if r.prompt == nil || r.interrupted || r.version != nil || r.readmitted() {
		return nil
	}
	upstreams, candidates := d.candidates(r.pool, p)
	wait := d.placer.AdmissionDelay(d.now(), *r.prompt, d.placerEngines(upstreams, candidates))
	if wait == 0 {
		return nil
	}
	p.refused++
	return translator.RefuseWithRetryAfter(http.StatusTooManyRequests, translator.CodeOverloaded,
		"the engines have begun as many prompts as they can read in time", jitterRetryAfter(wait))
}

// jitterRetryAfter raises wait to at least minRetryAfter and adds a random jitter of up to
// the same time, so that requests refused together are not retried together.
func jitterRetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + rand.N(wait)
}

// refuseWaiting refuses the waiting requests for which a function returns a refusal.
func (d *dispatcher) refuseWaiting(refusalOf func(dispatchRequest) *translator.RefusalError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuseWaiters(refusalOf)
}

// refuseWaiters is refuseWaiting with the mutex held.
func (d *dispatcher) refuseWaiters(refusalOf func(dispatchRequest) *translator.RefusalError) {
	for id, w := range d.waiters {
		refusal := refusalOf(w.request)
		if refusal != nil && d.pools[w.request.pool].scheduler.Remove(id) {
			d.refuseWaiter(id, refusal)
		}
	}
}

func (d *dispatcher) refuseWaiter(id scheduler.ItemID, refusal *translator.RefusalError) {
	w := d.waiters[id]
	delete(d.waiters, id)
	w.refused <- refusal
}

// failuresIn returns the counter of recent failures in a failure domain.
func (d *dispatcher) failuresIn(domain registrar.FailureDomain) *retrier.FailureCounter {
	c := d.domainFailures[domain]
	if c == nil {
		c = &retrier.FailureCounter{}
		d.domainFailures[domain] = c
	}
	return c
}

// String returns the name of the pool in messages between processes.
func (k poolKey) String() string {
	return string(k.kind) + "/" + k.name
}
