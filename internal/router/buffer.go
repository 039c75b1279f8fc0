package router

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// minBufferBytes is the first size of a buffer.
	minBufferBytes = 1 << 10
	// freeBufferBytes is the part of each buffer that does not count towards the shared room.
	freeBufferBytes = 32 << 10
)

type (
	// bufferPool bounds the memory that the responses in progress take together. It is
	// safe for concurrent use.
	bufferPool struct {
		// left is the number of bytes that may still be taken.
		left atomic.Int64
	}

	// buffer collects bytes of one response. release must be called when it is not used
	// any more.
	buffer struct {
		pool *bufferPool
		// data is what has been collected.
		data []byte
		// limit is the largest size.
		limit int
		// taken is the number of bytes taken from the pool.
		taken int64
	}

	// noBufferError reports data that do not fit into the memory that is left.
	noBufferError struct{}
)

// Error implements error.
func (e *noBufferError) Error() string { return "no memory is left for the upstream's data" }

func newBufferPool(bytes int64) *bufferPool {
	p := &bufferPool{}
	p.left.Store(bytes)
	return p
}

func (p *bufferPool) newBuffer(limit int) *buffer {
	return &buffer{pool: p, limit: limit}
}

// take reserves bytes of the shared room and reports whether they were left.
func (p *bufferPool) take(bytes int64) bool {
	if p.left.Add(-bytes) >= 0 {
		return true
	}
	p.left.Add(bytes)
	return false
}

// grow makes room for more bytes and reports whether there was some.
func (b *buffer) grow(more int) bool {
	needed := len(b.data) + more
	if needed > b.limit {
		return false
	}
	if needed <= cap(b.data) {
		return true
	}
	size := max(minBufferBytes, min(b.limit, 2*cap(b.data)), needed)
	extra := int64(size-freeBufferBytes) - b.taken
	if extra > 0 {
		if !b.pool.take(extra) {
			return false
		}
		b.taken += extra
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// fill reads until the end of r, and reports false if it stopped before because the
// buffer is full.
func (b *buffer) fill(r io.Reader) (bool, error) {
	for b.grow(1) {
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, errors.WithStack(err)
		}
	}
	return false, nil
}

// append adds bytes. The error is a *noBufferError.
func (b *buffer) append(bytes []byte) error {
	if !b.grow(len(bytes)) {
		return &noBufferError{}
	}
	b.data = append(b.data, bytes...)
	return nil
}

// reset removes the data, and returns memory beyond the free part to the pool.
func (b *buffer) reset() {
	if b.taken > 0 {
		b.release()
		return
	}
	b.data = b.data[:0]
}

// release returns the memory of the buffer to the pool.
func (b *buffer) release() {
	b.pool.left.Add(b.taken)
	b.taken = 0
	b.data = nil
}
