package router

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// TestStreamThatBreaksBeforeItsFirstEvent guards against connections that are closed without
// an answer although nothing of the response has been sent: the client gets a final refusal,
// or the whole response of another upstream with the headers of that one.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := map[string]struct {
		attempts int32
		// broken is what the upstreams that break off send after their headers.
		broken string
		status int
		want   string
	}{
		"no further attempt":                    {attempts: 1, status: http.StatusBadGateway, want: translator.CodeUpstreamFailed},
		"inside the first event":                {attempts: 1, broken: "id: 1\nda", status: http.StatusBadGateway, want: translator.CodeUpstreamFailed},
		"another upstream responds":             {attempts: 2, status: http.StatusOK, want: events},
		"inside the first event, then whole":    {attempts: 2, broken: "id: 1\nda", status: http.StatusOK, want: events},
		"after the first event, then the rest":  {attempts: 2, broken: "id: 1\ndata: a\n\nid", status: http.StatusOK, want: events},
		"after the first event, and no attempt": {attempts: 1, broken: "id: 1\ndata: a\n\nid", status: http.StatusOK, want: "id: 1\ndata: a\n\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, _ := newNoticeRouter(t)
			document := engineDocument()
			document.Configuration.Routes[0].Service, document.Configuration.Routes[0].Attempts = noticeService, test.attempts
			if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
				t.Fatal(err)
			}
			calls := make(chan int, 2)
			calls <- 1
			for _, id := range []registrar.UpstreamID{"one", "two"} {
				url := startUnframed(t, func(w io.Writer, request *http.Request) bool {
					call := <-calls
					calls <- call + 1
					body := test.broken
					switch {
					case call > 1 && request.Header.Get("Last-Event-ID") != "":
						body = "id: 2\ndata: b\n\n"
					case call > 1:
						body = events
					}
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSeal: %d\r\nTransfer-Encoding: chunked\r\n\r\n", call)
					if body != "" {
						_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(body), body)
					}
					if call > 1 {
						_, _ = fmt.Fprint(w, "0\r\n\r\n")
					}
					return false
				})
				r.dispatcher.applyAnnouncement(noticeAnnouncement(id, url, 1, 1, r.dispatcher.now()))
			}
			response, err := http.Post(server.URL+"/x", "text/plain", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != test.status || !strings.Contains(string(body), test.want) {
				t.Errorf("status %d with %q, want %d with %q", response.StatusCode, body, test.status, test.want)
			}
			if test.status != http.StatusOK && response.Header.Get(translator.HeaderRun) != string(translator.MayHaveRun) {
				t.Errorf("the refusal says %q, want %q", response.Header.Get(translator.HeaderRun), translator.MayHaveRun)
			}
			first, _, _ := strings.Cut(test.broken, "\n\n")
			if seal := response.Header.Get("Seal"); test.status == http.StatusOK && (seal == "1") != strings.Contains(first, "data: a") {
				t.Errorf("headers of attempt %s, want those of the attempt that sent the first event", seal)
			}
		})
	}
}
