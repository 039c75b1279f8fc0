package router

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// failingPenalty is added to the predicted time of an engine for each fraction of its attempts by which
// it fails more than the others: a request that fails is sent again after a time of this order.
const failingPenalty = 5 * time.Second

// observation is what is observed of an upstream by one attempt.
type observation struct {
	// tokensAhead are the prompt tokens that the upstream had to compute before the request's own,
	// othersTokens the uncached ones of the requests in flight.
	tokensAhead  float64
	othersTokens float64
	deadline     time.Duration
	firstTokenAt time.Duration
	// events is the number of events after the first token, status that of the response, zero if there
	// was none.
	events, status int
	// whole reports that the upstream answers at once, refused that it did not run the request.
	whole, refused bool
	profile        profiler.Profile
}

// observeResponse records what the headers of a response say.
func (d *dispatcher) observeResponse(g *grant, response *http.Response, info translator.ResponseInfo) {
	g.observed.status = response.StatusCode
	g.observed.whole = !isEventStream(response)
	g.observed.refused = info.NotRun || response.StatusCode == http.StatusServiceUnavailable
	if info.Load != nil && info.Load.Slowdown > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.clusterLoad.Observer().Enable()
	}
}

// slowdownOf returns the slowdown that an upstream has reported just now, 1 if there is none.
func (s *upstreamState) slowdownOf(now time.Duration) float64 {
	return profiler.PresentSlowdown(s.reportedLoad.Slowdown, now-s.reportedLoad.MeasuredAt)
}

// setProfile sets what is known of the speed and the failures of a candidate.
func (d *dispatcher) setProfile(now time.Duration, u *registrar.Upstream, c *picker.Candidate) {
	profile := d.clusterLoad.ProfileOf(now, u)
	c.Speed, c.Slowdown, c.Failing = profile.Speed, d.upstreamStates[u.ID].slowdownOf(now), profile.Excess > 0
}

// failurePenalty returns the penalty of an upstream because it fails more than others.
func (d *dispatcher) failurePenalty(now time.Duration, u *registrar.Upstream) time.Duration {
	return time.Duration(d.clusterLoad.ProfileOf(now, u).Excess * float64(failingPenalty))
}

// observeFirstToken observes the prefill of a grant's prompt.
func (d *dispatcher) observeFirstToken(g *grant) {
	now := d.now()
	g.observed.firstTokenAt = now
	d.observe(g, profiler.WorkPrefill, profiler.ExpectedPrefill(g.uncachedTokens, g.observed.tokensAhead), now-g.grantedAt)
	if g.prefillStartsImmediately {
		// The placer expects the time at an engine of the usual speed.
		took := now - g.grantedAt
		if scale := profiler.Relative(g.observed.profile.Speed) / g.state.slowdownOf(now); scale != 1 {
			took = time.Duration(float64(took) * scale)
		}
		d.placer.ObserveFirstToken(int(g.uncachedTokens), took)
	}
}

// observeEnd observes how a grant ended, and how long a complete response took.
func (d *dispatcher) observeEnd(g *grant, outcome attemptOutcome) {
	o, now := &g.observed, d.now()
	failed := o.status >= http.StatusInternalServerError
	switch outcome {
	case outcomeFailed, outcomeTimedOut:
		failed = true
		if now >= o.deadline {
			// The attempt was given up.
			return
		}
	case outcomeUnreachable, outcomeAbandoned:
		return
	case outcomeAnswered, outcomeOverloaded:
		if o.status == 0 || o.refused {
			return
		}
	}
	if !d.clusterLoad.Observer().Enabled() {
		// Upstreams that do not report how slow they are get the requests that they always got.
		return
	}
	d.clusterLoad.Observer().Ended(runOf(g.upstream), failed)
	switch {
	case failed || outcome != outcomeAnswered:
	case o.firstTokenAt > 0:
		// The mean of the load at the beginning and at the end stands for that between.
		others, _ := d.clusterLoad.LoadOfOthers(now, g.upstream)
		running := g.placement.load + 1 + g.state.limiter.InFlight() + 1 + others.Requests
		uncached := o.othersTokens + g.state.uncachedTokens + float64(others.UncachedTokens)
		d.observe(g, profiler.WorkEvents, profiler.ExpectedEvents(o.events, running/2, uncached/2), now-o.firstTokenAt)
	case o.whole && g.pool.kind == registrar.KindService:
		d.observe(g, profiler.WorkResponse, profiler.ExpectedResponse(g.placement.load+1, g.upstream.Load.Slots), now-g.grantedAt)
	}
}

// observe adds the duration of work for a grant to what is known of its upstream's speed.
func (d *dispatcher) observe(g *grant, work profiler.Work, expected, took time.Duration) {
	d.clusterLoad.Observer().Observe(profiler.Sample{
		Run:      runOf(g.upstream),
		Group:    profiler.Group{Pool: g.pool.name, Class: string(g.item.Class), Work: work},
		Expected: expected, Took: took,
		Slowdown: g.state.slowdownOf(d.now()),
		Speed:    g.observed.profile.Speed,
	})
}

func runOf(u *registrar.Upstream) profiler.Run {
	return profiler.Run{ID: u.ID, Incarnation: u.Incarnation}
}

// recordSpeeds sets by pool the gauge of the ratio of the highest to the lowest known speed.
func (d *dispatcher) recordSpeeds() {
	now := d.now()
	for key := range d.pools {
		lowest, highest := 1.0, 1.0
		for _, u := range d.registry.Serving(key.kind, key.name) {
			if speed := d.clusterLoad.ProfileOf(now, u).Speed; speed > 0 {
				lowest, highest = min(lowest, speed), max(highest, speed)
			}
		}
		d.metrics.SpeedSpread(key.kind, key.name, highest/lowest)
	}
}

// profileFields returns the log fields with the profile of the upstream, as far as it is known.
func (g *grant) profileFields() []zap.Field {
	var out []zap.Field
	if p := g.observed.profile; p.Speed > 0 {
		out = append(out, zap.Float64("speed", p.Speed))
	}
	if p := g.observed.profile; p.Excess > 0 {
		out = append(out, zap.Float64("failingExcess", p.Excess))
	}
	return out
}
