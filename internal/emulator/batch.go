package emulator

import (
	"context"
	"sync"
	"time"
)

// historyLength bounds the remembered loads.
const historyLength = 4096

type (
	// batch bounds the requests that run at once; waiting ones go by priority, then by arrival.
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

// enter waits for a slot and reports whether it got one before ctx ended.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.note()
		b.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	position := len(b.waiting)
	for position > 0 && b.waiting[position-1].priority > priority {
		position--
	}
	b.waiting = append(b.waiting[:position], append([]*waiter{w}, b.waiting[position:]...)...)
	b.note()
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
			b.note()
			return false
		}
	}
	b.passOn()
	return false
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passOn()
}

func (b *batch) passOn() {
	if len(b.waiting) > 0 {
		close(b.waiting[0].ready)
		b.waiting = b.waiting[1:]
	} else {
		b.running--
	}
	b.note()
}

func (b *batch) note() {
	b.history = append(b.history, loadSample{at: time.Now(), running: b.running, waiting: len(b.waiting)})
	if len(b.history) > 2*historyLength {
		b.history = append(b.history[:0], b.history[historyLength:]...)
	}
}

// reported returns the load as it was some time ago.
func (b *batch) reported(lag time.Duration) loadSample {
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
