package translator

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
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
	CodeStopping         = "stopping"
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
		// Cause is the error that led to the refusal, nil if there is none.
		Cause error
	}

	// RefusalBody is the JSON body of a refusal, in the OpenAI error format.
	RefusalBody struct {
		Error errorObject `json:"error"`
	}

	// errorObject is the error in a RefusalBody.
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
func (e *RefusalError) Unwrap() error { return e.Cause }

// Refuse returns a refusal of a request that has not run.
func Refuse(status int, code, detail string) *RefusalError {
	return &RefusalError{Status: status, Code: code, Detail: detail, Run: NotRun}
}

// RefuseWithRetryAfter returns a refusal of a request that has not run and may be
// retried after a time.
func RefuseWithRetryAfter(status int, code, detail string, retryAfter time.Duration) *RefusalError {
	e := Refuse(status, code, detail)
	e.RetryAfter = retryAfter
	return e
}

// Body returns the JSON body of the refusal.
func (e *RefusalError) Body() RefusalBody {
	kind := "server_error"
	if e.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return RefusalBody{Error: errorObject{
		Message:          e.Detail,
		Type:             kind,
		Code:             e.Code,
		Run:              e.Run,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
		Attempt:          e.Attempt,
	}}
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
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(refusal.Body())
}
