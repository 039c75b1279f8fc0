package integration

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/settings"
)

func smallLimits(s *settings.Settings) {
	s.Entry.CallerLimits = &settings.CallerLimits{
		BodyBytes: 2048, HeaderBytes: 4096, BodyTimeout: durationpb.New(500 * time.Millisecond),
		HeaderTimeout: durationpb.New(500 * time.Millisecond),
	}
}

// TestClientLimits guards against invalid, oversized and slow requests. Invalid ones
// must be refused with the expected status and as not run. Dot segments must not lead from
// an open route to another one, and the API key must not reach responses, the
// service or the log. Connections of slow clients must be closed.
func TestClientLimits(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}, adjustEntry: smallLimits})
	s.configure()
	e := s.entries[0]
	service := s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	s.startUpstream("engine-1", "a", "model", "m", s.entries)
	key := s.grant("one").Key
	s.awaitKey(key, e)
	s.awaitCompletion(e, key)
	post := func(path, body string, headers ...string) clientResponse {
		return e.do(context.Background(), http.MethodPost, path, key, body, headers...)
	}
	tests := map[string]struct {
		send   func() clientResponse
		status int
	}{
		"body too large": {func() clientResponse { return post("/orders", strings.Repeat("x", 3000)) }, http.StatusRequestEntityTooLarge},
		"no JSON":        {func() clientResponse { return post("/v1/chat/completions", "x") }, http.StatusBadRequest},
		"no model":       {func() clientResponse { return post("/v1/chat/completions", "{}") }, http.StatusBadRequest},
		"unknown model":  {func() clientResponse { return post("/v1/chat/completions", `{"model":"x"}`) }, http.StatusServiceUnavailable},
		"another route by dots": {func() clientResponse {
			return e.do(context.Background(), http.MethodGet, "/public/../orders/x", "", "")
		}, http.StatusBadRequest},
		"another route by escaped dots": {func() clientResponse {
			return e.do(context.Background(), http.MethodGet, "/public/%2e%2e/orders/x", "", "")
		}, http.StatusBadRequest},
		"no route":            {func() clientResponse { return post("/nowhere", "") }, http.StatusNotFound},
		"class not allowed":   {func() clientResponse { return post("/orders", "{}", translator.HeaderClass, "chat") }, http.StatusBadRequest},
		"malformed deadline":  {func() clientResponse { return post("/orders", "{}", translator.HeaderDeadline, "soon") }, http.StatusBadRequest},
		"key in the body":     {func() clientResponse { return post("/orders", fmt.Sprintf(`{"reference":%q}`, key)) }, http.StatusBadRequest},
		"key in the query":    {func() clientResponse { return post("/orders?key="+key, `{"reference":"q"}`) }, http.StatusBadRequest},
		"key in both headers": {func() clientResponse { return post("/orders", `{"reference":"h"}`, "X-Api-Key", key, "X-Other", key) }, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := test.send()
			if a.status != test.status || test.status != http.StatusOK && a.run() != translator.NotRun {
				t.Errorf("status %d, run %q, body %s, error %v", a.status, a.run(), a.body, a.err)
			}
			if strings.Contains(a.body, key) {
				t.Error("the response contains the key")
			}
		})
	}
	for _, line := range service.stats(t).Headers {
		if strings.Contains(line, key) {
			t.Errorf("the service received the key in %q", line)
		}
	}
	if strings.Contains(string(e.log()), key) {
		t.Error("the log contains the key")
	}
	t.Run("slow body", func(t *testing.T) {
		checkSlowClient(t, e, "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	})
	t.Run("slow header", func(t *testing.T) { checkSlowClient(t, e, "POST /orders HTTP/1.1\r\nHost: x\r\n") })
}

// checkSlowClient sends the beginning of a request and fails the test if the connection stays open.
func checkSlowClient(t *testing.T, e *entryProcess, beginning string) {
	t.Helper()
	conn, err := net.Dial("tcp", e.clientAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err = conn.Write([]byte(beginning)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	buffer := make([]byte, 4096)
	for {
		if _, err = conn.Read(buffer); err != nil {
			break
		}
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() { //nolint:errorlint // Read returns the error unwrapped.
		t.Error("the connection of a slow client stays open")
	}
}

// TestClientDisconnect guards against engines that go on generating for a client
// that is gone. A client disconnects during a stream: the attempt must be cancelled.
func TestClientDisconnect(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	engine := s.startUpstream("engine-1", "a", "model", "m", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	stream := e.openStream(t, key.Key, 100_000)
	stream.readTokens(t, 2)
	stream.cancel()
	eventually(t, waitTimeout, func() error {
		if engine.stats(t).Canceled == 0 {
			return fmt.Errorf("the attempt has not been cancelled")
		}
		return nil
	})
}

// TestReclaimedFailureDomain guards against streams lost when a failure domain of
// preemptible upstreams is reclaimed. All of them are killed at once: their streams
// must be resumed in the other domain, and new requests must be served there.
func TestReclaimedFailureDomain(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a", "b"}, adjustEntry: shortSilenceTimeouts})
	s.configure()
	first := s.entries[0]
	s.startUpstream("orders-1", "b", "service", "orders", s.entries)
	var reclaimed []*upstreamProcess
	for i := range 3 {
		reclaimed = append(reclaimed, s.startUpstream(fmt.Sprint("cheap-", i), "a", "model", "m", s.entries,
			"--preemptible", "--token-interval", "20ms"))
	}
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	s.awaitCompletion(first, key.Key)
	const (
		tokens      = 150
		streamCount = 6
	)
	var streams []*completionStream
	for range streamCount {
		stream := first.openStream(t, key.Key, tokens)
		stream.readTokens(t, 3)
		streams = append(streams, stream)
	}
	s.startUpstream("lasting-1", "b", "model", "m", s.entries, "--token-interval", "5ms", "--slots", "32")
	eventually(t, waitTimeout, func() error {
		reply, err := s.operator().Read(t.Context(), "upstreams")
		if err != nil || len(reply.GetUpstreams()) != 5 {
			return fmt.Errorf("%d upstreams known, %w", len(reply.GetUpstreams()), err)
		}
		return nil
	})
	for _, u := range reclaimed {
		u.kill()
	}
	for _, stream := range streams {
		checkTokens(t, stream.readRest(), tokens)
	}
	checkTokens(t, first.complete(key.Key, 5), 5)
}

// TestPartitionedFailureDomain guards against a network partition that stops more
// than it must. Two failure domains are partitioned from each other, and one of them
// from the control processes: the connected one serves as before; the isolated one
// serves open routes, refuses keys once its configuration is no longer fresh, and
// recovers after the partition.
func TestPartitionedFailureDomain(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	for _, e := range s.entries {
		s.startUpstream("engine-"+e.domain, e.domain, "model", "m", []*entryProcess{e})
		s.startUpstream("orders-"+e.domain, e.domain, "service", "orders", []*entryProcess{e})
	}
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	connected, isolated := s.entries[0], s.entries[1]
	s.network.partition(connected.id, isolated.id)
	for _, c := range s.controls {
		s.network.partition(isolated.id, c.id)
	}
	eventually(t, waitTimeout, func() error { return checkRefusal(isolated.complete(key.Key, 1), http.StatusServiceUnavailable) })
	checkTokens(t, connected.complete(key.Key, 5), 5)
	if a := isolated.get("/public/x", ""); a.status != http.StatusOK {
		t.Errorf("open route in the isolated domain: status %d, body %s", a.status, a.body)
	}
	s.network.heal(connected.id, isolated.id)
	for _, c := range s.controls {
		s.network.heal(isolated.id, c.id)
	}
	s.awaitKey(key.Key, isolated)
}
