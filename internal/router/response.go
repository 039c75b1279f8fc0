package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before its
	// first byte is sent to the client, so that a truncated one can be retried.
	maxBufferedBytes = 1 << 20
	copyBufferBytes  = 32 << 10
	// deadlineRenewalDivisor sets how often the write deadline is renewed: after
	// this fraction of the write timeout.
	deadlineRenewalDivisor = 8
)

// clientWriter writes to the client and bounds the time that a write may block.
type clientWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

// encodeResponse writes a *clientResponse: it relays the upstream's response or
// replays the stored one.
func (r *Router) encodeResponse(ctx context.Context, w http.ResponseWriter, response any) error {
	out, _ := response.(*clientResponse)
	x := out.exchange
	if out.stored != nil {
		out.stored.write(w)
		return nil
	}
	x.router.metrics.answered(configurer.ClassName(x.call.class.GetName()), x.router.dispatcher.now()-x.call.arrived)
	writer := &clientWriter{
		w:       w,
		control: http.NewResponseController(w),
		timeout: r.settings.GetEntry().GetCallerLimits().GetWriteTimeout().AsDuration(),
	}
	if isEventStream(x.current.response) {
		x.relayStream(ctx, writer)
		return nil
	}
	if refusal := x.relayResponse(ctx, writer); refusal != nil {
		r.encodeRefusal(ctx, x.recordRefusal(refusal), w)
	}
	return nil
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// hasDelimitedBody reports whether the framing marks the end of the body, so
// that a truncated body can be detected.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// relayResponse relays a response that is not an event stream, and sends
// further attempts if it fails. It returns a refusal only if nothing has been
// sent to the client.
func (x *exchange) relayResponse(ctx context.Context, w *clientWriter) *RefusalError {
	for {
		err := x.relayCurrent(w)
		if err == nil {
			return nil
		}
		at := x.current
		failure := &attemptError{Attempt: at.id, Cause: err}
		x.failedUpstreams = append(x.failedUpstreams, at.grant.upstream.ID)
		outcome := failureOutcome(err)
		if ctx.Err() != nil {
			outcome = outcomeAbandoned
		}
		x.finishAttempt(outcome, failure)
		x.log.Info("upstream response was truncated", x.requestIDField(), zap.String("attempt", string(at.id)), zap.Error(err))
		if !x.shouldRetry(ctx, failure) {
			return x.giveUp(failure)
		}
		if refusal := x.retry(ctx); refusal != nil {
			return refusal
		}
	}
}

// retry sends further attempts until an upstream responds or the call is given up.
func (x *exchange) retry(ctx context.Context) *RefusalError {
	waitCtx, cancel := context.WithTimeout(ctx, x.call.deadline-x.router.dispatcher.now())
	defer cancel()
	for {
		x.router.metrics.retries.Inc(1)
		g, refusal := x.acquireUpstream(waitCtx)
		if refusal != nil {
			return refusal
		}
		err := x.sendAttempt(ctx, g)
		if err == nil {
			return nil
		}
		if !x.shouldRetry(ctx, err) {
			return x.giveUp(err)
		}
	}
}

// relayCurrent relays the current attempt's response, which it buffers up to
// maxBufferedBytes. It returns an error only if nothing has been sent to the
// client; if it fails later it aborts the client's connection.
func (x *exchange) relayCurrent(w *clientWriter) error {
	at := x.current
	if !hasDelimitedBody(at.response) && !x.router.dialect.AcceptUndelimited {
		return errors.New("the end of the answer is not marked")
	}
	body, err := io.ReadAll(io.LimitReader(at.response.Body, maxBufferedBytes+1))
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	x.readResponseUsage(body)
	x.storeResponse(body, len(body) <= maxBufferedBytes)
	x.copyResponseHeader(w.w.Header(), at.response.Header)
	if at.response.ContentLength >= 0 {
		w.w.Header().Set("Content-Length", strconv.FormatInt(at.response.ContentLength, 10))
	}
	w.w.WriteHeader(at.response.StatusCode)
	if err = w.write(body); err == nil && len(body) > maxBufferedBytes {
		err = w.copyRemaining(at)
	}
	outcome := outcomeAnswered
	if err != nil {
		outcome = outcomeAbandoned
	}
	x.finishAttempt(outcome, err)
	x.recordUsage()
	if err != nil {
		x.abortClient(err)
	}
	return nil
}

// readResponseUsage sets the token counts from a response's body. Without usage
// in the body the input tokens are estimated.
func (x *exchange) readResponseUsage(body []byte) {
	x.inputTokens = x.call.estimatedInputTokens()
	x.readUsage(body)
}

// readUsage sets the token counts from the usage of an OpenAI-style JSON document, if it has one.
func (x *exchange) readUsage(document []byte) {
	if !bytes.Contains(document, []byte(`"usage"`)) {
		return
	}
	var response struct {
		Usage *struct {
			PromptTokens     TokenCount `json:"prompt_tokens"`
			CompletionTokens TokenCount `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(document, &response) != nil || response.Usage == nil {
		return
	}
	x.inputTokens = response.Usage.PromptTokens
	x.outputTokens = response.Usage.CompletionTokens
}

// abortClient panics with http.ErrAbortHandler, which resets the client's
// connection, so that a truncated response never looks complete.
func (x *exchange) abortClient(cause error) {
	x.log.Info("response to the client was aborted", x.requestIDField(), zap.String("class", x.call.class.GetName()),
		zap.String("organisation", string(x.call.client.organisation)), zap.Error(cause))
	panic(http.ErrAbortHandler)
}

// copyResponseHeader copies the upstream's response headers that the client may
// see, and adds the attempt id if the client did not provide one.
func (x *exchange) copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !isDroppedResponseHeader(name) && !x.router.dialect.DropsResponseHeader(name) {
			to[name] = values
		}
	}
	if x.call.Attempt == "" {
		to.Set(HeaderAttempt, string(x.current.id))
	}
}

// isDroppedResponseHeader reports whether an upstream's header is not relayed:
// hop-by-hop headers, and Content-Length, which is set separately.
func isDroppedResponseHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}

// write writes data with a deadline. The deadline is renewed only after a
// fraction of the timeout, because a stream has many small writes.
func (w *clientWriter) write(data []byte) error {
	if now := time.Now(); now.Sub(w.deadlineSetAt) > w.timeout/deadlineRenewalDivisor {
		w.deadlineSetAt = now
		_ = w.control.SetWriteDeadline(now.Add(w.timeout))
	}
	_, err := w.w.Write(data)
	return errors.Wrap(err, "writing to the caller")
}

func (w *clientWriter) flush() error {
	return errors.Wrap(w.control.Flush(), "flushing to the caller")
}

// copyRemaining copies the rest of a response that was too large to buffer.
func (w *clientWriter) copyRemaining(at *attempt) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := at.response.Body.Read(buffer)
		if n > 0 {
			if writeErr := w.write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the answer")
		}
	}
}
