package ingester

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/bounder"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// messageBytes is the size up to which a body is a message.
	messageBytes = 64 << 10
	// documentPlaces is the number of places for messages for each one for documents.
	documentPlaces = 4
	// keptBytes is the size up to which the body of a request that is refused unread is awaited, for keptTime at most.
	keptBytes = 4 << 10
	keptTime  = time.Second
)

type (
	// Splitter reads the bodies of a server's requests before it handles them. Messages are accounted apart from
	// documents, so that these never keep them out.
	Splitter struct {
		// Refuse answers a request whose body cannot be read. It has not run.
		Refuse func(w http.ResponseWriter, r *http.Request, err error)
		// Timeout is the time in which a body must arrive.
		Timeout time.Duration

		messages, documents *Ingester
	}

	// content is a body that is in memory.
	content struct {
		bytes.Reader
		body *Body
	}
)

// Close implements io.Closer.
func (*content) Close() error { return nil }

// NewSplitter returns a Splitter with limits of documents; there is a place for a document for every four messages.
func NewSplitter(limits *settings.CallerLimits, now func() time.Duration) *Splitter {
	bodies := limits.GetBodies()
	return &Splitter{
		Timeout: limits.GetBodyTimeout().AsDuration(),
		messages: New(&settings.CallerLimits{
			BodyBytes: messageBytes, BodyMemoryBytes: int64(bodies) * messageBytes, Bodies: bodies,
		}, now),
		documents: New(&settings.CallerLimits{
			BodyBytes: limits.GetBodyBytes(), BodyMemoryBytes: limits.GetBodyMemoryBytes(), Bodies: max(1, bodies/documentPlaces),
		}, now),
	}
}

// Wrap returns a handler that reads the body of each request and calls next with it.
func (s *Splitter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(s.Timeout))
		body, err := s.read(r)
		if err != nil {
			CloseAfter(w, r)
			s.Refuse(w, r, err)
			return
		}
		defer body.Release()
		_ = control.SetReadDeadline(time.Time{})
		c := &content{body: body}
		c.Reset(body.Bytes())
		r = r.Clone(r.Context())
		r.Body, r.ContentLength = c, int64(len(body.Bytes()))
		next.ServeHTTP(w, r)
	})
}

// read reads a body whose declared size tells what it is. One without is a message until it is larger.
func (s *Splitter) read(r *http.Request) (*Body, error) {
	if r.ContentLength > messageBytes {
		return s.documents.Read(r)
	}
	first := r.WithContext(r.Context())
	if r.ContentLength < 0 {
		first.Body = io.NopCloser(io.LimitReader(r.Body, messageBytes))
	}
	body, err := s.messages.Read(first)
	if err != nil || r.ContentLength > 0 || len(body.Bytes()) < messageBytes {
		return body, err
	}
	defer body.Release()
	whole := r.WithContext(r.Context())
	whole.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body.Bytes()), r.Body))
	return s.documents.Read(whole)
}

// Abandon makes sure that the body of a request that is refused is not awaited. Small ones have most likely come with the
// headers, so that the connection is kept.
func Abandon(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= keptBytes {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(keptTime))
		return
	}
	bounder.From(r).Interrupt()
	CloseAfter(w, r)
}

// CloseAfter makes the server close the connection of a request after the response, of which nothing may have been
// written. It must follow an error of Read: net/http may have seen the read that was interrupted fail, upon which it
// cancels the requests that come next.
func CloseAfter(w http.ResponseWriter, r *http.Request) {
	if bounder.From(r) != nil {
		w.Header().Set("Connection", "close")
	}
}

// Content returns the body of a request, without a copy if a Splitter has read it. The error is a *TooLargeError if it
// has more bytes than limit, or that of the connection.
func Content(r *http.Request, limit int64) ([]byte, error) {
	if c, ok := r.Body.(*content); ok {
		if int64(len(c.body.Bytes())) > limit {
			return nil, &TooLargeError{Limit: limit}
		}
		return c.body.Bytes(), nil
	}
	read, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "reading the body failed")
	case int64(len(read)) > limit:
		bounder.From(r).Interrupt()
		return nil, &TooLargeError{Limit: limit}
	default:
		return read, nil
	}
}
