package router

import (
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	// windowCounter counts requests in usage windows that are aligned to multiples of
	// their length in agreed time, the time of day on which the control processes agree.
	windowCounter struct {
		mu      sync.Mutex
		counter *reporter.Counter
		// agreedTimeOffset is the agreed time at the zero of the monotonic clock. It is
		// valid if offsetKnown is set.
		agreedTimeOffset time.Duration
		offsetKnown      bool
	}
)

func newWindowCounter(e *settings.Entry) *windowCounter {
	length := e.GetAlignedWindow().AsDuration()
	if length <= 0 {
		return &windowCounter{}
	}
	return &windowCounter{counter: reporter.NewCounter(length, reportedWindows)}
}

// setAgreedTime sets the agreed time that corresponds to now on the monotonic clock.
func (w *windowCounter) setAgreedTime(now time.Duration, agreed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agreedTimeOffset = time.Duration(agreed.UnixNano()) - now
	w.offsetKnown = true
}

// now returns the agreed time, or that of the system clock until it is known.
func (w *windowCounter) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nowLocked()
}

func (w *windowCounter) nowLocked() time.Time {
	if !w.offsetKnown {
		return time.Now()
	}
	return time.Unix(0, int64(w.agreedTimeOffset+timer.Now()))
}

// add counts a request that starts to run now. Until the agreed time is known, the system
// clock is used.
func (w *windowCounter) add(client identity) {
	if w.counter == nil || client.organisation == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counter.Add(w.nowLocked(), reporter.Organisation(client.organisation))
}

// recent returns the counts of recent windows.
func (w *windowCounter) recent() []*wire.WindowCounts {
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
