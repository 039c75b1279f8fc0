// Package apportioner divides among many hosts the requests a second that an upstream takes from
// all of them together.
//
// A Register holds what upstreams have named as their limits. Statements of many hosts merge in
// any order, and twice without harm.
//
// An Apportioner decides how many requests its host may send. Time is cut into slots of an agreed
// clock. In each slot an upstream takes as many requests as its limit allows in that time, and a
// hash of host, upstream and slot orders the hosts: each may send an equal share, and the first
// ones one of those that are left over. Hosts that know the same others therefore keep to the
// limit together without a message, and of hosts that know slightly different ones few exceed it.
// A request that is not sent in its slot is not sent later.
//
// Times are readings of a clock on which the hosts agree to within a slot.
package apportioner

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// slotLength is the time for which requests are divided.
	slotLength = time.Second
	// hostRetention is the time for which a host counts after it was last listed: the hosts that
	// cannot be reached now may still send.
	hostRetention = time.Minute
	// maxClockStep is the largest step back of the clock after which used slots stay used.
	maxClockStep = 10 * time.Second
	// accountSlots is the number of slots after which an account that is not used is dropped.
	accountSlots = 60
	// maxTurnSlots bounds how far Turns looks ahead.
	maxTurnSlots = 60
	// endSpread is the time over which the hosts return to an upstream whose limit has ended. The
	// host that it has told returns at once.
	endSpread = 2 * time.Second
)

type (
	// Host identifies a host.
	Host uint64

	// Upstream identifies one incarnation of an upstream.
	Upstream struct {
		ID          registrar.UpstreamID
		Incarnation registrar.Incarnation
	}

	// Apportioner decides for one host. It is not safe for concurrent use.
	Apportioner struct {
		Register
		self Host
		// listedAt holds when each host was last listed. It is empty until hosts are known.
		listedAt map[Host]time.Time
		accounts map[Upstream]*account
	}

	// account is what the host may send to an upstream in a slot, and has sent.
	account struct {
		slot  int64
		hosts int
		limit Rate
		share int
		used  int
	}
)

// HostOf returns the identifier of the host with a name.
func HostOf(name string) Host { return Host(xxhash.Sum64String(name)) }

// New returns an apportioner for a host. It allows no request to an upstream with a limit before
// SetHosts was called.
func New(self Host) *Apportioner {
	return &Apportioner{Register: *NewRegister(), self: self, listedAt: map[Host]time.Time{}, accounts: map[Upstream]*account{}}
}

// SetHosts sets the hosts that send requests. Those listed earlier count for some time more.
func (a *Apportioner) SetHosts(now time.Time, hosts []Host) {
	if len(hosts) == 0 {
		return
	}
	a.listedAt[a.self] = now
	for _, h := range hosts {
		a.listedAt[h] = now
	}
	for h, at := range a.listedAt {
		if now.Sub(at) > hostRetention {
			delete(a.listedAt, h)
		}
	}
	for u, c := range a.accounts {
		if slotOf(now)-c.slot > accountSlots {
			delete(a.accounts, u)
		}
	}
}

// Limit returns the limit that this host keeps to for an upstream, or false if there is none.
// After its end, which another host has reported, a limit holds for a part of endSpread.
func (a *Apportioner) Limit(now time.Time, u Upstream) (Rate, bool) {
	s := a.statements[u]
	switch {
	case s == nil:
		return 0, false
	case s.Named:
		return s.Limit, true
	case !s.observed && now.Before(s.At.Add(a.returnDelay(u))):
		return s.ended, s.ended > 0
	default:
		return 0, false
	}
}

// returnDelay returns the time from the end of a limit until this host ignores it.
func (a *Apportioner) returnDelay(u Upstream) time.Duration {
	part := float64(order(a.self, u, 0)) / math.MaxUint64
	return time.Duration(part * float64(endSpread))
}

// Available returns how many requests this host may still send now to an upstream with a limit.
func (a *Apportioner) Available(now time.Time, u Upstream, limit Rate) int {
	c := a.account(now, u, limit)
	return max(0, c.share-c.used)
}

// Take reports whether this host may send a request now to an upstream with a limit, and counts
// it.
func (a *Apportioner) Take(now time.Time, u Upstream, limit Rate) bool {
	c := a.account(now, u, limit)
	if c.used >= c.share {
		return false
	}
	c.used++
	return true
}

// Turns returns the times from now after which this host may send requests to any of the given
// upstreams, all of which have a limit, in ascending order: one time for each request, at most
// count, none later than longest.
func (a *Apportioner) Turns(now time.Time, upstreams []Upstream, count int, longest time.Duration) []time.Duration {
	var turns []time.Duration
	for n := range int64(maxTurnSlots) {
		slot := slotOf(now) + n
		wait := max(0, time.Unix(0, slot*int64(slotLength)).Sub(now))
		if wait > longest {
			break
		}
		for _, u := range upstreams {
			limit, _ := a.Limit(now, u)
			share := a.shareOf(u, limit, slot)
			if n == 0 {
				share = a.Available(now, u, limit)
			}
			for ; share > 0; share-- {
				if turns = append(turns, wait); len(turns) == count {
					return turns
				}
			}
		}
	}
	return turns
}

// account returns the account of the current slot. Neither a slot that was used nor the requests
// sent in it are forgotten when the clock steps back a little.
func (a *Apportioner) account(now time.Time, u Upstream, limit Rate) *account {
	slot := slotOf(now)
	c := a.accounts[u]
	if c == nil {
		c = &account{slot: slot - 1}
		a.accounts[u] = c
	}
	if slot > c.slot || slot < c.slot-int64(maxClockStep/slotLength) {
		*c = account{slot: slot}
	}
	if c.limit != limit || c.hosts != len(a.listedAt) {
		c.limit, c.hosts, c.share = limit, len(a.listedAt), a.shareOf(u, limit, c.slot)
	}
	return c
}

// shareOf returns how many requests this host may send in a slot.
func (a *Apportioner) shareOf(u Upstream, limit Rate, slot int64) int {
	hosts := len(a.listedAt)
	requests := requestsIn(u, limit, slot)
	if hosts == 0 || requests == 0 {
		return 0
	}
	share, left := requests/hosts, requests%hosts
	if left == 0 {
		return share
	}
	own, before := order(a.self, u, slot), 0
	for h := range a.listedAt {
		if other := order(h, u, slot); other < own || other == own && h < a.self {
			before++
		}
	}
	if before < left {
		share++
	}
	return share
}

// requestsIn returns how many requests an upstream takes in a slot. The sum over several slots is
// what the limit allows in their time, rounded down or up.
func requestsIn(u Upstream, limit Rate, slot int64) int {
	perSlot := float64(limit) * slotLength.Seconds()
	// The phase keeps upstreams with the same low limit from taking requests in the same slots.
	phase := float64(order(0, u, 0)) / math.MaxUint64
	return int(math.Floor(perSlot*float64(slot+1)+phase) - math.Floor(perSlot*float64(slot)+phase))
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

// order returns the place of a host among others for an upstream and a slot.
func order(h Host, u Upstream, slot int64) uint64 {
	var buffer [64]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], uint64(h))
	b = binary.LittleEndian.AppendUint64(b, uint64(slot))
	b = binary.LittleEndian.AppendUint64(b, uint64(u.Incarnation))
	return xxhash.Sum64(append(b, u.ID...))
}
