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

	"github.com/comfreybend/comfreybend/internal/bufferer"
)

const (
	streamBufferBytes = 16 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxUnfinishedBytes is the size from which an event that is not complete when its
	// attempt ends counts as a failure of the upstream, whatever ended the attempt.
	maxUnfinishedBytes = 64 << 10
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
		// comment reports that the event has nothing but comments.
		comment bool
	}

	// eventReader splits a stream into events.
	eventReader struct {
		buffer *bufio.Reader
		// raw holds what has been read of the current event.
		raw *bufferer.Buffer
	}

	// eventGapError reports a stream in which events are missing.
	eventGapError struct {
		Expected EventID
		Got      EventID
	}

	// unnumberedEventError reports an event without a number in a stream of numbered ones.
	unnumberedEventError struct {
		// After is the number of the last event before it.
		After EventID
	}

	// unfinishedEventError reports an attempt that ended in the middle of a large event.
	unfinishedEventError struct {
		// Bytes is the number of bytes received of the event.
		Bytes int
		Cause error
	}
)

// Error implements error.
func (e *unnumberedEventError) Error() string {
	return "an event without a number follows event " + strconv.FormatUint(uint64(e.After), 10)
}

// Error implements error.
func (e *unfinishedEventError) Error() string {
	return "the stream ended after " + strconv.Itoa(e.Bytes) + " bytes of an event: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *unfinishedEventError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *eventGapError) Error() string {
	return "stream continues at event " + strconv.FormatUint(uint64(e.Got), 10) +
		" instead of " + strconv.FormatUint(uint64(e.Expected), 10)
}

// next returns the next complete event. Its slices are valid until the next call of next.
func (r *eventReader) next() (event, error) {
	r.raw.Reset()
	e := event{comment: true}
	for {
		start := len(r.raw.Data)
		if err := r.readLine(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(r.raw.Data[start:], "\r\n")
		e.comment = e.comment && (len(line) == 0 || line[0] == ':')
		switch {
		case len(line) == 0:
			e.raw = r.raw.Data
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
		if appendErr := r.raw.Append(part); appendErr != nil {
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

// relayStream relays an event stream. If it breaks, it is resumed at another
// upstream after the last event that the client has received. An incomplete
// stream ends with a reset of the client's connection, or with a refusal if nothing
// has been sent to the client.
func (h *callHandler) relayStream(ctx context.Context, w *clientWriter) *RefusalError {
	h.inputTokens = h.call.estimatedInputTokens()
	for {
		upstreamErr, clientErr := h.copyEvents(w)
		if upstreamErr == nil && clientErr == nil {
			h.startStream(w)
			h.finishAttempt(outcomeAnswered, nil)
			h.recordUsage()
			return nil
		}
		if clientErr == nil && w.started {
			// Half of the next event may have kept whole ones from being flushed.
			clientErr = w.flush()
		}
		if clientErr != nil || ctx.Err() != nil {
			h.finishAttempt(outcomeAbandoned, context.Canceled)
			h.recordUsage()
			h.abortClient(errors.Errorf("caller left after event %d", h.lastEventID))
		}
		if refusal := h.resume(ctx, upstreamErr); refusal != nil {
			h.recordUsage()
			if !w.started {
				return refusal
			}
			h.endStream(w, refusal)
		}
	}
}

// startStream writes the headers of the current attempt's response to the client. It has no
// effect the second time.
func (h *callHandler) startStream(w *clientWriter) {
	if w.started {
		return
	}
	w.started = true
	h.copyResponseHeader(w.w.Header(), h.current.response.Header)
	w.w.WriteHeader(h.current.response.StatusCode)
}

// copyEvents relays events until the stream is complete: at the done marker, or
// on routes with eventStream set also at the end of the body. It skips events
// that the client already has, and returns errors of the upstream and of the
// client separately.
func (h *callHandler) copyEvents(w *clientWriter) (upstreamErr, clientErr error) {
	at := h.current
	raw := h.router.buffers.NewBuffer(maxEventBytes)
	defer raw.Release()
	reader := &eventReader{buffer: bufio.NewReaderSize(at.response.Body, streamBufferBytes), raw: raw}
	for {
		e, err := reader.next()
		if h.call.route.GetEventStream() && errors.Is(err, io.EOF) && len(raw.Data) == 0 {
			return nil, nil
		}
		if err != nil {
			if len(raw.Data) > maxUnfinishedBytes {
				err = &unfinishedEventError{Bytes: len(raw.Data), Cause: err}
			}
			return err, nil
		}
		at.recordActivity(h.router.dispatcher.now())
		if e.id == 0 && !e.comment && h.call.route.GetEventStream() {
			return &unnumberedEventError{After: h.lastEventID}, nil
		}
		if e.id != 0 {
			if e.id <= h.lastEventID {
				continue
			}
			if e.id != h.lastEventID+1 {
				return &eventGapError{Expected: h.lastEventID + 1, Got: e.id}, nil
			}
		}
		if err = at.startRelay(); err != nil {
			return err, nil
		}
		done := bytes.Equal(e.data, doneMarker)
		h.startStream(w)
		at.writingToClient.Store(true)
		err = w.write(e.raw)
		if err == nil && (done || reader.buffer.Buffered() == 0) {
			err = w.flush()
		}
		at.writingToClient.Store(false)
		if err != nil {
			return nil, err
		}
		h.recordEvent(e, done)
		if done {
			return nil, nil
		}
	}
}

// recordEvent records an event that was written to the client. Each event with
// data counts as one output token. A usage in the event replaces the counts so far.
func (h *callHandler) recordEvent(e event, done bool) {
	h.recordStart()
	h.current.eventsRelayed.Add(1)
	if h.router.dispatcher.now()-h.current.startedAt-h.current.timeToHeaders > responseTime {
		h.recordSurvival()
	}
	if e.id != 0 {
		h.lastEventID = e.id
	}
	if done || len(e.data) == 0 {
		return
	}
	h.outputTokens++
	h.readUsage(e.data)
}

// resume continues a broken stream at another upstream. If it returns a refusal,
// the stream cannot be continued.
func (h *callHandler) resume(ctx context.Context, cause error) *RefusalError {
	at := h.current
	var unfinished *unfinishedEventError
	upstreamFailed := errors.As(cause, &unfinished)
	if at.response.Request.Context().Err() != nil {
		cause = context.Cause(at.response.Request.Context())
	}
	failure := &attemptError{Attempt: at.id, Cause: cause}
	var silent *silentConnectionError
	if errors.As(cause, &silent) {
		h.router.metrics.silentConnections.Inc(1)
	}
	h.recordBreak(ctx, at.grant, at, cause)
	h.failedUpstreams = append(h.failedUpstreams, at.grant.upstream.ID)
	var expired *deadlineError
	if errors.As(cause, &expired) && !upstreamFailed {
		h.finishAttempt(outcomeAbandoned, failure)
	} else {
		h.finishAttempt(failureOutcome(cause), failure)
	}
	h.log.Info("upstream stream was interrupted", h.requestIDField(), zap.String("attempt", string(at.id)),
		zap.String("upstream", string(at.grant.upstream.ID)), h.partsField(),
		zap.Uint64("delivered", uint64(h.lastEventID)), zap.Error(cause))
	if h.lastEventID == noEventID && at.eventsRelayed.Load() > 0 {
		// The client has received events without ids, so the position to resume at
		// is not known.
		return h.giveUp(failure)
	}
	if !h.call.route.GetEventStream() {
		// The client has a part of the response, so the deadline is extended to
		// allow a resumption.
		h.call.deadline = max(h.call.deadline, h.router.dispatcher.now()+minResumeWait)
	}
	if !h.allowRetry(ctx, failure) {
		return h.giveUp(failure)
	}
	if refusal := h.retry(ctx); refusal != nil {
		return refusal
	}
	if h.current.response.StatusCode != http.StatusOK || !isEventStream(h.current.response) {
		failure = &attemptError{Attempt: h.current.id, Cause: errors.New("upstream did not resume the stream")}
		h.finishAttempt(outcomeFailed, failure)
		return h.giveUp(failure)
	}
	h.router.metrics.resumedStreams.Inc(1)
	return nil
}

// endStream sends the refusal as an error event, except on routes with
// eventStream set, and resets the client's connection.
func (h *callHandler) endStream(w *clientWriter, refusal *RefusalError) {
	refusal.Run = MayHaveRun
	document, err := json.Marshal(h.recordRefusal(refusal).body())
	if err == nil && !h.call.route.GetEventStream() {
		_ = w.write([]byte("event: error\ndata: " + string(document) + "\n\n"))
		_ = w.flush()
	}
	h.abortClient(refusal)
}
