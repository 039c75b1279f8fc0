// Package emulator is a stand-in for the upstreams that the router serves: a
// model engine with the OpenAI-compatible HTTP interface and continuous
// batching, and a plain service with a call that may not be repeated. It
// announces itself as the interface page says, and can be made to fail.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	headerTimeout = 5 * time.Second
	// leaveNotice is the time between announcing the leaving and closing the listener.
	leaveNotice = time.Second
)

type (
	// Config describes one upstream.
	Config struct {
		ID            string
		FailureDomain string
		// Kind is "model" or "service".
		Kind   string
		Serves []string
		// Listen is the address that it serves on.
		Listen string
		// Advertise is the URL that it announces; empty for the listening address.
		Advertise string
		// Announce lists base URLs of the entry processes' upstream interface.
		Announce         []string
		AnnounceInterval time.Duration
		Preemptible      bool
		// Slots is the number of requests that run at once.
		Slots int
		// FirstToken and TokenInterval are the engine's speed with one request.
		FirstToken    time.Duration
		TokenInterval time.Duration
		// Tokens is the length of an answer whose request does not bound it.
		Tokens int
		// ReportLag is the age of the reported load.
		ReportLag time.Duration
	}

	// Faults makes the upstream fail.
	Faults struct {
		// CutAfterEvents closes each stream's connection after that many events.
		CutAfterEvents int `json:"cutAfterEvents"`
		// StallAfterEvents keeps streams silent after that many events, while the attempt counts as running.
		StallAfterEvents int `json:"stallAfterEvents"`
		// CrossAnswers gives the answer of another attempt, with its id.
		CrossAnswers bool `json:"crossAnswers"`
		// IgnoreResume starts every stream from its first event.
		IgnoreResume bool `json:"ignoreResume"`
		// SkipEvents leaves out that many events at the beginning of a resumed stream.
		SkipEvents int `json:"skipEvents"`
		// SlowFactor multiplies all times if it is more than 1.
		SlowFactor float64 `json:"slowFactor"`
		// CutBody closes the connection in the middle of a service's answer, after it ran.
		CutBody bool `json:"cutBody"`
		// DelayMillis delays a service's answer, after it ran.
		DelayMillis int `json:"delayMillis"`
	}

	// Stats is what the upstream has seen.
	Stats struct {
		Calls    int `json:"calls"`
		Resumed  int `json:"resumed"`
		Canceled int `json:"canceled"`
		// CacheHits counts the requests whose prompt prefix was in the cache.
		CacheHits int `json:"cacheHits"`
		// TokensSent counts the tokens written to connections.
		TokensSent int `json:"tokensSent"`
		// Orders counts the runs of each order by its reference.
		Orders map[string]int `json:"orders"`
		// Headers lists every request header value that was seen.
		Headers []string `json:"headers"`
	}

	// Upstream is one running stand-in.
	Upstream struct {
		config      Config
		url         string
		incarnation uint64
		batch       *batch

		mu       sync.Mutex
		faults   Faults
		stats    Stats
		seen     map[string]bool
		attempts map[string]*attemptState
		sequence uint64
		leaving  bool
		// cached holds the prompt prefixes in the cache, stored those not yet published.
		cached        map[string]bool
		stored        []string
		cacheSequence uint64
	}

	attemptState struct {
		state  string
		events uint64
	}
)

// New returns an upstream that has not started.
func New(config Config) *Upstream {
	return &Upstream{
		config:      config,
		incarnation: uint64(time.Now().UnixNano()),
		batch:       newBatch(config.Slots),
		stats:       Stats{Orders: map[string]int{}},
		seen:        map[string]bool{},
		attempts:    map[string]*attemptState{},
		cached:      map[string]bool{},
	}
}

// Run serves and announces until ctx ends, then leaves gracefully.
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
		<-ctx.Done()
		u.leave(announcing)
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

// leave announces the leaving and gives entry processes the time to hear of it.
func (u *Upstream) leave(ctx context.Context) {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.announce(ctx)
	t := time.NewTimer(leaveNotice)
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
		mux.HandleFunc("/", u.serveService)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.noteHeaders(r)
		mux.ServeHTTP(w, r)
	})
}

func (u *Upstream) noteHeaders(r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/emulator/") {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, values := range r.Header {
		if name == "Comfreybend-Attempt" {
			continue
		}
		line := name + ": " + strings.Join(values, ", ")
		if !u.seen[line] {
			u.seen[line] = true
			u.stats.Headers = append(u.stats.Headers, line)
		}
	}
}

func (u *Upstream) currentFaults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

func (u *Upstream) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
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

func (u *Upstream) beginAttempt(id string) *attemptState {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := &attemptState{state: "running"}
	u.attempts[id] = a
	u.stats.Calls++
	return a
}

func (u *Upstream) endAttempt(a *attemptState, canceled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a.state = "finished"
	if canceled {
		u.stats.Canceled++
	}
}
