// Package synchronizer agrees on the true time among hosts whose times of day
// may jump by seconds.
//
// Each host tells the others its time of day. A host keeps, for each of them,
// the offset between that time and its own monotonic clock, and takes the
// median: the time of day of a minority may be wrong, its own included. The
// monotonic clock must also count while the machine is suspended.
package synchronizer

import (
	"sort"
	"time"
)

type (
	// Host names a host.
	Host string

	// Synchronizer holds the offsets of the hosts heard lately. It is not safe
	// for concurrent use.
	Synchronizer struct {
		lifetime time.Duration
		samples  map[Host]sample
	}

	sample struct {
		offset time.Duration
		heard  time.Duration
	}
)

// New returns a synchronizer that forgets a host that was silent for lifetime.
func New(lifetime time.Duration) *Synchronizer {
	return &Synchronizer{lifetime: lifetime, samples: map[Host]sample{}}
}

// AddSample notes a host's time of day, heard at a time on the monotonic clock.
func (s *Synchronizer) AddSample(now time.Duration, host Host, wall time.Time) {
	s.samples[host] = sample{offset: time.Duration(wall.UnixNano()) - now, heard: now}
}

// AgreedTime returns the true time at a time on the monotonic clock; false if no
// host was heard lately.
func (s *Synchronizer) AgreedTime(now time.Duration) (time.Time, bool) {
	offsets := make([]time.Duration, 0, len(s.samples))
	for host, known := range s.samples {
		if now-known.heard > s.lifetime {
			delete(s.samples, host)
			continue
		}
		offsets = append(offsets, known.offset)
	}
	if len(offsets) == 0 {
		return time.Time{}, false
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	return time.Unix(0, int64(offsets[(len(offsets)-1)/2]+now)), true
}
