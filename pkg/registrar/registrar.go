// Package registrar keeps the upstreams that announce themselves. An
// announcement is a lease: it ends unless it is renewed, and a process that
// hears of it from another one learns its age with it.
package registrar

import (
	"sort"
	"time"
)

type (
	// UpstreamID identifies an upstream across its incarnations.
	UpstreamID string
	// Incarnation grows with each start of an upstream.
	Incarnation uint64
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// FailureDomain is a part of the deployment that fails as a whole.
	FailureDomain string
	// Kind separates model engines from plain services.
	Kind string
	// State says whether an upstream takes new work.
	State string

	// Load is an upstream's own report.
	Load struct {
		Running int
		Waiting int
		// Slots is the number of requests run at once, zero if it is not said.
		Slots int
		// MeasuredAt is on this process's monotonic clock.
		MeasuredAt time.Duration
	}

	// Upstream is the latest announcement of one upstream.
	Upstream struct {
		ID            UpstreamID
		Incarnation   Incarnation
		Sequence      Sequence
		URL           string
		FailureDomain FailureDomain
		Kind          Kind
		// Serves lists models or the names of services.
		Serves      []string
		State       State
		Preemptible bool
		Load        Load
		// AnnouncedAt is when the announcement was made, on this process's monotonic clock.
		AnnouncedAt time.Duration
		// LeavesAt is when the upstream is taken away, zero if it is not known.
		LeavesAt time.Duration
		// WarmAt is when the upstream stops being slow after its start.
		WarmAt time.Duration
		// StartedAt is when the upstream started, zero if it is not known.
		StartedAt time.Duration
	}

	// Registrar holds the table. It is not safe for concurrent use.
	Registrar struct {
		lease     time.Duration
		upstreams map[UpstreamID]*Upstream
		// serving holds the answers of Serving until an announcement changes them.
		serving map[offer][]*Upstream
		// byURL holds the newest incarnation at each address, nil unless addresses are exclusive.
		byURL map[string]*Upstream
	}

	// offer is what an upstream serves.
	offer struct {
		kind Kind
		name string
	}
)

// The kinds and states of upstreams.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"

	Serving State = "serving"
	Leaving State = "leaving"
)

// New returns an empty table whose announcements last for lease.
func New(lease time.Duration) *Registrar {
	return &Registrar{
		lease:     lease,
		upstreams: map[UpstreamID]*Upstream{},
		serving:   map[offer][]*Upstream{},
	}
}

// NewExclusive returns an empty table in which an address belongs to the
// upstream with the newest incarnation alone, whatever its id. Incarnations must
// be comparable across upstreams, for example times of their starts.
func NewExclusive(lease time.Duration) *Registrar {
	r := New(lease)
	r.byURL = map[string]*Upstream{}
	return r
}

// Announce takes an announcement into the table and reports whether it is new.
// An upstream that is leaving stays so for the rest of its incarnation.
func (r *Registrar) Announce(now time.Duration, u Upstream) bool {
	if now-u.AnnouncedAt >= r.lease {
		return false
	}
	before := r.upstreams[u.ID]
	if before != nil && !newer(before, &u) {
		return false
	}
	if before != nil && before.Incarnation == u.Incarnation && before.State == Leaving {
		u.State = Leaving
	}
	if !r.claimAddress(&u) {
		return false
	}
	if before != nil {
		r.forgetServing(before)
	}
	r.forgetServing(&u)
	r.upstreams[u.ID] = &u
	return true
}

// Expire removes the upstreams whose lease has ended and returns their ids.
func (r *Registrar) Expire(now time.Duration) []UpstreamID {
	var gone []UpstreamID
	for id, u := range r.upstreams {
		if now-u.AnnouncedAt >= r.lease {
			delete(r.upstreams, id)
			r.forgetServing(u)
			if r.byURL[u.URL] == u {
				delete(r.byURL, u.URL)
			}
			gone = append(gone, id)
		}
	}
	return gone
}

// Get returns an upstream, or nil. It must not be changed.
func (r *Registrar) Get(id UpstreamID) *Upstream {
	return r.upstreams[id]
}

// All returns every upstream by id. They must not be changed.
func (r *Registrar) All() []*Upstream {
	out := make([]*Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Serving returns the upstreams that take new work of a kind and name, by id.
// Neither they nor the list must be changed.
func (r *Registrar) Serving(kind Kind, name string) []*Upstream {
	key := offer{kind: kind, name: name}
	if list, found := r.serving[key]; found {
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

func (r *Registrar) forgetServing(u *Upstream) {
	for _, name := range u.Serves {
		delete(r.serving, offer{kind: u.Kind, name: name})
	}
}

// CanServe reports whether the upstream takes new work of a kind and name.
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

// claimAddress gives an address to an upstream and reports false if a newer
// incarnation of another one has it. The one that had it before is leaving.
func (r *Registrar) claimAddress(u *Upstream) bool {
	if r.byURL == nil {
		return true
	}
	holder := r.byURL[u.URL]
	if holder != nil && holder.ID != u.ID {
		if holder.Incarnation > u.Incarnation {
			return false
		}
		replaced := *holder
		replaced.State = Leaving
		r.forgetServing(holder)
		r.upstreams[holder.ID] = &replaced
	}
	r.byURL[u.URL] = u
	return true
}

// EquivalentTo reports whether two announcements say the same, but for their times and load.
func (u *Upstream) EquivalentTo(other *Upstream) bool {
	if len(u.Serves) != len(other.Serves) {
		return false
	}
	for i := range u.Serves {
		if u.Serves[i] != other.Serves[i] {
			return false
		}
	}
	return u.Incarnation == other.Incarnation && u.URL == other.URL && u.State == other.State && u.Kind == other.Kind &&
		u.FailureDomain == other.FailureDomain && u.Preemptible == other.Preemptible
}

func newer(before, after *Upstream) bool {
	if after.Incarnation != before.Incarnation {
		return after.Incarnation > before.Incarnation
	}
	return after.Sequence > before.Sequence
}
