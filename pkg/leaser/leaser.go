// Package leaser decides when a process may start operations on an external
// system that only one process at a time may call and that does not check
// fencing numbers.
//
// The leader of a group has exclusive access to that system while its leader
// lease is valid. It may start operations only after a waiting time, by the end
// of which all operations of earlier leaders have ended. The waiting time is
// MaxLease, the longest time for which an earlier leader may consider its leader
// lease valid or the external system may still regard it as the holder, plus
// MaxOperation, the longest duration of an operation that it started just before
// the end of that time. The caller limits each operation to OperationTimeout, so
// that it ends before the leader lease does.
package leaser

import "time"

type (
	// Term is the number of a leadership of the group. Later leaderships have
	// greater numbers.
	Term uint64

	// Config holds the time limits of a Holder.
	Config struct {
		// MaxLease is the longest time, from when this process gets its leader lease,
		// for which an earlier leader may still consider its own lease valid or the
		// external system may still regard the earlier leader as the holder.
		MaxLease time.Duration
		// MaxOperation is the longest duration of one operation.
		MaxOperation time.Duration
	}

	// Holder tracks whether this process has exclusive access to the external
	// system. Its times are readings of the process's monotonic clock. It is not
	// safe for concurrent use.
	Holder struct {
		config     Config
		term       Term
		leaseUntil time.Duration
		// waitUntil is the end of the waiting time. Operations of earlier leaders may
		// still be running before it.
		waitUntil time.Duration
	}
)

// New returns a Holder for a process without a leader lease.
func New(config Config) *Holder {
	return &Holder{config: config}
}

// UpdateLease sets the leader lease that this process has at now: its term and
// the time at which it ends. A leaseUntil of zero means that the process has no
// leader lease. The waiting time starts when the term changes, and when the
// process gets a leader lease after it had none.
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

// SkipWait ends the waiting time that UpdateLease has started. It may be called
// only if no process has had exclusive access before, so that there is no earlier
// operation to wait for.
func (h *Holder) SkipWait() {
	h.waitUntil = 0
}

// CanStart reports whether an operation that starts now may take up to
// MaxOperation.
func (h *Holder) CanStart(now time.Duration) bool {
	return h.OperationTimeout(now) >= h.config.MaxOperation
}

// OperationTimeout returns the timeout for an operation that starts now, which
// is less than MaxOperation near the end of the leader lease. If it is zero or
// less, no operation may start. CanStart requires the full MaxOperation.
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
