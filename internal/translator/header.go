package translator

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
	HeaderRetryAfter = "Retry-After"
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

	// HeaderLastEventIDCanonical is HeaderLastEventID as canonicalized by net/http.
	HeaderLastEventIDCanonical = "Last-Event-Id"
)
