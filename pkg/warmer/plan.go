package warmer

import (
	"math"
	"time"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	// slotLength is the time whose turns begin together.
	slotLength = 100 * time.Millisecond
	// maxTurn is the longest time for which a turn may be used. Hosts look for requests that wait
	// every 50 ms, so longer ones are of use only where there is little work.
	maxTurn = time.Second
	// clockSpread is the largest difference of two hosts' readings of the agreed clock for which the
	// bound holds wherever the requests fall. Readings are late by the way of a poll's reply.
	clockSpread = 250 * time.Millisecond
	// cutOffShare divides the turns that hosts use which have long heard of no others.
	cutOffShare = 8
	// maxRate replaces higher rates.
	maxRate = 1e6
)

type (
	// Bounds states how many requests a cold upstream may get in any second: Overrun times its rate,
	// and Tolerance requests.
	Bounds struct {
		Overrun   float64
		Tolerance float64
	}

	// plan is how turns follow each other.
	plan struct {
		// perSlot is the number of turns in a slot.
		perSlot float64
		// length is the time for which a turn may be used.
		length time.Duration
		// reserve is false if the bounds leave no turn for hosts that have long heard of no others.
		reserve bool
	}
)

// Most returns the greatest number of requests that a cold upstream with a rate may get in any
// second. It is at least one, since otherwise it would get none.
func (b Bounds) Most(rate apportioner.Rate) int {
	most := math.Floor(float64(rate)*b.Overrun + b.Tolerance)
	if !(most >= 1) {
		return 1
	}
	return int(min(most, math.MaxInt32))
}

// plan returns how the turns at an upstream with a rate follow each other. A turn that may be used
// for a time t by clocks that differ by s is touched by a second if it begins within 1 + t + s, and
// slots move it by at most slotLength. In a time in which less than n+1 turns begin on average there
// are at most n+1 of them, and n/cutOffShare+1 that hosts use which have heard of no others.
func (b Bounds) plan(rate apportioner.Rate) plan {
	perSecond := min(float64(rate), maxRate)
	most := b.Most(rate)
	n, reserve := 0, most >= 2
	if reserve {
		n = (cutOffShare*(most-2) + cutOffShare - 1) / (cutOffShare + 1)
	}
	fixed := (time.Second + slotLength + clockSpread).Seconds()
	length := float64(n+1)/perSecond - fixed
	if shortest := slotLength.Seconds(); length < shortest {
		length = shortest
		perSecond = float64(n+1) / (fixed + shortest)
	}
	return plan{
		perSlot: perSecond * slotLength.Seconds(),
		length:  time.Duration(min(length, maxTurn.Seconds()) * float64(time.Second)),
		reserve: reserve,
	}
}

// firstTurn returns the number of the first turn that begins in a slot or later. The turns of
// upstreams with the same rate begin at different times.
func (p plan) firstTurn(id registrar.UpstreamID, slot int64) int64 {
	phase := float64(order(0, id, 0)) / math.MaxUint64
	return int64(math.Floor(p.perSlot*float64(slot) + phase))
}

// turnsIn returns how many turns begin in a slot.
func (p plan) turnsIn(id registrar.UpstreamID, slot int64) int {
	return int(p.firstTurn(id, slot+1) - p.firstTurn(id, slot))
}

// cutOffTurnsIn returns how many of the turns in a slot hosts use which have long heard of no others.
func (p plan) cutOffTurnsIn(id registrar.UpstreamID, slot int64) int {
	if !p.reserve {
		return 0
	}
	return int(ceilDivide(p.firstTurn(id, slot+1)) - ceilDivide(p.firstTurn(id, slot)))
}

// ceilDivide returns the number of turns before the given one that hosts use which have long heard
// of no others.
func ceilDivide(turn int64) int64 { return (turn + cutOffShare - 1) / cutOffShare }
