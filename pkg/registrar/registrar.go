// Package registrar keeps a registry of upstreams that announce themselves. An
// announcement starts a lease: the upstream is removed unless it announces itself
// again before the lease ends. Processes may relay announcements together with
// their age, so that a lease ends at the same time in all of them.
package registrar

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxVersionBytes is the size of the longest version that an upstream may report.
	MaxVersionBytes = 128
	// maxWarmUpDrift is the difference of two announced ends of the warm-up that is ignored. It is
	// no longer than what the hosts add to the end (pkg/warmer).
	maxWarmUpDrift = 250 * time.Millisecond
	// maxDepartures is the number of departures that a registry remembers.
	maxDepartures = 4096
)

type (
	// UpstreamID identifies an upstream across its incarnations.
	UpstreamID string
	// Incarnation identifies one run of an upstream, from its start to its end.
	// Later runs have greater numbers.
	Incarnation uint64
	// Sequence numbers the announcements, or the cache events, of one incarnation.
	// Later ones have greater numbers.
	Sequence uint64
	// FailureDomain is a part of the deployment, such as a zone, whose hosts may
	// fail together.
	FailureDomain string
	// Kind distinguishes model engines from other services.
	Kind string
	// State is whether an upstream accepts new requests.
	State string
	// Version is the version of an upstream's software. Versions have no order. It is empty
	// if the upstream does not report it.
	Version string

	// Load is the load that an upstream reports for itself.
	Load struct {
		// Running is the number of requests that are being processed.
		Running int
		// Waiting is the number of queued requests.
		Waiting int
		// Slots is the number of requests that the upstream can process
		// concurrently, zero if unknown.
		Slots int
		// Slowdown is the time that work takes on the upstream's machine at present as a
		// multiple of the usual time, zero if unknown.
		Slowdown float64
		// MeasuredAt is the time of the measurement on this process's monotonic clock.
		MeasuredAt time.Duration
	}

	// Upstream is the latest announcement of one upstream. All times are on this
	// process's monotonic clock.
	Upstream struct {
		ID            UpstreamID
		Incarnation   Incarnation
		Sequence      Sequence
		URL           string
		FailureDomain FailureDomain
		Kind          Kind
		// Serves lists the names of the models or services that the upstream serves.
		Serves []string
		State  State
		// Version is that of the incarnation.
		Version Version
		// Preemptible reports that the platform may reclaim the upstream on short notice.
		Preemptible bool
		Load        Load
		// AnnouncedAt is when the upstream made the announcement, which is the start
		// of its lease.
		AnnouncedAt time.Duration
		// ShutdownAt is when the upstream will be shut down, zero if unknown.
		ShutdownAt time.Duration
		// WarmUpEndsAt is the end of the warm-up, during which the upstream is slow.
		// A time in the past or zero means that it is not warming up.
		WarmUpEndsAt time.Duration
		// StartedAt is when the upstream started, zero if unknown.
		StartedAt time.Duration
	}

	// Registry holds the latest announcement of each upstream. It is not safe for
	// concurrent use.
	Registry struct {
		// LeavingLease is the lease of upstreams that are leaving, the same as of the others at
		// first. Those that have ended announce themselves no more.
		LeavingLease time.Duration

		lease     time.Duration
		upstreams map[UpstreamID]*Upstream
		// serving caches the results of Serving until an announcement changes them.
		serving map[servingKey][]*Upstream
		// byURL holds the announcement with which each URL was last announced. It is nil
		// unless URLs are exclusive.
		byURL map[string]*Upstream
		// departures holds the runs that have left for good.
		departures *Departures
	}

	// servingKey identifies a model or service.
	servingKey struct {
		kind Kind
		name string
	}
)

// The kinds and states of upstreams.
const (
	// KindModel is a model engine.
	KindModel Kind = "model"
	// KindService is any other service.
	KindService Kind = "service"

	// Serving is the state of an upstream that accepts new requests.
	Serving State = "serving"
	// Leaving is the state of an upstream that accepts no new requests because it
	// shuts down or was replaced.
	Leaving State = "leaving"
)

// New returns an empty registry in which each lease lasts for the given duration.
func New(lease time.Duration) *Registry {
	return &Registry{
		LeavingLease: lease,

		lease:     lease,
		upstreams: map[UpstreamID]*Upstream{},
		serving:   map[servingKey][]*Upstream{},

		departures: NewDepartures(maxDepartures),
	}
}

// NewExclusive returns an empty registry like New in which each URL belongs to
// one upstream: of those announced with that URL, the one with the greatest
// incarnation. Incarnations must be comparable across upstreams, for example start
// times.
//
// An upstream whose URL another one takes over is marked as leaving, unless it has
// announced itself with another URL since.
func NewExclusive(lease time.Duration) *Registry {
	r := New(lease)
	r.byURL = map[string]*Upstream{}
	return r
}

// Announce records an announcement and reports whether it was accepted. It is
// rejected if its lease has ended, if it is not newer than the recorded one of the
// same upstream, or if its URL belongs to another upstream with a greater
// incarnation. An upstream that is leaving remains so for the rest of its
// incarnation, also after its lease has ended, and an announcement that says so is accepted
// even if it is not newer.
func (r *Registry) Announce(now time.Duration, u Upstream) bool {
	if now-u.AnnouncedAt >= r.lease {
		return false
	}
	before := r.upstreams[u.ID]
	if before != nil && !isNewer(before, &u) {
		if before.Incarnation != u.Incarnation || u.State != Leaving || before.State == Leaving {
			return false
		}
		// Whoever says that the upstream leaves may have missed its latest announcements.
		u = *before
		u.State = Leaving
	}
	if before != nil && before.Incarnation == u.Incarnation && u.Version == "" {
		// It was relayed by a process that does not know versions.
		u.Version = before.Version
	}
	if u.State == Leaving {
		r.departures.Add(Departure{ID: u.ID, Incarnation: u.Incarnation})
	}
	if before != nil && before.Incarnation == u.Incarnation && before.State == Leaving || r.departures.Has(u.ID, u.Incarnation) {
		u.State = Leaving
	}
	if !r.assignURL(&u) {
		return false
	}
	if before != nil {
		r.invalidateServing(before)
	}
	r.invalidateServing(&u)
	r.upstreams[u.ID] = &u
	return true
}

// Withdraw marks an upstream as leaving for the rest of its incarnation, as if it had
// announced that itself now. An incarnation of zero means the current one. It returns
// the resulting announcement, or false if the upstream or the incarnation is not the
// recorded one.
//
// The announcement has the next sequence, so that it can be relayed. The one with which
// the upstream itself uses that sequence is then rejected, which costs one renewal of
// the lease.
func (r *Registry) Withdraw(now time.Duration, id UpstreamID, incarnation Incarnation) (Upstream, bool) {
	known := r.upstreams[id]
	if known == nil || incarnation != 0 && incarnation != known.Incarnation {
		return Upstream{}, false
	}
	leaving := *known
	leaving.State = Leaving
	leaving.Sequence++
	leaving.AnnouncedAt = now
	return leaving, r.Announce(now, leaving)
}

// Depart records that a run of an upstream has left for good, also if it is not known here:
// its announcements then say that it is leaving, even after its lease has ended. It reports
// whether that marks the recorded upstream as leaving.
func (r *Registry) Depart(now time.Duration, d Departure) bool {
	r.departures.Add(d)
	known := r.upstreams[d.ID]
	if known == nil || known.State == Leaving || !r.departures.Has(known.ID, known.Incarnation) {
		return false
	}
	_, accepted := r.Withdraw(now, known.ID, known.Incarnation)
	return accepted
}

// HasDeparted reports whether Depart was called for a run of an upstream or a later one.
func (r *Registry) HasDeparted(id UpstreamID, incarnation Incarnation) bool {
	return r.departures.Has(id, incarnation)
}

// Expire removes the upstreams whose lease has ended and returns their IDs in no particular order.
func (r *Registry) Expire(now time.Duration) []UpstreamID {
	var expired []UpstreamID
	for id, u := range r.upstreams {
		if age := now - u.AnnouncedAt; age >= r.lease || u.State == Leaving && age >= r.LeavingLease {
			delete(r.upstreams, id)
			r.invalidateServing(u)
			if r.byURL[u.URL] == u {
				delete(r.byURL, u.URL)
			}
			expired = append(expired, id)
		}
	}
	return expired
}

// Get returns the upstream with the given ID, or nil. The caller must not modify it.
func (r *Registry) Get(id UpstreamID) *Upstream {
	return r.upstreams[id]
}

// Len returns the number of upstreams.
func (r *Registry) Len() int { return len(r.upstreams) }

// Any reports whether match returns true for an upstream. It must not modify it.
func (r *Registry) Any(match func(*Upstream) bool) bool {
	for _, u := range r.upstreams {
		if match(u) {
			return true
		}
	}
	return false
}

// Each calls visit with each upstream, in no particular order. It must not modify it.
func (r *Registry) Each(visit func(*Upstream)) {
	for _, u := range r.upstreams {
		visit(u)
	}
}

// All returns all upstreams, ordered by ID. The caller must not modify them.
func (r *Registry) All() []*Upstream {
	out := make([]*Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Serving returns the upstreams that accept new requests for the model or service
// of the given kind and name, ordered by ID. The caller must not modify them or
// the slice.
func (r *Registry) Serving(kind Kind, name string) []*Upstream {
	key := servingKey{kind: kind, name: name}
	if list, ok := r.serving[key]; ok {
		return list
	}
	list := []*Upstream{}
	for _, u := range r.upstreams {
		if u.CanServe(kind, name) {
			list = append(list, u)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	r.serving[key] = list
	return list
}

// invalidateServing discards the cached results of Serving that may contain u.
func (r *Registry) invalidateServing(u *Upstream) {
	for _, name := range u.Serves {
		delete(r.serving, servingKey{kind: u.Kind, name: name})
	}
}

// CanServe reports whether the upstream accepts new requests for the model or
// service of the given kind and name.
func (u *Upstream) CanServe(kind Kind, name string) bool {
	if u.State != Serving || u.Kind != kind {
		return false
	}
	for _, s := range u.Serves {
		if s == name {
			return true
		}
	}
	return false
}

// assignURL assigns the URL of u to u. If that is the URL of another upstream, that
// upstream is recorded as leaving. assignURL returns false if the other upstream's
// announcement has a greater incarnation.
func (r *Registry) assignURL(u *Upstream) bool {
	if r.byURL == nil {
		return true
	}
	previous := r.byURL[u.URL]
	if previous != nil && previous.ID != u.ID {
		if previous.Incarnation > u.Incarnation {
			return false
		}
		if current := r.upstreams[previous.ID]; current != nil && current.URL == u.URL {
			replaced := *current
			replaced.State = Leaving
			r.invalidateServing(current)
			r.upstreams[previous.ID] = &replaced
		}
	}
	r.byURL[u.URL] = u
	return true
}

// Outdated returns the serving upstreams of another version that an announcement shows to be over:
// an earlier run of the same upstream and, if URLs are exclusive, another upstream at its URL that
// started earlier. The caller must not modify them.
func (r *Registry) Outdated(u *Upstream) []*Upstream {
	var out []*Upstream
	candidates := []*Upstream{r.upstreams[u.ID]}
	if holder := r.byURL[u.URL]; holder != nil && holder.ID != u.ID {
		candidates = append(candidates, r.upstreams[holder.ID])
	}
	for _, known := range candidates {
		if known != nil && known.State == Serving && known.Incarnation < u.Incarnation && known.Version != u.Version &&
			(known.ID == u.ID || known.URL == u.URL) {
			out = append(out, known)
		}
	}
	return out
}

// Renew extends the lease of an upstream as if it had made its latest announcement again
// at a time. An earlier time has no effect. It returns false if the upstream is not known.
func (r *Registry) Renew(id UpstreamID, announcedAt time.Duration) bool {
	u := r.upstreams[id]
	if u == nil {
		return false
	}
	u.AnnouncedAt = max(u.AnnouncedAt, announcedAt)
	return true
}

// EquivalentTo reports whether two announcements of an upstream have the same
// fingerprint and about the same end of the warm-up. Sequences, other times and load may
// differ.
func (u *Upstream) EquivalentTo(other *Upstream) bool {
	// A warm-up that has ended by the later announcement does not count.
	latest := max(u.AnnouncedAt, other.AnnouncedAt)
	warmUpChange := max(u.WarmUpEndsAt, latest) - max(other.WarmUpEndsAt, latest)
	return u.Fingerprint() == other.Fingerprint() && max(warmUpChange, -warmUpChange) < maxWarmUpDrift
}

// Fingerprint returns a hash of an announcement's incarnation, URL, state, version, kind, failure
// domain, preemptibility, slots and served names. It is the same in all processes.
func (u *Upstream) Fingerprint() uint64 {
	digest := xxhash.New()
	for _, text := range append([]string{
		string(u.ID), u.URL, string(u.State), string(u.Kind), string(u.FailureDomain), strconv.FormatBool(u.Preemptible),
		strconv.FormatUint(uint64(u.Incarnation), 10), strconv.Itoa(u.Load.Slots),
	}, u.Serves...) {
		_, _ = digest.WriteString(text + "\x00")
	}
	if u.Version != "" {
		_, _ = digest.WriteString("version\x00" + string(u.Version) + "\x00")
	}
	return digest.Sum64()
}

// isNewer reports whether after is a later announcement than before of the same
// upstream.
func isNewer(before, after *Upstream) bool {
	if after.Incarnation != before.Incarnation {
		return after.Incarnation > before.Incarnation
	}
	return after.Sequence > before.Sequence
}
