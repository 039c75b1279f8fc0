// Package leaser decides when a process may act as the only one in charge of
// an outside system that does not check fencing numbers.
//
// A holder is in charge only while its lease on the leadership runs, and only
// after a wait in which every act of an earlier holder has ended: the longest
// lease that the earlier holder may have had, and the longest act that it may
// have begun just before that lease ended. Each act runs under a deadline that
// ends before the lease does.
package leaser

import "time"

type (
	// Term numbers the leaderships; it grows with each one.
	Term uint64

	// Config holds the times that a Holder relies on.
	Config struct {
		// MaxLease is the longest time for which an earlier leader may believe in its lease.
		MaxLease time.Duration
		// MaxOperation is the longest time that one act may take.
		MaxOperation time.Duration
	}

	// Holder follows the leadership of one process. It is not safe for concurrent use.
	Holder struct {
		config     Config
		term       Term
		leaseUntil time.Duration
		// waitUntil is the time before which an earlier holder's acts may still arrive.
		waitUntil time.Duration
	}
)

// New returns a holder that is not in charge.
func New(config Config) *Holder {
	return &Holder{config: config}
}

// UpdateLease tells the holder the lease that this process has at a time on a
// monotonic clock. A leaseUntil of zero means that it has none.
func (h *Holder) UpdateLease(now time.Duration, term Term, leaseUntil time.Duration) {
	if leaseUntil == 0 {
		h.leaseUntil = 0
		h.term = 0
		return
	}
	if term != h.term {
		h.term = term
		h.waitUntil = now + h.config.MaxLease + h.config.MaxOperation
	}
	h.leaseUntil = leaseUntil
}

// SkipWait tells the holder that nobody was ever in charge before it, so that
// there is no act of an earlier holder to wait for.
func (h *Holder) SkipWait() {
	h.waitUntil = 0
}

// CanStart reports whether the holder may begin an act at a time.
func (h *Holder) CanStart(now time.Duration) bool {
	return h.OperationTimeout(now) >= h.config.MaxOperation
}

// OperationTimeout returns how long an act that begins now may take at the most; zero
// or less if none may begin.
func (h *Holder) OperationTimeout(now time.Duration) time.Duration {
	if h.leaseUntil == 0 || now < h.waitUntil {
		return 0
	}
	return min(h.leaseUntil-now, h.config.MaxOperation)
}

// Term returns the leadership that the holder observes, or zero.
func (h *Holder) Term() Term {
	return h.term
}
