// Package instrumenter holds the metrics of a daemon and serves them with its health
// checks and profiles over HTTP.
package instrumenter

import (
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	reportInterval = time.Second
	prefix         = "comfreybend"
)

// Instruments holds the metrics of one process.
type Instruments struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter
	stop     chan struct{}
}

// New returns instruments whose metrics are labelled with the role of the process.
func New(role string) *Instruments {
	registry := promclient.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		Tags:           map[string]string{"role": role},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Instruments{Scope: scope, closer: closer, reporter: reporter, stop: make(chan struct{})}
}

// CounterFunc exports a counter whose value is read once in each report interval. The
// value must never decrease.
func (i *Instruments) CounterFunc(name string, read func() uint64) {
	counter := i.Scope.Counter(name)
	go i.pollCounter(counter, read)
}

func (i *Instruments) pollCounter(counter tally.Counter, read func() uint64) {
	var last uint64
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.stop:
			return
		case <-ticker.C:
		}
		now := read()
		counter.Inc(int64(now - last))
		last = now
	}
}

// Close reports the final values, except what the counters of CounterFunc have gained
// since they were last read, and stops reporting.
func (i *Instruments) Close() {
	close(i.stop)
	_ = i.closer.Close()
}

// Handler serves /livez, /readyz, /metrics and /debug/pprof/. The function notReady
// returns the reason why the process is not ready, or an empty string. readyPath is an
// additional path for readiness; it may be empty.
func (i *Instruments) Handler(notReady func() string, readyPath string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	ready := func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}
	mux.HandleFunc("GET /readyz", ready)
	if readyPath != "" {
		mux.HandleFunc("GET "+readyPath, ready)
	}
	mux.Handle("GET /metrics", i.reporter.HTTPHandler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}
