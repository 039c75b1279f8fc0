package router

import (
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
			Waiting:              int(q.GetWaiting()),
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
		Tier:         scheduler.Tier(o.class.GetTier()),
		Organisation: scheduler.Organisation(o.organisation),
		StartBy:      startBy,
		Deadline:     deadline,
		Begun:        o.begun,
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
		d.markCached(candidates, t.order.pick.Prefix)
		chosen := upstreams[d.picker.Pick(t.order.pick, candidates)]
		tr := d.tracks[chosen.ID]
		tr.start(now)
		p.running++
		t.granted <- &grant{upstream: chosen, track: tr, item: item, pool: key, at: now}
	}
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
		if u.Load.Slots > 0 {
			tr.limiter.SetCeiling(limiter.DivideSlots(u.Load.Slots, demand, others))
		}
		upstreams = append(upstreams, u)
		candidates = append(candidates, picker.Candidate{
			ID:          u.ID,
			Local:       u.FailureDomain == domain,
			Preemptible: u.Preemptible,
			Free:        tr.free(now),
			Reported:    u.Load.Running + u.Load.Waiting,
			OwnAtReport: tr.inFlightAt(u.Load.MeasuredAt),
			Own:         tr.limiter.InFlight(),
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
