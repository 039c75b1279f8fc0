// Package ingester reads the bodies of requests within the memory that all of them may take together.
package ingester

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/bounder"
	"github.com/comfreybend/comfreybend/internal/bufferer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// smallShare is the share of the memory that only small bodies may take.
const smallShare = 4

type (
	// Ingester reads bodies. It is safe for concurrent use.
	Ingester struct {
		// now reads the clock by which ArrivedAt is told.
		now  func() time.Duration
		pool *bufferer.Pool
		// limit is the largest size of a body in bytes.
		limit  int64
		places *places
	}

	// Body is a body that was read. Release must be called when it is not used any more.
	Body struct {
		buffer    *bufferer.Buffer
		arrivedAt time.Duration
	}

	// TooLargeError reports a body beyond the limit.
	TooLargeError struct {
		// Limit is in bytes.
		Limit int64
	}

	// NoMemoryError reports a body for which no memory is left, and of which nothing has been used.
	NoMemoryError struct {
		// Bytes is the declared size, or what was read of a body without one; Left is the memory left in bytes.
		Bytes, Left int64
	}

	// NoPlaceError reports a body that is not read, or not to its end, since as many others are being read as may be.
	NoPlaceError struct {
		Bodies int
	}
)

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has more than %d bytes", e.Limit)
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory is left for a body of %d bytes", e.Bytes)
}

// Error implements error.
func (e *NoPlaceError) Error() string {
	return fmt.Sprintf("%d other bodies are being read", e.Bodies)
}

// New returns an Ingester with the limits of a body, of the bodies that are read at the same time and of the memory
// for all, to which a small part of each does not count. A part of the memory is left to small bodies, as long as one
// of the largest size fits into the rest. Without a number of bodies that is not limited. now reads the clock by
// which arrivals are told.
func New(limits *settings.CallerLimits, now func() time.Duration) *Ingester {
	i := &Ingester{
		pool: bufferer.New(limits.GetBodyMemoryBytes()), limit: limits.GetBodyBytes(), now: now,
		places: newPlaces(int(limits.GetBodies())),
	}
	i.pool.Reserved = max(0, min(limits.GetBodyMemoryBytes()/smallShare, limits.GetBodyMemoryBytes()-limits.GetBodyBytes()))
	return i
}

// Left returns the memory that is left in bytes.
func (i *Ingester) Left() int64 { return i.pool.Left() }

// Reserve takes memory for a body that comes in another way than by Read, and reports whether it was left. release
// gives it back.
func (i *Ingester) Reserve(bytes int64) (release func(), reserved bool) {
	if bytes > i.limit+bufferer.FreeBytes {
		return nil, false
	}
	return i.pool.Take(bytes)
}

// Read reads the body of a request. The memory for a declared size is taken before anything is read, that for the
// largest size as soon as a body without one is not small. The error is a *TooLargeError, a *NoMemoryError, a
// *NoPlaceError or that of the connection. After an error nothing more can be read from the connection of a request.
func (i *Ingester) Read(r *http.Request) (*Body, error) {
	arrivedAt := i.now()
	if r.ContentLength == 0 {
		return &Body{buffer: i.pool.NewBuffer(0), arrivedAt: arrivedAt}, nil
	}
	conn := bounder.From(r)
	if r.ContentLength > i.limit {
		conn.Interrupt()
		return nil, &TooLargeError{Limit: i.limit}
	}
	reading := &reading{conn: conn, startedAt: arrivedAt, progressAt: arrivedAt}
	if !i.places.take(reading, i.now) {
		conn.Interrupt()
		return nil, &NoPlaceError{Bodies: i.places.limit}
	}
	// One byte more shows that the body has ended, or that it is too large.
	buffer := i.pool.NewBuffer(int(i.limit) + 1)
	err := i.fill(buffer, r, reading)
	if err == nil && !i.places.retry(reading, i.now, buffer.Keep) {
		err = &NoMemoryError{Bytes: int64(len(buffer.Data)), Left: i.Left()}
	}
	if err != nil {
		buffer.Release()
	}
	// A body that was complete before it was interrupted is served.
	if interrupted := i.places.release(reading); interrupted && err != nil {
		err = &NoPlaceError{Bodies: i.places.limit}
	}
	conn.Shrink()
	if err != nil {
		conn.Interrupt()
		return nil, err
	}
	return &Body{buffer: buffer, arrivedAt: arrivedAt}, nil
}

// fill reads the body into a buffer.
func (i *Ingester) fill(buffer *bufferer.Buffer, r *http.Request, reading *reading) error {
	buffer.Whole = r.ContentLength < 0
	if !i.reserve(buffer, reading, int(max(0, r.ContentLength))+1) {
		return &NoMemoryError{Bytes: r.ContentLength, Left: i.Left()}
	}
	if r.ContentLength > 0 {
		reading.conn.Grow(r.ContentLength)
	}
	body := &progressReader{source: r.Body, reading: reading, buffer: buffer, ingester: i}
	for {
		whole, err := buffer.Fill(body)
		size := int64(len(buffer.Data))
		switch {
		case err != nil:
			return errors.Wrap(err, "reading the body failed")
		case size > i.limit:
			return &TooLargeError{Limit: i.limit}
		case whole:
			return nil
		case !i.reserve(buffer, reading, 1):
			return &NoMemoryError{Bytes: size, Left: i.Left()}
		}
	}
}

// reserve makes room in a buffer. If no memory is left, bodies that have stalled give theirs back.
func (i *Ingester) reserve(buffer *bufferer.Buffer, reading *reading, bytes int) bool {
	if len(buffer.Data)+bytes > bufferer.FreeBytes {
		// Memory that is taken may be wanted by another body at once, which must find who has it.
		i.places.progress(reading, 0, buffer.Counted()+int64(bytes), i.now())
	}
	if !i.places.retry(reading, i.now, func() bool { return buffer.Reserve(bytes) }) {
		return false
	}
	// A body of which nothing comes can be interrupted too.
	i.places.progress(reading, 0, buffer.Counted(), i.now())
	return true
}

// Bytes returns the content. It stays valid after Release.
func (b *Body) Bytes() []byte { return b.buffer.Data }

// ArrivedAt returns the time at which reading the body began, after the headers of its request had arrived.
func (b *Body) ArrivedAt() time.Duration { return b.arrivedAt }

// Release gives the memory of the body back.
func (b *Body) Release() { b.buffer.Release() }

// progressReader records when bytes of a body come.
type progressReader struct {
	source   io.Reader
	reading  *reading
	buffer   *bufferer.Buffer
	ingester *Ingester
}

// Read implements io.Reader.
func (p *progressReader) Read(data []byte) (int, error) {
	if p.buffer.Whole && p.buffer.Counted() > 0 {
		p.reading.conn.Grow(p.ingester.limit)
	}
	n, err := p.source.Read(data)
	p.ingester.places.progress(p.reading, n, p.buffer.Counted(), p.ingester.now())
	return n, err
}
