// Package translator describes the HTTP interface that clients and upstreams use, and contains that of
// Comfreybend itself. It owns the names of headers, what is read from and written to them, and the
// codes and the form of refusals. It decides nothing about requests and may not call the router.
package translator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreybend/comfreybend/internal/counter"
	"github.com/comfreybend/comfreybend/internal/parser"
	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

type (
	// AttemptID identifies an attempt at an upstream, or all attempts of a call if
	// the client chose the id. It is also the type of the ids that identify a call
	// in log lines and claims.
	AttemptID string

	// Dialect adapts the router to the HTTP interface that clients and upstreams
	// use: it translates their headers, status codes and refusals.
	Dialect struct {
		// ParseRequest reads the headers of a client request. A request for which it
		// returns an error is refused with status 400.
		ParseRequest func(*http.Request) (RequestInfo, error)
		// DropsRequestHeader reports whether a client's header is not forwarded to upstreams.
		DropsRequestHeader func(name string) bool
		// SetAttemptHeaders adds the headers that describe an attempt to the request.
		SetAttemptHeaders func(http.Header, AttemptInfo)
		// ParseResponse reads the status and the headers of an upstream's response.
		ParseResponse func(*http.Response) ResponseInfo
		// DropsResponseHeader reports whether an upstream's header is not relayed to clients.
		DropsResponseHeader func(name string) bool
		// WriteRefusal writes the error response to a request that was refused or given up.
		WriteRefusal func(http.ResponseWriter, *RefusalError)
		// IsRetryableStatus reports whether a retryable call is sent to another
		// upstream after a response with this status.
		IsRetryableStatus func(status int) bool
		// PromisesNotRun reports whether a status alone tells clients that the request has not run. An
		// upstream's response with it is not relayed for a call that must run once, unless NotRun is set.
		PromisesNotRun func(status int) bool
		// PreserveHost forwards the client's Host header to upstreams.
		PreserveHost bool
		// AcceptUndelimited treats a response as complete if its end is marked only by
		// the close of the connection.
		AcceptUndelimited bool
		// ReadyPath is an additional path of the readiness check; empty if there is none.
		ReadyPath string
	}

	// RequestInfo is what the headers of a client request specify.
	RequestInfo struct {
		// Key is the API key; empty if there is none.
		Key string
		// Class is the requested class; empty for the route's first one.
		Class string
		// Timeout is how long the client waits for the response; zero if not specified.
		Timeout time.Duration
		// Attempt is an attempt id chosen by the client, which upstreams echo; if it
		// is empty, the router generates one for each attempt.
		Attempt AttemptID
		// IdempotencyKey is the client's idempotency key; empty if there is none.
		IdempotencyKey string
		// LastEventID is the id of the last event that the client has received of a
		// stream that it resumes.
		LastEventID scanner.EventID
		// Resumes is the attempt that brought the client the first event of that stream; empty if
		// the client does not say so.
		Resumes AttemptID
		// Prompt describes the prompt of a model request; zero if the headers do not
		// describe it.
		Prompt Prompt
	}

	// Prompt describes the prompt of a model request and the size of its response.
	Prompt struct {
		Model string
		// Parts are the parts of the prompt in order. The last one is specific to the
		// request or its session, the others may be shared between requests.
		Parts []picker.PromptPart
		// InputTokens is the number of tokens of the prompt.
		InputTokens counter.TokenCount
		// MaxOutputTokens is the maximum number of tokens to generate.
		MaxOutputTokens counter.TokenCount
	}

	// AttemptInfo describes an attempt for SetAttemptHeaders.
	AttemptInfo struct {
		ID           AttemptID
		Organisation string
		Class        string
		// Tier is the organisation's tier, or the class's if the organisation has none.
		Tier int32
		// Rank is the call's place in the order by the tiers of organisation and
		// class; 1 is the most urgent of Ranks places.
		Rank, Ranks int32
		Prefix      picker.PrefixID
		// Upstream is the upstream that the attempt is sent to, Incarnation its run; zero if the
		// upstream does not number its runs.
		Upstream    registrar.UpstreamID
		Incarnation registrar.Incarnation
		// TimeLeft is the time until the call's deadline.
		TimeLeft time.Duration
		// LastEventID is the id of the event after which the stream is resumed;
		// scanner.NoEventID if it starts from the beginning.
		LastEventID scanner.EventID
	}

	// ResponseInfo is what the status and headers of an upstream's response report.
	ResponseInfo struct {
		// EchoedAttempt is the id of the attempt that the response belongs to; empty if
		// not reported.
		EchoedAttempt AttemptID
		// Incarnation is the run of the upstream that the response comes from; zero if not reported.
		Incarnation registrar.Incarnation
		// NotRun reports that the upstream has not run the request and will not run it.
		NotRun bool
		// FromIntermediary reports a response that was generated or altered by an intermediary.
		FromIntermediary bool
		// Load is the upstream's load; nil if not reported.
		Load *registrar.Load
		// Leaving reports that the upstream is about to shut down and wants no further
		// requests.
		Leaving bool
		// RetryAfter is the text of the pause that the upstream asks for: a number of
		// seconds; empty if there is none.
		RetryAfter string
		// RequestLimit is the text of the number of requests a second that the upstream takes
		// from all hosts together; empty if it names none. Several are separated by commas.
		RequestLimit string
		// WarmUpLeft is the time for which the upstream is still cold; nil if not reported.
		WarmUpLeft *time.Duration
	}
)

// NativeDialect returns the dialect of Comfreybend's own HTTP interface.
func NativeDialect() Dialect {
	return Dialect{
		ParseRequest: parseNativeRequest,
		DropsRequestHeader: func(name string) bool {
			return name == parser.HeaderAPIKey || strings.HasPrefix(name, "Comfreybend-")
		},
		SetAttemptHeaders:   setNativeAttemptHeaders,
		ParseResponse:       parseNativeResponse,
		DropsResponseHeader: func(name string) bool { return strings.HasPrefix(name, "Comfreybend-") },
		WriteRefusal:        writeNativeRefusal,
		IsRetryableStatus:   isRetryableStatus,
		PromisesNotRun:      func(int) bool { return false },
	}
}

func parseNativeRequest(request *http.Request) (RequestInfo, error) {
	info := RequestInfo{
		Key:            parser.APIKey(request.Header),
		Class:          request.Header.Get(HeaderClass),
		IdempotencyKey: request.Header.Get(HeaderIdempotencyKey),
	}
	if text := request.Header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return info, fmt.Errorf("%s is no positive number of milliseconds", HeaderDeadline)
		}
		info.Timeout = time.Duration(millis) * time.Millisecond
	}
	if text := request.Header.Get(HeaderLastEventID); text != "" {
		lastEventID, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return info, fmt.Errorf("%s is no number", HeaderLastEventID)
		}
		info.LastEventID = scanner.EventID(lastEventID)
	}
	info.Resumes = AttemptID(parser.ResumedAttempt(request.Header.Values(HeaderResumes)))
	info.Prompt.Parts = parser.PromptParts(request.Header.Get(HeaderPromptParts))
	for _, part := range info.Prompt.Parts {
		info.Prompt.InputTokens += counter.TokenCount(part.Tokens)
	}
	return info, nil
}

func setNativeAttemptHeaders(h http.Header, a AttemptInfo) {
	h.Set(HeaderAttempt, string(a.ID))
	h.Set(HeaderOrganisation, a.Organisation)
	h.Set(HeaderClass, a.Class)
	h.Set(HeaderPriority, strconv.Itoa(int(a.Tier)))
	if a.Prefix != "" {
		h.Set(HeaderPrefix, string(a.Prefix))
	}
	if a.Incarnation != 0 {
		h.Set(HeaderIncarnation, strconv.FormatUint(uint64(a.Incarnation), 10))
	}
	if a.LastEventID != scanner.NoEventID {
		h.Set(HeaderLastEventID, strconv.FormatUint(uint64(a.LastEventID), 10))
	}
}

func parseNativeResponse(response *http.Response) ResponseInfo {
	info := ResponseInfo{
		EchoedAttempt: AttemptID(response.Header.Get(HeaderAttempt)),
		Leaving:       response.Header.Get(HeaderState) == string(registrar.Leaving),
		RequestLimit:  strings.Join(response.Header.Values(HeaderRequestLimit), ","),
	}
	// An upstream that reports no usable number cannot be told from one that reports none.
	incarnation, _ := strconv.ParseUint(response.Header.Get(HeaderIncarnation), 10, 64)
	info.Incarnation = registrar.Incarnation(incarnation)
	if left, err := strconv.ParseUint(response.Header.Get(HeaderWarmUp), 10, 31); err == nil {
		warmUpLeft := time.Duration(left) * time.Millisecond
		info.WarmUpLeft = &warmUpLeft
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		info.RetryAfter = response.Header.Get(HeaderRetryAfter)
	}
	return info
}

// isRetryableStatus is the IsRetryableStatus of NativeDialect: statuses that
// upstreams and proxies use while overloaded or temporarily unavailable.
func isRetryableStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
