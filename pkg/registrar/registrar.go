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
		// HeardAt is when the announcement was made, on this process's monotonic clock.
		HeardAt time.Duration
	}

	// Registrar holds the table. It is not safe for concurrent use.
	Registrar struct {
		lease     time.Duration
		upstreams map[UpstreamID]*Upstream
		// serving holds the answers of Serving until an announcement changes them.
		serving map[offer][]*Upstream
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

// Announce takes an announcement into the table and reports whether it is new.
// An upstream that is leaving stays so for the rest of its incarnation.
func (r *Registrar) Announce(now time.Duration, u Upstream) bool {
	if now-u.HeardAt >= r.lease {
		return false
	}
	before := r.upstreams[u.ID]
	if before != nil && !newer(before, &u) {
		return false
	}
	if before != nil && before.Incarnation == u.Incarnation && before.State == Leaving {
		u.State = Leaving
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
		if now-u.HeardAt >= r.lease {
			delete(r.upstreams, id)
			r.forgetServing(u)
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

func newer(before, after *Upstream) bool {
	if after.Incarnation != before.Incarnation {
		return after.Incarnation > before.Incarnation
	}
	return after.Sequence > before.Sequence
}
