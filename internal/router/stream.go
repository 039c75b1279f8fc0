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
	// maximumEventBytes bounds one event of a stream.
	maximumEventBytes = 1 << 20
)

var (
	dataField  = []byte("data:")
	idField    = []byte("id:")
	doneMarker = []byte("[DONE]")
)

type (
	// event is one event of a stream.
	event struct {
		raw []byte
		// id is zero if the event carries none.
		id   EventID
		data []byte
	}

	// eventReader splits a stream into events.
	eventReader struct {
		buffer *bufio.Reader
		raw    []byte
	}

	// eventGapError reports a resumed stream that left events out.
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

// next returns the next whole event. Its slices are valid until the next call.
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

// relayStream relays a stream, resuming it at another upstream after the last
// event that the caller has. It ends with the done marker or with a reset.
func (x *exchange) relayStream(ctx context.Context, w *clientWriter) {
	x.copyResponseHeader(w.w.Header(), x.current.response.Header)
	w.w.WriteHeader(x.current.response.StatusCode)
	x.inputTokens = x.call.estimatedInputTokens()
	for {
		upstreamErr, callerErr := x.copyEvents(w)
		if upstreamErr == nil && callerErr == nil {
			x.finishAttempt(verdictAnswered, nil)
			x.recordUsage()
			return
		}
		if callerErr != nil || ctx.Err() != nil {
			x.finishAttempt(verdictAbandoned, context.Canceled)
			x.recordUsage()
			x.abortClient(errors.Errorf("caller left after event %d", x.lastEventID))
		}
		if refusal := x.resume(ctx, upstreamErr); refusal != nil {
			x.recordUsage()
			x.endStream(w, refusal)
		}
	}
}

// copyEvents relays events until the done marker, and tells errors of the two sides apart.
func (x *exchange) copyEvents(w *clientWriter) (upstreamErr, callerErr error) {
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

// recordEvent counts an event that the caller has.
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

// resume continues a broken stream at another upstream. A refusal means that the stream ends here.
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
		x.finishAttempt(verdictAbandoned, failure)
	} else {
		x.finishAttempt(failureVerdict(cause), failure)
	}
	x.log.Info("stream broke", x.idField(), zap.String("attempt", string(at.id)),
		zap.Uint64("delivered", uint64(x.lastEventID)), zap.Error(cause))
	if x.lastEventID == noEventID && at.eventsReceived.Load() > 0 {
		return x.giveUp(failure)
	}
	if !x.call.route.GetEventStream() {
		// The caller has a part of the answer already, so the rest is still wanted.
		x.call.deadline = max(x.call.deadline, x.router.dispatcher.now()+begunWait)
	}
	if !x.shouldRetry(ctx, failure) {
		return x.giveUp(failure)
	}
	if refusal := x.retry(ctx); refusal != nil {
		return refusal
	}
	if x.current.response.StatusCode != http.StatusOK || !isEventStream(x.current.response) {
		failure = &attemptError{Attempt: x.current.id, Cause: errors.New("upstream did not resume the stream")}
		x.finishAttempt(verdictFailed, failure)
		return x.giveUp(failure)
	}
	x.router.metrics.resumed.Inc(1)
	return nil
}

// endStream tells the caller why a stream ends early and resets the connection.
func (x *exchange) endStream(w *clientWriter, refusal *RefusalError) {
	refusal.Run = MayHaveRun
	document, err := json.Marshal(x.recordRefusal(refusal).body())
	if err == nil && !x.call.route.GetEventStream() {
		_ = w.write([]byte("event: error\ndata: " + string(document) + "\n\n"))
		_ = w.flush()
	}
	x.abortClient(refusal)
}
