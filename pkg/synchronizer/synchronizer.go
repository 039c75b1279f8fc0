// Package synchronizer determines the agreed time of a group of hosts: a time of
// day that stays correct even if the wall clocks of some hosts are wrong or jump
// by seconds.
//
// Each host sends its wall clock time to the others. A host keeps the offset
// between each received time and its own monotonic clock, and uses the median. The
// caller also adds a sample of the host's own wall clock. Because of the median,
// the wall clocks of a minority of the hosts may be wrong. The monotonic clock must
// also advance while the host is suspended.
package synchronizer

import (
	"sort"
	"time"
)

type (
	// Host identifies a host.
	Host string

	// Synchronizer holds the latest clock sample of each host. It is not safe for
	// concurrent use.
	Synchronizer struct {
		maxAge  time.Duration
		samples map[Host]sample
	}

	sample struct {
		// offset is the host's wall clock time, since the Unix epoch, minus the local
		// monotonic time.
		offset     time.Duration
		receivedAt time.Duration
	}
)

// New returns a Synchronizer that ignores samples older than maxAge.
func New(maxAge time.Duration) *Synchronizer {
	return &Synchronizer{maxAge: maxAge, samples: map[Host]sample{}}
}

// AddSample records that wall, a host's wall clock time, arrived when the local
// monotonic clock was at now. It replaces the host's earlier sample.
func (s *Synchronizer) AddSample(now time.Duration, host Host, wall time.Time) {
	s.samples[host] = sample{offset: time.Duration(wall.UnixNano()) - now, receivedAt: now}
}

// AgreedTime returns the agreed time when the local monotonic clock is at now, or
// false if no host has a recent sample. With an even number of samples, the
// smaller of the two middle offsets is used.
func (s *Synchronizer) AgreedTime(now time.Duration) (time.Time, bool) {
	offsets := make([]time.Duration, 0, len(s.samples))
	for host, latest := range s.samples {
		if now-latest.receivedAt > s.maxAge {
			delete(s.samples, host)
			continue
		}
		offsets = append(offsets, latest.offset)
	}
	if len(offsets) == 0 {
		return time.Time{}, false
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	return time.Unix(0, int64(offsets[(len(offsets)-1)/2]+now)), true
}
