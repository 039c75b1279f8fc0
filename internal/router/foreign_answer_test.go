package router

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestForeignAnswerTellsNothing guards against facts about an upstream that are believed of the answer to another
// request: they were true when that was answered.
func TestForeignAnswerTellsNothing(t *testing.T) {
	tests := map[string]struct {
		status        int
		header, value string
	}{
		"a pause":         {status: http.StatusServiceUnavailable, header: translator.HeaderRetryAfter, value: "30"},
		"a leave":         {status: http.StatusOK, header: translator.HeaderState, value: string(registrar.Leaving)},
		"a request limit": {status: http.StatusOK, header: translator.HeaderRequestLimit, value: "1"},
		"another run":     {status: http.StatusMisdirectedRequest, header: translator.HeaderIncarnation, value: "9"},
		"not run":         {status: http.StatusServiceUnavailable, header: headerNotRun, value: "1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := newCopierRouter(t, true)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerCallID, "another")
				w.Header().Set(test.header, test.value)
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			believed := 0
			r.upstreamClient.onResponse = func(*attempt, translator.ResponseInfo) { believed++ }
			g := &grant{
				upstream: &registrar.Upstream{ID: "u", Incarnation: 1, URL: server.URL},
				state:    newUpstreamState(r.settings.GetEntry().GetUpstreamLimits(), 0),
			}
			c := &call{
				method: http.MethodPost, path: "/", escapedPath: "/", requestURI: "/", header: http.Header{}, class: &state.Class{Name: "c"},
				deadline: r.dispatcher.now() + time.Minute, RequestInfo: translator.RequestInfo{Attempt: "own"},
			}
			_, err := r.upstreamClient.send(context.Background(), c, g, scanner.NoEventID)
			var failure *attemptError
			if !errors.As(err, &failure) || failure.NotRun || !errors.As(err, new(*attemptMismatchError)) || believed > 0 {
				t.Errorf("error %v, %d facts were believed; want an answer to another request that may have run, and none", err, believed)
			}
		})
	}
}
