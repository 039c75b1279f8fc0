// Package delimiter tells whether a response whose end is marked only by the end of its connection is whole. It owns
// what is known of one request, and sends nothing.
package delimiter

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

type (
	// Request is a request whose response may end with its connection. The zero value has not been written.
	Request struct {
		written atomic.Bool
	}

	// UnsentError reports a connection that ended before the request had been written. The response on it may be a part
	// of one: an upstream that closes a connection with unread data resets it, but the reset may come after the end.
	UnsentError struct{}

	body struct {
		io.ReadCloser
		request *Request
	}
)

// Error implements error.
func (e *UnsentError) Error() string {
	return "the connection ended while the request was being written"
}

// Observe sets the hook of a trace that tells when the request has been written.
func (r *Request) Observe(trace *httptrace.ClientTrace) {
	trace.WroteRequest = func(info httptrace.WroteRequestInfo) { r.written.Store(info.Err == nil) }
}

// Guard makes the body of a response end with an *UnsentError if it has neither a length nor chunks and ends before the
// request has been written.
func (r *Request) Guard(response *http.Response) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &body{ReadCloser: response.Body, request: r}
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.request.written.Load() {
		return n, errors.WithStack(&UnsentError{})
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is.
}
