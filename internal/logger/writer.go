package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines limits the lines that wait for the output: 1,000 lines of 400 bytes
	// take 400 kB.
	bufferedLines = 1000
	// reserveDivisor determines the reserve: 1/reserveDivisor of the buffer is kept free
	// of lines about served requests, so that warnings, errors and refusals still fit.
	reserveDivisor = 4
	// batchDelay is the time for which lines are collected into one write, since each
	// write costs a system call and a wake-up.
	batchDelay = 100 * time.Millisecond
	// closeTimeout limits the time that Close waits for the output.
	closeTimeout = time.Second
	// batchBytes is the size from which a batch is written without further delay.
	batchBytes = 32 << 10
)

// Writer writes lines to an output in the background. It never blocks: lines that do
// not fit in the buffer are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once

	dropped atomic.Uint64
}

// NewWriter returns a running writer. The caller must close it.
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

// Write enqueues or drops a line. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.enqueue(line, false)
	return len(line), nil
}

// WriteServed is like Write for a line about a served request, which does not use the
// reserve of the buffer.
func (w *Writer) WriteServed(line []byte) (int, error) {
	w.enqueue(line, true)
	return len(line), nil
}

func (w *Writer) enqueue(line []byte, served bool) {
	if served && len(w.lines) > bufferedLines-bufferedLines/reserveDivisor {
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

// Close waits until the remaining lines are written, for closeTimeout at most.
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
			w.writeBatch(line)
		case <-w.closing:
			for len(w.lines) > 0 {
				w.writeBatch(<-w.lines)
			}
			return
		}
	}
}

// writeBatch writes a line together with the lines that follow within batchDelay.
func (w *Writer) writeBatch(line []byte) {
	batch := line
	timeout := time.NewTimer(batchDelay)
	defer timeout.Stop()
	for len(batch) < batchBytes {
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
	// The error is ignored: it could only be logged to the same output.
	_, _ = w.out.Write(batch)
}
