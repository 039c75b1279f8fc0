package limiter

import "time"

// keptSamples is the number of samples kept when older ones are removed; there are at most twice
// as many.
const keptSamples = 512

type (
	// History records how many requests were in flight when. The zero value is empty.
	History struct {
		// samples are ordered by time.
		samples []sample
	}

	sample struct {
		at    time.Duration
		count int
	}
)

// Record records the number of requests in flight from now on.
func (h *History) Record(now time.Duration, count int) {
	h.samples = append(h.samples, sample{at: now, count: count})
	if len(h.samples) > 2*keptSamples {
		h.samples = append(h.samples[:0], h.samples[keptSamples:]...)
	}
}

// At returns the number of requests that were in flight at a past time; zero if no sample is
// that old.
func (h *History) At(at time.Duration) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].at <= at {
			return h.samples[i].count
		}
	}
	return 0
}
