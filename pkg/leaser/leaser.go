// Package leaser decides when a process may start operations on an outside
// system that only one process at a time may call and that does not check
// fencing numbers.
//
// The leader of a group holds the exclusive lease on that system while its
// leader lease is valid, but only after a waiting time in which all operations
// of an earlier leader have ended: the longest time for which that leader may
// have considered its lease valid, plus the longest duration of an operation
// that it started just before its lease ended. The caller limits each operation
// to OperationTimeout, so that it ends before the lease does.
package leaser

import "time"

type (
	// Term numbers the successive leaderships of the group; each has a greater number.
	Term uint64

	// Config holds the time limits of a Holder.
	Config struct {
		// MaxLease is the longest time for which an earlier leader may consider its lease valid.
		MaxLease time.Duration
		// MaxOperation is the longest duration of one operation.
		MaxOperation time.Duration
	}

	// Holder tracks whether this process holds the exclusive lease. Its times are
	// on the monotonic clock of the process. It is not safe for concurrent use.
	Holder struct {
		config     Config
		term       Term
		leaseUntil time.Duration
		// waitUntil is the time before which operations of an earlier holder may still be running.
		waitUntil time.Duration
	}
)

// New returns a Holder that does not hold the lease.
func New(config Config) *Holder {
	return &Holder{config: config}
}

// UpdateLease sets the leader lease that this process has at the time now: its
// term and the time at which it ends. A leaseUntil of zero means that the process
// has no lease. The waiting time starts anew when the term changes, and when the
// process gets a lease after it had none.
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

// SkipWait ends the waiting time. It may be called only if no process has ever held
// the lease before, so that there is no earlier operation to wait for.
func (h *Holder) SkipWait() {
	h.waitUntil = 0
}

// CanStart reports whether an operation may start now and run for its longest duration.
func (h *Holder) CanStart(now time.Duration) bool {
	return h.OperationTimeout(now) >= h.config.MaxOperation
}

// OperationTimeout returns how long an operation that starts now may run; zero
// or less if none may start.
func (h *Holder) OperationTimeout(now time.Duration) time.Duration {
	if h.leaseUntil == 0 || now < h.waitUntil {
		return 0
	}
	return min(h.leaseUntil-now, h.config.MaxOperation)
}

// Term returns the term of the current leader lease, zero if there is none.
func (h *Holder) Term() Term {
	return h.term
}
