// Package scanner reads the events of event streams, and describes streams whose events do not
// follow each other.
package scanner

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/bufferer"
)

const (
	// NoEventID is the id of an event without a number, and stands for the position before
	// the first event.
	NoEventID EventID = 0

	bufferBytes = 16 << 10
)

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

type (
	// EventID is the number of an event within its stream, from 1.
	EventID uint64

	// Event is one server-sent event.
	Event struct {
		// Raw is the event as received, with the empty line at its end.
		Raw []byte
		// ID is NoEventID if the event has no numeric id.
		ID EventID
		// Data is the content of the only data field; nil if there are several.
		Data []byte
		// HasData reports that a data field has content.
		HasData bool
		// Comment reports that the event has nothing but comments.
		Comment bool
	}

	// Scanner splits a stream into events.
	Scanner struct {
		buffer *bufio.Reader
		// raw holds what has been read of the current event.
		raw *bufferer.Buffer
	}

	// GapError reports a stream in which events are missing.
	GapError struct {
		Expected EventID
		Got      EventID
	}

	// UnnumberedEventError reports an event without a number in a stream of numbered ones.
	UnnumberedEventError struct {
		// After is the number of the last event before it.
		After EventID
	}

	// UnfinishedEventError reports an attempt that ended in the middle of a large event.
	UnfinishedEventError struct {
		// Bytes is the number of bytes received of the event.
		Bytes int
		Cause error
	}
)

// New returns a scanner of a stream. It collects each event in raw.
func New(stream io.Reader, raw *bufferer.Buffer) *Scanner {
	return &Scanner{buffer: bufio.NewReaderSize(stream, bufferBytes), raw: raw}
}

// Buffered returns the number of bytes that were received after the latest event.
func (s *Scanner) Buffered() int { return s.buffer.Buffered() }

// Error implements error.
func (e *UnnumberedEventError) Error() string {
	return "an event without a number follows event " + strconv.FormatUint(uint64(e.After), 10)
}

// Error implements error.
func (e *UnfinishedEventError) Error() string {
	return "the stream ended after " + strconv.Itoa(e.Bytes) + " bytes of an event: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnfinishedEventError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *GapError) Error() string {
	return "stream continues at event " + strconv.FormatUint(uint64(e.Got), 10) +
		" instead of " + strconv.FormatUint(uint64(e.Expected), 10)
}

// Next returns the next complete event. Its slices are valid until the next call of Next.
func (s *Scanner) Next() (Event, error) {
	s.raw.Reset()
	e := Event{Comment: true}
	dataFields := 0
	for {
		start := len(s.raw.Data)
		if err := s.readLine(); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(s.raw.Data[start:], "\r\n")
		e.Comment = e.Comment && (len(line) == 0 || line[0] == ':')
		switch {
		case len(line) == 0:
			e.Raw = s.raw.Data
			return e, nil
		case bytes.HasPrefix(line, dataField):
			dataFields++
			data := bytes.TrimSpace(line[len(dataField):])
			e.HasData = e.HasData || len(data) > 0
			if e.Data = data; dataFields > 1 {
				e.Data = nil
			}
		case bytes.HasPrefix(line, idField):
			id, err := strconv.ParseUint(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
			if err == nil {
				e.ID = EventID(id)
			}
		}
	}
}

// readLine appends the next line to raw.
func (s *Scanner) readLine() error {
	for {
		part, err := s.buffer.ReadSlice('\n')
		if appendErr := s.raw.Append(part); appendErr != nil {
			return errors.Wrap(appendErr, "event is too large")
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(err, "reading the stream")
		}
	}
}
