package emulator

import (
	"context"
	"sync"
	"time"
)

// minHistory is the number of recent load samples to keep. The oldest are removed once
// there are more than 2*minHistory.
const minHistory = 4096

type (
	// batch limits the requests that run concurrently. It admits waiting requests by
	// priority, then in order of arrival.
	batch struct {
		mu      sync.Mutex
		slots   int
		running int
		waiting []*waiter
		history []loadSample
	}

	waiter struct {
		priority int
		ready    chan struct{}
	}

	loadSample struct {
		at      time.Time
		running int
		waiting int
	}
)

func newBatch(slots int) *batch {
	return &batch{slots: max(1, slots)}
}

// acquireSlot waits for a slot and reports whether it got one before ctx was done.
func (b *batch) acquireSlot(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.recordLoad()
		b.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	position := len(b.waiting)
	for position > 0 && b.waiting[position-1].priority > priority {
		position--
	}
	b.waiting = append(b.waiting[:position], append([]*waiter{w}, b.waiting[position:]...)...)
	b.recordLoad()
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.recordLoad()
			return false
		}
	}
	b.releaseSlotLocked()
	return false
}

func (b *batch) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseSlotLocked()
}

// releaseSlotLocked hands a slot to the first waiting request or frees it. The caller
// holds b.mu.
func (b *batch) releaseSlotLocked() {
	if len(b.waiting) > 0 {
		close(b.waiting[0].ready)
		b.waiting = b.waiting[1:]
	} else {
		b.running--
	}
	b.recordLoad()
}

// recordLoad appends the current load to the history. The caller holds b.mu.
func (b *batch) recordLoad() {
	b.history = append(b.history, loadSample{at: time.Now(), running: b.running, waiting: len(b.waiting)})
	if len(b.history) > 2*minHistory {
		b.history = append(b.history[:0], b.history[minHistory:]...)
	}
}

// delayedLoad returns the load as it was lag ago.
func (b *batch) delayedLoad(lag time.Duration) loadSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Now().Add(-lag)
	for i := len(b.history) - 1; i >= 0; i-- {
		if !b.history[i].at.After(at) {
			return b.history[i]
		}
	}
	return loadSample{}
}
