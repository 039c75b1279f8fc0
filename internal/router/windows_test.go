package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestWindowsCountWhatRan sends one attempt of a stream: a request counts once
// an upstream has begun to run it, also if its answer is a failure or is lost.
func TestWindowsCountWhatRan(t *testing.T) {
	tests := map[string]struct {
		answer http.HandlerFunc
		want   uint64
	}{
		"headers without a token yet": {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
		"a failure of the upstream's own": {
			answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, want: 1,
		},
		"a failure that is tried elsewhere": {
			answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, want: 1,
		},
		"an answer that is lost": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_ = conn.Close()
				}
			}, want: 1,
		},
		"nobody listens": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.answer)
			defer server.Close()
			if test.answer == nil {
				server.Close()
			}
			r := newTestRouter(t)
			r.windows = &windowCounter{counter: reporter.NewCounter(time.Hour, windowsKept)}
			x := sendOnce(t, r, server.URL)
			if x.current != nil {
				x.finish(verdictAnswered, nil)
			}
			var got uint64
			for _, w := range r.windows.recent() {
				got += w.GetCounts()["one"]
			}
			if got != test.want {
				t.Errorf("counted %d, want %d", got, test.want)
			}
		})
	}
}

// sendOnce makes one attempt of a stream at an upstream.
func sendOnce(t *testing.T, r *Router, url string) *exchange {
	t.Helper()
	d := r.dispatcher
	d.announce(registrar.Upstream{
		ID: "u", Incarnation: 1, Sequence: 1, URL: url, FailureDomain: "a",
		Kind: registrar.KindModel, Serves: []string{"m"}, State: registrar.Serving, AnnouncedAt: d.now(),
	})
	c := &call{
		method: http.MethodPost, path: "/", escaped: "/", target: "/", header: http.Header{}, stream: true, repeatable: true,
		class: &state.Class{Name: "c"}, route: &state.Route{EventStream: true}, who: identity{organisation: "one"},
		arrived: d.now(), deadline: d.now() + time.Minute,
	}
	x := &exchange{router: r, call: c, log: zap.NewNop(), id: "request"}
	g, refusal := d.submit(context.Background(), order{
		pool: poolKey{kind: registrar.KindModel, name: "m"}, class: c.class, arrived: c.arrived, deadline: c.deadline,
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	if err := x.try(context.Background(), g); err != nil {
		t.Log(err)
	}
	return x
}
