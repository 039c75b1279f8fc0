package ranker

import (
	"slices"
	"time"
)

// maxPreferredSilence is the time without a reply of the preferred control process after which another
// one has to tell of everything.
const maxPreferredSilence = 2 * time.Second

// Standby decides how much the control process that is polled beside the preferred one has to tell. The
// preferred one hears of all upstreams from the others, so that leaves suffice, unless it does not reply,
// or has not heard from one of which the other one hears.
type Standby struct {
	// heardAt is when the preferred control process replied last, at first the start.
	heardAt time.Duration
	// unheard holds the control hosts from which it has not heard lately.
	unheard []uint64
}

// NewStandby returns a standby of a process that starts now.
func NewStandby(now time.Duration) *Standby { return &Standby{heardAt: now} }

// RecordReply records a reply of the preferred control process.
func (s *Standby) RecordReply(now time.Duration, unheard []uint64) {
	s.heardAt, s.unheard = now, unheard
}

// LeavesSuffice reports whether the other control process needs to tell only of leaves. unheard holds the
// control hosts from which that has not heard lately.
func (s *Standby) LeavesSuffice(now time.Duration, unheard []uint64) bool {
	if now-s.heardAt > maxPreferredSilence {
		return false
	}
	return !slices.ContainsFunc(s.unheard, func(host uint64) bool { return !slices.Contains(unheard, host) })
}
