package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const noticeService = "orders"

// noticeUpstream is an upstream whose responses can be changed.
type noticeUpstream struct {
	id      registrar.UpstreamID
	calls   atomic.Int64
	respond atomic.Pointer[http.HandlerFunc]
}

func (u *noticeUpstream) set(respond http.HandlerFunc) { u.respond.Store(&respond) }

// newNoticeRouter returns an entry process and its server with the given upstreams of one
// service.
func newNoticeRouter(t *testing.T, ids ...registrar.UpstreamID) (*Router, *httptest.Server, map[registrar.UpstreamID]*noticeUpstream) {
	t.Helper()
	r := newTestRouter(t)
	upstreams := map[registrar.UpstreamID]*noticeUpstream{}
	for _, id := range ids {
		u := &noticeUpstream{id: id}
		u.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			u.calls.Add(1)
			(*u.respond.Load())(w, request)
		}))
		t.Cleanup(server.Close)
		upstreams[id] = u
		r.dispatcher.applyAnnouncement(noticeAnnouncement(id, server.URL, 1, 1, r.dispatcher.now()))
	}
	err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 1, Whole: true, Configuration: &state.Configuration{
		Classes: []*state.Class{{Name: "c", Tier: 1}},
		Routes: []*state.Route{{
			Name: "r", PathPrefix: "/", Kind: configurer.KindService, Service: noticeService, Classes: []string{"c"},
			OpenToAll: true, Timeout: durationpb.New(2 * time.Second),
		}},
	}}, delivery{})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(r.clientHandler())
	t.Cleanup(server.Close)
	return r, server, upstreams
}

func noticeAnnouncement(id registrar.UpstreamID, url string, incarnation registrar.Incarnation, sequence registrar.Sequence, now time.Duration) registrar.Upstream {
	return registrar.Upstream{
		ID: id, Incarnation: incarnation, Sequence: sequence, URL: url, FailureDomain: "a", Kind: registrar.KindService,
		Serves: []string{noticeService}, State: registrar.Serving, AnnouncedAt: now, Load: registrar.Load{Slots: 8},
	}
}

// get sends one call and returns the status and the Retry-After header.
func get(t *testing.T, url string) (status int, retryAfter string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/order", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(translator.HeaderRetryAfter)
}

// TestLeavingResponses guards against requests to an upstream that has said in a response,
// successful or not, that it is leaving. From that response on it gets no further request,
// also if it announces itself as serving again, until its next incarnation; and the control
// processes are told until one has acknowledged it.
func TestLeavingResponses(t *testing.T) {
	for name, status := range map[string]int{"success": http.StatusOK, "failure": http.StatusInternalServerError, "refusal": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newNoticeRouter(t, "one")
			u := upstreams["one"]
			url := r.dispatcher.registry.Get("one").URL
			u.set(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(translator.HeaderState, string(registrar.Leaving))
				w.WriteHeader(status)
			})
			get(t, server.URL)
			before := u.calls.Load()
			if got, _ := get(t, server.URL); got != http.StatusServiceUnavailable || u.calls.Load() != before {
				t.Errorf("status %d and %d further requests, want 503 and none", got, u.calls.Load()-before)
			}
			r.dispatcher.applyAnnouncement(noticeAnnouncement("one", url, 1, 9, r.dispatcher.now()))
			if get(t, server.URL); u.calls.Load() != before {
				t.Error("an announcement of the same incarnation brought the upstream back")
			}
			p := newControlPoller(r)
			request := p.newRequest(cursor{}, 1)
			if len(request.GetLeaving()) != 1 || request.GetLeaving()[0].GetId() != "one" || request.GetLeaving()[0].GetIncarnation() != 1 {
				t.Fatalf("request %v, want one that names the upstream as leaving", request)
			}
			if len(p.newRequest(cursor{}, 0).GetLeaving()) != 1 {
				t.Error("the withdrawal is not sent again although no control process has acknowledged it")
			}
			p.apply("", request, &wire.FollowReply{})
			if len(p.newRequest(cursor{}, 0).GetLeaving()) != 0 {
				t.Error("the withdrawal is sent again after it was acknowledged")
			}
			u.set(func(http.ResponseWriter, *http.Request) {})
			r.dispatcher.applyAnnouncement(noticeAnnouncement("one", url, 2, 1, r.dispatcher.now()))
			if got, _ := get(t, server.URL); got != http.StatusOK {
				t.Errorf("status %d of the next incarnation, want 200", got)
			}
		})
	}
}

// TestRequestedPause guards against requests to an upstream that has asked for a pause with
// a 503: the other upstream gets them; with both pausing beyond the deadline they are
// refused at once, as not run and with the time to come back. A single request is let
// through at the end of the pause.
func TestRequestedPause(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one", "two")
	now := r.dispatcher.now()
	r.dispatcher.now = func() time.Duration { return now }
	pause := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(translator.HeaderRetryAfter, "30")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	one, two := upstreams["one"], upstreams["two"]
	one.set(pause)
	for one.calls.Load() == 0 {
		if status, _ := get(t, server.URL); status != http.StatusOK {
			t.Fatalf("status %d, want 200 from the other upstream", status)
		}
	}
	for range 20 {
		get(t, server.URL)
	}
	if one.calls.Load() != 1 {
		t.Errorf("%d requests reached the upstream that asked for a pause, want only the one before it", one.calls.Load())
	}
	two.set(pause)
	get(t, server.URL)
	before := one.calls.Load() + two.calls.Load()
	for range 5 {
		status, retryAfter := get(t, server.URL)
		if status != http.StatusServiceUnavailable || len(retryAfter) < 2 {
			t.Errorf("status %d, Retry-After %q; want 503 and at least 30 s", status, retryAfter)
		}
	}
	if after := one.calls.Load() + two.calls.Load(); after != before {
		t.Errorf("%d requests during the pauses, want none", after-before)
	}
	now += 31 * time.Second
	r.dispatcher.mu.Lock()
	state := r.dispatcher.upstreamStates["one"]
	if state.circuit.State(now) != retrier.HalfOpen {
		t.Errorf("circuit is in state %d after the pause, want half-open", state.circuit.State(now))
	}
	state.requestStarted(now)
	if state.free(now) {
		t.Error("a second request is let through beside the probe")
	}
	r.dispatcher.mu.Unlock()
}

// TestLeaveBeforeSend guards against a request to an upstream whose leave becomes known after
// the upstream was chosen and before the request is sent: while a claim is committed or a
// connection is established, which can take seconds.
func TestLeaveBeforeSend(t *testing.T) {
	tests := map[string]func(u *upstreamClient, leave func()){
		"before a connection is obtained": func(u *upstreamClient, leave func()) {
			u.onStart = func(*call, *attempt) { leave() }
		},
		"while it is established": func(u *upstreamClient, leave func()) {
			dial := u.keepAlive.DialContext
			u.keepAlive.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				leave()
				return dial(ctx, network, address)
			}
		},
	}
	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newNoticeRouter(t, "one")
			arrange(r.upstreamClient, func() { r.dispatcher.depart(registrar.Departure{ID: "one", Incarnation: 1}) })
			status, retryAfter := get(t, server.URL)
			if n := upstreams["one"].calls.Load(); n != 0 {
				t.Errorf("%d requests reached the upstream, want none", n)
			}
			if status != http.StatusServiceUnavailable || retryAfter == "" {
				t.Errorf("status %d, Retry-After %q; want a refusal that says when to come back", status, retryAfter)
			}
			if n := r.dispatcher.upstreamStates["one"].failures.Penalty(r.dispatcher.now()); n != 0 {
				t.Errorf("the leave counts as a failure of the upstream: penalty %v", n)
			}
		})
	}
}

// TestLeaveIsRemembered guards against requests to an upstream that has said that it is leaving,
// after this process has forgotten the upstream with the end of its lease: a late announcement
// of a control process that does not know of the leave brought it back.
func TestLeaveIsRemembered(t *testing.T) {
	tests := map[string]func(r *Router, u *registrar.Upstream){
		"said in a response": func(r *Router, u *registrar.Upstream) { r.dispatcher.withdraw(u) },
		"said in a response after its lease": func(r *Router, u *registrar.Upstream) {
			r.dispatcher.registry.Expire(r.dispatcher.now() + time.Hour)
			r.dispatcher.withdraw(u)
		},
		"committed by the control processes": func(r *Router, u *registrar.Upstream) {
			r.dispatcher.depart(registrar.Departure{ID: u.ID, Incarnation: u.Incarnation})
		},
		"handed out by a control process polled": func(r *Router, u *registrar.Upstream) {
			leaving := *u
			leaving.State, leaving.Sequence = registrar.Leaving, u.Sequence+1
			r.dispatcher.applyAnnouncement(leaving)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newNoticeRouter(t, "one")
			u := r.dispatcher.registry.Get("one")
			leave(r, u)
			r.dispatcher.registry.Expire(r.dispatcher.now() + time.Hour)
			r.dispatcher.applyAnnouncement(noticeAnnouncement("one", u.URL, 1, 9, r.dispatcher.now()))
			if status, _ := get(t, server.URL); status != http.StatusServiceUnavailable || upstreams["one"].calls.Load() != 0 {
				t.Errorf("status %d and %d requests, want 503 and none", status, upstreams["one"].calls.Load())
			}
			r.dispatcher.applyAnnouncement(noticeAnnouncement("one", u.URL, 2, 1, r.dispatcher.now()))
			if status, _ := get(t, server.URL); status != http.StatusOK {
				t.Errorf("status %d of the next incarnation, want 200", status)
			}
		})
	}
}

// TestPolledLeaves guards against requests to upstreams of which a control process tells only that their
// runs are leaving, also when their rows arrive later.
func TestPolledLeaves(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one", "two")
	urls := map[registrar.UpstreamID]string{}
	for id := range upstreams {
		urls[id] = r.dispatcher.registry.Get(id).URL
	}
	run := func(id string, incarnation uint64) *wire.UpstreamRun {
		return &wire.UpstreamRun{Id: id, Incarnation: incarnation}
	}
	p := newControlPoller(r)
	p.applyUpstreams("control", &wire.FollowReply{Leaving: []*wire.UpstreamRun{run("one", 1), run("two", 2), run("unknown", 3)}})
	r.dispatcher.applyAnnouncement(noticeAnnouncement("one", urls["one"], 1, 9, r.dispatcher.now()))
	r.dispatcher.applyAnnouncement(noticeAnnouncement("two", urls["two"], 1, 9, r.dispatcher.now()))
	r.dispatcher.applyAnnouncement(noticeAnnouncement("unknown", urls["one"], 3, 1, r.dispatcher.now()))
	if status, _ := get(t, server.URL); status != http.StatusServiceUnavailable || upstreams["one"].calls.Load()+upstreams["two"].calls.Load() > 0 {
		t.Errorf("status %d, %d and %d requests; want 503 and none", status, upstreams["one"].calls.Load(), upstreams["two"].calls.Load())
	}
	r.dispatcher.applyAnnouncement(noticeAnnouncement("one", urls["one"], 2, 1, r.dispatcher.now()))
	if status, _ := get(t, server.URL); status != http.StatusOK || upstreams["one"].calls.Load() != 1 {
		t.Errorf("status %d, %d requests; want the next run to serve", status, upstreams["one"].calls.Load())
	}
}
