package router

import (
	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// evidencePosition is a position in what this process knows of prompt parts and request limits.
type evidencePosition struct {
	parts  isolator.Position
	limits apportioner.Position
}

// evidenceSince returns what changed after a position, nil if nothing has, and the position
// reached.
func (r *Router) evidenceSince(after evidencePosition) (*wire.Evidence, evidencePosition) {
	e, parts := r.isolation.since(after.parts)
	limits, position := r.restrainer.Since(after.limits)
	if len(limits) > 0 {
		if e == nil {
			e = &wire.Evidence{}
		}
		e.Limits = limits
	}
	return e, evidencePosition{parts: parts, limits: position}
}

// allEvidence returns everything, which is little while few parts are accused and few upstreams
// limit their requests.
func (r *Router) allEvidence() *wire.Evidence {
	e, _ := r.evidenceSince(evidencePosition{})
	return e
}

// mergeEvidence adds what other processes know.
func (r *Router) mergeEvidence(e *wire.Evidence) {
	r.isolation.merge(e)
	r.restrainer.Merge(e.GetLimits())
}
