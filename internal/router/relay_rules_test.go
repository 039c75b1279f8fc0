package router

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// cancelLimit is the time within which the work on a cancelled request ends.
	cancelLimit = 500 * time.Millisecond
	// straightLimit is the time from the end of a cut within which requests are served without
	// another host.
	straightLimit = time.Second
	cutRequests   = 20
)

// passedOn returns the log lines of the requests that the host has passed on, with an outcome.
func (h *relayHost) passedOn(outcome string) []observer.LoggedEntry {
	var lines []observer.LoggedEntry
	for _, line := range h.logs.FilterMessage("request passed on").All() {
		if line.ContextMap()["outcome"] == outcome {
			lines = append(lines, line)
		}
	}
	return lines
}

// result is what a client gets for a request.
type result struct {
	status int
	run    string
	whole  bool
}

func (h *relayHost) order(ctx context.Context, path, id string, onHead ...func()) result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, http.NoBody)
	if err != nil {
		return result{}
	}
	request.Header.Set(headerCallID, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{}
	}
	defer func() { _ = response.Body.Close() }()
	for _, call := range onHead {
		call()
	}
	_, err = io.Copy(io.Discard, response.Body)
	return result{status: response.StatusCode, run: response.Header.Get(translator.HeaderRun), whole: err == nil}
}

// TestRelayedOrderRunsOnce guards against an order that runs twice, or has run and is said not to
// have, when the host that it is passed on to fails.
func TestRelayedOrderRunsOnce(t *testing.T) {
	tests := map[string]struct {
		hosts int
		// before and atRun are called before the first connection to the peer, and while the order runs.
		before, atRun func(peer *relayHost)
		// begins reports that the response begins before atRun is called.
		begins bool
		want   result
		runs   int
	}{
		"nothing fails": {hosts: 2, want: result{status: http.StatusOK, whole: true}, runs: 1},
		"the peer is gone, another one serves": {
			hosts: 3, before: func(peer *relayHost) { peer.stopPeers() }, want: result{status: http.StatusOK, whole: true}, runs: 1,
		},
		"the connection breaks before the response": {
			hosts: 3, atRun: func(peer *relayHost) { peer.stopPeers() },
			want: result{status: http.StatusBadGateway, run: string(translator.MayHaveRun), whole: true}, runs: 1,
		},
		"the connection breaks in the response": {
			hosts: 3, atRun: func(peer *relayHost) { peer.stopPeers() }, begins: true, want: result{status: http.StatusOK}, runs: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startRelayGroup(t, test.hosts)
			cut := g.hosts[0]
			if test.before != nil {
				test.before(g.hosts[1])
			}
			cut.cut(t, linkResets)
			head := make(chan struct{})
			g.setRespond(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerCallID) != "order" || test.atRun == nil {
					_, _ = io.WriteString(w, "done")
					return
				}
				if test.begins {
					_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
					_ = http.NewResponseController(w).Flush()
					<-head
				}
				for _, peer := range g.hosts[1:] {
					if peer.router.inProgress.Load() > 0 {
						test.atRun(peer)
					}
				}
				<-r.Context().Done()
			})
			got := cut.order(t.Context(), "/order/x", "order", func() { close(head) })
			if got != test.want || g.runs.of("order") != test.runs {
				t.Errorf("got %+v and %d runs, want %+v and %d", got, g.runs.of("order"), test.want, test.runs)
			}
		})
	}
}

// TestRequestInProgressAtCut guards against requests that are lost because they were sent or waited
// when the cut began: those that may run again, and those that were not sent, are served elsewhere,
// within the attempts that the route allows.
func TestRequestInProgressAtCut(t *testing.T) {
	for name, state := range map[string]linkState{"hangs": linkHangs, "reset": linkResets} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startRelayGroup(t, 2)
			cut := g.hosts[0]
			for n := range cutRequests {
				cut.send(t.Context(), "/any/x", fmt.Sprint("before", n))
			}
			cut.link.set(state)
			var (
				sending sync.WaitGroup
				mu      sync.Mutex
				served  = map[string]int{}
			)
			for n := range cutRequests {
				for _, path := range []string{"/any/", "/order/"} {
					sending.Go(func() {
						got := cut.order(t.Context(), path+"x", fmt.Sprint(path, n))
						runs := g.runs.of(fmt.Sprint(path, n))
						mu.Lock()
						defer mu.Unlock()
						if got.status == http.StatusOK {
							served[path]++
						}
						if path == "/order/" && (runs > 1 || runs == 1 && got.run == string(translator.NotRun)) || runs > 2 {
							t.Errorf("%s ran %d times and got %+v", path, runs, got)
						}
					})
				}
			}
			sending.Wait()
			t.Logf("served %v of %d each, %d passed on", served, cutRequests, len(cut.passedOn("relayed")))
			if 3*served["/any/"] < 2*cutRequests {
				t.Errorf("%d of %d repeatable requests were served", served["/any/"], cutRequests)
			}
		})
	}
}

// TestRelayedAttemptsAreCounted guards against more attempts than the route allows because a request is sent
// by two hosts.
func TestRelayedAttemptsAreCounted(t *testing.T) {
	g := startRelayGroup(t, 2)
	r := g.hosts[1].router
	g.setRespond(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	for attempts, runs := range map[int]int{0: 2, 1: 1} {
		id := fmt.Sprint("call", attempts)
		c := &call{method: http.MethodPost, requestURI: "/any/x", hostHeader: "h", header: http.Header{headerCallID: {id}}}
		c.deadline = r.dispatcher.now() + relayTimeout
		h := &callHandler{router: g.hosts[0].router, call: c, attempts: attempts, requestID: translator.AttemptID(id)}
		g.hosts[0].cut(t, linkResets)
		out, refusal := h.passOn(t.Context())
		if refusal != nil || out == nil {
			t.Fatalf("%d attempts before: refusal %v", attempts, refusal)
		}
		out.passedOn.Close()
		if got := g.runs.of(id); got != runs {
			t.Errorf("%d attempts before: %d runs, want %d", attempts, got, runs)
		}
	}
}

// TestRelayedStream guards against events of a stream that are held back until a later one.
func TestRelayedStream(t *testing.T) {
	g := startRelayGroup(t, 2)
	cut := g.hosts[0]
	cut.cut(t, linkResets)
	received := make(chan struct{})
	g.setRespond(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range streamEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-received:
			case <-r.Context().Done():
				return
			}
		}
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, cut.url+"/stream/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	events := 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
			received <- struct{}{}
		}
	}
	if lines.Err() != nil || events != streamEvents || len(cut.passedOn("relayed")) == 0 {
		t.Errorf("%d events, error %v, %d passed on", events, lines.Err(), len(cut.passedOn("relayed")))
	}
}

// TestCancelledRelayEndsAttempt guards against an attempt that goes on at the other host after the client has gone.
func TestCancelledRelayEndsAttempt(t *testing.T) {
	g := startRelayGroup(t, 2)
	cut := g.hosts[0]
	cut.cut(t, linkResets)
	running, ended := make(chan struct{}), make(chan struct{})
	g.setRespond(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCallID) != "cancelled" {
			return
		}
		close(running)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	sending.Go(func() { cut.send(ctx, "/order/x", "cancelled") })
	<-running
	cancel()
	select {
	case <-ended:
	case <-time.After(cancelLimit):
		t.Errorf("the attempt goes on %v after the cancellation", cancelLimit)
	}
	sending.Wait()
}

// TestRelayedKey guards against a key that leaves the host, one that is accepted elsewhere although it
// was withdrawn, and usage that is counted twice or not at all.
func TestRelayedKey(t *testing.T) {
	g := startRelayGroup(t, 2)
	cut, other := g.hosts[0], g.hosts[1]
	cut.cut(t, linkResets)
	c := &call{header: http.Header{"Authorization": {"Bearer " + relayKey}, "Comfreybend-Key": {relayKey}, "Copy": {"x" + relayKey}}, RequestInfo: translator.RequestInfo{Key: relayKey}}
	c.client, _ = cut.router.controlPlane.identify(relayKey, nil)
	h := &callHandler{router: cut.router, call: c}
	if message, err := proto.Marshal(h.newRelay()); err != nil || bytes.Contains(message, []byte(relayKey)) || !c.client.hasKey {
		t.Errorf("the key is passed on, error %v", err)
	}
	count := func(h *relayHost) (n uint64) {
		for _, w := range h.router.windows.Recent() {
			n += w.GetCounts()["one"]
		}
		return n
	}
	if status, body := cut.send(t.Context(), "/closed/x", "valid", "Authorization", "Bearer "+relayKey); status != http.StatusOK {
		t.Errorf("status %d for a valid key: %s", status, body)
	}
	if here, there := count(cut), count(other); here != 0 || there != 1 {
		t.Errorf("usage windows hold %d calls here and %d there, want 0 and 1", here, there)
	}
	withdrawn := relayConfiguration(false)
	withdrawn.Revision = 2
	if err := other.router.controlPlane.applyConfiguration(withdrawn, delivery{}); err != nil {
		t.Fatal(err)
	}
	other.router.controlPlane.freshUntil.Store(int64(other.router.controlPlane.now() + time.Minute))
	if status, _ := cut.send(t.Context(), "/closed/x", "withdrawn", "Authorization", "Bearer "+relayKey); status != http.StatusUnauthorized || g.runs.of("withdrawn") != 0 {
		t.Errorf("status %d and %d runs for a key that was withdrawn", status, g.runs.of("withdrawn"))
	}
}

// TestRelayedClaim guards against an order with an idempotency key that is claimed by both hosts, so that
// the second one finds it in doubt.
func TestRelayedClaim(t *testing.T) {
	g := startRelayGroup(t, 2)
	g.hosts[0].cut(t, linkResets)
	status, body := g.hosts[0].send(t.Context(), "/claimed/x", "claimed", translator.HeaderIdempotencyKey, "once")
	g.mu.Lock()
	defer g.mu.Unlock()
	if status != http.StatusOK || g.claims != 1 || g.runs.of("claimed") != 1 {
		t.Errorf("status %d (%s), %d claims, %d runs; want 200, 1 and 1", status, body, g.claims, g.runs.of("claimed"))
	}
}

// TestRelayedDeadline guards against a request that runs past its deadline because another host counts it anew.
func TestRelayedDeadline(t *testing.T) {
	const allowed = 600 * time.Millisecond
	g := startRelayGroup(t, 2)
	cut := g.hosts[0]
	cut.cut(t, linkResets)
	g.setRespond(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	status, _ := cut.send(t.Context(), "/any/x", "late", translator.HeaderDeadline, fmt.Sprint(allowed.Milliseconds()))
	if took := time.Since(began); status != http.StatusGatewayTimeout || took < allowed || took > allowed+cancelLimit {
		t.Errorf("status %d after %v, want %d after %v", status, took, http.StatusGatewayTimeout, allowed)
	}
}

// TestNeverPassedOnTwice guards against a request that wanders between hosts which are all cut off.
func TestNeverPassedOnTwice(t *testing.T) {
	tests := map[string]struct {
		cut     int
		unaware bool
		status  []int
		passed  int
	}{
		"one of three":                            {cut: 1, status: []int{http.StatusOK}, passed: 1},
		"two of three, the third one serves":      {cut: 2, status: []int{http.StatusOK}, passed: 1},
		"all, and all know":                       {cut: 3, status: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}},
		"all, and the control process is unaware": {cut: 3, unaware: true, status: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startRelayGroup(t, 3)
			for _, h := range g.hosts[:test.cut] {
				h.link.set(linkResets)
			}
			for _, h := range g.hosts[:test.cut] {
				awaitCondition(t, "the cut is not known", func() bool {
					go h.send(t.Context(), "/any/x", "")
					return h.router.forwarder.CutOff()
				})
			}
			g.mu.Lock()
			g.unaware = test.unaware
			g.mu.Unlock()
			if test.cut < len(g.hosts) {
				awaitCondition(t, "no host is known", g.hosts[0].router.forwarder.Available)
			}
			got := g.hosts[0].order(t.Context(), "/order/x", "order")
			if !slices.Contains(test.status, got.status) || got.status != http.StatusOK && (got.run != string(translator.NotRun) || g.runs.of("order") > 0) {
				t.Errorf("got %+v and %d runs, want %v", got, g.runs.of("order"), test.status)
			}
			for n, h := range g.hosts[1:] {
				for _, outcome := range []string{"relayed", "cutOff", "incomplete"} {
					for _, line := range h.passedOn(outcome) {
						if line.ContextMap()["requestId"] == "order" {
							t.Errorf("host %d has passed the order on again", n+1)
						}
					}
				}
			}
		})
	}
}

// TestEndOfCut guards against requests that still take the way by another host a second after the cut has ended.
func TestEndOfCut(t *testing.T) {
	for name, state := range map[string]linkState{"hangs": linkHangs, "reset": linkResets} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startRelayGroup(t, 2)
			cut := g.hosts[0]
			cut.cut(t, state)
			cut.link.set(linkWorks)
			began := time.Now()
			awaitCondition(t, "the cut has not ended", func() bool { return !cut.router.forwarder.CutOff() })
			if took := time.Since(began); took > straightLimit {
				t.Errorf("the end of the cut was known after %v, want %v", took, straightLimit)
			}
			if status, _ := cut.send(t.Context(), "/any/x", "straight"); status != http.StatusOK {
				t.Errorf("status %d after the cut", status)
			}
		})
	}
}

// TestNoCut guards against requests that are passed on although the host reaches upstreams, or no host does.
func TestNoCut(t *testing.T) {
	t.Run("silent upstreams", func(t *testing.T) {
		t.Parallel()
		g := startRelayGroup(t, 2)
		g.setRespond(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
			_, _ = io.WriteString(w, "done")
		})
		var sending sync.WaitGroup
		for n := range cutRequests {
			sending.Go(func() {
				if status, _ := g.hosts[0].send(t.Context(), "/any/x", fmt.Sprint(n)); status != http.StatusOK {
					t.Errorf("status %d", status)
				}
			})
		}
		sending.Wait()
		if lines := g.hosts[0].logs.FilterMessage("no upstream can be reached").Len(); lines > 0 {
			t.Errorf("%d verdicts", lines)
		}
	})
	t.Run("dead upstreams", func(t *testing.T) {
		t.Parallel()
		g := startRelayGroup(t, 2)
		for _, h := range g.hosts {
			h.link.set(linkResets)
		}
		var sending sync.WaitGroup
		for n := range 3 * cutRequests {
			for _, h := range g.hosts {
				sending.Go(func() {
					if got := h.order(t.Context(), "/order/x", fmt.Sprint(n)); got.status == http.StatusOK || got.run != string(translator.NotRun) {
						t.Errorf("got %+v", got)
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
		}
		sending.Wait()
		if relayed := len(g.hosts[0].passedOn("incomplete")) + len(g.hosts[1].passedOn("incomplete")); relayed > 0 {
			t.Errorf("%d requests have perhaps run", relayed)
		}
	})
}

// TestPeerIsCutOffMeanwhile guards against a request that was passed on and waits until its deadline because
// the other host is cut off meanwhile.
func TestPeerIsCutOffMeanwhile(t *testing.T) {
	g := startRelayGroup(t, 2)
	g.hosts[0].cut(t, linkResets)
	g.hosts[1].link.set(linkResets)
	got := g.hosts[0].order(t.Context(), "/order/x", "order")
	if got.run != string(translator.NotRun) || g.runs.of("order") > 0 {
		t.Errorf("got %+v and %d runs", got, g.runs.of("order"))
	}
	for _, line := range g.hosts[0].passedOn("cutOff") {
		if whole, _ := line.ContextMap()["whole"].(time.Duration); whole < relayTimeout*3/4 {
			return
		}
	}
	t.Error("the other host has not declined the request in time")
}

// TestMayLeave guards against a call that is passed on although it may run twice, was passed on before, or its
// client has a part of the response.
func TestMayLeave(t *testing.T) {
	tests := map[string]struct {
		handler *callHandler
		call    *call
		want    bool
	}{
		"new":                                      {want: true},
		"has run and must run once":                {handler: &callHandler{mayHaveRun: true}},
		"has run and may run again":                {handler: &callHandler{mayHaveRun: true}, call: &call{retryable: true}, want: true},
		"passed on to this host":                   {call: &call{relay: &wire.Relay{}, retryable: true}},
		"no other host took it":                    {handler: &callHandler{refusedElsewhere: true}},
		"the client has an event":                  {handler: &callHandler{lastEventID: 3}, call: &call{retryable: true}},
		"the client has an event without a number": {handler: &callHandler{progressed: true}, call: &call{retryable: true}},
		"stream taken up":                          {handler: &callHandler{lastEventID: 3}, call: &call{RequestInfo: translator.RequestInfo{LastEventID: 3}}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := cmp.Or(test.handler, &callHandler{})
			h.call = cmp.Or(test.call, &call{})
			if got := h.mayLeave(); got != test.want {
				t.Errorf("may leave: %t, want %t", got, test.want)
			}
		})
	}
}

// TestRelayedTimeLeft guards against a deadline that a second host counts anew from its own settings.
func TestRelayedTimeLeft(t *testing.T) {
	r := newTestRouter(t)
	c := &call{relay: &wire.Relay{DeadlineMillis: 70}, arrived: r.dispatcher.now() - time.Second}
	before := r.dispatcher.now()
	r.setDeadline(c)
	if left := c.deadline - before; left < 70*time.Millisecond || left > cancelLimit {
		t.Errorf("%v left, want 70ms", left)
	}
}
