// Package windower counts in an entry process the requests of each organisation in usage windows.
package windower

import (
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	// Counter counts requests in usage windows that are aligned to multiples of
	// their length in agreed time, the time of day on which the control processes agree.
	Counter struct {
		mu      sync.Mutex
		counter *reporter.Counter
		// agreedTimeOffset is the agreed time at the zero of the monotonic clock. It is
		// valid if offsetKnown is set.
		agreedTimeOffset time.Duration
		offsetKnown      bool
	}
)

// New returns a counter for windows of a length, none for zero. It keeps a number of recent ones.
func New(length time.Duration, recent int) *Counter {
	if length <= 0 {
		return &Counter{}
	}
	return &Counter{counter: reporter.NewCounter(length, recent)}
}

// SetAgreedTime sets the agreed time that corresponds to now on the monotonic clock.
func (w *Counter) SetAgreedTime(now time.Duration, agreed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agreedTimeOffset = time.Duration(agreed.UnixNano()) - now
	w.offsetKnown = true
}

// Now returns the agreed time, or that of the system clock until it is known.
func (w *Counter) Now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nowLocked()
}

func (w *Counter) nowLocked() time.Time {
	if !w.offsetKnown {
		return time.Now()
	}
	return time.Unix(0, int64(w.agreedTimeOffset+timer.Now()))
}

// Add counts a request that starts to run now. Until the agreed time is known, the system
// clock is used.
func (w *Counter) Add(organisation reporter.Organisation) {
	if w.counter == nil || organisation == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counter.Add(w.nowLocked(), organisation)
}

// Recent returns the counts of recent windows.
func (w *Counter) Recent() []*wire.WindowCounts {
	if w.counter == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*wire.WindowCounts
	for number, counts := range w.counter.Recent() {
		row := &wire.WindowCounts{Number: uint64(number), Counts: map[string]uint64{}}
		for organisation, n := range counts {
			row.Counts[string(organisation)] = n
		}
		out = append(out, row)
	}
	return out
}
