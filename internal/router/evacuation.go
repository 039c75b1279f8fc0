package router

import (
	"fmt"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// evacuatedDomainError reports an attempt that was not sent because its upstream is in an evacuated
// failure domain.
type evacuatedDomainError struct {
	Upstream      registrar.UpstreamID
	FailureDomain registrar.FailureDomain
}

// Error implements error.
func (e *evacuatedDomainError) Error() string {
	return fmt.Sprintf("failure domain %s of upstream %s is evacuated", e.FailureDomain, e.Upstream)
}

// applyEvacuations applies the evacuated failure domains that a control process has sent, unless this
// process has later ones. A nil message says nothing.
func (r *Router) applyEvacuations(e *state.Evacuations, source leaveSource, sender string) {
	if e == nil || !r.dispatcher.mergeEvacuations(e) {
		return
	}
	r.metrics.EvacuatedDomains.Update(float64(len(e.GetFailureDomains())))
	r.log.Info("evacuated failure domains changed", zap.Strings("failureDomains", e.GetFailureDomains()),
		zap.Uint64("position", e.GetPosition()), zap.String("source", string(source)), zap.String("sender", sender))
}

func (d *dispatcher) mergeEvacuations(e *state.Evacuations) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations.Merge(announcer.EvacuationsOf(e))
}

// evacuationPosition returns the position of the evacuations in effect, for a request to a control process.
func (d *dispatcher) evacuationPosition() *uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return proto.Uint64(uint64(d.evacuations.Position()))
}

// checkWithheld returns a *leavingUpstreamError or an *evacuatedDomainError if no request may be sent to an
// upstream.
func (d *dispatcher) checkWithheld(u *registrar.Upstream) error {
	if err := d.checkLeaving(u); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuations.Has(u.FailureDomain) {
		return &evacuatedDomainError{Upstream: u.ID, FailureDomain: u.FailureDomain}
	}
	return nil
}

// isWithheld reports whether the control processes want no new requests at an upstream: it is about to
// be stopped, or its failure domain is evacuated.
func (d *dispatcher) isWithheld(u *registrar.Upstream) bool {
	return d.draining[u.ID] || d.evacuations.Has(u.FailureDomain)
}

// isEvacuated reports whether upstreams that may serve a request of a pool are in evacuated failure
// domains.
func (d *dispatcher) isEvacuated(key poolKey, version *registrar.Version) bool {
	for _, u := range d.registry.Serving(key.kind, key.name) {
		if matches(u, version) && d.evacuations.Has(u.FailureDomain) {
			return true
		}
	}
	return false
}
