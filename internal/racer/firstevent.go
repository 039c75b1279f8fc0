package racer

import (
	"bytes"
	"io"
)

const (
	readSize = 4 << 10
	// maxRead is the size from which the beginning of a stream counts as its first event.
	maxRead = 16 << 10
)

// startedBody is a body of which a part has been read.
type startedBody struct {
	io.ReadCloser
	read []byte
	err  error
}

// AwaitEvent reads a stream up to the end of its first event, a comment included, or of a part of
// maxRead bytes. It returns the whole body, and the error if the stream broke before. The body returns
// the same error after what was read.
func AwaitEvent(body io.ReadCloser) (io.ReadCloser, error) {
	started := &startedBody{ReadCloser: body}
	buffer := make([]byte, readSize)
	for started.err == nil && len(started.read) < maxRead && !hasEvent(started.read) {
		var n int
		n, started.err = body.Read(buffer)
		started.read = append(started.read, buffer[:n]...)
	}
	if hasEvent(started.read) {
		return started, nil
	}
	return started, started.err
}

func hasEvent(read []byte) bool {
	read = bytes.ReplaceAll(read, []byte("\r\n"), []byte("\n"))
	return bytes.Contains(bytes.TrimLeft(read, "\n"), []byte("\n\n"))
}

// Read implements io.Reader.
func (b *startedBody) Read(p []byte) (int, error) {
	if len(b.read) > 0 {
		n := copy(p, b.read)
		b.read = b.read[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}
