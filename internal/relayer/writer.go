package relayer

import (
	"net/http"
	"time"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// responseWriter sends a response as parts. Each write is sent at once.
type responseWriter struct {
	exchange *messenger.Exchange
	header   http.Header
	// head is the first part until it is sent.
	head *wire.RelayPart
	sent bool
	// declined reports that the request is not taken.
	declined bool
	err      error
}

// Decline answers a request that was passed on with a refusal as cut off: it has not run, and this
// process cannot reach any upstream either. It reports false if w has another client, or has sent a
// part of a response.
func Decline(w http.ResponseWriter) bool {
	relayed, ok := w.(*responseWriter)
	if !ok || relayed.sent || relayed.head != nil {
		return false
	}
	relayed.declined = true
	return true
}

// Header returns the header of the response.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status. The header is sent with the first data.
func (w *responseWriter) WriteHeader(status int) {
	if w.head == nil && !w.sent {
		w.head = &wire.RelayPart{Status: int32(status), Headers: HeaderFields(w.header)}
	}
}

// Write sends data.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	written := 0
	for written < len(data) && w.err == nil {
		piece := data[written:min(len(data), written+maxPieceBytes)]
		w.send(&wire.RelayPart{Data: piece})
		if w.err == nil {
			written += len(piece)
		}
	}
	return written, w.err
}

// FlushError sends the header if nothing has been sent.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if !w.sent {
		w.send(&wire.RelayPart{})
	}
	return w.err
}

// Flush is FlushError without its error, which later writes return.
func (w *responseWriter) Flush() { _ = w.FlushError() }

// SetWriteDeadline bounds the time for which a write may block.
func (w *responseWriter) SetWriteDeadline(at time.Time) error {
	return w.exchange.SetWriteDeadline(at)
}

// SetReadDeadline has no effect, since the request has been read.
func (w *responseWriter) SetReadDeadline(time.Time) error { return nil }

// finish marks the response as complete.
func (w *responseWriter) finish() {
	if w.declined {
		w.err = w.exchange.Send(cutOffReply())
		return
	}
	w.WriteHeader(http.StatusOK)
	w.send(&wire.RelayPart{Last: true})
}

// send sends a part, with the head if that has not been sent.
func (w *responseWriter) send(part *wire.RelayPart) {
	if w.err != nil {
		return
	}
	if !w.sent {
		part.Status, part.Headers = w.head.GetStatus(), w.head.GetHeaders()
		w.head, w.sent = nil, true
	}
	w.err = w.exchange.Send(&wire.Reply{Kind: &wire.Reply_Relay{Relay: part}})
}
