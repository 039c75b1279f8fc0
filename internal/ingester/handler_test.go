package ingester

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/bounder"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// TestRefusalEndsConnection guards against a connection that stays open after a refusal, on which net/http has seen the
// read that was interrupted fail, so that the next request is cancelled as it begins.
func TestRefusalEndsConnection(t *testing.T) {
	s := NewSplitter(&settings.CallerLimits{BodyBytes: 1 << 20, BodyMemoryBytes: 1 << 20, Bodies: 1}, func() time.Duration { return 0 })
	s.Timeout = 10 * time.Second
	s.Refuse = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := httptest.NewUnstartedServer(s.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})))
	server.Config.ConnContext = bounder.New(1 << 20).ConnContext
	server.Start()
	defer server.Close()
	stalled, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	_, _ = fmt.Fprint(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	reads := func() int {
		s.messages.places.mu.Lock()
		defer s.messages.places.mu.Unlock()
		return len(s.messages.places.readings)
	}
	for reads() == 0 {
		time.Sleep(time.Millisecond)
	}
	post := func() (status int, closed bool) {
		response, err := server.Client().Post(server.URL, "text/plain", strings.NewReader("small"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode, response.Close
	}
	if status, closed := post(); status != http.StatusServiceUnavailable || !closed {
		t.Errorf("status %d without a place, the connection closes: %t", status, closed)
	}
	_ = stalled.Close()
	for reads() > 0 {
		time.Sleep(time.Millisecond)
	}
	if status, closed := post(); status != http.StatusOK || closed {
		t.Errorf("status %d of the next request, the connection closes: %t", status, closed)
	}
}
