// Package restrainer keeps the requests of an entry process within the request limits that
// upstreams name, and within what cold upstreams tolerate, together with all other entry processes.
package restrainer

import (
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
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
		// Log and Held are set before use. Held counts the requests that a cold upstream did not get.
		Log  *zap.Logger
		Held tally.Counter

		// now returns the time on which all processes agree, local that of the monotonic clock.
		now   func() time.Time
		local func() time.Duration

		mu          sync.Mutex
		apportioner *apportioner.Apportioner
		// limited reports that some upstream has ever named a limit.
		limited bool
		hosts   []apportioner.Host
		digest  uint64
		// listedAt is when the hosts were last recorded.
		listedAt time.Time
		warmth   warmth
	}

	// Restraint is what holds for an upstream now.
	Restraint struct {
		// Limited reports that the upstream names a limit or is cold.
		Limited bool
		// Available reports that this process may send a request.
		Available bool
		// Named reports that the upstream names a limit.
		Named bool
		// ColdUntil is the end of the time for which the upstream is cold, zero if it is not.
		ColdUntil time.Duration
	}

	// Reservation permits one request to an upstream with a limit. The zero value permits none.
	Reservation struct {
		at time.Time
		// turnEnds is the end of a turn at a cold upstream, zero if the upstream was warm.
		turnEnds time.Time
	}

	// LimitError reports a request that was not sent because its upstream takes no more.
	LimitError struct {
		Upstream registrar.UpstreamID
		// Limit is in requests a second.
		Limit apportioner.Rate
		// Cold reports that the limit is what the cold upstream tolerates.
		Cold bool
	}
)

// Error implements error.
func (e *LimitError) Error() string {
	return "upstream " + string(e.Upstream) + " takes no more requests of this host now"
}

// New returns a restrainer for the process of a host.
func New(host string, cold *settings.ColdUpstreams, now func() time.Time) *Restrainer {
	return &Restrainer{
		Log: zap.NewNop(), Held: tally.NoopScope.Counter(""),
		now: now, local: timer.Now, apportioner: apportioner.New(apportioner.HostOf(host)), warmth: newWarmth(host, boundsOf(cold)),
	}
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
	r.warmth.contactAt = r.local()
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
	r.warmth.warmer.SetHosts(r.moment(), r.hosts)
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
	out := Restraint{Available: true}
	if r.unlimited() {
		return out
	}
	now := r.moment()
	if limit, named := r.limitOf(now.Agreed, u); named {
		out.Limited, out.Named = true, true
		out.Available = r.apportioner.Available(now.Agreed, keyOf(u), limit) > 0
	}
	if rate, until := r.coldRate(now, u); rate > 0 {
		out.Limited, out.ColdUntil = true, until
		if !r.warmth.warmer.Available(now, u.ID, rate) {
			out.Available, r.warmth.heldBack = false, true
		}
	}
	return out
}

// unlimited reports that no upstream has ever named a limit, and that no pool declares a rate for cold
// ones. The mutex must be held.
func (r *Restrainer) unlimited() bool { return !r.limited && len(r.warmth.pools) == 0 }

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
	if r.unlimited() {
		return Reservation{}
	}
	if r.warmth.heldBack {
		r.warmth.heldBack = false
		r.Held.Inc(1)
	}
	limited, reserved, _ := r.take(u)
	if !limited {
		return Reservation{}
	}
	return reserved
}

// take counts a request to an upstream if it may be sent now, and reports whether the upstream has a
// limit. The mutex must be held.
func (r *Restrainer) take(u *registrar.Upstream) (limited bool, reserved Reservation, refused *LimitError) {
	now := r.moment()
	limit, named := r.limitOf(now.Agreed, u)
	rate, _ := r.coldRate(now, u)
	if rate > 0 && !r.warmth.warmer.Available(now, u.ID, rate) {
		return true, Reservation{}, &LimitError{Upstream: u.ID, Limit: rate, Cold: true}
	}
	if named && !r.apportioner.Take(now.Agreed, keyOf(u), limit) {
		return true, Reservation{}, &LimitError{Upstream: u.ID, Limit: limit}
	}
	reserved = Reservation{at: now.Agreed}
	if rate > 0 {
		reserved.turnEnds, _ = r.warmth.warmer.Take(now, u.ID, rate)
	}
	return named || rate > 0, reserved, nil
}

// holds reports whether a reservation still permits a request to an upstream that has a limit. The
// mutex must be held.
func (r *Restrainer) holds(u *registrar.Upstream, reserved Reservation) bool {
	now := r.moment()
	_, named := r.limitOf(now.Agreed, u)
	rate, _ := r.coldRate(now, u)
	if !named && rate == 0 || reserved.at.IsZero() || now.Agreed.Sub(reserved.at) >= reservationLifetime {
		return false
	}
	return rate == 0 || now.Agreed.Before(reserved.turnEnds)
}

// Admit reports whether an upstream has a limit, and returns a *LimitError if a request may not
// be sent to it now. It counts the request unless a recent reservation did.
func (r *Restrainer) Admit(u *registrar.Upstream, reserved Reservation) (limited bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unlimited() {
		return false, nil
	}
	if r.holds(u, reserved) {
		return true, nil
	}
	limited, _, refused := r.take(u)
	if refused == nil {
		return limited, nil
	}
	if refused.Cold {
		r.Held.Inc(1)
	}
	return true, refused
}

// Turns returns the times from now at which this process may send requests to upstreams that
// have a limit, in ascending order, at most count and none later than longest.
func (r *Restrainer) Turns(upstreams []*registrar.Upstream, count int, longest time.Duration) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.moment()
	var turns []time.Duration
	keys := make([]apportioner.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if rate, _ := r.coldRate(now, u); rate > 0 {
			turns = append(turns, r.warmth.warmer.Turns(now, u.ID, rate, count, longest)...)
			continue
		}
		keys = append(keys, keyOf(u))
	}
	named := r.apportioner.Turns(now.Agreed, keys, count, longest)
	if len(turns) == 0 {
		return named
	}
	turns = append(turns, named...)
	slices.Sort(turns)
	return turns[:min(count, len(turns))]
}
