package router

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

func evacuations(position uint64, domains ...string) *state.Evacuations {
	return &state.Evacuations{Position: position, FailureDomains: domains}
}

// announceIn announces an upstream of newNoticeRouter again, in a failure domain.
func announceIn(r *Router, id registrar.UpstreamID, domain registrar.FailureDomain) {
	u := *r.dispatcher.registry.Get(id)
	u.Sequence, u.FailureDomain = u.Sequence+1, domain
	r.dispatcher.applyAnnouncement(u)
}

// TestEvacuatedDomain guards against requests to an evacuated domain, against an evacuation that the reply
// of a control process revokes that lags behind or was restarted, and against a domain that stays without
// requests when its evacuation has finished.
func TestEvacuatedDomain(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one", "two")
	announceIn(r, "two", "b")
	p := newControlPoller(r)
	control := messenger.NewClient("control", messenger.Security{}, time.Second)
	t.Cleanup(control.Close)
	poll := func(e *state.Evacuations) { p.apply("control", &wire.Follow{}, &wire.FollowReply{Evacuations: e}) }
	confirm := func(e *state.Evacuations) {
		reply := &wire.SyncReply{Revision: 1, Evacuations: e}
		if err := r.controlPlane.applyReply(r.dispatcher.now(), 1, syncResult{client: control, reply: reply}); err != nil {
			t.Fatal(err)
		}
	}
	steps := []struct {
		name   string
		by     func(*state.Evacuations)
		known  *state.Evacuations
		status int
		// one and two report which upstreams may get requests.
		one, two bool
		position uint64
	}{
		{"no order yet", poll, evacuations(0), 200, true, true, 0},
		{"start", poll, evacuations(5, "a"), 200, false, true, 5},
		{"a restarted control process", poll, evacuations(0), 200, false, true, 5},
		{"a control process that lags behind", poll, evacuations(4, "b"), 200, false, true, 5},
		{"a control process of an earlier release", poll, nil, 200, false, true, 5},
		{"start of the other, confirmed", confirm, evacuations(9, "a", "b"), 503, false, false, 9},
		{"a leader of an earlier release", confirm, nil, 503, false, false, 9},
		{"finish", confirm, evacuations(12, "b"), 200, true, false, 12},
		{"finish of the other", poll, evacuations(13), 200, true, true, 13},
	}
	for _, step := range steps {
		step.by(step.known)
		before := map[registrar.UpstreamID]int64{"one": upstreams["one"].calls.Load(), "two": upstreams["two"].calls.Load()}
		for range 20 {
			if status, retryAfter := get(t, server.URL); status != step.status || (status == 503) != (retryAfter != "") {
				t.Errorf("%s: status %d, Retry-After %q; want status %d", step.name, status, retryAfter, step.status)
			}
		}
		for id, may := range map[registrar.UpstreamID]bool{"one": step.one, "two": step.two} {
			if n := upstreams[id].calls.Load() - before[id]; n > 0 && !may {
				t.Errorf("%s: %d requests to upstream %s, want none", step.name, n, id)
			}
		}
		if got := p.newRequest(cursor{}, 0).GetEvacuationPosition(); got != step.position {
			t.Errorf("%s: position %d in the next poll, want %d", step.name, got, step.position)
		}
		if got := r.controlPlane.newSyncRequest(0, false).GetEvacuationPosition(); got != step.position {
			t.Errorf("%s: position %d in the next sync request, want %d", step.name, got, step.position)
		}
	}
}

// TestEvacuationBeforeSend guards against a request to a domain whose evacuation becomes known after the
// upstream was chosen and before the request is sent.
func TestEvacuationBeforeSend(t *testing.T) {
	tests := map[string]func(u *upstreamClient, evacuate func()){
		"before a connection is obtained": func(u *upstreamClient, evacuate func()) {
			u.onStart = func(*call, *attempt) { evacuate() }
		},
		"while it is established": func(u *upstreamClient, evacuate func()) {
			dial := u.keepAlive.DialContext
			u.keepAlive.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				evacuate()
				return dial(ctx, network, address)
			}
		},
	}
	for name, arrange := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newNoticeRouter(t, "one")
			arrange(r.upstreamClient, func() { r.applyEvacuations(evacuations(5, "a"), leavePolled, "control") })
			status, retryAfter := get(t, server.URL)
			if n := upstreams["one"].calls.Load(); n != 0 {
				t.Errorf("%d requests reached the upstream, want none", n)
			}
			if status != http.StatusServiceUnavailable || retryAfter == "" {
				t.Errorf("status %d, Retry-After %q; want a refusal that says when to come back", status, retryAfter)
			}
			if n := r.dispatcher.upstreamStates["one"].failures.Penalty(r.dispatcher.now()); n != 0 {
				t.Errorf("the evacuation counts as a failure of the upstream: penalty %v", n)
			}
		})
	}
}

// TestEvacuationWithRequestsInProgress guards against an evacuation that breaks a request that runs in the
// domain, and against a retry or a waiting request that goes there.
func TestEvacuationWithRequestsInProgress(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one")
	one := upstreams["one"]
	arrived, finish := make(chan struct{}), make(chan struct{})
	one.set(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-finish
	})
	running := make(chan int)
	go func() {
		status, _ := get(t, server.URL)
		running <- status
	}()
	<-arrived
	r.applyEvacuations(evacuations(5, "a"), leavePolled, "control")
	if status, _ := get(t, server.URL); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of a new request, want 503", status)
	}
	close(finish)
	if status := <-running; status != http.StatusOK || one.calls.Load() != 1 {
		t.Errorf("status %d of the request in progress and %d requests; want 200 and one", status, one.calls.Load())
	}
}

// TestRetryAvoidsEvacuatedDomain guards against a retry that is sent to a domain that was evacuated while
// the first attempt ran.
func TestRetryAvoidsEvacuatedDomain(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one")
	upstreams["one"].set(func(w http.ResponseWriter, _ *http.Request) {
		r.applyEvacuations(evacuations(5, "a"), leavePolled, "control")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if status, _ := get(t, server.URL); status != http.StatusServiceUnavailable || upstreams["one"].calls.Load() != 1 {
		t.Errorf("status %d and %d requests, want 503 and the one before the evacuation", status, upstreams["one"].calls.Load())
	}
}

// TestVersionInEvacuatedDomain guards against a stream that ends as if its version had left for good, or
// that goes on in the domain or at another version, while only an evacuated domain serves its version.
func TestVersionInEvacuatedDomain(t *testing.T) {
	r := newTestRouter(t)
	now := r.dispatcher.now() + time.Minute
	r.dispatcher.now = func() time.Duration { return now }
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
	for id, domain := range map[registrar.UpstreamID]registrar.FailureDomain{"v1": "a", "v2": "b"} {
		u := noticeAnnouncement(id, "http://"+string(id), 1, 1, now)
		u.FailureDomain, u.Version = domain, registrar.Version(id)
		r.dispatcher.applyAnnouncement(u)
	}
	version, other := registrar.Version("v1"), registrar.Version("v2")
	request := func(v *registrar.Version) *translator.RefusalError {
		return r.dispatcher.unservedRefusal(dispatchRequest{pool: poolKey{kind: registrar.KindService, name: noticeService}, version: v})
	}
	if refusal := request(&version); refusal != nil {
		t.Fatalf("refused before the evacuation: %v", refusal)
	}
	r.applyEvacuations(evacuations(5, "a"), leaveCommitted, "control")
	refusal := request(&version)
	if refusal == nil || refusal.Status != http.StatusServiceUnavailable || refusal.RetryAfter == 0 || refusal.Run != translator.NotRun {
		t.Errorf("refusal %v, want 503 with Retry-After", refusal)
	}
	if request(&other) != nil || request(nil) != nil {
		t.Error("requests that the other domain can serve are refused")
	}
}

// TestEvacuationComesWithSync guards against an evacuation that an entry process does not hear of whose polls
// go to control processes that are cut off: the confirmed sync has all orders that were acknowledged before.
func TestEvacuationComesWithSync(t *testing.T) {
	const bound = 5 * time.Second
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	r := newSyncingRouter(t, "e", group.addresses())
	r.awaitRevision(t, revision, setupTimeout)
	u := announcedUpstream(0, r.dispatcher.now())
	for _, finish := range []bool{false, true} {
		group.commit(&state.Command{Kind: &state.Command_EvacuationOrder{EvacuationOrder: &state.EvacuationOrder{FailureDomain: "a", Finish: finish}}})
		acknowledged := timer.Now()
		awaitCondition(t, "the order is not known", func() bool { return (r.dispatcher.checkWithheld(&u) == nil) == finish })
		if after := timer.Now() - acknowledged; after > bound {
			t.Errorf("the order is known after %v, want %v", after, bound)
		}
	}
}
