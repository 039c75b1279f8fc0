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
	// wholeBytes is the size up to which an answer is read whole before the
	// caller gets a byte of it, so that a cut one can be told apart.
	wholeBytes = 1 << 20
	copyBytes  = 32 << 10
	// rearmDivisor is the part of the write timeout after which it is set anew.
	rearmDivisor = 8
)

// callerWriter writes to a caller with a deadline for each write.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// armed is when the deadline was set last.
	armed time.Time
}

// encodeAnswer relays the upstream's answer to the caller.
func (r *Router) encodeAnswer(ctx context.Context, w http.ResponseWriter, response any) error {
	out, _ := response.(*answer)
	x := out.exchange
	if out.stored != nil {
		out.stored.write(w)
		return nil
	}
	x.router.metrics.answered(configurer.ClassName(x.call.class.GetName()), x.router.dispatcher.now()-x.call.arrived)
	writer := &callerWriter{
		w:       w,
		control: http.NewResponseController(w),
		timeout: r.settings.GetEntry().GetCallerLimits().GetWriteTimeout().AsDuration(),
	}
	if isEventStream(x.current.response) {
		x.relayStream(ctx, writer)
		return nil
	}
	if refusal := x.relayWhole(ctx, writer); refusal != nil {
		r.encodeRefusal(ctx, x.refused(refusal), w)
	}
	return nil
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// delimited reports whether the end of the body can be told from a cut.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// relayWhole relays an answer that is no stream of events. It returns a
// refusal only while the caller has nothing yet.
func (x *exchange) relayWhole(ctx context.Context, w *callerWriter) *RefusalError {
	for {
		err := x.readWhole(w)
		if err == nil {
			return nil
		}
		at := x.current
		failure := &attemptError{Attempt: at.id, Cause: err}
		x.avoid = append(x.avoid, at.grant.upstream.ID)
		v := failureVerdict(err)
		if ctx.Err() != nil {
			v = verdictAbandoned
		}
		x.finishAttempt(v, failure)
		x.log.Info("answer was cut", x.idField(), zap.String("attempt", string(at.id)), zap.Error(err))
		if !x.mayTryAgain(ctx, failure) {
			return x.gaveUp(failure)
		}
		if refusal := x.tryNext(ctx); refusal != nil {
			return refusal
		}
	}
}

// tryNext starts further attempts until one is answered.
func (x *exchange) tryNext(ctx context.Context) *RefusalError {
	limit, cancel := context.WithTimeout(ctx, x.call.deadline-x.router.dispatcher.now())
	defer cancel()
	for {
		x.router.metrics.retries.Inc(1)
		g, refusal := x.acquire(limit)
		if refusal != nil {
			return refusal
		}
		err := x.sendAttempt(ctx, g)
		if err == nil {
			return nil
		}
		if !x.mayTryAgain(ctx, err) {
			return x.gaveUp(err)
		}
	}
}

// readWhole reads an answer and writes it to the caller. The error means that
// the caller has nothing yet.
func (x *exchange) readWhole(w *callerWriter) error {
	at := x.current
	if !delimited(at.response) && !x.router.dialect.AcceptUnframed {
		return errors.New("the end of the answer is not marked")
	}
	body, err := io.ReadAll(io.LimitReader(at.response.Body, wholeBytes+1))
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	x.noteWholeUsage(body)
	x.recordAnswer(body, len(body) <= wholeBytes)
	x.copyResponseHeader(w.w.Header(), at.response.Header)
	if at.response.ContentLength >= 0 {
		w.w.Header().Set("Content-Length", strconv.FormatInt(at.response.ContentLength, 10))
	}
	w.w.WriteHeader(at.response.StatusCode)
	if err = w.write(body); err == nil && len(body) > wholeBytes {
		err = w.copyRest(at)
	}
	v := verdictAnswered
	if err != nil {
		v = verdictAbandoned
	}
	x.finishAttempt(v, err)
	x.count()
	if err != nil {
		x.abort(err)
	}
	return nil
}

// noteWholeUsage takes the token counts from an engine's answer.
func (x *exchange) noteWholeUsage(body []byte) {
	x.tokensIn = x.call.estimatedTokensIn()
	x.noteUsage(body)
}

func (x *exchange) noteUsage(document []byte) {
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
	x.tokensIn = counted.Usage.PromptTokens
	x.tokensOut = counted.Usage.CompletionTokens
}

// abort resets the caller's connection, so that a cut answer never looks complete.
func (x *exchange) abort(cause error) {
	x.log.Info("answer to the caller was cut", x.idField(), zap.String("class", x.call.class.GetName()),
		zap.String("organisation", string(x.call.identity.organisation)), zap.Error(cause))
	panic(http.ErrAbortHandler)
}

func (x *exchange) copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !withheldFromCaller(name) && !x.router.dialect.DropsResponseHeader(name) {
			to[name] = values
		}
	}
	if x.call.AttemptID == "" {
		to.Set(HeaderAttempt, string(x.current.id))
	}
}

func withheldFromCaller(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}

// write writes data before the deadline, which is set anew only once a
// fraction of it has passed, since a stream has many small writes.
func (w *callerWriter) write(data []byte) error {
	if now := time.Now(); now.Sub(w.armed) > w.timeout/rearmDivisor {
		w.armed = now
		_ = w.control.SetWriteDeadline(now.Add(w.timeout))
	}
	_, err := w.w.Write(data)
	return errors.Wrap(err, "writing to the caller")
}

func (w *callerWriter) flush() error {
	return errors.Wrap(w.control.Flush(), "flushing to the caller")
}

// copyRest copies what follows the part of an answer that was read whole.
func (w *callerWriter) copyRest(at *attempt) error {
	buffer := make([]byte, copyBytes)
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
