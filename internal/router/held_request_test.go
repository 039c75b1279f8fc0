package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/identifier"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// ask sends a request with a method, path and body, and returns the status and the body.
func ask(t *testing.T, server *httptest.Server, method, path, body string) (status int, text string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// newIdentifyingRouter is newNoticeRouter with a key for identities.
func newIdentifyingRouter(t *testing.T, ids ...registrar.UpstreamID) (*Router, *httptest.Server, map[registrar.UpstreamID]*noticeUpstream) {
	t.Helper()
	r, server, upstreams := newNoticeRouter(t, ids...)
	r.mergeEvidence(&wire.Evidence{Key: identifier.NewWithKey(time.Now()).Key()})
	return r, server, upstreams
}

// holdRequest makes a router hold a request, as if engines had ended under it at other processes.
func holdRequest(r *Router, c *call) {
	ends := make([]isolator.Run, 0, 3)
	for n := range 3 {
		ends = append(ends, isolator.Run{ID: isolator.RunID(n + 1), EndedAt: time.Now().Add(time.Duration(n-10) * time.Second)})
	}
	r.isolation.recordEnds(c, 0, ends, nil)
}

// TestHeldRequest guards against a request that ends upstreams and reaches further ones, and against
// other requests, of the same caller and path or with the same body, that are refused for it. The
// refusal is final and says that the request has not run.
func TestHeldRequest(t *testing.T) {
	r, server, upstreams := newIdentifyingRouter(t, "one")
	address := strings.TrimPrefix(server.URL, "http://")
	host, _, _ := strings.Cut(address, ":")
	holdRequest(r, &call{method: http.MethodPost, host: host, requestURI: "/order?x=1", body: []byte("bad")})
	before := upstreams["one"].calls.Load()
	status, text := ask(t, server, http.MethodPost, "/order?x=1", "bad")
	if status != http.StatusUnprocessableEntity || !strings.Contains(text, translator.CodeRequestHeld) || !strings.Contains(text, string(translator.NotRun)) {
		t.Errorf("status %d: %s; want a final refusal, not run", status, text)
	}
	if upstreams["one"].calls.Load() != before {
		t.Error("the request has reached an upstream")
	}
	tests := map[string][3]string{
		"another body":   {http.MethodPost, "/order?x=1", "good"},
		"another query":  {http.MethodPost, "/order?x=2", "bad"},
		"another path":   {http.MethodPost, "/orders", "bad"},
		"another method": {http.MethodPut, "/order?x=1", "bad"},
	}
	for name, test := range tests {
		if status, text = ask(t, server, test[0], test[1], test[2]); status != http.StatusOK {
			t.Errorf("%s: status %d: %s", name, status, text)
		}
	}
}

// TestHeldRequestIsEnded guards against a request that waits for an upstream, or that one runs
// already, when it becomes held. The one that may have run says so.
func TestHeldRequestIsEnded(t *testing.T) {
	r, server, upstreams := newIdentifyingRouter(t, "one")
	release := make(chan struct{})
	defer close(release)
	upstreams["one"].set(func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})
	results := make(chan string, 4)
	for range cap(results) {
		go func() {
			status, text := ask(t, server, http.MethodPost, "/order", "bad")
			results <- fmt.Sprint(status, text)
		}()
	}
	var c *call
	awaitCondition(t, "no request reached the upstream", func() bool {
		r.isolation.mu.Lock()
		defer r.isolation.mu.Unlock()
		for _, known := range r.isolation.inProgress {
			c = known
		}
		return c != nil
	})
	holdRequest(r, c)
	mayHaveRun := 0
	for range cap(results) {
		select {
		case text := <-results:
			if !strings.HasPrefix(text, "422") || !strings.Contains(text, translator.CodeRequestHeld) {
				t.Errorf("%s, want a final refusal", text)
			}
			if strings.Contains(text, string(translator.MayHaveRun)) {
				mayHaveRun++
			}
		case <-time.After(setupTimeout):
			t.Fatal("a request waits although it is held")
		}
	}
	if calls := upstreams["one"].calls.Load(); int64(mayHaveRun) != calls {
		t.Errorf("%d refusals say that the request may have run, %d have reached the upstream", mayHaveRun, calls)
	}
}

// endingUpstream is an upstream that ends under requests with a text in their path.
type endingUpstream struct {
	server *http.Server
	url    string
	calls  atomic.Int64
}

func (u *endingUpstream) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	u.calls.Add(1)
	if strings.Contains(request.URL.Path, "deadly") {
		_ = u.server.Close()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "done")
}

// TestRetriesOfRequestsThatEndUpstreams guards against retries that end further upstreams: a call
// is sent to a second upstream, so that a sound one which shared the first is served; one under
// which two have ended, or that has ended one before, is not sent again. What ended is reported.
func TestRetriesOfRequestsThatEndUpstreams(t *testing.T) {
	r, server, _ := newIdentifyingRouter(t)
	upstreams := map[registrar.UpstreamID]*endingUpstream{}
	for n := range 6 {
		u := &endingUpstream{}
		started := httptest.NewServer(u)
		t.Cleanup(started.Close)
		u.server, u.url = started.Config, started.URL
		id := registrar.UpstreamID(fmt.Sprint("u", n))
		upstreams[id] = u
		r.dispatcher.applyAnnouncement(noticeAnnouncement(id, u.url, 1, 1, r.dispatcher.now()))
	}
	calls := func() (n int) {
		for _, u := range upstreams {
			n += int(u.calls.Load())
		}
		return n
	}
	for n, want := range []int{2, 3} {
		status, text := ask(t, server, http.MethodGet, "/deadly", "")
		if status != http.StatusBadGateway || !strings.Contains(text, string(translator.MayHaveRun)) {
			t.Errorf("call %d: status %d: %s; want 502, may have run", n, status, text)
		}
		if got := calls(); got != want {
			t.Errorf("%d upstreams have ended after call %d, want %d", got, n, want)
		}
	}
	e := r.allEvidence()
	if len(e.GetParts()) != 1 || len(e.GetParts()[0].GetRuns()) != 3 {
		t.Fatalf("evidence %v, want one request with three ends", e)
	}
	if text := e.GetParts()[0].GetId(); strings.Contains(text, "deadly") {
		t.Errorf("evidence names the request in clear: %s", text)
	}
	// The next one waits until no response can speak for the request any more.
	if status, text := ask(t, server, http.MethodGet, "/deadly", ""); status != http.StatusUnprocessableEntity || calls() != 3 {
		t.Errorf("status %d: %s; %d upstreams have ended, want the request held after three", status, text, calls())
	}
	if status, text := ask(t, server, http.MethodGet, "/sound", ""); status != http.StatusOK {
		t.Errorf("status %d of another request: %s", status, text)
	}
}

// TestEndIsReportedWithoutAnotherUpstream guards against an end that nobody hears of since the call
// found no second upstream, as when a request has ended all of them.
func TestEndIsReportedWithoutAnotherUpstream(t *testing.T) {
	r, server, _ := newIdentifyingRouter(t)
	u := &endingUpstream{}
	started := httptest.NewServer(u)
	t.Cleanup(started.Close)
	u.server = started.Config
	r.dispatcher.applyAnnouncement(noticeAnnouncement("one", started.URL, 1, 1, r.dispatcher.now()))
	if status, text := ask(t, server, http.MethodGet, "/deadly", ""); status < http.StatusInternalServerError {
		t.Fatalf("status %d: %s", status, text)
	}
	if e := r.allEvidence(); len(e.GetParts()) != 1 || len(e.GetParts()[0].GetRuns()) != 1 {
		t.Errorf("evidence %v, want the end of the upstream", e)
	}
}

// TestResponsesThatSpeakForRequest guards against a sound request that stays accused although an
// upstream has survived it, successfully or not.
func TestResponsesThatSpeakForRequest(t *testing.T) {
	tests := map[string]struct {
		status int
		ends   int
	}{
		"success":                 {status: http.StatusOK},
		"failure":                 {status: http.StatusInternalServerError},
		"another kind of failure": {status: http.StatusNotFound},
		"gateway":                 {status: http.StatusBadGateway, ends: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newIdentifyingRouter(t, "one")
			r.dialect.IsRetryableStatus = func(status int) bool { return status >= http.StatusInternalServerError }
			upstreams["one"].set(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(test.status) })
			host, _, _ := strings.Cut(strings.TrimPrefix(server.URL, "http://"), ":")
			c := &call{method: http.MethodGet, host: host, requestURI: "/order"}
			r.isolation.recordEnds(c, 0, []isolator.Run{{ID: 1, EndedAt: time.Now().Add(-time.Second)}}, nil)
			ask(t, server, http.MethodGet, "/order", "")
			if got := r.isolation.endsUnder(c); got != test.ends {
				t.Errorf("%d ends count, want %d", got, test.ends)
			}
		})
	}
}

// TestStreamSurvivesLostDomain guards against a stream that is given up, or held when it comes again,
// since its domain was lost one upstream after the other.
func TestStreamSurvivesLostDomain(t *testing.T) {
	r, server, _ := newIdentifyingRouter(t)
	document := engineDocument()
	route := document.Configuration.Routes[0]
	route.Service, route.EventStream, route.Resumable, route.Attempts = noticeService, true, true, 5
	route.Timeout = durationpb.New(setupTimeout)
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	var served atomic.Int64
	for n := range 4 {
		started := httptest.NewUnstartedServer(nil)
		started.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			event := served.Add(1)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
			_ = http.NewResponseController(w).Flush()
			if event < 4 {
				_ = started.Config.Close()
				panic(http.ErrAbortHandler)
			}
		})
		started.Start()
		t.Cleanup(started.Close)
		r.dispatcher.applyAnnouncement(noticeAnnouncement(registrar.UpstreamID(fmt.Sprint("u", n)), started.URL, 1, 1, r.dispatcher.now()))
	}
	status, text := ask(t, server, http.MethodPost, "/order", "sound")
	if status != http.StatusOK || !strings.Contains(text, "id: 4\n") {
		t.Errorf("status %d, %q; want the stream from four upstreams", status, text)
	}
	if e := r.allEvidence(); len(e.GetParts()) != 0 {
		t.Errorf("evidence %v against a request that was served", e)
	}
}

// TestLostDomainSparesLastAttempt guards against a stream whose last attempt is sent into a failure
// domain that is being lost, although an upstream in its slow start is left elsewhere.
func TestLostDomainSparesLastAttempt(t *testing.T) {
	const attempts = 3
	r, server, _ := newIdentifyingRouter(t)
	document := engineDocument()
	route := document.Configuration.Routes[0]
	route.Service, route.EventStream, route.Resumable, route.Attempts = noticeService, true, true, attempts
	route.Timeout = durationpb.New(setupTimeout)
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	var served atomic.Int64
	writeEvent := func(w http.ResponseWriter, id int64) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		_ = http.NewResponseController(w).Flush()
	}
	announce := func(id registrar.UpstreamID, domain registrar.FailureDomain, url string) {
		u := noticeAnnouncement(id, url, 1, 1, r.dispatcher.now())
		u.FailureDomain = domain
		r.dispatcher.applyAnnouncement(u)
	}
	busy, ctx := make(chan struct{}), t.Context()
	left := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if body, _ := io.ReadAll(request.Body); string(body) == "busy" {
			writeEvent(w, 1)
			close(busy)
			select {
			case <-ctx.Done():
			case <-request.Context().Done():
			}
			return
		}
		writeEvent(w, attempts)
	}))
	t.Cleanup(left.Close)
	announce("left", "b", left.URL)
	go func() { _, _ = ask(t, server, http.MethodPost, "/order", "busy") }()
	<-busy
	for n := range attempts {
		started := httptest.NewUnstartedServer(nil)
		started.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, served.Add(1))
			_ = started.Config.Close()
			panic(http.ErrAbortHandler)
		})
		started.Start()
		t.Cleanup(started.Close)
		announce(registrar.UpstreamID(fmt.Sprint("lost", n)), "a", started.URL)
	}
	status, text := ask(t, server, http.MethodPost, "/order", "sound")
	if status != http.StatusOK || !strings.Contains(text, "id: 3\n") || served.Load() == attempts {
		t.Errorf("status %d, %q after %d attempts in the lost domain; want the last attempt elsewhere", status, text, served.Load())
	}
}
