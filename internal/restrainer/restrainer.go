// Package restrainer keeps the requests of an entry process within the request limits that
// upstreams name, together with all other entry processes.
package restrainer

import (
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// listInterval is the time between two records that the listed hosts are still there.
	listInterval = time.Second
	// reservationLifetime is the time from a reservation in which its request must be sent.
	reservationLifetime = time.Second
)

type (
	// Restrainer holds the request limits and what this process sends. It is safe for concurrent
	// use.
	Restrainer struct {
		// now returns the time on which all processes agree.
		now func() time.Time

		mu          sync.Mutex
		apportioner *apportioner.Apportioner
		// limited reports that some upstream has ever named a limit.
		limited bool
		hosts   []apportioner.Host
		digest  uint64
		// listedAt is when the hosts were last recorded.
		listedAt time.Time
	}

	// Restraint is what holds for an upstream now.
	Restraint struct {
		// Limited reports that the upstream names a limit.
		Limited bool
		// Available reports that this process may send a request.
		Available bool
	}

	// Reservation permits one request to an upstream with a limit. The zero value permits none.
	Reservation struct {
		at time.Time
	}

	// LimitError reports a request that was not sent because its upstream takes no more.
	LimitError struct {
		Upstream registrar.UpstreamID
		// Limit is in requests a second.
		Limit apportioner.Rate
	}
)

// Error implements error.
func (e *LimitError) Error() string {
	return "upstream " + string(e.Upstream) + " takes no more requests of this host now"
}

// New returns a restrainer for the process of a host.
func New(host string, now func() time.Time) *Restrainer {
	return &Restrainer{now: now, apportioner: apportioner.New(apportioner.HostOf(host))}
}

func keyOf(u *registrar.Upstream) apportioner.Upstream {
	return apportioner.Upstream{ID: u.ID, Incarnation: u.Incarnation}
}

// Observe records the limit that a response names, an empty text if it names none, and how long
// ago its request was sent. It reports whether that changes the limit, and whether the text is a
// usable number.
func (r *Restrainer) Observe(u *registrar.Upstream, text string, sentAgo time.Duration) (changed, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if text == "" && !r.limited {
		return false, true
	}
	now := r.now()
	o := apportioner.Observation{Upstream: keyOf(u), Named: text != "", SentAt: now.Add(-sentAgo), ReceivedAt: now}
	usable = true
	if o.Named {
		r.limited = true
		o.Limit, usable = apportioner.ParseLimit(text)
	}
	return r.apportioner.Observe(o), usable
}

// Merge adds what other processes have heard.
func (r *Restrainer) Merge(limits []*wire.RequestLimit) {
	if len(limits) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limited = true
	now := r.now()
	for _, s := range announcer.LimitsFromWire(limits) {
		r.apportioner.Merge(now, s)
	}
}

// Since returns what changed after a position, and the position reached: everything from the
// start, and only what this process has heard itself later.
func (r *Restrainer) Since(after apportioner.Position) ([]*wire.RequestLimit, apportioner.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := r.apportioner.ObservedSince
	if after == 0 {
		since = r.apportioner.Since
	}
	statements, position := since(after)
	return announcer.LimitsToWire(statements), position
}

// SetHosts sets the ids of the hosts that send requests. An empty list means that they are the
// same as before.
func (r *Restrainer) SetHosts(ids []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if len(ids) == 0 && now.Sub(r.listedAt).Abs() < listInterval {
		return
	}
	if len(ids) > 0 {
		r.hosts, r.digest = make([]apportioner.Host, 0, len(ids)), announcer.DigestOf(ids)
		for _, id := range ids {
			r.hosts = append(r.hosts, apportioner.Host(id))
		}
	}
	r.listedAt = now
	r.apportioner.SetHosts(now, r.hosts)
}

// HostsDigest returns the digest of the ids of the hosts, or zero if they are not known.
func (r *Restrainer) HostsDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// RestraintOf returns what holds for an upstream now.
func (r *Restrainer) RestraintOf(u *registrar.Upstream) Restraint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	limit, limited := r.limitOf(now, u)
	if !limited {
		return Restraint{Available: true}
	}
	return Restraint{Limited: true, Available: r.apportioner.Available(now, keyOf(u), limit) > 0}
}

// limitOf returns the limit of an upstream, or false if there is none. The mutex must be held.
func (r *Restrainer) limitOf(now time.Time, u *registrar.Upstream) (apportioner.Rate, bool) {
	if !r.limited {
		return 0, false
	}
	return r.apportioner.Limit(now, keyOf(u))
}

// Reserve counts a request that is to be sent to an upstream with a limit. The result is zero if
// the upstream has none, or takes none now.
func (r *Restrainer) Reserve(u *registrar.Upstream) Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if limit, limited := r.limitOf(now, u); limited && r.apportioner.Take(now, keyOf(u), limit) {
		return Reservation{at: now}
	}
	return Reservation{}
}

// Admit reports whether an upstream has a limit, and returns a *LimitError if a request may not
// be sent to it now. It counts the request unless a recent reservation did.
func (r *Restrainer) Admit(u *registrar.Upstream, reserved Reservation) (limited bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	limit, limited := r.limitOf(now, u)
	if !limited || !reserved.at.IsZero() && now.Sub(reserved.at) < reservationLifetime || r.apportioner.Take(now, keyOf(u), limit) {
		return limited, nil
	}
	return true, &LimitError{Upstream: u.ID, Limit: limit}
}

// Turns returns the times from now at which this process may send requests to upstreams that
// have a limit, in ascending order, at most count and none later than longest.
func (r *Restrainer) Turns(upstreams []*registrar.Upstream, count int, longest time.Duration) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]apportioner.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		keys = append(keys, keyOf(u))
	}
	return r.apportioner.Turns(r.now(), keys, count, longest)
}
