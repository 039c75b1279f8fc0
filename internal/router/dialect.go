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
		// Describe reads what a request says about itself. An error is answered with 400.
		Describe func(*http.Request) (Description, error)
		// Withholds reports that a header of the caller's is not passed on.
		Withholds func(name string) bool
		// Stamp sets the headers of an attempt.
		Stamp func(http.Header, Attempt)
		// Judge reads what an answer's headers say.
		Judge func(*http.Response) Judgement
		// WithholdsAnswer reports that a header of an upstream's answer is not passed on.
		WithholdsAnswer func(name string) bool
		// Refuse writes the final answer to a request that was refused or given up.
		Refuse func(http.ResponseWriter, *RefusalError)
		// Retries reports that a status stands for a failure of the upstream, after
		// which a request that may be repeated is tried elsewhere.
		Retries func(status int) bool
		// KeepsHost passes the caller's Host header on.
		KeepsHost bool
		// Unframed takes an answer that ends with its connection as complete.
		Unframed bool
		// ReadyPath is where readiness is asked for; empty for the product's own path alone.
		ReadyPath string
	}

	// Description is what a request says about itself.
	Description struct {
		// Key is the organisation's key.
		Key string
		// Class is the class asked for; empty for the route's first one.
		Class string
		// TimeLeft is the time that the caller waits; zero if it does not say.
		TimeLeft time.Duration
		// Attempt is the caller's own id of the attempt, which upstreams echo; empty for one of the router's.
		Attempt AttemptID
		// Idempotency is the caller's idempotency key.
		Idempotency string
		// Delivered is the last event of a stream that the caller has already.
		Delivered EventID
		// Prompt is what a model request says of its prompt; empty if it says nothing.
		Prompt Prompt
	}

	// Prompt describes the work of a model request.
	Prompt struct {
		Model string
		// Parts are the parts of the prompt in order; the last one is the request's own or its session's.
		Parts []picker.PromptPart
		// In and Out are the tokens of the prompt and the most that are generated.
		In  TokenCount
		Out TokenCount
	}

	// Attempt is what the headers of an attempt say.
	Attempt struct {
		ID           AttemptID
		Organisation string
		Class        string
		Tier         int32
		// Rank, from 1, orders calls by the organisation's tier and then the class's, among so many Ranks.
		Rank, Ranks int32
		Prefix      picker.PrefixID
		// Upstream is the one that is meant.
		Upstream registrar.UpstreamID
		// Left is the time until the deadline.
		Left time.Duration
		// Delivered is the last event that the caller has.
		Delivered EventID
	}

	// Judgement is what an answer's headers say.
	Judgement struct {
		// Echoed is the attempt that the answer belongs to; empty if it does not say.
		Echoed AttemptID
		// NotRun reports that the upstream did not run the request and will not.
		NotRun bool
		// Spurious reports an answer that is not the upstream's own and whole.
		Spurious bool
		// Load is the upstream's load; nil if it does not say.
		Load *registrar.Load
	}
)

// Own returns the dialect of the product's own interface.
func Own() Dialect {
	return Dialect{
		Describe: describeOwn,
		Withholds: func(name string) bool {
			return name == headerAPIKey || strings.HasPrefix(name, "Comfreybend-")
		},
		Stamp:           stampOwn,
		Judge:           judgeOwn,
		WithholdsAnswer: func(name string) bool { return strings.HasPrefix(name, "Comfreybend-") },
		Refuse:          refuseOwn,
		Retries:         overloadedStatus,
	}
}

func describeOwn(request *http.Request) (Description, error) {
	d := Description{
		Key:         keyOf(request.Header),
		Class:       request.Header.Get(HeaderClass),
		Idempotency: request.Header.Get(HeaderIdempotencyKey),
	}
	if text := request.Header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return d, fmt.Errorf("%s is no positive number of milliseconds", HeaderDeadline)
		}
		d.TimeLeft = time.Duration(millis) * time.Millisecond
	}
	return d, nil
}

func stampOwn(h http.Header, a Attempt) {
	h.Set(HeaderAttempt, string(a.ID))
	h.Set(HeaderOrganisation, a.Organisation)
	h.Set(HeaderClass, a.Class)
	h.Set(HeaderPriority, strconv.Itoa(int(a.Tier)))
	if a.Prefix != "" {
		h.Set(HeaderPrefix, string(a.Prefix))
	}
	if a.Delivered != noEvent {
		h.Set(HeaderLastEventID, strconv.FormatUint(uint64(a.Delivered), 10))
	}
}

func judgeOwn(response *http.Response) Judgement {
	return Judgement{Echoed: AttemptID(response.Header.Get(HeaderAttempt))}
}
