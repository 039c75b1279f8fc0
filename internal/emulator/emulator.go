// Package emulator emulates the upstreams behind the router: a model engine with
// an OpenAI-compatible HTTP API and continuous batching, and an order service whose
// POST requests are not idempotent. An emulated upstream announces itself to entry
// processes through the upstream API and injects faults on request.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	headerTimeout = 5 * time.Second
	// leaveDelay is the time between the announcement that the upstream is leaving and
	// the shutdown of its server, in which entry processes learn of it.
	leaveDelay = time.Second
	// maxArrivals bounds Stats.Arrivals.
	maxArrivals = 10_000
)

type (
	// Config describes one upstream.
	Config struct {
		ID            string
		FailureDomain string
		// Kind is "model" or "service".
		Kind   string
		Serves []string
		// Version is the version of the software. The tokens of two versions differ, so that a
		// stream that is joined from both can be seen.
		Version string
		// Listen is the address of the listener.
		Listen string
		// Advertise is the announced URL. If it is empty, the listener's address is announced.
		Advertise string
		// Announce lists the base URLs of the entry processes' upstream API.
		Announce         []string
		AnnounceInterval time.Duration
		Preemptible      bool
		// Slots limits the requests that run concurrently.
		Slots int
		// FirstToken is the time to the first token, TokenInterval the time between tokens.
		FirstToken    time.Duration
		TokenInterval time.Duration
		// Tokens is the length of a response if the request does not set max_tokens.
		Tokens int
		// ReportLag is the age of the announced load.
		ReportLag time.Duration
		// CrashOnText makes a model engine end without a shutdown when it begins a response to
		// a request whose body holds this text, and an order service while it runs a request
		// whose path holds it. An empty text has no effect.
		CrashOnText string
	}

	// InjectedFaults selects the faults that the upstream injects.
	InjectedFaults struct {
		// CutAfterEvents closes the connection of a stream after the event with this number.
		CutAfterEvents int `json:"cutAfterEvents"`
		// StallAfterEvents stops a stream after the event with this number without closing
		// it. The attempt is still reported as running.
		StallAfterEvents int `json:"stallAfterEvents"`
		// MismatchAttempts labels completions with the id of another attempt and replaces
		// the tokens of streams.
		MismatchAttempts bool `json:"crossAnswers"`
		// IgnoreResume ignores Last-Event-ID and starts every stream from its first event.
		IgnoreResume bool `json:"ignoreResume"`
		// SkipEvents is the number of events omitted at the beginning of a resumed stream.
		SkipEvents int `json:"skipEvents"`
		// SlowFactor multiplies the delays of model responses if it is more than 1.
		SlowFactor float64 `json:"slowFactor"`
		// CutBody runs an order, then closes the connection in the middle of the response.
		CutBody bool `json:"cutBody"`
		// DelayMillis delays the response to an order that has run.
		DelayMillis int `json:"delayMillis"`
		// RequestLimit is the number of requests a second that all responses name as the one
		// that the upstream takes from all hosts together. No response names one if it is empty.
		RequestLimit string `json:"requestLimit"`
		// AnswerCopies is the number of copies that follow each response: right behind it with
		// EarlyCopies, or else where the next response on its connection is due.
		AnswerCopies int  `json:"answerCopies"`
		EarlyCopies  bool `json:"earlyCopies"`
		// RefuseFirst is the status with which the first request for each order, or of each path that
		// reads one, is refused without being run, zero for none. RefusalBodies gives these responses
		// a body.
		RefuseFirst   int  `json:"refuseFirst"`
		RefusalBodies bool `json:"refusalBodies"`
	}

	// Stats holds the counters of an upstream.
	Stats struct {
		Calls    int `json:"calls"`
		Resumed  int `json:"resumed"`
		Canceled int `json:"canceled"`
		// CacheHits counts the requests whose prompt prefix was in the cache.
		CacheHits int `json:"cacheHits"`
		// EventsGenerated counts the events of all streams, including the one at which a
		// stream stalls, which is not sent. All but the last two of a stream carry a token.
		EventsGenerated int `json:"tokensSent"`
		// Orders maps the reference of each order to the number of times that it ran.
		Orders map[string]int `json:"orders"`
		// Headers lists the distinct request headers received, without those that name the
		// attempt and the upstream's run.
		Headers []string `json:"headers"`
		// Arrivals holds the times at which the latest requests arrived, in Unix milliseconds.
		Arrivals []int64 `json:"arrivals"`
	}

	// Upstream is one emulated upstream.
	Upstream struct {
		config      Config
		url         string
		incarnation uint64
		batch       *batch
		// crash ends Run, with all connections.
		crash     chan struct{}
		crashOnce sync.Once

		mu          sync.Mutex
		faults      InjectedFaults
		stats       Stats
		seenHeaders map[string]bool
		// refused holds the orders and paths that were refused once.
		refused  map[string]bool
		attempts map[string]*attemptState
		sequence uint64
		leaving  bool
		// cachedPrefixes holds the prompt prefixes in the cache, unpublishedPrefixes those
		// that no cache event has reported yet.
		cachedPrefixes      map[string]bool
		unpublishedPrefixes []string
		cacheSequence       uint64
	}

	attemptState struct {
		state  string
		events uint64
	}

	// CrashError reports that an upstream has crashed on a request.
	CrashError struct {
		// Text is the one that the request holds.
		Text string
	}
)

// Error implements error.
func (e *CrashError) Error() string { return fmt.Sprintf("crashed on a request with %q", e.Text) }

// New returns an upstream that has not started.
func New(config Config) *Upstream {
	return &Upstream{
		config:         config,
		incarnation:    uint64(time.Now().UnixNano()),
		batch:          newBatch(config.Slots),
		crash:          make(chan struct{}),
		stats:          Stats{Orders: map[string]int{}},
		seenHeaders:    map[string]bool{},
		refused:        map[string]bool{},
		attempts:       map[string]*attemptState{},
		cachedPrefixes: map[string]bool{},
	}
}

// Run serves and sends announcements until ctx is done, then shuts down gracefully. It returns
// a CrashError if the upstream crashes.
func (u *Upstream) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", u.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	u.url = "http://" + listener.Addr().String()
	if u.config.Advertise != "" {
		u.url = u.config.Advertise
	}
	server := &http.Server{Handler: u.handler(), ReadHeaderTimeout: headerTimeout}
	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	var group errgroup.Group
	group.Go(func() error { return u.announceLoop(announcing) })
	group.Go(func() error {
		defer stopAnnouncing()
		select {
		case <-u.crash:
			_ = server.Close()
			return &CrashError{Text: u.config.CrashOnText}
		case <-ctx.Done():
		}
		u.announceLeaving(announcing)
		return errors.Wrap(server.Shutdown(context.WithoutCancel(ctx)), "shutting down")
	})
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serving")
		}
		return nil
	})
	return group.Wait()
}

// announceLeaving announces that the upstream is leaving and gives entry processes
// time to learn of it.
func (u *Upstream) announceLeaving(ctx context.Context) {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.announce(ctx)
	t := time.NewTimer(leaveDelay)
	defer t.Stop()
	<-t.C
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /upstream/v1/attempts/{id}", u.serveAttempt)
	mux.HandleFunc("POST /emulator/v1/faults", u.setFaults)
	mux.HandleFunc("GET /emulator/v1/stats", u.serveStats)
	mux.HandleFunc("POST /emulator/v1/leave", u.serveLeave)
	if u.config.Kind == "model" {
		mux.HandleFunc("POST /v1/chat/completions", u.serveCompletion)
	} else {
		mux.HandleFunc("/", u.serveOrder)
	}
	serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := u.recordArrival(r); limit != "" {
			w.Header().Set("Comfreybend-Request-Limit", limit)
		}
		if u.refuseOtherRun(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if u.currentFaults().AnswerCopies > 0 && !strings.HasPrefix(r.URL.Path, "/emulator/") {
			u.serveCopies(w, r, serve)
			return
		}
		serve(w, r)
	})
}

// refuseOtherRun refuses a request that is meant for another run of the upstream.
func (u *Upstream) refuseOtherRun(w http.ResponseWriter, r *http.Request) bool {
	own := strconv.FormatUint(u.incarnation, 10)
	w.Header().Set("Comfreybend-Incarnation", own)
	wanted := r.Header.Get("Comfreybend-Incarnation")
	if wanted == "" || wanted == own {
		return false
	}
	http.Error(w, "this is another run of the upstream", http.StatusMisdirectedRequest)
	return true
}

// recordArrival records a request that is not for the emulator itself, and returns the request
// limit that its response names.
func (u *Upstream) recordArrival(r *http.Request) string {
	if strings.HasPrefix(r.URL.Path, "/emulator/") {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.stats.Arrivals) == maxArrivals {
		u.stats.Arrivals = u.stats.Arrivals[1:]
	}
	u.stats.Arrivals = append(u.stats.Arrivals, time.Now().UnixMilli())
	u.recordHeaders(r)
	return u.faults.RequestLimit
}

func (u *Upstream) recordHeaders(r *http.Request) {
	for name, values := range r.Header {
		if name == "Comfreybend-Attempt" || name == "Comfreybend-Incarnation" {
			continue
		}
		line := name + ": " + strings.Join(values, ", ")
		if !u.seenHeaders[line] {
			u.seenHeaders[line] = true
			u.stats.Headers = append(u.stats.Headers, line)
		}
	}
}

func (u *Upstream) currentFaults() InjectedFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (u *Upstream) setFaults(w http.ResponseWriter, r *http.Request) {
	var f InjectedFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	u.faults = f
	u.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) serveStats(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.stats)
}

func (u *Upstream) serveLeave(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.announce(r.Context())
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) serveAttempt(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := u.attempts[r.PathValue("id")]
	if a == nil {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"state\":%q,\"events\":%d}\n", a.state, a.events)
}

func (u *Upstream) startAttempt(id string) *attemptState {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := &attemptState{state: "running"}
	u.attempts[id] = a
	u.stats.Calls++
	return a
}

func (u *Upstream) finishAttempt(a *attemptState, canceled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a.state = "finished"
	if canceled {
		u.stats.Canceled++
	}
}
