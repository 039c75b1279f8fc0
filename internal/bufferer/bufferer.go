// Package bufferer bounds the memory that the bodies in progress take together.
package bufferer

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// minBufferBytes is the first size of a buffer.
	minBufferBytes = 1 << 10
	// FreeBytes is the part of each buffer that does not count towards the shared room while it is filled. A
	// buffer of this size at most is small.
	FreeBytes = 32 << 10
	// KeptFreeBytes is the part that does not count once it is kept.
	KeptFreeBytes = 4 << 10
)

type (
	// Pool is that memory. It is safe for concurrent use.
	Pool struct {
		// Reserved is the number of bytes that only small buffers may take. It is set before the first use.
		Reserved int64

		// left is the number of bytes that may still be taken.
		left atomic.Int64
	}

	// Buffer collects bytes of one body. Release must be called when it is not used
	// any more.
	Buffer struct {
		pool *Pool
		// Whole makes the buffer take the room for its largest size as soon as it grows beyond the free part, since its
		// size is not known. It may be set while the buffer is empty.
		Whole bool
		// Data is what has been collected.
		Data []byte
		// limit is the largest size.
		limit int
		// taken is the number of bytes taken from the pool.
		taken int64
	}

	// NoBufferError reports data that do not fit into the memory that is left.
	NoBufferError struct{}
)

// Error implements error.
func (e *NoBufferError) Error() string { return "no memory is left for the data" }

// New returns a pool of a number of bytes.
func New(bytes int64) *Pool {
	p := &Pool{}
	p.left.Store(bytes)
	return p
}

// Left returns the number of bytes that may still be taken.
func (p *Pool) Left() int64 { return p.left.Load() }

// NewBuffer returns an empty buffer for at most limit bytes.
func (p *Pool) NewBuffer(limit int) *Buffer {
	return &Buffer{pool: p, limit: limit}
}

// Take reserves bytes for data that are kept elsewhere, and reports whether they were left. release returns them.
func (p *Pool) Take(bytes int64) (release func(), taken bool) {
	if !p.take(bytes, p.Reserved) {
		return nil, false
	}
	return sync.OnceFunc(func() { p.left.Add(bytes) }), true
}

// take reserves bytes of the shared room unless fewer than least would be left, and reports whether it did.
func (p *Pool) take(bytes, least int64) bool {
	if p.left.Add(-bytes) >= least {
		return true
	}
	p.left.Add(bytes)
	return false
}

// grow makes room for more bytes and reports whether there was some.
func (b *Buffer) grow(more int) bool {
	needed := len(b.Data) + more
	if needed > b.limit {
		return false
	}
	if needed <= cap(b.Data) {
		return true
	}
	size := max(minBufferBytes, min(b.limit, 2*cap(b.Data)), needed)
	counted := size
	if b.Whole && size > FreeBytes {
		counted = b.limit
	}
	extra := int64(counted-FreeBytes) - b.taken
	if extra > 0 {
		if !b.pool.take(extra, b.pool.Reserved) {
			return false
		}
		b.taken += extra
	}
	b.Data = append(make([]byte, 0, size), b.Data...)
	return true
}

// Reserve makes room for more bytes, and reports false if it is not left.
func (b *Buffer) Reserve(more int) bool { return b.grow(more) }

// Fill reads until the end of r, and reports false if it stopped before because the
// buffer is full.
func (b *Buffer) Fill(r io.Reader) (bool, error) {
	for b.grow(1) {
		n, err := r.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, errors.WithStack(err)
		}
	}
	return false, nil
}

// Counted returns the number of bytes taken from the pool.
func (b *Buffer) Counted() int64 { return b.taken }

// Keep counts what a buffer has allocated, but for a small part, and returns the memory that was taken beyond that. It
// reports false if it is not left.
func (b *Buffer) Keep() bool {
	extra := int64(max(0, cap(b.Data)-KeptFreeBytes)) - b.taken
	least := b.pool.Reserved
	if cap(b.Data) <= FreeBytes {
		least = 0
	}
	if extra > 0 && !b.pool.take(extra, least) {
		return false
	}
	if extra < 0 {
		b.pool.left.Add(-extra)
	}
	b.taken += extra
	return true
}

// Append adds bytes. The error is a *NoBufferError.
func (b *Buffer) Append(bytes []byte) error {
	if !b.grow(len(bytes)) {
		return &NoBufferError{}
	}
	b.Data = append(b.Data, bytes...)
	return nil
}

// Reset removes the data, and returns memory beyond the free part to the pool.
func (b *Buffer) Reset() {
	if b.taken > 0 {
		b.Release()
		return
	}
	b.Data = b.Data[:0]
}

// Release returns the memory of the buffer to the pool.
func (b *Buffer) Release() {
	b.pool.left.Add(b.taken)
	b.taken = 0
	b.Data = nil
}
