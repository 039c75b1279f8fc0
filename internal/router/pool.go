package router

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/comfreybend/comfreybend/pkg/limiter"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

func (d *dispatcher) pool(key poolKey) *pool {
	p := d.pools[key]
	if p == nil {
		q := d.settings.GetEntry().GetQueue()
		baseline := picker.Policy(d.settings.GetEntry().GetPolicy()) != picker.PolicyStandard
		p = &pool{durations: map[scheduler.Class]time.Duration{}, scheduler: scheduler.New(scheduler.Config{
			MaxWaiting:           int(q.GetWaiting()),
			GuaranteedPercent:    int(q.GetGuaranteedPercent()),
			FirstComeFirstServed: baseline,
		})}
		d.pools[key] = p
	}
	return p
}

// itemOf describes a request to the scheduler. It must start early enough to
// end by its deadline, as far as its class's past answers tell.
func (d *dispatcher) itemOf(o order, p *pool) scheduler.Item {
	expected := min(p.durations[scheduler.Class(o.class.GetName())], (o.deadline-o.arrived)/2)
	deadline := o.deadline - expected
	if o.begun {
		deadline = o.deadline
	}
	startBy := deadline
	if first := o.class.GetTarget().GetFirstToken().AsDuration(); first > 0 {
		startBy = min(startBy, o.arrived+first)
	}
	return scheduler.Item{
		ID:           d.nextItem,
		Class:        scheduler.Class(o.class.GetName()),
		Tier:         scheduler.Tier(o.tier),
		Organisation: scheduler.Organisation(o.organisation),
		StartBy:      startBy,
		Deadline:     deadline,
		Requeued:     o.begun,
	}
}

// served reports whether any upstream takes new work of a pool.
func (d *dispatcher) served(key poolKey) bool {
	for _, u := range d.registrar.Serving(key.kind, key.name) {
		if !d.draining[u.ID] {
			return true
		}
	}
	return false
}

// drain replaces the set of upstreams that get nothing new.
func (d *dispatcher) drain(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = map[registrar.UpstreamID]bool{}
	for _, id := range ids {
		d.draining[registrar.UpstreamID(id)] = true
	}
}

// pump dispatches while requests wait and an upstream is free.
func (d *dispatcher) pump(key poolKey, p *pool) {
	for p.scheduler.Waiting() > 0 {
		upstreams, candidates := d.candidates(key, p)
		if !anyFree(candidates) {
			p.scheduler.Blocked()
			return
		}
		now := d.now()
		item, found := p.scheduler.Next(now)
		if !found {
			return
		}
		t := d.tickets[item.ID]
		delete(d.tickets, item.ID)
		t.granted <- d.grant(t, key, upstreams, candidates)
	}
}

// grant chooses the upstream for a request.
func (d *dispatcher) grant(
	t *ticket, key poolKey, upstreams []*registrar.Upstream, candidates []picker.Candidate,
) *grant {
	now := d.now()
	g := &grant{item: t.item, pool: key, at: now}
	var chosen int
	if t.order.prompt != nil {
		engines := d.engines(upstreams, candidates)
		chosen, g.unread = d.placer.Pick(now, *t.order.prompt, engines)
		g.choice.load = engines[chosen].Running
	} else {
		d.markCached(candidates, t.order.pick.Prefix)
		chosen = d.picker.Pick(t.order.pick, candidates)
		g.choice.load = candidates[chosen].Load()
	}
	g.upstream = upstreams[chosen]
	g.track = d.tracks[g.upstream.ID]
	g.choice.candidates = len(candidates)
	g.choice.loadAge = ageOf(now, max(g.track.load.MeasuredAt, g.upstream.Load.MeasuredAt))
	if t.order.prompt != nil {
		if _, known := d.fleet.others(now, g.upstream.ID); known {
			g.choice.loadAge = ageOf(now, d.fleet.at)
		}
		if h, shared := d.placer.RecordPlacement(now, *t.order.prompt, g.upstream.ID); shared {
			d.fleet.began(now, h)
		}
		g.alone = g.track.pending == 0
		g.track.pending += g.unread
		g.track.begun += g.unread
	}
	g.track.start(now)
	d.pools[key].running++
	return g
}

// ageOf returns how old what was heard at a time is, neverHeard if nothing was.
func ageOf(now, at time.Duration) time.Duration {
	if at == 0 {
		return neverHeard
	}
	return now - at
}

// pendingSmoothing is the inverse weight of a new look at what requests have still to read.
const pendingSmoothing = 32

// neverHeard stands for the age of what was never heard.
const neverHeard = -time.Second

// domainShare divides what an unreachable upstream counts for at the others of its failure domain.
const domainShare = 2

// engines describes upstreams to the placer. What other processes have there
// is what the control processes add up; while that is not known, it is
// expected to be like what this one has.
func (d *dispatcher) engines(upstreams []*registrar.Upstream, candidates []picker.Candidate) []picker.Engine {
	now := d.now()
	pending, running := 0.0, 0
	for _, u := range upstreams {
		pending += d.tracks[u.ID].pending
		running += d.tracks[u.ID].limiter.InFlight()
	}
	if running > 0 {
		// One of many processes has few requests at a time, so that its moments tell little.
		d.pendingEach += (pending/float64(running) - d.pendingEach) / pendingSmoothing
	}
	out := make([]picker.Engine, 0, len(upstreams))
	for i, u := range upstreams {
		c := &candidates[i]
		running, begun := c.Load(), d.tracks[u.ID].begun
		unread := d.pendingEach * float64(max(0, c.ReportedLoad-c.InFlightAtReport))
		if others, known := d.fleet.others(now, u.ID); known {
			running = c.InFlight + others.Requests
			unread = float64(others.PendingTokens)
			begun += float64(others.UncachedTokens)
		}
		out = append(out, picker.Engine{
			ID:     u.ID,
			Domain: u.FailureDomain,

			Incarnation: u.Incarnation,

			Local:   c.Local,
			Free:    c.Free,
			Cold:    now < u.WarmAt,
			Age:     now - startOf(u, d.tracks[u.ID]),
			Running: running,
			PendingTokens: d.tracks[u.ID].pending + unread,
			UncachedTokens:   begun,
			Penalty: d.tracks[u.ID].failures.penalty(now) + d.domain(u.FailureDomain).penalty(now)/domainShare,
		})
	}
	return out
}

// startOf returns when an upstream started, or when it became known if it does not say.
func startOf(u *registrar.Upstream, t *track) time.Duration {
	if u.StartedAt != 0 {
		return u.StartedAt
	}
	return t.created
}

// markCached marks the candidates whose caches hold a prefix.
func (d *dispatcher) markCached(candidates []picker.Candidate, prefix picker.PrefixID) {
	if prefix == "" {
		return
	}
	for i := range candidates {
		candidates[i].Cached = d.prefixes.Holds(candidates[i].ID, prefix)
	}
}

func anyFree(candidates []picker.Candidate) bool {
	for i := range candidates {
		if candidates[i].Free {
			return true
		}
	}
	return false
}

func (d *dispatcher) candidates(key poolKey, p *pool) ([]*registrar.Upstream, []picker.Candidate) {
	now := d.now()
	domain := registrar.FailureDomain(d.settings.GetHost().GetFailureDomain())
	demand := p.running + p.scheduler.Waiting()
	others := d.peers.demands(now, key)
	var (
		upstreams  []*registrar.Upstream
		candidates []picker.Candidate
	)
	for _, u := range d.registrar.Serving(key.kind, key.name) {
		if d.draining[u.ID] {
			continue
		}
		tr := d.tracks[u.ID]
		load := u.Load
		if tr.load.MeasuredAt > load.MeasuredAt {
			load.Running, load.Waiting, load.MeasuredAt = tr.load.Running, tr.load.Waiting, tr.load.MeasuredAt
		}
		if u.Load.Slots > 0 {
			tr.limiter.SetCeiling(limiter.DivideSlots(u.Load.Slots, demand, others))
		}
		upstreams = append(upstreams, u)
		candidates = append(candidates, picker.Candidate{
			ID:          u.ID,
			Domain:      u.FailureDomain,
			Local:       u.FailureDomain == domain,
			Preemptible: u.Preemptible,
			Free:        tr.free(now),
			ReportedLoad:    load.Running + load.Waiting,
			InFlightAtReport: tr.inFlightAt(load.MeasuredAt),
			InFlight:         tr.limiter.InFlight(),
			Slots:       slotsOf(u),
			Latency:     tr.limiter.Latency(),
		})
	}
	return upstreams, candidates
}

func slotsOf(u *registrar.Upstream) int {
	if u.Load.Slots > 0 {
		return u.Load.Slots
	}
	return assumedSlots
}

// overcommitted refuses a model request that the engines cannot serve in time
// beside what they have begun.
func (d *dispatcher) overcommitted(o order, p *pool) *RefusalError {
	if o.prompt == nil || o.begun {
		return nil
	}
	upstreams, candidates := d.candidates(o.pool, p)
	wait := d.placer.AdmissionDelay(d.now(), *o.prompt, d.engines(upstreams, candidates))
	if wait == 0 {
		return nil
	}
	p.refused++
	return refuseUntil(http.StatusTooManyRequests, CodeOverloaded,
		"the engines have begun as many prompts as they can read in time", spreadReturn(wait))
}

// spreadReturn spreads the return of requests that were refused at one moment
// over as long again, so that they do not come back together.
func spreadReturn(wait time.Duration) time.Duration {
	wait = max(wait, shortestReturn)
	return wait + rand.N(wait)
}
