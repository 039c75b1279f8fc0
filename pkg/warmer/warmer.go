// Package warmer divides among many hosts the requests that a cold upstream tolerates.
//
// An upstream is cold for some time after its start, and may become cold again. A Warmer holds
// until when each is, as reports say, and decides for one host whether it may send a request to
// a cold one now.
//
// Requests are sent in turns. Turns follow each other at the tolerated rate by an agreed clock,
// and a hash of host, upstream and turn gives each to one host, which may send one request from
// its start to its end. A turn that is not used by then is lost. Bounds.plan chooses the length of
// a turn so that no second, wherever it begins, touches more turns than requests are allowed. Hosts
// that know the same others need no message for that. Turns do not depend on the incarnation, so
// hosts that know different ones of an upstream give the same turn to the same host.
//
// A host that has heard of no others for HostRetention is not counted by them any more and does not
// know who has come since: it keeps one of cutOffShare turns of those that it had, which are
// part of the plan. A host that has just begun takes no turn before the others can know it.
//
// Times on the agreed clock decide on turns, those on the host's own monotonic clock on the rest.
package warmer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// HostRetention is the time for which a host counts after it was last listed. A host that has
	// heard nothing for this long may no longer be counted by the others.
	HostRetention = time.Minute
	// JoinDelay is the time from the first list of hosts until turns are used, in which the others
	// hear of this host.
	JoinDelay = 2 * time.Second
	// SettleDelay is the time from a report that an upstream is cold again until turns are used:
	// other hosts hear of it up to a heartbeat later and still send.
	SettleDelay = time.Second
	// minReturnDelay is the shortest time from the end of the warm-up until this host ignores it.
	// Reports of the end may be off by as much.
	minReturnDelay = 250 * time.Millisecond
	// returnSpread is the time over which the hosts return to an upstream that is warm.
	returnSpread = time.Second
	// retentionMargin is the time before HostRetention from which a host does not rely on being
	// counted: control processes list it for some time after its last message, never for less.
	retentionMargin = 5 * time.Second
	// maxClockStep is the largest step back of the agreed clock after which used turns stay used.
	maxClockStep = 10 * time.Second
	// maxLookAhead bounds how far Turns looks ahead.
	maxLookAhead = 30 * time.Second
)

type (
	// Moment is a reading of the agreed clock and of the host's own monotonic one.
	Moment struct {
		Agreed time.Time
		Local  time.Duration
	}

	// Report says until when an upstream is cold.
	Report struct {
		Upstream registrar.UpstreamID
		// EndsAt is the end of the warm-up on the monotonic clock. One that is not after MadeAt means
		// that the upstream is warm.
		EndsAt time.Duration
		// MadeAt is when the upstream made the report, on the same clock.
		MadeAt time.Duration
	}

	// Warmer decides for one host. It is not safe for concurrent use.
	Warmer struct {
		self   apportioner.Host
		bounds Bounds
		// listedAt holds when each host was last listed. It is empty until hosts are known.
		listedAt map[apportioner.Host]time.Duration
		// joinedAt is when hosts were listed for the first time, heardAt when for the latest.
		joinedAt, heardAt time.Duration
		upstreams         map[registrar.UpstreamID]*upstream
		// cold holds those of the upstreams that are cold.
		cold map[registrar.UpstreamID]*upstream
	}

	// upstream is what is known of one upstream and the turns that this host has there.
	upstream struct {
		endsAt, madeAt time.Duration
		// quietUntil is the time until which no turn is used.
		quietUntil time.Duration
		// next is the first slot whose turns have not been counted yet.
		next  int64
		turns []turn
	}

	// turn permits a number of requests until its end.
	turn struct {
		end   time.Time
		count int
	}
)

// New returns a warmer for a host. It allows no request to a cold upstream before SetHosts was
// called.
func New(self apportioner.Host, bounds Bounds) *Warmer {
	return &Warmer{
		self: self, bounds: bounds, listedAt: map[apportioner.Host]time.Duration{},
		upstreams: map[registrar.UpstreamID]*upstream{}, cold: map[registrar.UpstreamID]*upstream{},
	}
}

// SetHosts sets the hosts that send requests, as heard now. Those listed earlier count for
// HostRetention more.
func (w *Warmer) SetHosts(now Moment, hosts []apportioner.Host) {
	if len(hosts) == 0 {
		return
	}
	if len(w.listedAt) == 0 {
		w.joinedAt = now.Local
	}
	w.heardAt = now.Local
	w.listedAt[w.self] = now.Local
	for _, h := range hosts {
		w.listedAt[h] = now.Local
	}
	for h, at := range w.listedAt {
		if now.Local-at > HostRetention {
			delete(w.listedAt, h)
		}
	}
}

// Observe records a report, and returns whether the upstream was warm, or not known, and is cold
// by it. A report that was made earlier than another one does not shorten the warm-up.
func (w *Warmer) Observe(now Moment, r Report) (becomesCold bool) {
	u, known := w.upstreams[r.Upstream]
	if !known {
		u = &upstream{}
		w.upstreams[r.Upstream] = u
	}
	switch {
	case r.MadeAt < u.madeAt:
		u.endsAt = max(u.endsAt, r.EndsAt)
	case r.EndsAt > r.MadeAt:
		u.endsAt, u.madeAt = r.EndsAt, r.MadeAt
	default:
		u.endsAt, u.madeAt = min(u.endsAt, r.EndsAt), r.MadeAt
	}
	if now.Local >= u.endsAt || w.cold[r.Upstream] != nil {
		return false
	}
	w.cold[r.Upstream] = u
	// Turns that have begun may have been used as if the upstream were warm.
	u.next, u.turns = slotOf(now.Agreed)+1, nil
	if known {
		u.quietUntil = now.Local + SettleDelay
	}
	return true
}

// Forget removes an upstream.
func (w *Warmer) Forget(id registrar.UpstreamID) {
	delete(w.upstreams, id)
	delete(w.cold, id)
}

// Cold reports whether this host treats an upstream as cold, and until when on the monotonic clock.
func (w *Warmer) Cold(now Moment, id registrar.UpstreamID) (until time.Duration, cold bool) {
	u := w.cold[id]
	if u == nil {
		return 0, false
	}
	until = u.endsAt + w.returnDelay(id)
	return until, now.Local < until
}

// Warmed returns the upstreams that have become warm since the latest call.
func (w *Warmer) Warmed(now Moment) []registrar.UpstreamID {
	var out []registrar.UpstreamID
	for id, u := range w.cold {
		if _, cold := w.Cold(now, id); !cold {
			u.turns = nil
			delete(w.cold, id)
			out = append(out, id)
		}
	}
	return out
}

// Available reports whether this host may send a request now to a cold upstream that tolerates a rate.
func (w *Warmer) Available(now Moment, id registrar.UpstreamID, rate apportioner.Rate) bool {
	u := w.cold[id]
	if u == nil {
		return true
	}
	w.advance(now, id, u, w.bounds.plan(rate))
	return now.Local >= u.quietUntil && len(u.turns) > 0
}

// Take uses a turn at a cold upstream. The request must be sent before the end of the turn. The
// second result is false if there is none now.
func (w *Warmer) Take(now Moment, id registrar.UpstreamID, rate apportioner.Rate) (end time.Time, ok bool) {
	u := w.cold[id]
	if u == nil || !w.Available(now, id, rate) {
		return time.Time{}, false
	}
	first := &u.turns[0]
	end = first.end
	if first.count--; first.count == 0 {
		u.turns = u.turns[1:]
	}
	return end, true
}

// Turns returns the times from now after which this host may send requests to a cold upstream, in
// ascending order: one time for each request, at most count, none later than longest.
func (w *Warmer) Turns(now Moment, id registrar.UpstreamID, rate apportioner.Rate, count int, longest time.Duration) []time.Duration {
	u := w.cold[id]
	if u == nil {
		return nil
	}
	p := w.bounds.plan(rate)
	w.advance(now, id, u, p)
	quiet := max(0, u.quietUntil-now.Local)
	var out []time.Duration
	add := func(n int, wait time.Duration) {
		for ; n > 0 && len(out) < count && wait <= longest; n-- {
			out = append(out, wait)
		}
	}
	for _, t := range u.turns {
		if t.end.Sub(now.Agreed) > quiet {
			add(t.count, quiet)
		}
	}
	for slot := u.next; len(out) < count; slot++ {
		wait := startOf(slot).Sub(now.Agreed)
		if wait > min(longest, maxLookAhead) {
			break
		}
		if wait+p.length > quiet {
			add(w.shareOf(now, id, p, slot), max(wait, quiet))
		}
	}
	return out
}

// advance counts the turns that have begun and drops those that have ended. Turns are not counted
// twice when the agreed clock steps back a little.
func (w *Warmer) advance(now Moment, id registrar.UpstreamID, u *upstream, p plan) {
	slot := slotOf(now.Agreed)
	if u.next > slot+1+int64(maxClockStep/slotLength) {
		u.next, u.turns = slot, nil
	}
	for n := max(u.next, slot-int64(p.length/slotLength)); n <= slot; n++ {
		if share := w.shareOf(now, id, p, n); share > 0 {
			u.turns = append(u.turns, turn{end: startOf(n).Add(p.length), count: share})
		}
	}
	u.next = max(u.next, slot+1)
	for len(u.turns) > 0 && !now.Agreed.Before(u.turns[0].end) {
		u.turns = u.turns[1:]
	}
}

// shareOf returns how many turns of a slot are this host's.
func (w *Warmer) shareOf(now Moment, id registrar.UpstreamID, p plan, slot int64) int {
	hosts := len(w.listedAt)
	if hosts == 0 || now.Local < w.joinedAt+JoinDelay {
		return 0
	}
	turns := p.turnsIn(id, slot)
	if now.Local-w.heardAt > HostRetention-retentionMargin {
		turns = p.cutOffTurnsIn(id, slot)
	}
	share, left := turns/hosts, turns%hosts
	if left == 0 {
		return share
	}
	own, before := order(w.self, id, slot), 0
	for h := range w.listedAt {
		if other := order(h, id, slot); other < own || other == own && h < w.self {
			before++
		}
	}
	if before < left {
		share++
	}
	return share
}

// returnDelay returns the time from the end of the warm-up until this host ignores it.
func (w *Warmer) returnDelay(id registrar.UpstreamID) time.Duration {
	part := float64(order(w.self, id, 0)) / math.MaxUint64
	return minReturnDelay + time.Duration(part*float64(returnSpread))
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

func startOf(slot int64) time.Time { return time.Unix(0, slot*int64(slotLength)) }

// order returns the place of a host among others for an upstream and a slot.
func order(h apportioner.Host, id registrar.UpstreamID, slot int64) uint64 {
	var buffer [64]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], uint64(h))
	b = binary.LittleEndian.AppendUint64(b, uint64(slot))
	return xxhash.Sum64(append(b, id...))
}
