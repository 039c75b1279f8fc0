package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines bounds the lines that wait for the output; 1,000 of 400 bytes take 400 kB.
	bufferedLines = 1000
	// reserve is the part of the buffer that is kept for lines of warnings, errors
	// and refusals while lines of served requests are dropped.
	reserve = 4
	// gatherTime is how long lines are gathered into one write, since each write
	// costs a system call and a wake-up.
	gatherTime = 100 * time.Millisecond
	// closeTimeout bounds the wait for the last lines.
	closeTimeout = time.Second
	// gatheredBytes is the size from which a write is not delayed.
	gatheredBytes = 32 << 10
)

// Writer passes whole lines to an output in the background. It never blocks:
// lines that the output does not take in time are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once

	dropped atomic.Uint64
}

// NewWriter returns a writer that has started.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, bufferedLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	w.put(line, false)
	return len(line), nil
}

// WriteServed takes a line about a served request, which is the first to be dropped.
func (w *Writer) WriteServed(line []byte) (int, error) {
	w.put(line, true)
	return len(line), nil
}

func (w *Writer) put(line []byte, served bool) {
	if served && len(w.lines) > bufferedLines-bufferedLines/reserve {
		w.dropped.Add(1)
		return
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
}

// Sync does nothing: lines are written in the background.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is left, as far as the output takes it in time.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.closed:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.closed)
	for {
		select {
		case line := <-w.lines:
			w.gather(line)
		case <-w.closing:
			for len(w.lines) > 0 {
				w.gather(<-w.lines)
			}
			return
		}
	}
}

// gather writes a line together with those that follow it soon.
func (w *Writer) gather(line []byte) {
	batch := line
	timeout := time.NewTimer(gatherTime)
	defer timeout.Stop()
	for len(batch) < gatheredBytes {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
			continue
		case <-timeout.C:
		case <-w.closing:
			for len(w.lines) > 0 {
				batch = append(batch, <-w.lines...)
			}
		}
		break
	}
	// An output that is gone takes no report of it either.
	_, _ = w.out.Write(batch)
}
