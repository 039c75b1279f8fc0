package router

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/relayer"
)

// Headers of client requests and responses.
const (
	HeaderClass          = "Comfreybend-Class"
	HeaderDeadline       = "Comfreybend-Deadline-Millis"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRun            = "Comfreybend-Run"
	HeaderAttempt        = "Comfreybend-Attempt"
	HeaderReplayed       = "Comfreybend-Replayed"
	// HeaderPromptParts lists the parts of the prompt in their order, as ID:TOKENS separated
	// by commas. The last part belongs to the request alone.
	HeaderPromptParts = "Comfreybend-Prompt-Parts"
	// HeaderResumes names the attempt that brought the first event of the stream that the client
	// resumes after Last-Event-ID.
	HeaderResumes    = "Comfreybend-Resumes"
	headerRetryAfter = "Retry-After"
)

// Headers of requests to upstreams.
const (
	HeaderOrganisation = "Comfreybend-Organisation"
	HeaderPriority     = "Comfreybend-Priority"
	HeaderPrefix       = "Comfreybend-Prefix"
	HeaderLastEventID  = "Last-Event-ID"
	// HeaderIncarnation names the run of the upstream that a request is meant for, and in its
	// response the run that answers. An upstream of another run refuses the request with 421.
	HeaderIncarnation = "Comfreybend-Incarnation"
	// HeaderState is set to "leaving" in the responses of an upstream that wants no further
	// requests.
	HeaderState = "Comfreybend-State"
	// HeaderRequestLimit is set in the responses of an upstream in need: the number of requests a
	// second that it takes from all hosts together, for as long as its responses name it.
	HeaderRequestLimit = "Comfreybend-Request-Limit"
	// HeaderWarmUp may be set in the responses of an upstream, also at its health path: the number of
	// milliseconds for which it is still cold, zero if it is warm.
	HeaderWarmUp = "Comfreybend-Warm-Up"

	// headerLastEventIDCanonical is HeaderLastEventID as canonicalized by net/http.
	headerLastEventIDCanonical = "Last-Event-Id"
)

// RunStatus states whether a refused request may have run. It is sent to the client.
type RunStatus string

// The values of RunStatus.
const (
	// NotRun means that no upstream has run the request.
	NotRun RunStatus = "notRun"
	// MayHaveRun means that an upstream may have run the request.
	MayHaveRun RunStatus = "mayHaveRun"
)

// Codes of refusals, sent to clients.
const (
	CodeUnauthorized     = "unauthorized"
	CodeNoRoute          = "noRoute"
	CodeMalformed        = "malformed"
	CodeTooLarge         = "tooLarge"
	CodeClassNotAllowed  = "classNotAllowed"
	CodeOverloaded       = "overloaded"
	CodeNoUpstream       = "noUpstream"
	CodeNotFresh         = "configurationNotFresh"
	CodeNoQuorum         = "noQuorum"
	CodeDeadline         = "deadlineExceeded"
	CodeUpstreamFailed   = "upstreamFailed"
	CodeInDoubt          = "inDoubt"
	CodeIdempotencyReuse = "idempotencyKeyReused"
	CodeTooManyClaims    = "tooManyClaims"
	CodePartHeld         = "promptPartHeld"
	CodeRequestHeld      = "requestHeld"
	CodePartSuspected    = "promptPartSuspected"
	CodeRequestSuspected = "requestSuspected"
	CodeVersionGone      = "versionGone"
)

type (
	// RefusalError is the error response to a request that was refused or given up.
	RefusalError struct {
		Status int
		Code   string
		Detail string
		Run    RunStatus
		// RetryAfter is the time after which the client may retry; zero if a retry
		// would not help.
		RetryAfter time.Duration
		// Attempt is the id of the attempt that failed, or with CodeInDoubt the id in the
		// claim of the earlier call; empty if the refusal concerns neither.
		Attempt AttemptID
		cause   error
	}

	// refusalBody is the JSON body of a refusal, in the OpenAI error format.
	refusalBody struct {
		Error errorObject `json:"error"`
	}

	// errorObject is the error in a refusalBody.
	errorObject struct {
		Message          string    `json:"message"`
		Type             string    `json:"type"`
		Code             string    `json:"code"`
		Run              RunStatus `json:"run"`
		RetryAfterMillis int64     `json:"retryAfterMillis,omitempty"`
		Attempt          AttemptID `json:"attempt,omitempty"`
	}
)

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Run, e.Detail)
}

// Unwrap returns the cause.
func (e *RefusalError) Unwrap() error { return e.cause }

// refuse returns a refusal of a request that has not run.
func refuse(status int, code, detail string) *RefusalError {
	return &RefusalError{Status: status, Code: code, Detail: detail, Run: NotRun}
}

// refuseWithRetryAfter returns a refusal of a request that has not run and may be
// retried after a time.
func refuseWithRetryAfter(status int, code, detail string, retryAfter time.Duration) *RefusalError {
	e := refuse(status, code, detail)
	e.RetryAfter = retryAfter
	return e
}

// body returns the JSON body of the refusal.
func (e *RefusalError) body() refusalBody {
	kind := "server_error"
	if e.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return refusalBody{Error: errorObject{
		Message:          e.Detail,
		Type:             kind,
		Code:             e.Code,
		Run:              e.Run,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
		Attempt:          e.Attempt,
	}}
}

// encodeRefusal writes an error as a refusal. Errors of other types become
// internal errors, after which the request may have run.
func (r *Router) encodeRefusal(_ context.Context, err error, w http.ResponseWriter) {
	var refusal *RefusalError
	if errors.As(err, new(*cutOffError)) && relayer.Decline(w) {
		return
	}
	if !errors.As(err, &refusal) {
		refusal = refuse(http.StatusInternalServerError, "internal", err.Error())
		refusal.Run = MayHaveRun
	}
	r.dialect.WriteRefusal(w, refusal)
}

// writeNativeRefusal is the WriteRefusal of NativeDialect.
func writeNativeRefusal(w http.ResponseWriter, refusal *RefusalError) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(refusal.Run))
	if refusal.Attempt != "" {
		h.Set(HeaderAttempt, string(refusal.Attempt))
	}
	if refusal.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(refusal.body())
}

// refuseUnread refuses a request beyond those that may be in progress. Its body is not read.
func (r *Router) refuseUnread(w http.ResponseWriter, request *http.Request) {
	ingester.Abandon(w, request)
	r.encodeRefusal(request.Context(), refuseWithRetryAfter(http.StatusServiceUnavailable, CodeOverloaded,
		"too many requests in progress", time.Second), w)
}

// refuseRequestBody refuses a request whose body was not read to its end, and closes its connection.
func (r *Router) refuseRequestBody(w http.ResponseWriter, request *http.Request, err error) {
	ingester.CloseAfter(w, request)
	r.encodeRefusal(request.Context(), r.refuseBody(err), w)
}

// refuseBody returns the refusal of a request whose body was not read to its end.
func (r *Router) refuseBody(err error) *RefusalError {
	if errors.As(err, new(*ingester.TooLargeError)) {
		return refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, err.Error())
	}
	if errors.As(err, new(*ingester.NoMemoryError)) || errors.As(err, new(*ingester.NoPlaceError)) {
		return refuseWithRetryAfter(http.StatusServiceUnavailable, CodeOverloaded, err.Error(), r.retryAfter())
	}
	return refuse(http.StatusRequestTimeout, CodeMalformed, err.Error())
}
