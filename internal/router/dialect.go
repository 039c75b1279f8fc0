package router

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

type (
	// Dialect holds the seams to callers and upstreams that do not speak the
	// product's own interface. Own returns the one that does.
	Dialect struct {
		// ParseRequest reads what a request says about itself. An error is answered with 400.
		ParseRequest func(*http.Request) (RequestInfo, error)
		// DropsRequestHeader reports that a header of the caller's is not passed on.
		DropsRequestHeader func(name string) bool
		// SetAttemptHeaders sets the headers of an attempt.
		SetAttemptHeaders func(http.Header, AttemptInfo)
		// ParseResponse reads what an answer's headers say.
		ParseResponse func(*http.Response) ResponseInfo
		// DropsResponseHeader reports that a header of an upstream's answer is not passed on.
		DropsResponseHeader func(name string) bool
		// WriteRefusal writes the final answer to a request that was refused or given up.
		WriteRefusal func(http.ResponseWriter, *RefusalError)
		// IsRetryableStatus reports that a status stands for a failure of the upstream, after
		// which a request that may be repeated is tried elsewhere.
		IsRetryableStatus func(status int) bool
		// PreserveHost passes the caller's Host header on.
		PreserveHost bool
		// AcceptUnframed takes an answer that ends with its connection as complete.
		AcceptUnframed bool
		// ReadyPath is where readiness is asked for; empty for the product's own path alone.
		ReadyPath string
	}

	// RequestInfo is what a request says about itself.
	RequestInfo struct {
		// Key is the organisation's key.
		Key string
		// Class is the class asked for; empty for the route's first one.
		Class string
		// Timeout is the time that the caller waits; zero if it does not say.
		Timeout time.Duration
		// AttemptID is the caller's own id of the attempt, which upstreams echo; empty for one of the router's.
		AttemptID AttemptID
		// IdempotencyKey is the caller's idempotency key.
		IdempotencyKey string
		// LastEventID is the last event of a stream that the caller has already.
		LastEventID EventID
		// Prompt is what a model request says of its prompt; empty if it says nothing.
		Prompt Prompt
	}

	// Prompt describes the work of a model request.
	Prompt struct {
		Model string
		// Parts are the parts of the prompt in order; the last one is the request's own or its session's.
		Parts []picker.Part
		// InputTokens and Out are the tokens of the prompt and the most that are generated.
		InputTokens  TokenCount
		MaxOutputTokens TokenCount
	}

	// AttemptInfo is what the headers of an attempt say.
	AttemptInfo struct {
		ID           AttemptID
		Organisation string
		Class        string
		Tier         int32
		// Rank, from 1, orders calls by the organisation's tier and then the class's, among so many Ranks.
		Rank, Ranks int32
		Prefix      picker.PrefixID
		// Upstream is the one that is meant.
		Upstream registrar.UpstreamID
		// TimeLeft is the time until the deadline.
		TimeLeft time.Duration
		// LastEventID is the last event that the caller has.
		LastEventID EventID
	}

	// ResponseInfo is what an answer's headers say.
	ResponseInfo struct {
		// AttemptID is the attempt that the answer belongs to; empty if it does not say.
		AttemptID AttemptID
		// NotRun reports that the upstream did not run the request and will not.
		NotRun bool
		// Spurious reports an answer that is not the upstream's own and whole.
		Spurious bool
		// Load is the upstream's load; nil if it does not say.
		Load *registrar.Load
	}
)

// NativeDialect returns the dialect of the product's own interface.
func NativeDialect() Dialect {
	return Dialect{
		ParseRequest: parseNativeRequest,
		DropsRequestHeader: func(name string) bool {
			return name == headerAPIKey || strings.HasPrefix(name, "Comfreybend-")
		},
		SetAttemptHeaders:           setNativeAttemptHeaders,
		ParseResponse:           parseNativeResponse,
		DropsResponseHeader: func(name string) bool { return strings.HasPrefix(name, "Comfreybend-") },
		WriteRefusal:          writeNativeRefusal,
		IsRetryableStatus:         isOverloadStatus,
	}
}

func parseNativeRequest(request *http.Request) (RequestInfo, error) {
	d := RequestInfo{
		Key:         requestKey(request.Header),
		Class:       request.Header.Get(HeaderClass),
		IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
	}
	if text := request.Header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return d, fmt.Errorf("%s is no positive number of milliseconds", HeaderDeadline)
		}
		d.Timeout = time.Duration(millis) * time.Millisecond
	}
	return d, nil
}

func setNativeAttemptHeaders(h http.Header, a AttemptInfo) {
	h.Set(HeaderAttempt, string(a.ID))
	h.Set(HeaderOrganisation, a.Organisation)
	h.Set(HeaderClass, a.Class)
	h.Set(HeaderPriority, strconv.Itoa(int(a.Tier)))
	if a.Prefix != "" {
		h.Set(HeaderPrefix, string(a.Prefix))
	}
	if a.LastEventID != noEventID {
		h.Set(HeaderLastEventID, strconv.FormatUint(uint64(a.LastEventID), 10))
	}
}

func parseNativeResponse(response *http.Response) ResponseInfo {
	return ResponseInfo{AttemptID: AttemptID(response.Header.Get(HeaderAttempt))}
}
