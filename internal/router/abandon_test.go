package router

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
)

// TestAbandonedAttemptIsNotDelivered guards against a request that reaches its upstream after the
// attempt has been given up: what the upstream has not received yet, because of a cut or because it
// does not read, is discarded. Otherwise the upstream runs it seconds later, beside another
// attempt, although it has announced its leave meanwhile.
func TestAbandonedAttemptIsNotDelivered(t *testing.T) {
	const (
		// bodyBytes is more than an upstream that does not read receives, and less than the
		// kernel takes to be sent.
		bodyBytes = 1 << 20
		timeout   = 100 * time.Millisecond
	)
	tests := map[string]func(context.Context, *call) context.Context{
		"deadline passed": func(ctx context.Context, c *call) context.Context {
			c.deadline = timer.Now() + timeout
			return ctx
		},
		"caller left": func(ctx context.Context, _ *call) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(timeout, cancel)
			return ctx
		},
	}
	for name, giveUp := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			r := newTestRouter(t)
			c := &call{
				method: http.MethodPost, path: "/", escapedPath: "/", requestURI: "/", header: http.Header{},
				body: bytes.Repeat([]byte("x"), bodyBytes), class: &state.Class{Name: "c"},
				deadline: r.dispatcher.now() + time.Minute,
			}
			g := &grant{
				upstream: &registrar.Upstream{ID: "u", URL: "http://" + l.Addr().String()},
				state:    newUpstreamState(r.settings.GetEntry().GetUpstreamLimits(), 0),
			}
			if _, err = r.upstreamClient.send(giveUp(t.Context(), c), c, g, scanner.NoEventID); err == nil {
				t.Fatal("an attempt without a response succeeded")
			}
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err = conn.SetReadDeadline(time.Now().Add(setupTimeout)); err != nil {
				t.Fatal(err)
			}
			received, err := io.Copy(io.Discard, conn)
			if err == nil || received >= bodyBytes {
				t.Errorf("%d bytes of a request with a body of %d arrived after the attempt was given up, error %v", received, bodyBytes, err)
			}
		})
	}
}
