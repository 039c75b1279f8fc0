package router

import (
	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// announcedUpstreams returns all upstreams in the registry, for the control processes.
func (d *dispatcher) announcedUpstreams() []*wire.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.Upstream
	for _, u := range d.registry.All() {
		out = append(out, announcer.ToWire(u, d.now()))
	}
	return out
}

// poolDemands returns this process's demand for each pool.
func (d *dispatcher) poolDemands() []*wire.PoolDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.PoolDemand
	for key, p := range d.pools {
		out = append(out, &wire.PoolDemand{
			Pool:     key.String(),
			Requests: int32(p.inProgress + p.scheduler.Waiting()),
			Refused:  p.refused,
			Busy:     d.busyEstimate(p, key),
			Service:  key.name,
		})
		if p.promptAware {
			last := out[len(out)-1]
			last.LightWork, last.Work = d.placer.Work(d.now())
		}
	}
	return out
}

// busyEstimate returns how many upstreams the demand on a pool would keep busy: the number
// whose slots its requests fill plus, if prompts are known, the number busy with prefill.
func (d *dispatcher) busyEstimate(p *pool, key poolKey) float64 {
	upstreams := d.registry.Serving(key.kind, key.name)
	if len(upstreams) == 0 {
		return 0
	}
	slots := float64(p.inProgress+p.scheduler.Waiting()) / float64(slotsOf(upstreams[0]))
	if !p.promptAware {
		return slots
	}
	return slots + d.placer.BusyEngines(d.now())
}

// setLightShares sets the share of the work over all entry processes that belongs to light
// classes, which are those with short prompts. shares holds it by model. The placer is
// common to all pools, so with several prompt-aware pools any one of their shares is used.
func (d *dispatcher) setLightShares(shares map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, p := range d.pools {
		if share, found := shares[key.name]; found && p.promptAware {
			d.placer.SetLightShare(share)
		}
	}
}
