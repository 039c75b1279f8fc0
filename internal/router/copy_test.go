package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// cancelTime is the time in which an attempt that has lost must be cancelled.
const cancelTime = 400 * time.Millisecond

type (
	// copyArrival is a request at an upstream.
	copyArrival struct {
		upstream registrar.UpstreamID
		// cancelled is closed when the request is cancelled or answered.
		cancelled <-chan struct{}
	}

	// copyFixture is an entry process with upstreams whose response depends on the order of arrival.
	copyFixture struct {
		router  *Router
		url     string
		servers map[registrar.UpstreamID]*httptest.Server

		mu sync.Mutex
		// respond answers the nth request since it was set, from 1.
		respond  func(n int, w http.ResponseWriter, request *http.Request)
		arrivals []copyArrival
	}
)

// newCopyFixture starts upstreams with fast responses and lets the entry process learn their response times.
func newCopyFixture(t *testing.T, upstreams int, change func(*settings.Entry), route func(*state.Route)) *copyFixture {
	t.Helper()
	f := &copyFixture{servers: map[registrar.UpstreamID]*httptest.Server{}}
	s := &settings.Settings{Host: &settings.Host{Id: "e", FailureDomain: "a"}, Entry: &settings.Entry{
		Freshness: durationpb.New(20 * time.Second), UpstreamLimits: &settings.UpstreamLimits{CircuitFailures: 1},
		Hedging: &settings.Hedging{Ratio: 1, MinimumDelay: durationpb.New(30 * time.Millisecond)},
	}}
	if change != nil {
		change(s.Entry)
	}
	validator.FillDefaults(s)
	var err error
	if f.router, err = New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry")); err != nil {
		t.Fatal(err)
	}
	r := &state.Route{
		Name: "r", PathPrefix: "/", Kind: configurer.KindService, Service: noticeService, Classes: []string{"c"},
		OpenToAll: true, Timeout: durationpb.New(2 * time.Second),
	}
	if route != nil {
		route(r)
	}
	err = f.router.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 1, Whole: true, Configuration: &state.Configuration{
		Classes: []*state.Class{{Name: "c", Tier: 1}}, Routes: []*state.Route{r},
	}}, delivery{})
	if err != nil {
		t.Fatal(err)
	}
	// The upstreams are known for longer than their slow start.
	f.router.dispatcher.now = func() time.Duration { return timer.Now() - time.Minute }
	for n := range upstreams {
		id := registrar.UpstreamID(fmt.Sprint("u", n))
		f.servers[id] = httptest.NewServer(f.handler(id))
		t.Cleanup(f.servers[id].Close)
		f.router.dispatcher.applyAnnouncement(noticeAnnouncement(id, f.servers[id].URL, 1, 1, f.router.dispatcher.now()))
	}
	f.router.dispatcher.now = timer.Now
	server := httptest.NewServer(f.router.clientHandler())
	t.Cleanup(server.Close)
	f.url = server.URL
	f.set(func(_ int, w http.ResponseWriter, _ *http.Request) { writeCopyAnswer(w, r.GetEventStream(), "warm") })
	for range 30 {
		if status, body := f.get(t.Context()); status != http.StatusOK || !strings.Contains(body, "warm") {
			t.Fatalf("status %d with %q before the test", status, body)
		}
	}
	return f
}

func writeCopyAnswer(w http.ResponseWriter, stream bool, text string) {
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		text = "id: 1\ndata: " + text + "\n\n"
	}
	_, _ = io.WriteString(w, text)
}

func (f *copyFixture) handler(id registrar.UpstreamID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// A server notices that the client has gone once the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		f.mu.Lock()
		f.arrivals = append(f.arrivals, copyArrival{upstream: id, cancelled: request.Context().Done()})
		n, respond := len(f.arrivals), f.respond
		f.mu.Unlock()
		respond(n, w, request)
	})
}

func (f *copyFixture) set(respond func(n int, w http.ResponseWriter, request *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond, f.arrivals = respond, nil
}

func (f *copyFixture) arrived() []copyArrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]copyArrival(nil), f.arrivals...)
}

// get sends a call. Without a whole response the status is 0.
func (f *copyFixture) get(ctx context.Context) (status int, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/x", strings.NewReader("x"))
	if err != nil {
		return 0, err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// checkAtRest checks that all grants are released and that no upstream is held to have failed.
func (f *copyFixture) checkAtRest(t *testing.T) {
	t.Helper()
	d := f.router.dispatcher
	awaitCondition(t, "grants are not released", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		inFlight := 0
		for _, s := range d.upstreamStates {
			inFlight += s.limiter.InFlight()
		}
		for _, p := range d.pools {
			inFlight += p.inProgress
		}
		return inFlight == 0
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, s := range d.upstreamStates {
		if s.circuit.State(d.now()) != retrier.Closed || s.failures.Penalty(d.now()) > 0 {
			t.Errorf("upstream %s is held to have failed", id)
		}
	}
}

// answered returns the number of calls counted in usage.
func (f *copyFixture) answered() (calls uint64) {
	for _, c := range f.router.usage.Snapshot("e", "i", false).GetCounters() {
		calls += c.GetCalls()
	}
	return calls
}

// hang answers nothing until the request is cancelled.
func hang(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

// answerAfter answers after a time, or nothing if the request is cancelled before.
func answerAfter(d time.Duration, status int, text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, request *http.Request) {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(d):
		}
		w.WriteHeader(status)
		writeCopyAnswer(w, false, text)
	}
}

// reset breaks the connection off after a time.
func reset(d time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// TestCopyOfSlowRequest guards against a copy that does not help, goes to the same upstream or is not cancelled when
// it has lost, an error that wins over a response, and an attempt that is lost or counted as its upstream's failure.
func TestCopyOfSlowRequest(t *testing.T) {
	const soon, later = 20 * time.Millisecond, 150 * time.Millisecond
	refuse := func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(translator.HeaderAttempt, request.Header.Get(translator.HeaderAttempt))
		w.Header().Set(translator.HeaderIncarnation, "2")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	type handle = func(http.ResponseWriter, *http.Request)
	tests := map[string]struct {
		first, second, third handle
		attempts             int32
		status               int
		body                 string
		arrivals             int
		// fails reports that an upstream has failed indeed.
		fails bool
	}{
		"the copy wins":                        {first: hang, second: answerAfter(0, 200, "copy"), status: 200, body: "copy", arrivals: 2},
		"the first wins":                       {first: answerAfter(later, 200, "first"), second: hang, status: 200, body: "first", arrivals: 2},
		"an error of the copy does not win":    {first: answerAfter(later, 200, "first"), second: answerAfter(0, 500, "copy"), status: 200, body: "first", arrivals: 2},
		"an error of the first does not win":   {first: answerAfter(later, 404, "first"), second: answerAfter(2*later, 200, "copy"), status: 200, body: "copy", arrivals: 2},
		"both respond with errors":             {first: answerAfter(later, 404, "first"), second: answerAfter(0, 500, "copy"), status: 500, body: "copy", arrivals: 2},
		"an error before the deadline":         {first: hang, second: answerAfter(0, 500, "copy"), status: 500, body: "copy", arrivals: 2},
		"the first breaks off":                 {first: reset(later), second: answerAfter(2*later, 200, "copy"), status: 200, body: "copy", arrivals: 2, fails: true},
		"the copy breaks off":                  {first: answerAfter(2*later, 200, "first"), second: reset(soon), status: 200, body: "first", arrivals: 2, fails: true},
		"the copy is refused":                  {first: answerAfter(later, 200, "first"), second: refuse, status: 200, body: "first", arrivals: 2},
		"a refused copy is no attempt":         {first: answerAfter(later, 503, ""), second: refuse, third: answerAfter(0, 200, "third"), attempts: 2, status: 200, body: "third", arrivals: 3},
		"a copy is an attempt":                 {first: answerAfter(later, 503, "first"), second: answerAfter(0, 503, "copy"), attempts: 2, status: 502, arrivals: 2},
		"the first fails before a copy is due": {first: answerAfter(0, 503, ""), second: answerAfter(0, 200, "second"), status: 200, body: "second", arrivals: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCopyFixture(t, 4, nil, func(r *state.Route) { r.Attempts = test.attempts })
			handles := []handle{test.first, test.second, test.third}
			f.set(func(n int, w http.ResponseWriter, request *http.Request) { handles[n-1](w, request) })
			status, body := f.get(t.Context())
			arrivals := f.arrived()
			if status != test.status || !strings.Contains(body, test.body) || len(arrivals) != test.arrivals {
				t.Fatalf("status %d with %q, %d arrivals, want %d with %q, %d", status, body, len(arrivals), test.status, test.body, test.arrivals)
			}
			if arrivals[0].upstream == arrivals[1].upstream {
				t.Error("the copy went to the same upstream")
			}
			checkEnded(t, arrivals)
			if !test.fails {
				f.checkAtRest(t)
			}
		})
	}
}

// checkEnded checks that all requests have ended cancelTime after the response.
func checkEnded(t *testing.T, arrivals []copyArrival) {
	t.Helper()
	limit := time.After(cancelTime)
	for n, a := range arrivals {
		select {
		case <-a.cancelled:
		case <-limit:
			t.Fatalf("request %d at upstream %s goes on", n+1, a.upstream)
		}
	}
}

// TestNoCopy guards against copies of calls that may run once only, and of others without settings, budget, capacity,
// attempts or a second upstream.
func TestNoCopy(t *testing.T) {
	tests := map[string]struct {
		upstreams int
		change    func(*settings.Entry)
		route     func(*state.Route)
		// busy is the number of other calls in progress.
		busy int
		// copied is set in the comparison in which a copy is due.
		copied bool
	}{
		"a copy is due":                  {upstreams: 2, copied: true},
		"some slots in use":              {upstreams: 2, busy: 5, copied: true},
		"most slots in use":              {upstreams: 2, busy: 8},
		"may run once only":              {upstreams: 2, route: func(r *state.Route) { r.NonIdempotent = true }},
		"method may run once only":       {upstreams: 2, route: func(r *state.Route) { r.NonIdempotentMethods = []string{http.MethodPost} }},
		"stream that cannot be resumed":  {upstreams: 2, route: func(r *state.Route) { r.EventStream = true }},
		"no settings":                    {upstreams: 2, change: func(e *settings.Entry) { e.Hedging = nil }},
		"no copies allowed":              {upstreams: 2, change: func(e *settings.Entry) { e.Hedging.Ratio = 0 }},
		"fewer copies than would be due": {upstreams: 2, change: func(e *settings.Entry) { e.Hedging.Ratio = 0.02 }},
		"no retry left": {upstreams: 2, change: func(e *settings.Entry) {
			e.SharedBudget = &settings.SharedBudget{Window: durationpb.New(time.Second)}
		}},
		"one attempt":         {upstreams: 2, route: func(r *state.Route) { r.Attempts = 1 }},
		"no second upstream":  {upstreams: 1},
		"delay after the end": {upstreams: 2, change: func(e *settings.Entry) { e.Hedging.MinimumDelay = durationpb.New(time.Minute) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCopyFixture(t, test.upstreams, test.change, test.route)
			release := make(chan struct{})
			f.set(func(_ int, w http.ResponseWriter, _ *http.Request) {
				<-release
				writeCopyAnswer(w, test.route != nil && strings.Contains(name, "stream"), "done")
			})
			var calls sync.WaitGroup
			for range test.busy + 1 {
				calls.Go(func() {
					if status, body := f.get(t.Context()); status != http.StatusOK {
						t.Errorf("status %d with %q", status, body)
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			copies := len(f.arrived()) - test.busy - 1
			close(release)
			calls.Wait()
			if copied := copies > 0; copied != test.copied {
				t.Errorf("%d copies of %d calls, want some: %t", copies, test.busy+1, test.copied)
			}
			f.checkAtRest(t)
		})
	}
}

// TestClientLeavesRace guards against attempts that go on for a client that has gone.
func TestClientLeavesRace(t *testing.T) {
	f := newCopyFixture(t, 3, nil, nil)
	f.set(func(_ int, w http.ResponseWriter, request *http.Request) { hang(w, request) })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.get(ctx)
	}()
	awaitCondition(t, "no copy arrives", func() bool { return len(f.arrived()) == 2 })
	cancel()
	checkEnded(t, f.arrived())
	<-ended
	f.checkAtRest(t)
}

// TestDeadlineEndsRace guards against attempts that go on after the deadline.
func TestDeadlineEndsRace(t *testing.T) {
	f := newCopyFixture(t, 3, nil, func(r *state.Route) { r.Timeout = durationpb.New(300 * time.Millisecond) })
	f.set(func(_ int, w http.ResponseWriter, request *http.Request) { hang(w, request) })
	if status, body := f.get(t.Context()); status != http.StatusGatewayTimeout || len(f.arrived()) != 2 {
		t.Errorf("status %d with %q after %d arrivals, want %d after 2", status, body, len(f.arrived()), http.StatusGatewayTimeout)
	}
	checkEnded(t, f.arrived())
}

// TestFirstAnswersBeforeCopyIsSent guards against a copy that is sent after the first upstream has responded, when a
// connection for it has been established: its upstream would work for nothing. It is not at fault either.
func TestFirstAnswersBeforeCopyIsSent(t *testing.T) {
	f := newCopyFixture(t, 2, nil, nil)
	dialled, release := make(chan struct{}), make(chan struct{})
	f.router.upstreamClient.keepAlive.CloseIdleConnections()
	dial := f.router.upstreamClient.dial
	var dials atomic.Int64
	f.router.upstreamClient.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 2 {
			close(dialled)
			<-release
		}
		return dial(ctx, network, address)
	}
	f.set(func(_ int, w http.ResponseWriter, _ *http.Request) {
		<-dialled
		writeCopyAnswer(w, false, "first")
	})
	if status, body := f.get(t.Context()); status != http.StatusOK || body != "first" {
		t.Errorf("status %d with %q", status, body)
	}
	f.checkAtRest(t)
	close(release)
	time.Sleep(100 * time.Millisecond)
	if n := len(f.arrived()); n != 1 {
		t.Errorf("%d requests arrived, want 1", n)
	}
}

// TestBothAnswerAtOnce guards against responses that are lost, mixed or counted twice if both upstreams respond at
// the same moment.
func TestBothAnswerAtOnce(t *testing.T) {
	f := newCopyFixture(t, 4, func(e *settings.Entry) {
		e.UpstreamLimits.RetryPercent = 100
		e.Hedging.Quantile = 0.5
	}, nil)
	served := f.answered()
	const calls, between = 20, 3
	for range calls {
		// Most responses are fast, so that the slow ones do not raise the time after which a copy is due.
		f.set(func(_ int, w http.ResponseWriter, _ *http.Request) { writeCopyAnswer(w, false, "fast") })
		for range between {
			if status, body := f.get(t.Context()); status != http.StatusOK {
				t.Fatalf("status %d with %q", status, body)
			}
		}
		both := make(chan struct{})
		f.set(func(n int, w http.ResponseWriter, request *http.Request) {
			if n == 2 {
				close(both)
			}
			select {
			case <-both:
			case <-request.Context().Done():
			}
			writeCopyAnswer(w, false, strings.Repeat("answer", 1000))
		})
		if status, body := f.get(t.Context()); status != http.StatusOK || body != strings.Repeat("answer", 1000) {
			t.Fatalf("status %d with %d bytes", status, len(body))
		}
	}
	f.checkAtRest(t)
	if n := f.answered() - served; n != calls*(between+1) {
		t.Errorf("%d calls counted in usage, want %d", n, calls*(between+1))
	}
}
