package router

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/scrubber"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/writer"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered, if there is room,
	// before its first byte is sent to the client, so that a truncated one can be retried.
	maxBufferedBytes = 1 << 20
)

// encodeResponse writes a *clientResponse: it relays the upstream's response or
// replays the stored one.
func (r *Router) encodeResponse(ctx context.Context, w http.ResponseWriter, response any) error {
	out, _ := response.(*clientResponse)
	h := out.handler
	if out.stored != nil {
		out.stored.write(w)
		return nil
	}
	if out.passedOn != nil {
		h.relayPassedOn(w, out.passedOn)
		return nil
	}
	h.router.metrics.Answered(configurer.ClassName(h.call.class.GetName()), h.router.dispatcher.now()-h.call.arrived)
	client := writer.New(w, r.settings.GetEntry().GetCallerLimits().GetWriteTimeout().AsDuration())
	relay := h.relayResponse
	if isEventStream(h.current.response) {
		relay = h.relayStream
	}
	refusal := relay(ctx, client)
	if refusal != nil && h.mayPassOn(refusal) {
		passed, failure := h.passOn(ctx)
		if passed != nil {
			h.relayPassedOn(w, passed.passedOn)
			return nil
		}
		if failure != nil {
			refusal = failure
		}
	}
	if refusal != nil {
		r.encodeRefusal(ctx, h.recordRefusal(refusal), w)
	}
	return nil
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// hasMarkedEnd reports whether the end of the current response's body is known from a break.
func (h *callHandler) hasMarkedEnd() bool {
	return hasDelimitedBody(h.current.response) || h.router.dialect.AcceptUndelimited
}

// hasDelimitedBody reports whether the framing marks the end of the body, so
// that a truncated body can be detected.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// relayResponse relays a response that is not an event stream, and sends
// further attempts if it cannot be read completely. It returns a refusal only if nothing has
// been sent to the client.
func (h *callHandler) relayResponse(ctx context.Context, w *writer.Client) *translator.RefusalError {
	for {
		err := h.relayCurrent(w)
		if err == nil {
			return nil
		}
		at := h.current
		err = at.causeOf(err)
		failure := &attemptError{Attempt: at.id, Cause: err}
		h.recordBreak(ctx, at.grant, at, err)
		h.failedUpstreams = append(h.failedUpstreams, at.grant.upstream.ID)
		outcome := failureOutcome(err)
		if ctx.Err() != nil {
			outcome = outcomeAbandoned
		}
		h.finishAttempt(outcome, failure)
		h.log.Info("upstream response was truncated", h.requestIDField(), zap.String("attempt", string(at.id)), zap.Error(err))
		if !h.allowRetry(ctx, failure) {
			return h.giveUp(failure)
		}
		if refusal := h.retry(ctx); refusal != nil {
			return refusal
		}
	}
}

// retry sends further attempts until an upstream responds or the call is given up.
func (h *callHandler) retry(ctx context.Context) *translator.RefusalError {
	waitCtx, cancel := h.waitContext(ctx)
	defer cancel()
	for {
		h.router.metrics.Retries.Inc(1)
		g, refusal := h.acquireUpstream(waitCtx)
		if refusal != nil {
			return refusal
		}
		err := h.sendAttempt(ctx, g)
		if err == nil {
			return nil
		}
		if !h.allowRetry(ctx, err) {
			return h.giveUp(err)
		}
	}
}

// relayCurrent relays the current attempt's response, the first part of which it buffers. It
// returns an error only if nothing has been sent to the client; a later failure aborts the
// client's connection.
func (h *callHandler) relayCurrent(w *writer.Client) error {
	at := h.current
	if !h.hasMarkedEnd() {
		return errors.New("the end of the answer is not marked")
	}
	limit := h.router.settings.GetEntry().GetUpstreamLimits().GetResponseBytes()
	if at.response.ContentLength > limit {
		return &writer.OversizedError{Limit: limit}
	}
	body := h.router.buffers.NewBuffer(maxBufferedBytes)
	defer body.Release()
	complete, err := body.Fill(at.response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	if err = at.startRelay(); err != nil && !complete {
		return err
	}
	h.readResponseUsage(body.Data)
	h.storeResponse(body.Data, complete)
	h.copyResponseHeader(w.Header(), at.response.Header)
	if at.response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(at.response.ContentLength, 10))
	}
	w.WriteHeader(at.response.StatusCode)
	var upstreamErr error
	clientErr := w.Write(body.Data)
	if clientErr == nil && !complete {
		upstreamErr, clientErr = w.Copy(at.response.Body, int64(len(body.Data)), limit)
	}
	err = clientErr
	outcome := outcomeAnswered
	switch {
	case upstreamErr != nil:
		outcome, err = outcomeFailed, upstreamErr
	case clientErr != nil:
		outcome = outcomeAbandoned
	}
	h.finishAttempt(outcome, err)
	h.recordUsage()
	if err != nil {
		h.abortClient(err)
	}
	return nil
}

// readResponseUsage sets the token counts from a response's body. Without usage
// in the body the input tokens are estimated.
func (h *callHandler) readResponseUsage(body []byte) {
	h.inputTokens = h.call.estimatedInputTokens()
	h.readUsage(body)
}

// readUsage sets the token counts to those that a whole response or the data of an event states, if it does.
func (h *callHandler) readUsage(document []byte) {
	if usage, stated := h.call.format.ReadUsage(document); stated {
		h.inputTokens, h.outputTokens = usage.PromptTokens, usage.CompletionTokens
	}
}

// abortClient panics with http.ErrAbortHandler, which resets the client's
// connection, so that a truncated response never looks complete.
func (h *callHandler) abortClient(cause error) {
	h.reportEnds()
	h.log.Info("response to the client was aborted", h.requestIDField(), zap.String("class", h.call.class.GetName()),
		zap.String("organisation", string(h.call.client.organisation)), zap.Error(cause))
	panic(http.ErrAbortHandler)
}

// copyResponseHeader copies the upstream's response headers that the client may
// see, and adds the attempt id if the client did not provide one.
func (h *callHandler) copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !scrubber.DropsResponse(name) && !h.router.dialect.DropsResponseHeader(name) {
			to[name] = values
		}
	}
	if h.call.Attempt == "" {
		to.Set(translator.HeaderAttempt, string(h.current.id))
	}
}
