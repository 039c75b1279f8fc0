package router

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestNoResendOnReusedConnections guards against running a non-retryable call
// twice: net/http resends some requests on its own when a reused connection
// breaks. The server responds to the first call and closes the connection on
// later ones without a response; the second call must arrive exactly once.
func TestNoResendOnReusedConnections(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) == 1 {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	server.Start()
	defer server.Close()
	r := newTestRouter(t)
	send := func(method string) error {
		c := &call{
			method: method, path: "/", escapedPath: "/", header: http.Header{}, retryable: false,
			class: &state.Class{Name: "c"}, deadline: r.dispatcher.now() + time.Minute,
		}
		g := &grant{
			upstream: &registrar.Upstream{ID: "u", URL: server.URL},
			state:    newUpstreamState(r.settings.GetEntry().GetUpstreamLimits(), 0),
		}
		at, err := r.upstreamClient.send(context.Background(), c, g, scanner.NoEventID)
		if err == nil {
			at.awaitBodyEnd()
			at.close(nil)
		}
		return err
	}
	for name, method := range map[string]string{"with a body": http.MethodPost, "a method that net/http resends": http.MethodGet} {
		t.Run(name, func(t *testing.T) {
			arrived.Store(0)
			if err := send(method); err != nil {
				t.Fatal(err)
			}
			if err := send(method); err == nil {
				t.Fatal("a call without a response succeeded")
			}
			if n := arrived.Load(); n != 2 {
				t.Errorf("the second call arrived %d times, want once", n-1)
			}
		})
	}
}

// TestRefusedConnectionIsReportedNotRun checks that a call to a port without a
// listener is reported as not run, so that it may be retried.
func TestRefusedConnectionIsReportedNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	r := newTestRouter(t)
	c := &call{
		method: http.MethodPost, path: "/", escapedPath: "/", header: http.Header{},
		class: &state.Class{Name: "c"}, deadline: r.dispatcher.now() + time.Minute,
	}
	g := &grant{
		upstream: &registrar.Upstream{ID: "u", URL: "http://" + address},
		state:    newUpstreamState(r.settings.GetEntry().GetUpstreamLimits(), 0),
	}
	_, err = r.upstreamClient.send(context.Background(), c, g, scanner.NoEventID)
	failure, ok := err.(*attemptError) //nolint:errorlint // send returns the type itself.
	if !ok || !failure.NotRun {
		t.Errorf("error %v, want an attemptError with NotRun", err)
	}
}
