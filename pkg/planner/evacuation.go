package planner

import (
	"slices"
	"time"
)

// SetEvacuated replaces the set of evacuated failure domains. Nothing is ordered there, the upstreams
// and pending starts there do not count, and the demand is met in the other domains. The map is
// retained.
func (p *Planner) SetEvacuated(domains map[FailureDomain]bool) { p.evacuated = domains }

// usableDomains returns the domains in which upstreams can be started now, and false if all are
// evacuated.
func (p *Planner) usableDomains() ([]FailureDomain, bool) {
	if len(p.evacuated) == 0 {
		return p.config.Domains, true
	}
	out := slices.DeleteFunc(slices.Clone(p.config.Domains), func(d FailureDomain) bool { return p.evacuated[d] })
	return out, len(out) > 0
}

// withoutEvacuated returns a pool without the upstreams in evacuated domains.
func (p *Planner) withoutEvacuated(pool Pool) Pool {
	if len(p.evacuated) > 0 {
		pool.Upstreams = slices.DeleteFunc(slices.Clone(pool.Upstreams), func(u Upstream) bool { return p.evacuated[u.FailureDomain] })
	}
	return pool
}

// forgetStarting removes the pending starts in evacuated domains.
func (s *poolState) forgetStarting(evacuated map[FailureDomain]bool) {
	s.starting = slices.DeleteFunc(s.starting, func(pending pendingStart) bool { return evacuated[pending.domain] })
}

// Evacuate takes evacuated domains out of the observation of a pool. Step then orders nothing there and
// meets the demand in the other domains.
func (p *SizedPool) Evacuate(domains map[FailureDomain]bool) {
	for d := range domains {
		if _, usable := p.Prices[d]; !usable {
			continue
		}
		if p.evacuated == nil {
			p.evacuated = map[FailureDomain]bool{}
		}
		p.evacuated[d] = true
		delete(p.Prices, d)
		delete(p.OnDemand, d)
		delete(p.Preemptible, d)
	}
}

// updateEvacuated plans the upstreams that serve in a domain that is no longer evacuated, so that they
// are left as they are. It reports whether to distribute the upstreams anew: shrinkDelay after a domain
// has come back, when its upstreams have warmed up and can take over from those added in the others.
func (s *sizedPoolState) updateEvacuated(now time.Duration, p SizedPool) bool {
	for d := range s.evacuated {
		if p.evacuated[d] || s.onDemand == nil {
			continue
		}
		s.onDemand[d], s.preemptible[d] = p.OnDemand[d], p.Preemptible[d]
		delete(s.fallback, d)
		s.rebalanceAt = now + shrinkDelay
	}
	s.evacuated = p.evacuated
	if s.rebalanceAt == 0 || now < s.rebalanceAt {
		return false
	}
	s.rebalanceAt = 0
	return true
}
