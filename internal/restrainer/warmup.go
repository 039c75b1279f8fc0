package restrainer

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/warmer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// defaultOverrun and defaultTolerance bound the requests to cold upstreams if the settings do not.
	defaultOverrun   = 1.5
	defaultTolerance = 5
	// contactTimeout is the time after the latest reply of a control process from which announcements
	// may be missing. While one answers, a reply comes every 0.6 s.
	contactTimeout = 2 * time.Second
	// checkInterval is the time for which an upstream's own answer that it is warm is relied on by a
	// host without contact. It is less than the time between two heartbeats.
	checkInterval = time.Second
)

type (
	// coldPool is what the upstreams of a pool tolerate while they are cold.
	coldPool struct {
		rate       apportioner.Rate
		healthPath string
	}

	// warmth is what is known of cold upstreams.
	warmth struct {
		warmer *warmer.Warmer
		// pools holds the pools with a rate by name.
		pools map[string]coldPool
		// contactAt is when a control process last answered.
		contactAt time.Duration
		// checkedAt holds when upstreams last said themselves whether they are cold.
		checkedAt map[registrar.UpstreamID]time.Duration
		// heldBack reports that a cold upstream was no candidate for want of a turn since the latest
		// reservation.
		heldBack bool
	}
)

// boundsOf returns the bounds in the settings.
func boundsOf(s *settings.ColdUpstreams) warmer.Bounds {
	b := warmer.Bounds{Overrun: defaultOverrun, Tolerance: defaultTolerance}
	if s != nil && s.Overrun != nil {
		b.Overrun = s.GetOverrun()
	}
	if s != nil && s.Tolerance != nil {
		b.Tolerance = s.GetTolerance()
	}
	return b
}

func newWarmth(host string, bounds warmer.Bounds) warmth {
	return warmth{
		warmer: warmer.New(apportioner.HostOf(host), bounds), pools: map[string]coldPool{}, checkedAt: map[registrar.UpstreamID]time.Duration{},
	}
}

// SetPools sets the pools of the configuration. It reports whether those whose cold upstreams are
// limited are other ones than before, so that all upstreams are to be observed again.
func (r *Restrainer) SetPools(pools []*state.Pool) (changed bool) {
	next := map[string]coldPool{}
	for _, p := range pools {
		// Earlier releases accept any number.
		if rate := p.GetWarmUp().GetRate(); rate > 0 && !math.IsInf(rate, 1) {
			next[p.GetName()] = coldPool{rate: apportioner.Rate(rate), healthPath: p.GetWarmUp().GetHealthPath()}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range next {
		_, known := r.warmth.pools[name]
		changed = changed || !known
	}
	r.warmth.pools = next
	return changed
}

// coldPoolOf returns what a cold upstream tolerates, false if that is not limited: of several pools
// the one with the lowest rate counts. The mutex must be held.
func (r *Restrainer) coldPoolOf(u *registrar.Upstream) (pool coldPool, found bool) {
	if len(r.warmth.pools) == 0 {
		return coldPool{}, false
	}
	for _, name := range u.Serves {
		if p, limited := r.warmth.pools[name]; limited && (!found || p.rate < pool.rate) {
			pool, found = p, true
		}
	}
	return pool, found
}

// coldRate returns the rate that an upstream tolerates now, zero if it is warm or that is not
// limited, and until when it is cold. The mutex must be held.
func (r *Restrainer) coldRate(now warmer.Moment, u *registrar.Upstream) (rate apportioner.Rate, until time.Duration) {
	pool, found := r.coldPoolOf(u)
	if !found {
		return 0, 0
	}
	until, cold := r.warmth.warmer.Cold(now, u.ID)
	if !cold {
		return 0, 0
	}
	return pool.rate, until
}

// ObserveAnnouncement records until when an upstream says that it is cold.
func (r *Restrainer) ObserveAnnouncement(u *registrar.Upstream) {
	r.observe(u, warmer.Report{Upstream: u.ID, EndsAt: u.WarmUpEndsAt, MadeAt: u.AnnouncedAt}, "announcement")
}

// ObserveWarmUp records for how long an upstream is still cold, as a response to a request that was
// sent some time ago says.
func (r *Restrainer) ObserveWarmUp(u *registrar.Upstream, left, sentAgo time.Duration) {
	now := r.local()
	report := warmer.Report{Upstream: u.ID, EndsAt: now - sentAgo, MadeAt: now - sentAgo}
	if left > 0 {
		report.EndsAt = now + left
	}
	r.observe(u, report, "response")
}

func (r *Restrainer) observe(u *registrar.Upstream, report warmer.Report, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool, found := r.coldPoolOf(u)
	if !found {
		return
	}
	now := r.moment()
	if r.warmth.warmer.Observe(now, report) {
		r.Log.Info("upstream is cold", zap.String("upstream", string(u.ID)), zap.Uint64("incarnation", uint64(u.Incarnation)),
			zap.String("source", source), zap.Duration("left", report.EndsAt-now.Local), zap.Duration("age", now.Local-report.MadeAt),
			zap.Float64("rate", float64(pool.rate)))
	}
}

// Forget removes an upstream that is not announced any more.
func (r *Restrainer) Forget(id registrar.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmth.warmer.Forget(id)
	delete(r.warmth.checkedAt, id)
}

// Maintain logs which upstreams have become warm. It is called every few milliseconds.
func (r *Restrainer) Maintain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.warmth.warmer.Warmed(r.moment()) {
		r.Log.Info("upstream is warm", zap.String("upstream", string(id)))
	}
}

// HealthPath returns the path at which an upstream is to be asked whether it is cold before a request
// is sent to it, empty if that need not be: no control process answers, so an announcement may be
// missing, and the upstream has not said lately that it is warm.
func (r *Restrainer) HealthPath(u *registrar.Upstream) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool, found := r.coldPoolOf(u)
	now := r.moment()
	if !found || now.Local-r.warmth.contactAt < contactTimeout {
		return ""
	}
	checkedAt, checked := r.warmth.checkedAt[u.ID]
	if _, cold := r.warmth.warmer.Cold(now, u.ID); cold || checked && now.Local-checkedAt < checkInterval {
		return ""
	}
	return pool.healthPath
}

// Checked records that an upstream was asked whether it is cold.
func (r *Restrainer) Checked(u *registrar.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmth.checkedAt[u.ID] = r.local()
}

// moment reads both clocks.
func (r *Restrainer) moment() warmer.Moment {
	return warmer.Moment{Agreed: r.now(), Local: r.local()}
}
