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
	// maxBufferedBytes is the size up to which an answer is read whole before the
	// caller gets a byte of it, so that a cut one can be told apart.
	maxBufferedBytes = 1 << 20
	copyBufferBytes  = 32 << 10
	// deadlineRenewalDivisor is the part of the write timeout after which it is set anew.
	deadlineRenewalDivisor = 8
)

// clientWriter writes to a caller with a deadline for each write.
type clientWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadlineSetAt is when the deadline was set last.
	deadlineSetAt time.Time
}

// encodeResponse relays the upstream's answer to the caller.
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

// hasDelimitedBody reports whether the end of the body can be told from a cut.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// relayResponse relays an answer that is no stream of events. It returns a
// refusal only while the caller has nothing yet.
func (x *exchange) relayResponse(ctx context.Context, w *clientWriter) *RefusalError {
	for {
		err := x.relayCurrent(w)
		if err == nil {
			return nil
		}
		at := x.current
		failure := &attemptError{Attempt: at.id, Cause: err}
		x.failedUpstreams = append(x.failedUpstreams, at.grant.upstream.ID)
		v := failureVerdict(err)
		if ctx.Err() != nil {
			v = verdictAbandoned
		}
		x.finishAttempt(v, failure)
		x.log.Info("answer was cut", x.idField(), zap.String("attempt", string(at.id)), zap.Error(err))
		if !x.shouldRetry(ctx, failure) {
			return x.giveUp(failure)
		}
		if refusal := x.retry(ctx); refusal != nil {
			return refusal
		}
	}
}

// retry starts further attempts until one is answered.
func (x *exchange) retry(ctx context.Context) *RefusalError {
	limit, cancel := context.WithTimeout(ctx, x.call.deadline-x.router.dispatcher.now())
	defer cancel()
	for {
		x.router.metrics.retries.Inc(1)
		g, refusal := x.acquireUpstream(limit)
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

// relayCurrent reads an answer and writes it to the caller. The error means that
// the caller has nothing yet.
func (x *exchange) relayCurrent(w *clientWriter) error {
	at := x.current
	if !hasDelimitedBody(at.response) && !x.router.dialect.AcceptUnframed {
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
	v := verdictAnswered
	if err != nil {
		v = verdictAbandoned
	}
	x.finishAttempt(v, err)
	x.recordUsage()
	if err != nil {
		x.abortClient(err)
	}
	return nil
}

// readResponseUsage takes the token counts from an engine's answer.
func (x *exchange) readResponseUsage(body []byte) {
	x.inputTokens = x.call.estimatedInputTokens()
	x.readUsage(body)
}

func (x *exchange) readUsage(document []byte) {
	if !bytes.Contains(document, []byte(`"usage"`)) {
		return
	}
	var counted struct {
		Usage *struct {
			PromptTokens     TokenCount `json:"prompt_tokens"`
			CompletionTokens TokenCount `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(document, &counted) != nil || counted.Usage == nil {
		return
	}
	x.inputTokens = counted.Usage.PromptTokens
	x.outputTokens = counted.Usage.CompletionTokens
}

// abortClient resets the caller's connection, so that a cut answer never looks complete.
func (x *exchange) abortClient(cause error) {
	x.log.Info("answer to the caller was cut", x.idField(), zap.String("class", x.call.class.GetName()),
		zap.String("organisation", string(x.call.identity.organisation)), zap.Error(cause))
	panic(http.ErrAbortHandler)
}

func (x *exchange) copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !isDroppedResponseHeader(name) && !x.router.dialect.DropsResponseHeader(name) {
			to[name] = values
		}
	}
	if x.call.AttemptID == "" {
		to.Set(HeaderAttempt, string(x.current.id))
	}
}

func isDroppedResponseHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}

// write writes data before the deadline, which is set anew only once a
// fraction of it has passed, since a stream has many small writes.
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

// copyRemaining copies what follows the part of an answer that was read whole.
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
