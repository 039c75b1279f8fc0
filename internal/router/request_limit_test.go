package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// limiting returns the handler of an upstream that names a request limit.
func limiting(limit string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(translator.HeaderRequestLimit, limit)
		_, _ = io.WriteString(w, "done")
	}
}

// knowHosts makes a router one of a number of hosts.
func knowHosts(r *Router, hosts int) {
	names := []string{r.settings.GetHost().GetId()}
	for n := 1; n < hosts; n++ {
		names = append(names, "other-"+strconv.Itoa(n))
	}
	r.restrainer.SetHosts(announcer.HostIDs(names))
}

// limitOf returns evidence that an upstream named a limit a second ago.
func limitOf(id registrar.UpstreamID, limit float64) *wire.Evidence {
	return &wire.Evidence{Limits: []*wire.RequestLimit{{Upstream: string(id), Incarnation: 1, Limit: &limit, AtMillis: time.Now().Add(-time.Second).UnixMilli()}}}
}

// TestLimitedUpstreamGetsItsShare guards against requests beyond a limit that this process has
// been told in a response, whatever the response says besides, or that another one has reported.
func TestLimitedUpstreamGetsItsShare(t *testing.T) {
	tests := map[string]struct {
		respond http.HandlerFunc
		// reported reports that another process has heard of the limit.
		reported bool
	}{
		"success": {respond: limiting("2")},
		"failure": {respond: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(translator.HeaderRequestLimit, "2")
			w.WriteHeader(http.StatusInternalServerError)
		}},
		"twice": {respond: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Add(translator.HeaderRequestLimit, "7")
			w.Header().Add(translator.HeaderRequestLimit, "2")
		}},
		"reported": {respond: limiting("2"), reported: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server, upstreams := newNoticeRouter(t, "one", "two")
			knowHosts(r, 1)
			one := upstreams["one"]
			one.set(test.respond)
			if test.reported {
				r.mergeEvidence(limitOf("one", 2))
			}
			for began := time.Now(); one.calls.Load() == 0 && time.Since(began) < setupTimeout; {
				get(t, server.URL)
			}
			admit := r.upstreamClient.admit
			takenBack := 0
			r.upstreamClient.admit = func(u *registrar.Upstream, reserved restrainer.Reservation) (bool, error) {
				limited, err := admit(u, reserved)
				if err != nil {
					takenBack++
				}
				return limited, err
			}
			before, began := one.calls.Load(), time.Now()
			for time.Since(began) < 1500*time.Millisecond {
				if status, _ := get(t, server.URL); status >= http.StatusTooManyRequests && status != http.StatusInternalServerError {
					t.Fatalf("status %d although the other upstream has no limit", status)
				}
			}
			if takenBack > 3 {
				t.Errorf("%d requests were granted the upstream beyond its limit", takenBack)
			}
			// Three slots of two requests may be touched.
			if got := one.calls.Load() - before; got > 6 {
				t.Errorf("%d requests in 1.5 s at an upstream that takes 2 a second", got)
			}
		})
	}
}

// TestGrantBeforeLimit guards against a request that was granted an upstream before its limit
// became known and is sent all the same. It goes to another upstream, and neither the circuit nor
// the retries are charged.
func TestGrantBeforeLimit(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one", "two")
	knowHosts(r, 1)
	admit := r.upstreamClient.admit
	var refused, admitted atomic.Int64
	r.upstreamClient.admit = func(u *registrar.Upstream, reserved restrainer.Reservation) (bool, error) {
		if u.ID == "one" {
			r.mergeEvidence(limitOf("one", 0.001))
			limited, err := admit(u, reserved)
			if err != nil {
				refused.Add(1)
			} else {
				admitted.Add(1)
			}
			return limited, err
		}
		return admit(u, reserved)
	}
	for began := time.Now(); refused.Load() == 0 && time.Since(began) < setupTimeout; {
		if status, _ := get(t, server.URL); status != http.StatusOK {
			t.Fatalf("status %d, want 200 from the other upstream", status)
		}
	}
	if refused.Load() == 0 {
		t.Fatal("no request was granted the upstream before its limit was known")
	}
	if calls := upstreams["one"].calls.Load(); calls != admitted.Load() || calls > 1 {
		t.Errorf("%d requests reached the upstream, %d were admitted, one may be", calls, admitted.Load())
	}
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	if s := r.dispatcher.upstreamStates["one"]; s.circuit.State(r.dispatcher.now()) != retrier.Closed || s.failures.Penalty(r.dispatcher.now()) > 0 || s.limiter.InFlight() != 0 {
		t.Errorf("the upstream counts as failing (%f failures, %d in flight)", s.failures.Penalty(r.dispatcher.now()).Seconds(), s.limiter.InFlight())
	}
}

// TestWholePoolLimited guards against requests that wait in vain for upstreams all of which have
// a limit: those that get no turn before their deadline are refused at once, as not run, with the
// time to come back; the others are served.
func TestWholePoolLimited(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one", "two")
	knowHosts(r, 1)
	go func() { _ = r.dispatcher.run(t.Context()) }()
	for id, u := range upstreams {
		u.set(limiting("0.2"))
		r.mergeEvidence(limitOf(id, 0.2))
	}
	served, refused := 0, 0
	for began := time.Now(); time.Since(began) < 2500*time.Millisecond; {
		asked := time.Now()
		status, retryAfter := get(t, server.URL)
		switch status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			if seconds, err := strconv.Atoi(retryAfter); err != nil || seconds < 1 {
				t.Fatalf("Retry-After %q", retryAfter)
			}
			if time.Since(asked) > time.Second {
				t.Errorf("refused after %v", time.Since(asked))
			}
		default:
			t.Fatalf("status %d after %v, want 200 or 429", status, time.Since(asked))
		}
	}
	calls := upstreams["one"].calls.Load() + upstreams["two"].calls.Load()
	if int64(served) != calls || served > 3 || refused == 0 {
		t.Errorf("%d served, %d refused, %d requests at upstreams that take one in five seconds each", served, refused, calls)
	}
}

// TestLimitedPoolRefusesOnArrival guards against requests that are queued although they get no turn.
func TestLimitedPoolRefusesOnArrival(t *testing.T) {
	r, _, _ := newNoticeRouter(t, "one")
	knowHosts(r, 1)
	r.mergeEvidence(limitOf("one", 0.05))
	d := r.dispatcher
	one := d.registry.Get("one")
	turn := func() time.Duration {
		d.restrainer.Reserve(one)
		return d.restrainer.Turns([]*registrar.Upstream{one}, 1, time.Minute)[0]
	}
	awaitCondition(t, "the next turn stays near", func() bool { return turn() >= time.Second })
	request := dispatchRequest{pool: poolKey{kind: registrar.KindService, name: noticeService}, arrived: d.now(), deadline: d.now() + time.Second}
	w, refusal := d.enqueue(request)
	if w != nil || refusal == nil || refusal.Status != http.StatusTooManyRequests || refusal.Run != translator.NotRun || refusal.RetryAfter < turn() {
		t.Errorf("queued: %t, refusal %+v; want one, with the time of the next turn", w != nil, refusal)
	}
	request.deadline = d.now() + time.Minute
	if _, refusal = d.enqueue(request); refusal != nil {
		t.Errorf("a request that gets a turn is refused: %v", refusal)
	}
}

// TestLimitedPoolRefusesWaiting guards against requests that already wait when all upstreams of
// their pool name a limit and that time out.
func TestLimitedPoolRefusesWaiting(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one")
	knowHosts(r, 1)
	go func() { _ = r.dispatcher.run(t.Context()) }()
	document := engineDocument()
	document.Configuration.Routes[0].Service, document.Configuration.Routes[0].EventStream = noticeService, false
	document.Configuration.Routes[0].Timeout = durationpb.New(time.Minute)
	document.Configuration.Routes[0].Kind, document.Configuration.Routes[0].OpenToAll = configurer.KindService, true
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	hold := make(chan struct{})
	upstreams["one"].set(func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-hold:
		case <-request.Context().Done():
		}
	})
	statuses := make(chan int, 8)
	for range cap(statuses) {
		go func() {
			status, _ := get(t, server.URL)
			statuses <- status
		}()
	}
	awaitCondition(t, "no request reached the upstream", func() bool { return upstreams["one"].calls.Load() > 0 })
	r.mergeEvidence(limitOf("one", 0.05))
	select {
	case status := <-statuses:
		if status != http.StatusTooManyRequests {
			t.Errorf("status %d, want 429", status)
		}
	case <-time.After(setupTimeout):
		t.Error("the waiting requests are not refused")
	}
	close(hold)
	for range cap(statuses) - 1 {
		<-statuses
	}
}

// TestLimitedUpstreamUsesNewConnections guards against net/http, which sends a request a second
// time on its own when a reused connection breaks, at an upstream that counts each.
func TestLimitedUpstreamUsesNewConnections(t *testing.T) {
	r, server, upstreams := newNoticeRouter(t, "one")
	knowHosts(r, 1)
	get(t, server.URL)
	r.mergeEvidence(limitOf("one", 1000))
	var reusable atomic.Int64
	upstreams["one"].set(func(w http.ResponseWriter, request *http.Request) {
		if !request.Close {
			reusable.Add(1)
		}
		limiting("1000")(w, request)
	})
	for range 5 {
		if status, _ := get(t, server.URL); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	if reusable.Load() > 0 {
		t.Errorf("%d of 5 requests came on a connection that is used again", reusable.Load())
	}
}

// TestLimitEndsWithSlowStart guards against an upstream that gets all requests again at the
// moment when it does not name its limit any more.
func TestLimitEndsWithSlowStart(t *testing.T) {
	r, _, _ := newNoticeRouter(t, "one")
	knowHosts(r, 1)
	now := r.dispatcher.now() + time.Minute
	r.dispatcher.now = func() time.Duration { return now }
	u := r.dispatcher.registry.Get("one")
	key := poolKey{kind: registrar.KindService, name: noticeService}
	free := func() int {
		r.dispatcher.mu.Lock()
		defer r.dispatcher.mu.Unlock()
		r.dispatcher.candidates(key, r.dispatcher.pool(key))
		return r.dispatcher.upstreamStates["one"].limiter.Limit(now)
	}
	before := free()
	r.mergeEvidence(limitOf("one", 1))
	free()
	if changed, _ := r.restrainer.Observe(u, "", 0); !changed {
		t.Fatal("a response without a limit does not end it")
	}
	if after := free(); after >= before {
		t.Errorf("%d requests at a time at once after the limit, %d before", after, before)
	}
}

// TestLimitReachesOtherProcesses guards against processes that learn of a limit by exceeding it:
// the one that hears of it tells the control processes, and tells restarted ones again.
func TestLimitReachesOtherProcesses(t *testing.T) {
	r, _, _ := newNoticeRouter(t, "one")
	u := r.dispatcher.registry.Get("one")
	r.restrainer.Observe(u, "1", time.Millisecond)
	e, position := r.evidenceSince(evidencePosition{})
	if len(e.GetLimits()) != 1 || e.GetLimits()[0].GetLimit() != 1 {
		t.Fatalf("evidence %v, want the limit", e)
	}
	if e, _ = r.evidenceSince(position); len(e.GetLimits()) != 0 {
		t.Errorf("%v is sent again", e)
	}
	r.mergeEvidence(limitOf("two", 2))
	if e, _ = r.evidenceSince(position); len(e.GetLimits()) != 0 {
		t.Errorf("%v came from others and is sent back", e)
	}
	if e = r.allEvidence(); len(e.GetLimits()) != 2 {
		t.Errorf("%v for a restarted control process, want both limits", e)
	}
	other, _, _ := newNoticeRouter(t, "one")
	p := newControlPoller(other)
	p.apply("", &wire.Follow{}, &wire.FollowReply{Evidence: e, EntryIds: announcer.HostIDs([]string{"a", "b"}), TrueMillis: time.Now().UnixMilli()})
	if restraint := other.restrainer.RestraintOf(u); !restraint.Limited {
		t.Error("a process that was told of the limit does not keep to it")
	}
	if digest := p.newRequest(cursor{}, 0).GetEntryIdsDigest(); digest != announcer.DigestOf(announcer.HostIDs([]string{"b", "a"})) {
		t.Error("the poll does not say which hosts the process knows")
	}
}

// TestResponsesThatEndNoLimit guards against a limit that ends by a response which does not show
// that the upstream names none any more.
func TestResponsesThatEndNoLimit(t *testing.T) {
	tests := map[string]struct {
		status int
		info   translator.ResponseInfo
		ends   bool
	}{
		"success":                {status: http.StatusOK, ends: true},
		"failure":                {status: http.StatusInternalServerError},
		"refusal":                {status: http.StatusOK, info: translator.ResponseInfo{NotRun: true}},
		"of an intermediary":     {status: http.StatusOK, info: translator.ResponseInfo{FromIntermediary: true}},
		"of another attempt":     {status: http.StatusOK, info: translator.ResponseInfo{EchoedAttempt: "other"}},
		"names the limit itself": {status: http.StatusOK, info: translator.ResponseInfo{RequestLimit: "1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _, _ := newNoticeRouter(t, "one")
			u := r.dispatcher.registry.Get("one")
			r.mergeEvidence(limitOf("one", 1))
			at := &attempt{id: "own", grant: &grant{upstream: u, state: r.dispatcher.upstreamStates["one"]}, response: &http.Response{StatusCode: test.status}, startedAt: r.dispatcher.now()}
			r.handleRequestLimit(at, test.info)
			if limited := r.restrainer.RestraintOf(u).Limited; limited == test.ends {
				t.Errorf("limited: %t, want %t", limited, !test.ends)
			}
		})
	}
}

// TestUnheardUpstreamIsUsed guards against a limit that never ends since no host sends anything to
// its upstream: after some time the next request that may be repeated goes there.
func TestUnheardUpstreamIsUsed(t *testing.T) {
	for name, retryable := range map[string]bool{"may be repeated": true, "runs once": false} {
		t.Run(name, func(t *testing.T) {
			r, _, _ := newNoticeRouter(t, "one", "two", "three")
			knowHosts(r, 1)
			now := r.dispatcher.now() + time.Minute
			r.dispatcher.now = func() time.Duration { return now }
			r.mergeEvidence(limitOf("two", 100))
			key := poolKey{kind: registrar.KindService, name: noticeService}
			chosen := map[registrar.UpstreamID]int{}
			for n := range 30 {
				r.dispatcher.mu.Lock()
				upstreams, candidates := r.dispatcher.candidates(key, r.dispatcher.pool(key))
				w := &waiter{request: dispatchRequest{pool: key, pick: picker.Request{Retryable: retryable}}}
				g := r.dispatcher.grantUpstream(w, key, upstreams, candidates)
				g.state.requestFinished(now, outcomeAbandoned)
				r.dispatcher.mu.Unlock()
				chosen[g.upstream.ID]++
				if n == 0 && retryable && g.upstream.ID != "two" {
					t.Error("the upstream with a limit is not asked although it was never heard of")
				}
				r.dispatcher.heard(g)
			}
			if chosen["one"]+chosen["three"] < 10 || chosen["two"] == 0 && retryable {
				t.Errorf("chosen %v, want the one with a limit first and then others too", chosen)
			}
			now += 2 * maxUnheardTime
			r.dispatcher.mu.Lock()
			upstreams, candidates := r.dispatcher.candidates(key, r.dispatcher.pool(key))
			w := &waiter{request: dispatchRequest{pool: key, pick: picker.Request{Retryable: retryable, Avoid: []registrar.UpstreamID{"two"}}}}
			if g := r.dispatcher.grantUpstream(w, key, upstreams, candidates); g.upstream.ID == "two" {
				t.Error("a request that has failed there goes to it again")
			}
			r.dispatcher.mu.Unlock()
		})
	}
}

// TestSilenceChecksCount guards against questions about silent attempts that an upstream with a
// request limit gets beyond it.
func TestSilenceChecksCount(t *testing.T) {
	for name, allowed := range map[string]bool{"allowed": true, "not allowed": false} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				_, _ = io.WriteString(w, `{"state":"running"}`)
			}))
			defer server.Close()
			r := newTestRouter(t)
			u := r.upstreamClient
			u.limits.SilenceTimeout = durationpb.New(40 * time.Millisecond)
			var admitted atomic.Int64
			u.admit = func(*registrar.Upstream, restrainer.Reservation) (bool, error) {
				admitted.Add(1)
				if allowed {
					return true, nil
				}
				return true, &restrainer.LimitError{}
			}
			at := &attempt{
				id: "a", startedAt: u.now(), done: make(chan struct{}), cancel: func(error) {},
				grant: &grant{upstream: &registrar.Upstream{URL: server.URL}, state: &upstreamState{leaseEnded: make(chan struct{})}},
			}
			ended := make(chan struct{})
			go func() {
				u.watchSilence(t.Context(), at)
				close(ended)
			}()
			awaitCondition(t, "the silence is not noticed", func() bool {
				return admitted.Load() >= 3 && (!allowed || asked.Load() > 0)
			})
			close(at.done)
			<-ended
			if !allowed && asked.Load() > 0 {
				t.Errorf("%d questions beyond the limit", asked.Load())
			}
		})
	}
}
