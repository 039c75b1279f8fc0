package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/tracker"
	"github.com/comfreybend/comfreybend/internal/translator"
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
		if !d.isWithheld(u) && matches(u, version) {
			out = append(out, u)
		}
	}
	return out
}

// unservedRefusal returns the refusal of a request that no upstream can serve, or nil. A stream
// whose version has left ends, unless this process has just started and may not know all
// upstreams.
func (d *dispatcher) unservedRefusal(r dispatchRequest) *translator.RefusalError {
	switch {
	case len(d.serving(r.pool, r.version)) > 0:
		return nil
	case d.isEvacuated(r.pool, r.version):
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNoUpstream,
			"all upstreams that may serve the request are in evacuated failure domains", d.retryAfter())
	case r.version != nil && len(d.serving(r.pool, nil)) > 0 && d.now()-d.startedAt > startupTime:
		return translator.Refuse(http.StatusGone, translator.CodeVersionGone, "no upstream of the version that began the stream serves any more")
	default:
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNoUpstream, "no upstream serves "+r.pool.name, d.retryAfter())
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
		if !picker.AnyFree(candidates) {
			continue
		}
		w.item, _ = p.scheduler.Take(d.now(), id)
		delete(d.waiters, id)
		w.granted <- d.grantUpstream(w, key, upstreams, candidates)
	}
}

// originOf returns what has begun the response to an attempt. The second result is false if that is
// not certain: another run of the upstream has written it, or another run or version has been
// announced since the upstream was chosen, so either may have written it.
func (d *dispatcher) originOf(at *attempt) (matcher.Origin, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := at.grant
	known := d.registry.Get(g.upstream.ID)
	certain := !at.otherRun && (known == nil || known.Incarnation == g.upstream.Incarnation && known.Version == g.upstream.Version)
	return matcher.Origin{Pool: matcher.Pool(g.pool.String()), Version: g.upstream.Version}, certain
}

// outdated returns the upstreams of another version that an announcement shows to be over.
func (d *dispatcher) outdated(u *registrar.Upstream) []*registrar.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Outdated(u)
}

// hasOtherVersions reports whether upstreams of other versions than an origin's are known in its pool,
// also ones that are leaving.
func (d *dispatcher) hasOtherVersions(key poolKey, o matcher.Origin) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.Any(func(u *registrar.Upstream) bool {
		return u.Kind == key.kind && u.Version != o.Version && slices.Contains(u.Serves, key.name)
	})
}

// findOrigin finds out which version has begun the stream that a client takes up, and binds the call
// to it. It returns a refusal if no version may go on with the stream.
func (h *callHandler) findOrigin(ctx context.Context) *translator.RefusalError {
	c, r := h.call, h.router
	if !c.stream || c.LastEventID == scanner.NoEventID {
		return nil
	}
	var taken *matcher.Stream
	if c.Resumes != "" {
		h.stream = matcher.StreamOf(string(c.Resumes), string(c.client.organisation))
		taken = &h.stream
	}
	waitCtx, cancel := h.waitContext(ctx)
	defer cancel()
	found := r.tracker.Resolve(waitCtx, taken, matcher.Pool(c.pool.String()))
	outcome, origin := found.Outcome, found.Origin
	h.log.Info("client takes up a stream", h.requestIDField(), zap.String("resumes", string(c.Resumes)), zap.Uint64("resumedAfter", uint64(c.LastEventID)),
		zap.Bool("known", found.Known), zap.Bool("complete", found.Complete), zap.Bool("recovering", found.Recovering), zap.Bool("confirmed", found.Confirmed),
		zap.Int("versions", len(found.Versions)), zap.Bool("goesOn", outcome == matcher.Continue), zap.String("pool", string(origin.Pool)),
		zap.String("version", string(origin.Version)), zap.Duration("took", found.Took), zap.Array("asked", found.Responses))
	switch {
	case outcome == matcher.Later:
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNoQuorum, "it cannot be told now which version began the stream", r.retryAfter())
	case outcome == matcher.Unknown:
		return translator.Refuse(http.StatusGone, translator.CodeVersionGone, "it is not known which version began the stream")
	case !c.mayUse(origin.Pool):
		return translator.Refuse(http.StatusGone, translator.CodeVersionGone, "the route does not lead to the service that began the stream any more")
	}
	h.bound, h.origin = true, &origin
	return nil
}

// mayUse reports whether the route leads to a pool, and chooses it.
func (c *call) mayUse(pool matcher.Pool) bool {
	names := []string{c.pool.name}
	for _, s := range c.route.GetSplits() {
		names = append(names, s.GetService())
	}
	for _, name := range names {
		if key := (poolKey{kind: c.pool.kind, name: name}); matcher.Pool(key.String()) == pool {
			c.pool = key
			return true
		}
	}
	return false
}

// bindVersion binds a stream, before its first event is relayed to the client, to the version that
// has begun it, and reports that to the control processes. While the pool has several versions, the
// event waits until one of them knows.
func (h *callHandler) bindVersion(ctx context.Context) {
	if h.bound {
		h.reportOrigin(false)
		return
	}
	h.bound = true
	origin, certain := h.router.dispatcher.originOf(h.current)
	if !certain || !h.call.retryable {
		return
	}
	h.origin = &origin
	h.stream = matcher.StreamOf(string(h.current.id), string(h.call.client.organisation))
	urgent := h.router.dispatcher.hasOtherVersions(h.current.grant.pool, origin)
	reported := h.reportOrigin(urgent)
	if !urgent {
		return
	}
	timeout := time.NewTimer(tracker.ReportTimeout)
	defer timeout.Stop()
	select {
	case <-reported:
	case <-ctx.Done():
	case <-timeout.C:
		h.log.Warn("the version that began a stream was not reported in time", h.requestIDField(), zap.String("version", string(origin.Version)))
	}
}

// reportOrigin reports the origin of the stream, if the client can take it up. It has no effect the
// second time. The channel is closed when a control process knows it.
func (h *callHandler) reportOrigin(urgent bool) <-chan struct{} {
	if h.reported || h.origin == nil || h.stream == (matcher.Stream{}) {
		return nil
	}
	h.reported = true
	return h.router.tracker.Report(h.stream, *h.origin, urgent)
}

// endOrigin records that the stream has ended here, if its origin was reported.
func (h *callHandler) endOrigin() {
	if h.reported {
		h.router.tracker.End(h.stream)
	}
}

// boundVersion returns the version that may go on with the call's stream, or nil if any may.
func (h *callHandler) boundVersion() *registrar.Version {
	if h.origin == nil {
		return nil
	}
	return &h.origin.Version
}
