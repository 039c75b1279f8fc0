package announcer

import (
	"github.com/comfreybend/comfreybend/pkg/evacuator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// EvacuationsToState returns a set of evacuated failure domains as messages and snapshots hold it.
func EvacuationsToState(s *evacuator.Set) *state.Evacuations {
	out := &state.Evacuations{Position: uint64(s.Position())}
	for _, d := range s.Domains() {
		out.FailureDomains = append(out.FailureDomains, string(d))
	}
	return out
}

// EvacuationsOf returns the set of evacuated failure domains that a message or a snapshot holds. Names
// that no domain can have, and those beyond the limit, are left out.
func EvacuationsOf(e *state.Evacuations) *evacuator.Set {
	var domains []registrar.FailureDomain
	for _, name := range e.GetFailureDomains() {
		if d := registrar.FailureDomain(name); evacuator.Check(d) == nil && len(domains) < evacuator.MaxDomains {
			domains = append(domains, d)
		}
	}
	return evacuator.Restore(evacuator.Position(e.GetPosition()), domains)
}
