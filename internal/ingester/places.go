package ingester

import (
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/bounder"
)

const (
	// minReadTime is the time for which a body is never interrupted. A request with a small body takes less on any link
	// that can carry it at all.
	minReadTime = time.Second
	// waitTime bounds the wait for what an interrupted body gives back.
	waitTime = 250 * time.Millisecond
)

type (
	// places holds the bodies that are being read. It is safe for concurrent use.
	places struct {
		// limit is their largest number, 0 for none.
		limit int

		mu       sync.Mutex
		readings map[*reading]bool
		// freed is closed when a body is not read any more, and then replaced. It is nil if nothing waits for that.
		freed chan struct{}
	}

	// reading is a body that is being read. The mutex of places guards its fields but for conn.
	reading struct {
		conn                  *bounder.Conn
		startedAt, progressAt time.Duration
		// bytes is the number of bytes that have come; counted is the memory taken, in bytes, without the free part.
		bytes, counted int64
		interrupted    bool
	}
)

func newPlaces(limit int) *places {
	return &places{limit: limit, readings: map[*reading]bool{}}
}

// take adds a body, and reports false if there is no place for it. If as many bodies are read as may be, it interrupts
// another one.
func (p *places) take(r *reading, now func() time.Duration) bool {
	return p.retryAmong(r, now, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.limit > 0 && len(p.readings) >= p.limit {
			return false
		}
		p.readings[r] = true
		return true
	}, func(*reading) bool { return true })
}

// retry calls try until it succeeds. Meanwhile bodies with memory that counts are interrupted. It reports whether try
// has succeeded in time.
func (p *places) retry(r *reading, now func() time.Duration, try func() bool) bool {
	return p.retryAmong(r, now, try, func(other *reading) bool { return other.counted > 0 })
}

func (p *places) retryAmong(r *reading, now func() time.Duration, try func() bool, among func(*reading) bool) bool {
	if try() {
		return true
	}
	deadline := time.After(waitTime)
	var interrupted *reading
	for {
		freed := p.awaitFreed()
		if try() {
			return true
		}
		if interrupted = p.interrupt(r, interrupted, now(), among); interrupted == nil {
			return false
		}
		select {
		case <-freed:
		case <-deadline:
			return false
		}
	}
}

// awaitFreed returns a channel that is closed when a body is not read any more.
func (p *places) awaitFreed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

// interrupt ends the reading of another body for r: of those that have been read for minReadTime, the one whose last
// progress is longest ago, if that is as long, or else the one that comes most slowly. It returns that body, nil if
// there is none, and the one before if that is still being read.
func (p *places) interrupt(r, before *reading, now time.Duration, among func(*reading) bool) *reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	if before != nil && p.readings[before] {
		return before
	}
	var worst *reading
	for other := range p.readings {
		if other == r || other.conn == nil || other.interrupted || now-other.startedAt < minReadTime || !among(other) {
			continue
		}
		if worst == nil || other.isWorse(worst, now) {
			worst = other
		}
	}
	if worst != nil {
		worst.interrupted = true
		worst.conn.Interrupt()
	}
	return worst
}

// isWorse reports whether a body is interrupted before another one.
func (r *reading) isWorse(other *reading, now time.Duration) bool {
	stalled, otherStalled := now-r.progressAt >= minReadTime, now-other.progressAt >= minReadTime
	switch {
	case stalled != otherStalled:
		return stalled
	case stalled:
		return r.progressAt < other.progressAt
	default:
		return float64(r.bytes)/float64(now-r.startedAt) < float64(other.bytes)/float64(now-other.startedAt)
	}
}

// progress records that bytes have come, and the memory that the body has taken.
func (p *places) progress(r *reading, bytes int, counted int64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.counted = counted
	if bytes > 0 {
		r.bytes, r.progressAt = r.bytes+int64(bytes), now
	}
}

// release removes a body, and reports whether it was interrupted.
func (p *places) release(r *reading) (interrupted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.readings, r)
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
	return r.interrupted
}
