package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/windower"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestWindowsCountStartedRequests sends one attempt of a call with an event stream. The
// call must be counted as soon as an upstream has started to run it, even if the response
// is an error or is lost.
func TestWindowsCountStartedRequests(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		want    uint64
	}{
		"response headers without a token": {handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
		"status 500": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, want: 1,
		},
		"status 502, which is retried at another upstream": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, want: 1,
		},
		"connection closed without a response": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_ = conn.Close()
				}
			}, want: 1,
		},
		"connection refused": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			if test.handler == nil {
				server.Close()
			}
			r := newTestRouter(t)
			r.windows = windower.New(time.Hour, reportedWindows)
			h := sendOnce(t, r, server.URL)
			if h.current != nil {
				h.finishAttempt(outcomeAnswered, nil)
			}
			var got uint64
			for _, w := range r.windows.Recent() {
				got += w.GetCounts()["one"]
			}
			if got != test.want {
				t.Errorf("counted %d, want %d", got, test.want)
			}
		})
	}
}

// sendOnce sends one attempt of a call with an event stream to the upstream with the given
// URL.
func sendOnce(t *testing.T, r *Router, url string) *callHandler {
	t.Helper()
	d := r.dispatcher
	d.applyAnnouncement(registrar.Upstream{
		ID: "u", Incarnation: 1, Sequence: 1, URL: url, FailureDomain: "a",
		Kind: registrar.KindModel, Serves: []string{"m"}, State: registrar.Serving, AnnouncedAt: d.now(),
	})
	c := &call{
		method: http.MethodPost, path: "/", escapedPath: "/", requestURI: "/", header: http.Header{}, stream: true, retryable: true,
		class: &state.Class{Name: "c"}, route: &state.Route{EventStream: true}, client: identity{organisation: "one"},
		arrived: d.now(), deadline: d.now() + time.Minute,
	}
	h := &callHandler{router: r, call: c, log: zap.NewNop(), requestID: "request"}
	g, refusal := d.acquire(context.Background(), dispatchRequest{
		pool: poolKey{kind: registrar.KindModel, name: "m"}, class: c.class, arrived: c.arrived, deadline: c.deadline,
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	if err := h.sendAttempt(context.Background(), g); err != nil {
		t.Log(err)
	}
	return h
}
