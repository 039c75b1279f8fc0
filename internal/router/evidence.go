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
	key := r.identifier.Key()
	if after != (evidencePosition{}) {
		key = nil
	}
	if e == nil && (len(limits) > 0 || key != nil) {
		e = &wire.Evidence{}
	}
	if e != nil {
		e.Limits, e.Key = limits, key
	}
	return e, evidencePosition{parts: parts, limits: position}
}

// identityOf returns the identity of a request, empty as long as there is no key for it.
func (r *Router) identityOf(c *call) isolator.PartID {
	if known := c.identity.Load(); known != nil {
		return *known
	}
	id := r.identifier.Identify(c.body, c.method, c.host, c.requestURI, string(c.client.organisation))
	if id != "" {
		c.identity.Store(&id)
	}
	return id
}

// allEvidence returns everything, which is little while few parts are accused and few upstreams
// limit their requests.
func (r *Router) allEvidence() *wire.Evidence {
	e, _ := r.evidenceSince(evidencePosition{})
	return e
}

// mergeEvidence adds what other processes know.
func (r *Router) mergeEvidence(e *wire.Evidence) {
	r.identifier.Merge(e.GetKey())
	r.isolation.merge(e)
	r.restrainer.Merge(e.GetLimits())
}
