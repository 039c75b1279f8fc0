// Package hedger decides whether a second copy of a slow request is sent to another upstream.
//
// A copy is due when the first upstream has not answered after a quantile of the recent response
// times of the request's class at its pool. It is sent only while the pool has capacity to spare,
// since otherwise all responses are slow, and within a number of copies per request and the retry
// budget.
//
// Times are readings of one monotonic clock. The package does no I/O and returns no errors.
package hedger

import "time"

const (
	// maxUtilization is the share of a pool's slots in use beyond which no copies are sent: most slots
	// are in use then.
	maxUtilization = 0.5
	// maxSaved is the number of copies that may be saved up for a pool. A short slowdown of one machine
	// delays several requests at once; more than that would let the hosts of a large system send
	// hundreds of copies in one moment.
	maxSaved = 5
	// medianQuantile is the quantile of the response time that must be left for a copy, since half of the copies
	// would otherwise be answered too late.
	medianQuantile = 0.5
)

// Reasons for which no copy is sent. Sent means that it is.
const (
	Sent              Reason = ""
	Barred            Reason = "barred"
	NoAttempt         Reason = "attempts"
	NoTime            Reason = "deadline"
	ShortOfCapacity   Reason = "capacity"
	NoUpstream        Reason = "noUpstream"
	RatioUsedUp       Reason = "ratio"
	RetryBudgetUsedUp Reason = "retryBudget"
)

type (
	// Pool names the pool of upstreams that serve a request.
	Pool string

	// Class names the class of a request.
	Class string

	// Reason is why no copy of a request is sent.
	Reason string

	// Config holds the settings.
	Config struct {
		// Ratio is the number of copies allowed per request, 0 to 1.
		Ratio float64
		// Quantile is the one of the response time after which a copy is due, between 0 and 1.
		Quantile float64
		// MinimumDelay is the shortest time after which a copy is due.
		MinimumDelay time.Duration
	}

	// Load is what is in flight at a pool.
	Load struct {
		// Waiting is the number of requests that wait for an upstream, Running the number at upstreams
		// that take requests, and Slots the number that these run at once.
		Waiting, Running, Slots int
		// Others is the number of upstreams that could take the copy.
		Others int
	}

	// Request is one whose first upstream has not answered in time.
	Request struct {
		Pool  Pool
		Class Class
		// TimeLeft is the time until the deadline.
		TimeLeft time.Duration
		// AttemptsLeft is the number of attempts that the request may still make.
		AttemptsLeft int
		// Barred reports that the request must not be sent to another upstream, for example because it may
		// be what ends upstreams.
		Barred bool
	}

	// Hedger decides for one process. It is not safe for concurrent use.
	Hedger struct {
		config Config
		pools  map[Pool]*pool
	}

	pool struct {
		// copies is the number of copies that may be sent.
		copies float64
		times  map[Class]*distribution
	}
)

// New returns a hedger that knows no response times and allows no copies yet.
func New(config Config) *Hedger {
	return &Hedger{config: config, pools: map[Pool]*pool{}}
}

func (h *Hedger) pool(name Pool) *pool {
	p := h.pools[name]
	if p == nil {
		p = &pool{times: map[Class]*distribution{}}
		h.pools[name] = p
	}
	return p
}

func (h *Hedger) times(name Pool, class Class) *distribution {
	p := h.pool(name)
	d := p.times[class]
	if d == nil {
		d = &distribution{}
		p.times[class] = d
	}
	return d
}

// RecordRequest counts a request, which adds to the number of copies allowed.
func (h *Hedger) RecordRequest(name Pool) {
	p := h.pool(name)
	p.copies = min(p.copies+h.config.Ratio, maxSaved)
}

// RecordResponse records the response time of a request.
func (h *Hedger) RecordResponse(now time.Duration, name Pool, class Class, took time.Duration) {
	h.times(name, class).add(now, took, true)
}

// RecordUnanswered records that a request had not been answered after a time, when it was cancelled.
// The time is a lower bound of the response time.
func (h *Hedger) RecordUnanswered(now time.Duration, name Pool, class Class, after time.Duration) {
	h.times(name, class).add(now, after, false)
}

// Delay returns the time after which a copy of a request is due. The second result is false if
// there are too few response times to tell.
func (h *Hedger) Delay(now time.Duration, name Pool, class Class) (time.Duration, bool) {
	delay, known := h.times(name, class).quantile(now, h.config.Quantile)
	return max(delay, h.config.MinimumDelay), known
}

// Decide reports whether a copy is sent. takeRetry uses up a retry of the retry budget and reports
// whether one was left. It is called last, so that no retry is used up for a copy that is not sent.
func (h *Hedger) Decide(now time.Duration, r Request, l Load, takeRetry func() bool) Reason {
	p := h.pool(r.Pool)
	median, known := h.times(r.Pool, r.Class).quantile(now, medianQuantile)
	switch {
	case r.Barred:
		return Barred
	case r.AttemptsLeft < 1:
		return NoAttempt
	case known && r.TimeLeft < median:
		return NoTime
	case l.Waiting > 0 || float64(l.Running) > maxUtilization*float64(l.Slots):
		return ShortOfCapacity
	case l.Others < 1:
		return NoUpstream
	case p.copies < 1:
		return RatioUsedUp
	case !takeRetry():
		return RetryBudgetUsedUp
	}
	p.copies--
	return Sent
}
