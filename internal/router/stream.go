package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/writer"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxUnfinishedBytes is the size from which an event that is not complete when its
	// attempt ends counts as a failure of the upstream, whatever ended the attempt.
	maxUnfinishedBytes = 64 << 10
)

// relayStream relays an event stream. If it breaks, it is resumed at another
// upstream after the last event that the client has received. An incomplete
// stream ends with a reset of the client's connection, or with a refusal if nothing
// has been sent to the client.
func (h *callHandler) relayStream(ctx context.Context, w *writer.Client) *translator.RefusalError {
	h.inputTokens = h.call.estimatedInputTokens()
	defer h.endOrigin()
	for {
		upstreamErr, clientErr := h.copyEvents(w)
		if upstreamErr == nil && clientErr == nil {
			h.startStream(w)
			h.finishAttempt(outcomeAnswered, nil)
			h.recordUsage()
			return nil
		}
		if clientErr == nil && w.Started {
			// Half of the next event may have kept whole ones from being flushed.
			clientErr = w.Flush()
		}
		if clientErr != nil || ctx.Err() != nil {
			h.finishAttempt(outcomeAbandoned, context.Canceled)
			h.recordUsage()
			h.abortClient(errors.Errorf("caller left after event %d", h.lastEventID))
		}
		if refusal := h.resume(ctx, upstreamErr); refusal != nil {
			h.recordUsage()
			if !w.Started {
				return refusal
			}
			h.endStream(w, refusal)
		}
	}
}

// startStream writes the headers of the current attempt's response to the client. It has no
// effect the second time.
func (h *callHandler) startStream(w *writer.Client) {
	if w.Started {
		return
	}
	w.Started = true
	h.copyResponseHeader(w.Header(), h.current.response.Header)
	w.WriteHeader(h.current.response.StatusCode)
}

// copyEvents relays events until the stream is complete, as the format of the response says. It skips
// events that the client already has, and returns errors of the upstream and of the client separately.
func (h *callHandler) copyEvents(w *writer.Client) (upstreamErr, clientErr error) {
	at, format := h.current, h.call.format
	raw := h.router.buffers.NewBuffer(maxEventBytes)
	defer raw.Release()
	events := scanner.New(at.response.Body, raw)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && h.hasMarkedEnd() && format.EndsWithBody(len(raw.Data)) {
			return h.relayRest(w, raw.Data)
		}
		if err != nil {
			if len(raw.Data) > maxUnfinishedBytes {
				err = &scanner.UnfinishedEventError{Bytes: len(raw.Data), Cause: err}
			}
			return err, nil
		}
		at.recordActivity(h.router.dispatcher.now())
		if format.LacksNumber(e) {
			return &scanner.UnnumberedEventError{After: h.lastEventID}, nil
		}
		e.ID = format.Number(e)
		if e.ID != scanner.NoEventID {
			if e.ID <= h.lastEventID {
				continue
			}
			if e.ID != h.lastEventID+1 {
				return &scanner.GapError{Expected: h.lastEventID + 1, Got: e.ID}, nil
			}
		}
		if err = at.startRelay(); err != nil {
			return err, nil
		}
		done := format.IsEnd(e)
		h.bindVersion(at.response.Request.Context())
		h.startStream(w)
		at.writingToClient.Store(true)
		err = w.Write(e.Raw)
		if err == nil && (done || events.Buffered() == 0) {
			err = w.Flush()
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

// relayRest relays what follows the last event of a stream that is complete.
func (h *callHandler) relayRest(w *writer.Client, rest []byte) (upstreamErr, clientErr error) {
	if len(rest) == 0 {
		return nil, nil
	}
	if err := h.current.startRelay(); err != nil {
		return err, nil
	}
	h.startStream(w)
	if err := w.Write(rest); err != nil {
		return nil, err
	}
	return nil, w.Flush()
}

// recordEvent records an event that was written to the client. Each event with
// data counts as one output token. A usage in the event replaces the counts so far.
func (h *callHandler) recordEvent(e scanner.Event, done bool) {
	h.recordStart()
	h.current.eventsRelayed.Add(1)
	h.current.grant.observed.events++
	if h.router.dispatcher.now()-h.current.startedAt-h.current.timeToHeaders > responseTime {
		h.recordSurvival()
	}
	if e.ID != scanner.NoEventID {
		h.lastEventID = e.ID
	}
	if done || !e.HasData {
		return
	}
	h.outputTokens++
	h.readUsage(e.Data)
}

// recordBrokenStream ends the current attempt, whose stream broke.
func (h *callHandler) recordBrokenStream(ctx context.Context, cause error) *attemptError {
	at := h.current
	var unfinished *scanner.UnfinishedEventError
	upstreamFailed := errors.As(cause, &unfinished)
	if at.response.Request.Context().Err() != nil {
		cause = context.Cause(at.response.Request.Context())
	}
	failure := &attemptError{Attempt: at.id, Cause: cause}
	var silent *silentConnectionError
	if errors.As(cause, &silent) {
		h.router.metrics.SilentConnections.Inc(1)
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
		zap.String("upstream", string(at.grant.upstream.ID)), zap.String("version", string(at.grant.upstream.Version)), h.partsField(),
		zap.Uint64("delivered", uint64(h.lastEventID)), zap.Error(cause))
	return failure
}

// resume continues a broken stream at another upstream. If it returns a refusal,
// the stream cannot be continued.
func (h *callHandler) resume(ctx context.Context, cause error) *translator.RefusalError {
	at := h.current
	failure := h.recordBrokenStream(ctx, cause)
	noPosition := h.lastEventID == scanner.NoEventID || !h.call.format.Resumes()
	if noPosition && at.eventsRelayed.Load() > 0 || h.bound && h.origin == nil {
		// The position to resume at, or the version, is not known.
		return h.giveUp(failure)
	}
	if h.call.format.OutlivesDeadline() {
		// The client has a part of the response, so the deadline is extended to
		// allow a resumption.
		h.sending.Wait()
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
	h.router.metrics.ResumedStreams.Inc(1)
	return nil
}

// endStream sends the refusal as an error event, if the format of the response has these, and resets the
// client's connection.
func (h *callHandler) endStream(w *writer.Client, refusal *translator.RefusalError) {
	refusal.Run = translator.MayHaveRun
	document, err := json.Marshal(h.recordRefusal(refusal).Body())
	if err == nil && h.call.format.ReportsErrors() {
		_ = w.Write([]byte("event: error\ndata: " + string(document) + "\n\n"))
		_ = w.Flush()
	}
	h.abortClient(refusal)
}
