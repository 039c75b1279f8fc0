package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// headerCallID carries the id that the client gives a call, headerNotRun says in a response that
	// the call has not run.
	headerCallID = "Call-Id"
	headerNotRun = "Not-Run"
	copiedCalls  = 20
)

type (
	// copier is an upstream that refuses each call at its first arrival and runs it later. It sends
	// copies of its refusals on the connections of these.
	copier struct {
		runs *callCounter
		body string
		// early sends copies right behind a refusal, otherwise they come when the next answer is due.
		early  bool
		copies int

		mu      sync.Mutex
		refused map[string]bool
	}

	// callCounter counts the runs of calls at all upstreams.
	callCounter struct {
		mu   sync.Mutex
		runs map[string]int
	}
)

func (c *callCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *callCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// start returns the URL at which the upstream serves.
func (c *copier) start(t *testing.T) string {
	t.Helper()
	c.refused = map[string]bool{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

func (c *copier) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var due string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(headerCallID)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\ndone", headerCallID, id)
		if c.refuses(id) {
			answer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
				headerCallID, id, headerNotRun, len(c.body), c.body)
			copies := strings.Repeat(answer, c.copies)
			if c.early {
				answer += copies
			} else {
				answer, due = due+answer, copies
			}
		} else {
			c.runs.add(id)
			answer, due = due+answer, ""
		}
		if _, err = io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (c *copier) refuses(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.refused[id]
	c.refused[id] = true
	return !known
}

// newCopierRouter returns an entry process and the URL at which it serves calls whose ids are given
// by the client, at the given upstreams.
func newCopierRouter(t *testing.T, nonIdempotent bool, copiers ...*copier) (r *Router, url string) {
	t.Helper()
	r, server, _ := newNoticeRouter(t)
	native := r.dialect
	r.dialect.ParseRequest = func(request *http.Request) (translator.RequestInfo, error) {
		info, err := native.ParseRequest(request)
		info.Attempt = translator.AttemptID(request.Header.Get(headerCallID))
		return info, err
	}
	r.dialect.ParseResponse = func(response *http.Response) translator.ResponseInfo {
		info := native.ParseResponse(response)
		info.EchoedAttempt = translator.AttemptID(response.Header.Get(headerCallID))
		info.NotRun = response.Header.Get(headerNotRun) != ""
		return info
	}
	r.upstreamClient.dialect = r.dialect
	// The platform's adapter keeps connections also for calls that must not run twice.
	r.upstreamClient.nonRetryableSingleUse = false
	document := engineDocument()
	route := document.GetConfiguration().GetRoutes()[0]
	route.Service, route.Kind, route.EventStream, route.Resumable = noticeService, configurer.KindService, false, false
	route.NonIdempotent, route.Attempts = nonIdempotent, 1
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	for n, c := range copiers {
		id := registrar.UpstreamID(fmt.Sprintf("copier-%d", n))
		r.dispatcher.applyAnnouncement(noticeAnnouncement(id, c.start(t), 1, 1, r.dispatcher.now()))
	}
	return r, server.URL
}

// TestCopiedRefusalIsNotBelieved guards against a late copy of a refusal that is taken for the answer
// to the same call, sent once more on the same connection: the call is then refused as not run, or
// sent elsewhere, while it runs.
func TestCopiedRefusalIsNotBelieved(t *testing.T) {
	tests := map[string]struct {
		body          string
		early         bool
		copies        int
		upstreams     int
		nonIdempotent bool
		method        string
	}{
		"late, without a body":         {copies: 1, upstreams: 1, nonIdempotent: true, method: http.MethodPost},
		"late, with a body":            {copies: 1, upstreams: 1, nonIdempotent: true, method: http.MethodPost, body: "full"},
		"late, PUT":                    {copies: 1, upstreams: 1, nonIdempotent: true, method: http.MethodPut},
		"late, GET":                    {copies: 1, upstreams: 1, nonIdempotent: true, method: http.MethodGet},
		"early":                        {copies: 1, early: true, upstreams: 1, nonIdempotent: true, method: http.MethodPost},
		"early, with a body":           {copies: 1, early: true, upstreams: 1, nonIdempotent: true, method: http.MethodPost, body: "full"},
		"two copies":                   {copies: 2, upstreams: 1, nonIdempotent: true, method: http.MethodPost},
		"two early copies":             {copies: 2, early: true, upstreams: 1, nonIdempotent: true, method: http.MethodPost},
		"four upstreams":               {copies: 1, upstreams: 4, nonIdempotent: true, method: http.MethodPost},
		"idempotent":                   {copies: 1, upstreams: 1, method: http.MethodGet},
		"idempotent, four upstreams":   {copies: 1, upstreams: 4, method: http.MethodPost},
		"idempotent, two copies":       {copies: 2, upstreams: 1, method: http.MethodPost},
		"idempotent, copies are early": {copies: 2, early: true, upstreams: 2, method: http.MethodPost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runs := &callCounter{runs: map[string]int{}}
			copiers := make([]*copier, test.upstreams)
			for n := range copiers {
				copiers[n] = &copier{runs: runs, body: test.body, early: test.early, copies: test.copies}
			}
			_, url := newCopierRouter(t, test.nonIdempotent, copiers...)
			for n := range copiedCalls {
				id := fmt.Sprintf("call-%d", n)
				request, err := http.NewRequestWithContext(t.Context(), test.method, url+"/x", http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set(headerCallID, id)
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				ran := runs.of(id)
				if test.nonIdempotent && (ran > 1 || ran > 0 && response.StatusCode == http.StatusServiceUnavailable) {
					t.Errorf("%s was answered %d and ran %d times", id, response.StatusCode, ran)
				}
				if !test.nonIdempotent && ran > 1 {
					t.Errorf("%s ran %d times, one attempt is allowed", id, ran)
				}
			}
		})
	}
}
