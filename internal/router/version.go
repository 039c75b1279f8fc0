package router

import (
	"net/http"

	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// matches reports whether an upstream's software may serve a request that is bound to a version,
// or to none if that is nil.
func matches(u *registrar.Upstream, version *registrar.Version) bool {
	return version == nil || u.Version == *version
}

// serving returns the upstreams that accept new requests of a pool, of all versions or of one.
func (d *dispatcher) serving(key poolKey, version *registrar.Version) []*registrar.Upstream {
	var out []*registrar.Upstream
	for _, u := range d.registry.Serving(key.kind, key.name) {
		if !d.draining[u.ID] && matches(u, version) {
			out = append(out, u)
		}
	}
	return out
}

// unservedRefusal returns the refusal of a request that no upstream can serve, or nil. A stream
// whose version has left ends, unless this process has just started and may not know all
// upstreams.
func (d *dispatcher) unservedRefusal(r dispatchRequest) *RefusalError {
	switch {
	case len(d.serving(r.pool, r.version)) > 0:
		return nil
	case r.version != nil && len(d.serving(r.pool, nil)) > 0 && d.now()-d.startedAt > startupTime:
		return refuse(http.StatusGone, CodeVersionGone, "no upstream of the version that began the stream serves any more")
	default:
		return refuseWithRetryAfter(http.StatusServiceUnavailable, CodeNoUpstream, "no upstream serves "+r.pool.name, d.retryAfter())
	}
}

// refuseUnserved refuses the waiting requests of a pool that no upstream can serve any more.
func (d *dispatcher) refuseUnserved(key poolKey, p *pool) {
	if p.scheduler.Waiting() == 0 || len(p.scheduler.Bound()) == 0 && len(d.serving(key, nil)) > 0 {
		return
	}
	for id, w := range d.waiters {
		if w.request.pool != key {
			continue
		}
		if refusal := d.unservedRefusal(w.request); refusal != nil && p.scheduler.Remove(id) {
			d.refuseWaiter(id, refusal)
		}
	}
}

// dispatchBound dispatches the streams that only upstreams of one version can go on with.
func (d *dispatcher) dispatchBound(key poolKey, p *pool) {
	for _, id := range p.scheduler.Bound() {
		w := d.waiters[id]
		upstreams, candidates := d.candidates(key, p)
		candidates = picker.OnlyVersion(candidates, *w.request.version, w.request.pick.Avoid)
		if !anyFree(candidates) {
			continue
		}
		w.item, _ = p.scheduler.Take(d.now(), id)
		delete(d.waiters, id)
		w.granted <- d.grantUpstream(w, key, upstreams, candidates)
	}
}

// originOf returns what has begun the response to an attempt. The second result is false if that is
// not certain: another run of the upstream, or another version, has been announced since the
// upstream was chosen, so either may have written the response.
func (d *dispatcher) originOf(g *grant) (matcher.Origin, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.registry.Get(g.upstream.ID)
	certain := known == nil || known.Incarnation == g.upstream.Incarnation && known.Version == g.upstream.Version
	return matcher.Origin{Pool: matcher.Pool(g.pool.String()), Version: g.upstream.Version}, certain
}

// bindVersion binds a stream, before its first event is relayed to the client, to the version that
// has begun it.
func (h *callHandler) bindVersion() {
	if h.bound {
		return
	}
	h.bound = true
	if origin, certain := h.router.dispatcher.originOf(h.current.grant); certain {
		h.origin = &origin
	}
}

// boundVersion returns the version that may go on with the call's stream, or nil if any may.
func (h *callHandler) boundVersion() *registrar.Version {
	if h.origin == nil {
		return nil
	}
	return &h.origin.Version
}
