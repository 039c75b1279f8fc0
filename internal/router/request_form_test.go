package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
)

// TestAbsoluteForm guards against a request in absolute form, which counts as upstreams that cannot be reached, one
// after the other, until its deadline.
func TestAbsoluteForm(t *testing.T) {
	tests := map[string]struct {
		target string
		status int
		want   string
	}{
		"path":              {target: "/any/x?y=1", status: http.StatusOK, want: "/any/x?y=1"},
		"absolute":          {target: "http://h/any/x?y=1", status: http.StatusOK, want: "/any/x?y=1"},
		"absolute, escaped": {target: "http://h/any/%7Ex", status: http.StatusOK, want: "/any/%7Ex"},
		// No quorum confirms the configuration in this test, so that the lack of a route is not final.
		"absolute, without a path": {target: "http://h", status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := startRelayGroup(t, 1)
			g.setRespond(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
			response := sendRaw(t, g.hosts[0], "OPTIONS "+test.target+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n")
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode != test.status || test.want != "" && string(body) != test.want {
				t.Errorf("got %d %q, want %d %q", response.StatusCode, body, test.status, test.want)
			}
			if status, _ := g.hosts[0].send(t.Context(), "/any/x", "next"); status != http.StatusOK {
				t.Errorf("the next request got %d", status)
			}
		})
	}
}

// sendRaw sends the head of a request as it stands, and returns the response.
func sendRaw(t *testing.T, h *relayHost, head string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * relayTimeout))
	if _, err = fmt.Fprintf(conn, "%sAuthorization: Bearer %s\r\n%s: %d\r\n\r\n", head, relayKey, translator.HeaderDeadline, relayTimeout.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestSlowBodyUsesUpTime guards against upstreams that are handed more time than the client has left: the time in which its
// body arrives counts.
func TestSlowBodyUsesUpTime(t *testing.T) {
	const (
		bodyTime = 800 * time.Millisecond
		limit    = 2 * time.Second
	)
	g := startRelayGroup(t, 1)
	var left atomic.Int64
	g.hosts[0].router.upstreamClient.dialect.SetAttemptHeaders = func(_ http.Header, info translator.AttemptInfo) { left.Store(int64(info.TimeLeft)) }
	body, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "a")
		time.Sleep(bodyTime)
		_ = writer.Close()
	}()
	request, err := http.NewRequest(http.MethodPost, g.hosts[0].url+"/any/x", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+relayKey)
	request.Header.Set(translator.HeaderDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got := time.Duration(left.Load()); response.StatusCode != http.StatusOK || got > limit-bodyTime || got <= 0 {
		t.Errorf("got %d, the upstream was handed %v of %v after %v", response.StatusCode, got, limit, bodyTime)
	}
}
