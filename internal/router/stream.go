package router

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	streamBufferBytes = 16 << 10
	// maximumEventBytes bounds the size of one event.
	maximumEventBytes = 1 << 20
)

var (
	dataField  = []byte("data:")
	idField    = []byte("id:")
	doneMarker = []byte("[DONE]")
)

type (
	// event is one server-sent event.
	event struct {
		// raw is the event as received, with the empty line at its end.
		raw []byte
		// id is zero if the event has no numeric id.
		id EventID
		// data is the content of the last data field.
		data []byte
	}

	// eventReader splits a stream into events.
	eventReader struct {
		buffer *bufio.Reader
		// raw is what has been read of the current event.
		raw []byte
	}

	// eventGapError reports a stream that skipped events.
	eventGapError struct {
		Expected EventID
		Got      EventID
	}
)

// Error implements error.
func (e *eventGapError) Error() string {
	return "stream continues at event " + strconv.FormatUint(uint64(e.Got), 10) +
		" instead of " + strconv.FormatUint(uint64(e.Expected), 10)
}

// next returns the next complete event. Its slices are valid until the next call of next.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	e := event{}
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		switch {
		case len(line) == 0:
			e.raw = r.raw
			return e, nil
		case bytes.HasPrefix(line, dataField):
			e.data = bytes.TrimSpace(line[len(dataField):])
		case bytes.HasPrefix(line, idField):
			id, err := strconv.ParseUint(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
			if err == nil {
				e.id = EventID(id)
			}
		}
	}
}

// readLine appends the next line to raw.
func (r *eventReader) readLine() error {
	for {
		part, err := r.buffer.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maximumEventBytes {
			return errors.New("event is too large")
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(err, "reading the stream")
		}
	}
}

// relayStream relays an event stream. If it breaks, it is resumed at another
// upstream after the last event that the client has received. An incomplete
// stream ends with a reset of the client's connection.
func (x *exchange) relayStream(ctx context.Context, w *clientWriter) {
	x.copyResponseHeader(w.w.Header(), x.current.response.Header)
	w.w.WriteHeader(x.current.response.StatusCode)
	x.inputTokens = x.call.estimatedInputTokens()
	for {
		upstreamErr, clientErr := x.copyEvents(w)
		if upstreamErr == nil && clientErr == nil {
			x.finishAttempt(outcomeAnswered, nil)
			x.recordUsage()
			return
		}
		if clientErr != nil || ctx.Err() != nil {
			x.finishAttempt(outcomeAbandoned, context.Canceled)
			x.recordUsage()
			x.abortClient(errors.Errorf("caller left after event %d", x.lastEventID))
		}
		if refusal := x.resume(ctx, upstreamErr); refusal != nil {
			x.recordUsage()
			x.endStream(w, refusal)
		}
	}
}

// copyEvents relays events until the stream is complete: at the done marker, or
// on routes for event streams also at the end of the body. It skips events that
// the client already has, and returns errors of the upstream and of the client
// separately.
func (x *exchange) copyEvents(w *clientWriter) (upstreamErr, clientErr error) {
	at := x.current
	reader := &eventReader{buffer: bufio.NewReaderSize(at.response.Body, streamBufferBytes)}
	for {
		e, err := reader.next()
		if x.call.route.GetEventStream() && errors.Is(err, io.EOF) && len(reader.raw) == 0 {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		at.recordActivity(x.router.dispatcher.now())
		if e.id != 0 {
			if e.id <= x.lastEventID {
				continue
			}
			if e.id != x.lastEventID+1 {
				return &eventGapError{Expected: x.lastEventID + 1, Got: e.id}, nil
			}
		}
		done := bytes.Equal(e.data, doneMarker)
		at.writingToClient.Store(true)
		err = w.write(e.raw)
		if err == nil && (done || reader.buffer.Buffered() == 0) {
			err = w.flush()
		}
		at.writingToClient.Store(false)
		if err != nil {
			return nil, err
		}
		x.recordEvent(e, done)
		if done {
			return nil, nil
		}
	}
}

// recordEvent records an event that was written to the client. Each event with
// data counts as one output token until a reported usage replaces the count.
func (x *exchange) recordEvent(e event, done bool) {
	x.recordStart()
	x.current.eventsReceived.Add(1)
	if e.id != 0 {
		x.lastEventID = e.id
	}
	if done || len(e.data) == 0 {
		return
	}
	x.outputTokens++
	x.readUsage(e.data)
}

// resume continues a broken stream at another upstream. If it returns a refusal,
// the stream cannot be continued.
func (x *exchange) resume(ctx context.Context, cause error) *RefusalError {
	at := x.current
	if at.response.Request.Context().Err() != nil {
		cause = context.Cause(at.response.Request.Context())
	}
	failure := &attemptError{Attempt: at.id, Cause: cause}
	var silent *silentConnectionError
	if errors.As(cause, &silent) {
		x.router.metrics.silent.Inc(1)
	}
	x.failedUpstreams = append(x.failedUpstreams, at.grant.upstream.ID)
	var expired *deadlineError
	if errors.As(cause, &expired) {
		x.finishAttempt(outcomeAbandoned, failure)
	} else {
		x.finishAttempt(failureOutcome(cause), failure)
	}
	x.log.Info("upstream stream was interrupted", x.requestIDField(), zap.String("attempt", string(at.id)),
		zap.Uint64("delivered", uint64(x.lastEventID)), zap.Error(cause))
	if x.lastEventID == noEventID && at.eventsReceived.Load() > 0 {
		// The client has received events without ids, after which no stream can
		// be resumed.
		return x.giveUp(failure)
	}
	if !x.call.route.GetEventStream() {
		// The client has a part of the response, so the deadline is extended to
		// allow a resumption.
		x.call.deadline = max(x.call.deadline, x.router.dispatcher.now()+minResumeWait)
	}
	if !x.shouldRetry(ctx, failure) {
		return x.giveUp(failure)
	}
	if refusal := x.retry(ctx); refusal != nil {
		return refusal
	}
	if x.current.response.StatusCode != http.StatusOK || !isEventStream(x.current.response) {
		failure = &attemptError{Attempt: x.current.id, Cause: errors.New("upstream did not resume the stream")}
		x.finishAttempt(outcomeFailed, failure)
		return x.giveUp(failure)
	}
	x.router.metrics.resumed.Inc(1)
	return nil
}

// endStream sends the refusal as an error event, except on routes for event
// streams, and resets the client's connection.
func (x *exchange) endStream(w *clientWriter, refusal *RefusalError) {
	refusal.Run = MayHaveRun
	document, err := json.Marshal(x.recordRefusal(refusal).body())
	if err == nil && !x.call.route.GetEventStream() {
		_ = w.write([]byte("event: error\ndata: " + string(document) + "\n\n"))
		_ = w.flush()
	}
	x.abortClient(refusal)
}
