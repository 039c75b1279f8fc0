package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// entryMemoryBytes is the memory limit of an entry process on a host of 184 MB.
	entryMemoryBytes = 110 << 20
	// daemonBytes is what an entry process without requests holds of its limit.
	daemonBytes    = 10 << 20
	endlessTimeout = 3 * time.Second
	// endlessPatience is how long after its deadline a call may take to end.
	endlessPatience = 10 * time.Second
	responseLimit   = 4 << 20
)

// endlessUpstream is an upstream that sends prologue and then filler without end, or nothing
// more if that is empty, until the connection is closed.
type endlessUpstream struct {
	listener         net.Listener
	prologue, filler string
	// opened and closed count the connections on which a request has come, idle those that
	// are open without one: net/http also keeps a connection whose request was cancelled
	// before it was established.
	opened, closed, idle atomic.Int64
}

func startEndlessUpstream(t *testing.T, prologue, filler string) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &endlessUpstream{listener: l, prologue: prologue}
	if filler != "" {
		u.filler = strings.Repeat(filler, 1+16<<10/len(filler))
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			connection, acceptErr := l.Accept()
			if acceptErr != nil {
				return
			}
			go u.serve(connection)
		}
	}()
	return u
}

func (u *endlessUpstream) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	u.idle.Add(1)
	_, err := http.ReadRequest(bufio.NewReader(connection))
	u.idle.Add(-1)
	if err != nil {
		return
	}
	u.opened.Add(1)
	defer u.closed.Add(1)
	_, err = io.WriteString(connection, u.prologue)
	for err == nil && u.filler != "" {
		_, err = io.WriteString(connection, u.filler)
	}
	if err == nil {
		_, _ = connection.Read(make([]byte, 1)) // until the caller closes
	}
}

// endlessUpstreams returns an upstream for each way of answering without end.
func endlessUpstreams(t *testing.T) map[string]*endlessUpstream {
	t.Helper()
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		stream = ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	)
	chunked := func(content string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(content), content) }
	return map[string]*endlessUpstream{
		"junk head":                   startEndlessUpstream(t, "", "\x00\xffjunk"),
		"status line":                 startEndlessUpstream(t, "HTTP/1.1 200 ", "O"),
		"header":                      startEndlessUpstream(t, ok+"X-Junk: ", "x"),
		"headers":                     startEndlessUpstream(t, ok, "X-Junk: x\r\n"),
		"informational responses":     startEndlessUpstream(t, "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
		"chunk extension":             startEndlessUpstream(t, ok+"Transfer-Encoding: chunked\r\n\r\n5;", "x"),
		"chunk extensions":            startEndlessUpstream(t, ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 4000)+"\r\nx\r\n"),
		"trailer":                     startEndlessUpstream(t, ok+"Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"),
		"body":                        startEndlessUpstream(t, ok+"\r\n", "body"),
		"chunked body":                startEndlessUpstream(t, ok+"Transfer-Encoding: chunked\r\n\r\n", chunked("body body")),
		"declared length":             startEndlessUpstream(t, ok+"Content-Length: 99999999999\r\n\r\n", "body"),
		"bytes after a stream":        startEndlessUpstream(t, stream, "junk"),
		"lines after a stream":        startEndlessUpstream(t, stream, "junk\n"),
		"empty lines after a stream":  startEndlessUpstream(t, stream, "junk\n\n"),
		"event without end":           startEndlessUpstream(t, stream+"id: 3\ndata: ", "x"),
		"events without a number":     startEndlessUpstream(t, ok+"Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"),
		"chunked junk after a stream": startEndlessUpstream(t, ok+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked("id: 1\ndata: a\n\n"), chunked("junk")),
	}
}

// newEndlessRouter returns an entry process with one route and service for each upstream.
func newEndlessRouter(t *testing.T, upstreams map[string]*endlessUpstream) *Router {
	t.Helper()
	s := &settings.Settings{
		Host:      &settings.Host{Id: "e", FailureDomain: "a"},
		Entry:     &settings.Entry{UpstreamLimits: &settings.UpstreamLimits{ResponseBytes: responseLimit}},
		Resources: &settings.Resources{MemoryBytes: entryMemoryBytes},
	}
	validator.FillDefaults(s)
	dialect := translator.NativeDialect()
	dialect.AcceptUndelimited = true
	r, err := New(s, dialect, zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	configuration := &state.Configuration{Classes: []*state.Class{{Name: "c", Tier: 1}}}
	for name, u := range upstreams {
		configuration.Routes = append(configuration.Routes, &state.Route{
			Name: name, PathPrefix: pathOf(name), Kind: configurer.KindService, Service: name, Classes: []string{"c"}, OpenToAll: true,
			Timeout: durationpb.New(endlessTimeout), EventStream: strings.Contains(name, "stream") || strings.Contains(name, "event"),
		})
		r.dispatcher.applyAnnouncement(registrar.Upstream{
			ID: registrar.UpstreamID(name), Incarnation: 1, Sequence: 1, URL: "http://" + u.listener.Addr().String(), FailureDomain: "a",
			Kind: registrar.KindService, Serves: []string{name}, State: registrar.Serving, AnnouncedAt: r.dispatcher.now(),
			Load: registrar.Load{Slots: 10_000},
		})
	}
	if err = r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 1, Whole: true, Configuration: configuration}, delivery{}); err != nil {
		t.Fatal(err)
	}
	return r
}

func pathOf(name string) string { return "/" + strings.ReplaceAll(name, " ", "-") + "/" }

// callEndless sends one call and returns its status, zero if the connection was aborted,
// and whether the response looked complete.
func callEndless(ctx context.Context, url string) (status int, complete bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

// TestEndlessResponses guards against upstreams whose bytes are no answer and come without
// end: each call must end by its deadline with a failure that does not claim that the call
// has not run, the connection must be closed and the upstream counted as failing.
func TestEndlessResponses(t *testing.T) {
	upstreams := endlessUpstreams(t)
	r := newEndlessRouter(t, upstreams)
	server := httptest.NewServer(r.clientHandler())
	defer server.Close()
	for name, u := range upstreams {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout+endlessPatience)
			defer cancel()
			status, complete := callEndless(ctx, server.URL+pathOf(name))
			if ctx.Err() != nil {
				t.Fatal("the call has not ended")
			}
			if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
				t.Errorf("status %d claims that the call has not run", status)
			}
			if status/100 == 2 && complete {
				t.Errorf("status %d with a body that looks complete", status)
			}
			awaitCondition(t, "the connection is not closed", func() bool { return u.closed.Load() == u.opened.Load() })
			awaitCondition(t, "the failure is not counted", func() bool {
				r.dispatcher.mu.Lock()
				defer r.dispatcher.mu.Unlock()
				return r.dispatcher.upstreamStates[registrar.UpstreamID(name)].failures.Penalty(r.dispatcher.now()) > 0
			})
		})
	}
}

// TestUnfinishedEventAtTheDeadline guards against junk that comes so slowly that the deadline
// ends it and not a limit: an upstream that has sent far more of one event than any event
// has must be counted as failing.
func TestUnfinishedEventAtTheDeadline(t *testing.T) {
	const prologue = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	for name, test := range map[string]struct {
		unfinished int
		failed     bool
	}{
		"stream, much of an event":   {unfinished: 2 * maxUnfinishedBytes, failed: true},
		"stream, half an event":      {unfinished: 20},
		"stream, between two events": {},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := startEndlessUpstream(t, prologue+strings.Repeat("x", test.unfinished), "")
			r := newEndlessRouter(t, map[string]*endlessUpstream{name: upstream})
			server := httptest.NewServer(r.clientHandler())
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout+endlessPatience)
			defer cancel()
			if _, complete := callEndless(ctx, server.URL+pathOf(name)); complete || ctx.Err() != nil {
				t.Errorf("the response looks complete: %t; the call has not ended: %t", complete, ctx.Err() != nil)
			}
			awaitCondition(t, "the connection is not closed", func() bool { return upstream.closed.Load() == upstream.opened.Load() })
			r.dispatcher.mu.Lock()
			defer r.dispatcher.mu.Unlock()
			if failed := r.dispatcher.upstreamStates[registrar.UpstreamID(name)].failures.Penalty(r.dispatcher.now()) > 0; failed != test.failed {
				t.Errorf("failure counted: %t, want %t", failed, test.failed)
			}
		})
	}
}

// TestManyEndlessResponses guards against an entry host that runs out of memory: 200 such
// responses arrive at once.
func TestManyEndlessResponses(t *testing.T) {
	const calls = 200
	upstreams := endlessUpstreams(t)
	r := newEndlessRouter(t, upstreams)
	// No upstream is avoided for its failures, so that all calls arrive.
	r.settings.Entry.UpstreamLimits.CircuitFailures = calls
	server := httptest.NewServer(r.clientHandler())
	defer server.Close()
	var names []string
	for name := range upstreams {
		names = append(names, name)
	}
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout+endlessPatience)
	defer cancel()
	debug.FreeOSMemory()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	// The daemon passes the limit in its settings to the runtime. What other tests hold takes the
	// place of what the daemon itself holds.
	held := int64(before.Sys-before.HeapReleased) - daemonBytes
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(held + r.settings.GetResources().GetMemoryBytes()))
	var group sync.WaitGroup
	done := make(chan struct{})
	for i := range calls {
		group.Go(func() { callEndless(ctx, server.URL+pathOf(names[i%len(names)])) })
	}
	go func() {
		group.Wait()
		close(done)
	}()
	peak := uint64(0)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-ticker.C:
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse-min(now.HeapInuse, before.HeapInuse))
		}
	}
	if ctx.Err() != nil {
		t.Error("calls have not ended")
	}
	if peak > entryMemoryBytes {
		t.Errorf("%d MB in use at the peak, want at most %d", peak>>20, entryMemoryBytes>>20)
	}
	awaitCondition(t, "connections are not closed", func() bool {
		for _, u := range upstreams {
			if u.closed.Load() != u.opened.Load() {
				return false
			}
		}
		return true
	})
	if left := r.buffers.Left(); left != r.settings.GetEntry().GetUpstreamLimits().GetBufferedBytes() {
		t.Errorf("%d bytes of the buffers are left, want all", left)
	}
}

// awaitCondition polls until a condition holds.
func awaitCondition(t *testing.T, problem string, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(endlessPatience)
	for !holds() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatal(problem)
		}
	}
}
