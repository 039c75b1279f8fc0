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
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	relayUpstreams = 4
	// cutDetection is the time from a cut within which requests must be served again.
	cutDetection = 3 * time.Second
	relayKey     = "secret-key"
	relayTimeout = 4 * time.Second
)

type (
	// relayHost is an entry process and its links to the upstreams.
	relayHost struct {
		router *Router
		url    string
		link   *upstreamLink
		logs   *observer.ObservedLogs
		// stopPeers closes its connections with other entry processes and takes no further ones.
		stopPeers func()
	}

	// relayUpstream is an upstream of all hosts.
	relayUpstream struct {
		id     registrar.UpstreamID
		url    string
		domain registrar.FailureDomain
	}

	// relayGroup is a set of entry hosts with common upstreams, and a control process that knows the
	// hosts.
	relayGroup struct {
		hosts []*relayHost
		runs  *callCounter

		mu sync.Mutex
		// respond answers a request at an upstream.
		respond http.HandlerFunc
		// unaware makes the control process say that no host is cut off.
		unaware bool
		// claims counts the claims that the control process has committed.
		claims int
	}
)

func (g *relayGroup) setRespond(respond http.HandlerFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.respond = respond
}

func (g *relayGroup) serveUpstream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if id := r.Header.Get(headerCallID); id != "" {
		g.runs.add(id)
	}
	g.mu.Lock()
	respond := g.respond
	g.mu.Unlock()
	respond(w, r)
}

// handleControl answers as a control process that the hosts have just polled.
func (g *relayGroup) handleControl(_ context.Context, r *wire.Request) *wire.Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case r.GetPropose() != nil:
		if r.GetPropose().GetClaim() != nil {
			g.claims++
		}
		return &wire.Reply{Kind: &wire.Reply_Propose{Propose: &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true}}}}
	case r.GetEntryHosts() == nil:
		return &wire.Reply{Failure: &wire.Failure{Reason: "noLeader"}}
	}
	reply := &wire.EntryHostsReply{}
	for _, h := range g.hosts {
		if self := h.router.entryHost(); self != nil {
			self.CutOff = self.GetCutOff() && !g.unaware
			reply.Hosts = append(reply.Hosts, self)
		}
	}
	return &wire.Reply{Kind: &wire.Reply_EntryHosts{EntryHosts: reply}}
}

func relayConfiguration(withKeys bool) *wire.SyncReply {
	route := func(name string, change func(*state.Route)) *state.Route {
		r := &state.Route{
			Name: name, PathPrefix: "/" + name + "/", Kind: configurer.KindService, Service: noticeService, Classes: []string{"c"},
			OpenToAll: true, Timeout: durationpb.New(relayTimeout), Attempts: 2,
		}
		change(r)
		return r
	}
	hash := configurer.HashKey(relayKey)
	reply := &wire.SyncReply{Revision: 1, Whole: true, Configuration: &state.Configuration{
		Organisations: []*state.Organisation{{Id: "one"}},
		Classes:       []*state.Class{{Name: "c", Tier: 1}},
		Routes: []*state.Route{
			route("any", func(*state.Route) {}),
			route("order", func(r *state.Route) { r.NonIdempotent = true }),
			route("stream", func(r *state.Route) { r.EventStream, r.Resumable = true, true }),
			route("claimed", func(r *state.Route) { r.NonIdempotent = true }),
			route("closed", func(r *state.Route) { r.OpenToAll = false }),
		},
	}}
	if withKeys {
		reply.Keys = []*state.Key{{Id: "k", Organisation: "one", Hash: hash[:]}}
	}
	return reply
}

// startRelayGroup runs entry hosts that all know the same upstreams.
func startRelayGroup(t *testing.T, hosts int) *relayGroup {
	t.Helper()
	g := &relayGroup{runs: &callCounter{runs: map[string]int{}}}
	g.setRespond(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	control := startControl(t, g.handleControl)
	var upstreams []relayUpstream
	for n := range relayUpstreams {
		server := httptest.NewServer(http.HandlerFunc(g.serveUpstream))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, relayUpstream{
			id: registrar.UpstreamID(fmt.Sprintf("u%d", n)), url: server.URL, domain: registrar.FailureDomain([]string{"a", "b"}[n%2]),
		})
	}
	for n := range hosts {
		g.hosts = append(g.hosts, startRelayHost(t, fmt.Sprintf("entry-%d", n), control, upstreams))
	}
	return g
}

func startRelayHost(t *testing.T, id, control string, upstreams []relayUpstream) *relayHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &settings.Settings{
		Host: &settings.Host{Id: id, FailureDomain: "a"},
		Entry: &settings.Entry{
			PeerListen: l.Addr().String(), FollowControl: true, ServeStale: true, ControlAddresses: []string{control},
			AnnouncementLease: durationpb.New(time.Minute), AlignedWindow: durationpb.New(time.Hour), Freshness: durationpb.New(5 * time.Second),
			SharedBudget: &settings.SharedBudget{Ratio: 0.2, Allowance: 50, Window: durationpb.New(10 * time.Second)},
		},
	}
	validator.FillDefaults(s)
	core, logs := observer.New(zapcore.InfoLevel)
	r, err := New(s, translator.NativeDialect(), zap.New(core), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	earnRetries(r)
	h := &relayHost{router: r, logs: logs, link: &upstreamLink{dial: r.upstreamClient.dial}}
	r.upstreamClient.dial, r.forwarder.Dial = h.link.connect, h.link.connect
	if err = r.controlPlane.applyConfiguration(relayConfiguration(true), delivery{}); err != nil {
		t.Fatal(err)
	}
	for _, u := range upstreams {
		a := noticeAnnouncement(u.id, u.url, 1, 1, r.dispatcher.now())
		a.FailureDomain = u.domain
		r.dispatcher.applyAnnouncement(a)
	}
	server := httptest.NewServer(r.clientHandler())
	h.url = server.URL
	peerServer := messenger.NewServer(l, messenger.Security{}, r.peers.handle)
	peerServer.HandleRelay = r.receiver.Handle
	ctx, cancel := context.WithCancel(context.Background())
	peerCtx, stopPeers := context.WithCancel(ctx)
	h.stopPeers = stopPeers
	var running sync.WaitGroup
	running.Go(func() { _ = peerServer.Run(peerCtx) })
	for _, run := range []func(context.Context) error{r.forwarder.Run, r.dispatcher.run} {
		running.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		running.Wait()
		r.controlClients.Close()
	})
	return h
}

// send sends a request and returns its status, zero if the response is not whole.
func (h *relayHost) send(ctx context.Context, path, id string, headers ...string) (status int, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, strings.NewReader("body"))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set(headerCallID, id)
	for n := 0; n+1 < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// cut cuts the host off and sends requests until it knows.
func (h *relayHost) cut(t *testing.T, state linkState) {
	t.Helper()
	h.link.set(state)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for began := time.Now(); !h.router.forwarder.Available(); {
		if time.Since(began) > cutDetection {
			t.Fatalf("the cut is not known after %v", cutDetection)
		}
		go h.send(ctx, "/any/x", "")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCutHostServes guards against first tries that fail at a host which cannot reach any upstream,
// while other hosts serve theirs (RECOVER): from 3 s after the cut they must be served at least two
// thirds as often.
func TestCutHostServes(t *testing.T) {
	for name, cut := range map[string]linkState{
		"hangs": linkHangs, "reset": linkResets, "refused, open connections live on": linkRefuses, "accepted, then reset": linkAccepts,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startRelayGroup(t, 2)
			var (
				mu           sync.Mutex
				served, sent [2]int
				sending      sync.WaitGroup
			)
			load := func(from time.Time, duration time.Duration) {
				for n := 0; time.Since(from) < duration; n++ {
					for i, h := range g.hosts {
						path := []string{"/any/x", "/order/x", "/stream/x"}[n%2]
						counted := time.Since(from) > cutDetection
						sending.Go(func() {
							status, _ := h.send(t.Context(), path, "")
							mu.Lock()
							defer mu.Unlock()
							if counted {
								sent[i]++
								if status == http.StatusOK {
									served[i]++
								}
							}
						})
					}
					time.Sleep(10 * time.Millisecond)
				}
				sending.Wait()
			}
			load(time.Now(), 300*time.Millisecond)
			g.hosts[0].link.set(cut)
			load(time.Now(), cutDetection+2*time.Second)
			t.Logf("cut host: %d of %d, other host: %d of %d", served[0], sent[0], served[1], sent[1])
			if 3*served[0]*sent[1] < 2*served[1]*sent[0] || served[1] == 0 {
				t.Errorf("the cut host served %d of %d first tries, the other one %d of %d", served[0], sent[0], served[1], sent[1])
			}
		})
	}
}
