package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// startUnframed starts an upstream whose responses have neither a length nor chunks: they are
// what respond writes, and end with the connection. reset makes it end with a reset.
func startUnframed(t *testing.T, respond func(w io.Writer, request *http.Request) (reset bool)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if respond(conn, request) {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

// TestUnframedResponses guards against responses that end with their connection and are taken
// for whole although they broke off, or for broken although they are whole. A stream that
// ends inside an event has broken off: its half event must not reach the client.
func TestUnframedResponses(t *testing.T) {
	const (
		events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		half   = "id: 3\ndata: c"
		stream = "Content-Type: text/event-stream\r\n"
		plain  = "Content-Type: application/json\r\n"
	)
	tests := map[string]struct {
		header, body string
		reset        bool
		resumable    bool
		// resumed is the body of the response to the request that goes on.
		resumed string
		want    string
		whole   bool
		status  int
	}{
		"whole stream":                           {header: stream, body: events, want: events, whole: true, status: 200},
		"empty stream":                           {header: stream, whole: true, status: 200},
		"stream that ends inside an event":       {header: stream, body: events + half, want: events, status: 200},
		"stream that ends after a field's line":  {header: stream, body: events + half + "\n", want: events, status: 200},
		"stream that ends inside its first line": {header: stream, body: events + "i", want: events, status: 200},
		"stream that is reset":                   {header: stream, body: events, reset: true, want: events, status: 200},
		"stream that goes on elsewhere": {
			header: stream, body: events + half, resumable: true, resumed: "id: 3\ndata: c\n\nid: 4\ndata: d\n\n",
			want: events + "id: 3\ndata: c\n\nid: 4\ndata: d\n\n", whole: true, status: 200,
		},
		"whole body":         {header: plain, body: `{"a":1}`, want: `{"a":1}`, whole: true, status: 200},
		"body that is reset": {header: plain, body: `{"a":1}`, reset: true, whole: true, status: 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, _ := newNoticeRouter(t)
			r.dialect.AcceptUndelimited = true
			document := engineDocument()
			route := document.GetConfiguration().GetRoutes()[0]
			route.Service, route.Resumable, route.EventStream = noticeService, test.resumable, test.header == stream
			route.Attempts = 1
			if test.resumable {
				route.Attempts = 2
			}
			route.NonIdempotent = !test.resumable
			if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
				t.Fatal(err)
			}
			for _, id := range []registrar.UpstreamID{"one", "two"} {
				url := startUnframed(t, func(w io.Writer, request *http.Request) bool {
					body := test.body
					if request.Header.Get("Last-Event-ID") != "" {
						body = test.resumed
					}
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s\r\n%s", test.header, body)
					// A reset discards what the router has not read yet.
					if test.reset {
						timer.Sleep(request.Context(), 50*time.Millisecond)
					}
					return test.reset
				})
				r.dispatcher.applyAnnouncement(noticeAnnouncement(id, url, 1, 1, r.dispatcher.now()))
			}
			response, err := http.Post(server.URL+"/x", "text/plain", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if response.StatusCode != test.status || (err == nil) != test.whole {
				t.Errorf("status %d, read error %v; want %d, whole: %t", response.StatusCode, err, test.status, test.whole)
			}
			if test.status == http.StatusOK && string(body) != test.want {
				t.Errorf("body %q, want %q", body, test.want)
			}
		})
	}
}
