package router

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/assembler"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/controller"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// recoveryTime is the time within which processes that were restarted serve again.
	recoveryTime = 12 * time.Second
	// slowLinkRate is what client traffic leaves of a link of 10 Mbit/s, in bytes per second.
	slowLinkRate = 250_000
	// packetBytes is the payload of a packet.
	packetBytes = 1460
	// inForceTimeout is the time after its acknowledgement within which a change is in force
	// at every entry process.
	inForceTimeout = 2500 * time.Millisecond
	// drainBound is the time after the acknowledgement of its leave from which an upstream may
	// get no request any more.
	drainBound = 2 * time.Second
	// platformConnectTimeout is the connect timeout of the platform's adapter.
	platformConnectTimeout = 300 * time.Millisecond
	// announcedIncarnation is the incarnation of all upstreams that announce makes known.
	announcedIncarnation = 1_700_000_000_000
	// announcementLease is longer than a test, in which upstreams announce themselves once.
	announcementLease = time.Minute
	// setupTimeout bounds the waits for what the test does not measure.
	setupTimeout = 60 * time.Second
)

type (
	// slowLink is the network link of a host, which all its connections share.
	slowLink struct {
		// rate is in bytes per second; zero counts as slowLinkRate.
		rate time.Duration
		// received counts the bytes received on all connections.
		received atomic.Int64

		mu     sync.Mutex
		freeAt time.Duration
	}

	slowConn struct {
		net.Conn
		link *slowLink
		// late is how much later than the link the last read has returned.
		late time.Duration
	}

	// controlGroup is a group of control processes that run in the test.
	controlGroup struct {
		t        *testing.T
		settings []*settings.Settings
		clients  []*messenger.Client
		// stop stops all control processes, stopOne one of them.
		stop    func()
		stopOne []func()
	}
)

func (l *slowLink) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, link: l}, nil
}

// Read receives at most one packet and takes as long as the link needs for it. The link goes on
// with what is to be received while a read returns late, for lack of processor time.
func (c *slowConn) Read(p []byte) (int, error) {
	began := timer.Now()
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	c.link.received.Add(int64(n))
	now := timer.Now()
	waited := now - began
	c.link.mu.Lock()
	c.link.freeAt = max(c.link.freeAt, now-max(0, c.late-waited)) + time.Duration(n)*time.Second/cmp.Or(c.link.rate, slowLinkRate)
	arrivesAt := c.link.freeAt
	c.link.mu.Unlock()
	timer.Sleep(context.Background(), arrivesAt-now)
	c.late = timer.Now() - arrivesAt
	return n, err
}

// portOffset is the offset of the port that reserveAddress tried last.
var portOffset atomic.Int64

// reserveAddress returns a loopback address whose port is free and below the ephemeral range.
func reserveAddress(t *testing.T) string {
	t.Helper()
	const firstPort, portCount = 10_000, 2000
	portOffset.CompareAndSwap(0, int64(os.Getpid()*31%portCount))
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// startControlGroup starts three control processes, which stop at the end of the test.
func startControlGroup(t *testing.T) *controlGroup {
	t.Helper()
	g := &controlGroup{t: t}
	var members []*settings.ControlPeer
	for i := range 3 {
		members = append(members, &settings.ControlPeer{Id: fmt.Sprint("control-", i), Address: reserveAddress(t)})
	}
	for _, m := range members {
		s := &settings.Settings{
			Host: &settings.Host{Id: m.GetId(), FailureDomain: "a"},
			Control: &settings.Control{
				PeerListen: m.GetAddress(), OperatorListen: reserveAddress(t), StatusListen: reserveAddress(t),
				DataFolder: filepath.Join(t.TempDir(), m.GetId()), Peers: members,
				AnnouncementLease: durationpb.New(announcementLease),
			},
		}
		validator.FillDefaults(s)
		g.settings = append(g.settings, s)
		client := messenger.NewClient(m.GetAddress(), messenger.Security{}, time.Second)
		t.Cleanup(client.Close)
		g.clients = append(g.clients, client)
	}
	g.start()
	t.Cleanup(func() { g.stop() })
	return g
}

// start starts all control processes.
func (g *controlGroup) start() {
	g.t.Helper()
	g.stopOne = nil
	for _, s := range g.settings {
		c, err := controller.New(s, controller.Dialect{}, zap.NewNop(), instrumenter.New("control"))
		if err != nil {
			g.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		g.stopOne = append(g.stopOne, sync.OnceFunc(func() {
			cancel()
			if err := <-done; err != nil {
				g.t.Error(err)
			}
		}))
	}
	g.stop = func() {
		for _, stop := range g.stopOne {
			stop()
		}
	}
}

// poll returns the reply of a control process to the poll of an entry process that has just
// started, or nil.
func (g *controlGroup) poll(number int) *wire.FollowReply {
	ctx, cancel := context.WithTimeout(g.t.Context(), 5*time.Second)
	defer cancel()
	reply, _ := g.clients[number].Call(ctx, &wire.Request{Kind: &wire.Request_Follow{Follow: &wire.Follow{Host: "other", AcceptsRenewals: true, FetchesChanges: true}}})
	return reply.GetFollow()
}

func (g *controlGroup) addresses() []string {
	var out []string
	for _, c := range g.clients {
		out = append(out, c.Address())
	}
	return out
}

// put commits a document and returns the revision that it leads to.
func (g *controlGroup) put(d *state.Document) configurer.Revision {
	g.t.Helper()
	return configurer.Revision(g.commit(&state.Command{Kind: &state.Command_Document{Document: d}}).GetRevision())
}

// commit commits a command and returns its outcome.
func (g *controlGroup) commit(command *state.Command) *state.Outcome {
	g.t.Helper()
	request := &wire.Request{Kind: &wire.Request_Propose{Propose: command}}
	for end := timer.Now() + setupTimeout; timer.Now() < end; timer.Sleep(g.t.Context(), 20*time.Millisecond) {
		for _, client := range g.clients {
			ctx, cancel := context.WithTimeout(g.t.Context(), 5*time.Second)
			reply, err := client.Call(ctx, request)
			cancel()
			if outcome := reply.GetPropose().GetOutcome(); err == nil && outcome.GetAccepted() {
				return outcome
			}
		}
	}
	g.t.Fatal("the group does not commit the command")
	return nil
}

// announcedID returns the id of an upstream that announce makes known.
func announcedID(number int) string { return fmt.Sprintf("i-%08x", number) }

// announce makes upstreams known to all control processes, as their gossip does.
func (g *controlGroup) announce(upstreams int) {
	g.t.Helper()
	message := &wire.Spread{Host: "other"}
	for i := range upstreams {
		message.Upstreams = append(message.Upstreams, &wire.Upstream{
			Id: announcedID(i), Incarnation: announcedIncarnation, Sequence: 1, Url: fmt.Sprintf("http://10.0.%d.%d:8000", i/256, i%256),
			FailureDomain: "a", Kind: string(registrar.KindService), Serves: []string{"service"}, State: string(registrar.Serving),
			Load: &wire.Load{Slots: 64}, UpMillis: 60_000,
		})
	}
	for _, client := range g.clients {
		for end := timer.Now() + setupTimeout; ; timer.Sleep(g.t.Context(), 20*time.Millisecond) {
			err := client.Notify(g.t.Context(), &wire.Request{Kind: &wire.Request_Spread{Spread: message}})
			if err == nil {
				break
			}
			if timer.Now() > end {
				g.t.Fatal(err)
			}
		}
	}
}

// documentWithRoutes returns a document with routes of a class each.
func documentWithRoutes(version uint64, routes int) *state.Document {
	c := &state.Configuration{Organisations: []*state.Organisation{{Id: "one"}}, Pools: []*state.Pool{{Name: "service"}}}
	for i := range routes {
		name := fmt.Sprintf("route-%06d", i)
		c.Classes = append(c.Classes, &state.Class{Name: name, Tier: 2, Target: &state.Target{FirstToken: durationpb.New(time.Second)}})
		c.Routes = append(c.Routes, &state.Route{
			Name: name, Host: "host.example", PathPrefix: "/" + name + "/", Kind: configurer.KindService, Service: "service",
			Classes: []string{name}, Attempts: 2, Timeout: durationpb.New(8 * time.Second),
		})
	}
	return &state.Document{Version: version, Configuration: c}
}

// startEntryBehind returns an entry process that gets its configuration over a link, and
// runs that part of it until the end of the test.
func startEntryBehind(t *testing.T, link *slowLink, control []string) *Router {
	t.Helper()
	s := &settings.Settings{
		Host: &settings.Host{Id: "e", FailureDomain: "a"},
		Entry: &settings.Entry{
			FollowControl: true, ServeStale: true, AnnouncementLease: durationpb.New(announcementLease),
			SyncInterval: durationpb.New(time.Second), Freshness: durationpb.New(5 * time.Second),
		},
	}
	validator.FillDefaults(s)
	r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	r.controlClients.NewClient = func(address string, timeout time.Duration) *messenger.Client {
		client := messenger.NewClient(address, messenger.Security{}, timeout)
		client.Dial = link.dial
		return client
	}
	r.controlClients.SetSeeds(control)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = r.controlPlane.run(ctx) })
	running.Go(func() { _ = r.fetcher.Run(ctx) })
	running.Go(func() { _ = r.controlPoller.run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return r
}

// awaitRevision waits until a revision is in force.
func (r *Router) awaitRevision(t *testing.T, revision configurer.Revision, timeout time.Duration) {
	t.Helper()
	for end := timer.Now() + timeout; r.controlPlane.revision() < revision; timer.Sleep(t.Context(), 5*time.Millisecond) {
		if timer.Now() > end {
			t.Fatalf("revision %d is in force, not %d, %v after the acknowledgement", r.controlPlane.revision(), revision, timeout)
		}
	}
}

// awaitUpstreams waits until upstreams are known.
func (r *Router) awaitUpstreams(t *testing.T, upstreams int, timeout time.Duration) {
	t.Helper()
	for end, known := timer.Now()+timeout, 0; known < upstreams; timer.Sleep(t.Context(), 5*time.Millisecond) {
		r.dispatcher.mu.Lock()
		known = r.dispatcher.registry.Len()
		r.dispatcher.mu.Unlock()
		if timer.Now() > end {
			t.Fatalf("%d of %d upstreams are known after %v", known, upstreams, timeout)
		}
	}
}

// TestGrownConfigurationOnSlowLink guards against acknowledged changes that are not in
// force in time because an entry process fetches the whole configuration over and over.
func TestGrownConfigurationOnSlowLink(t *testing.T) {
	group := startControlGroup(t)
	link := &slowLink{}
	base := group.put(documentWithRoutes(1, 1400))
	r := startEntryBehind(t, link, group.addresses())
	r.awaitRevision(t, base, setupTimeout)

	before := link.received.Load()
	grown := group.put(documentWithRoutes(2, 2800))
	grownAt := timer.Now()
	next := group.put(documentWithRoutes(3, 2801))
	nextAt := timer.Now()
	r.awaitRevision(t, grown, inForceTimeout-(timer.Now()-grownAt))
	r.awaitRevision(t, next, inForceTimeout-(timer.Now()-nextAt))
	received := link.received.Load() - before
	t.Logf("in force after %v and %d bytes", timer.Now()-grownAt, received)
	// The first configuration of half the routes took as much as the routes that were added.
	if received > before+before/2 {
		t.Errorf("%d bytes were received for changes of about %d", received, before)
	}
}

// TestVerySlowLink guards against an entry process that never gets what is larger than its link carries within
// the timeout of one part, its configuration and its upstreams.
func TestVerySlowLink(t *testing.T) {
	const upstreams = 500
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 600))
	group.announce(upstreams)
	r := startEntryBehind(t, &slowLink{rate: 20_000}, group.addresses())
	r.awaitRevision(t, revision, setupTimeout)
	r.awaitUpstreams(t, upstreams, setupTimeout)
}

// TestManyUpstreamsOnSlowLink guards against an entry process that never learns the upstreams
// after its start because all of them do not arrive within the timeout of a poll.
func TestManyUpstreamsOnSlowLink(t *testing.T) {
	const upstreams = 12_000
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	group.announce(upstreams)
	r := startEntryBehind(t, &slowLink{}, group.addresses())
	startedAt := timer.Now()
	r.awaitRevision(t, revision, setupTimeout)
	r.awaitUpstreams(t, upstreams, recoveryTime-(timer.Now()-startedAt))
	t.Logf("all are known after %v", timer.Now()-startedAt)
}

// TestManyChangesOnSlowLink guards against an entry process that never learns the upstreams that
// announced themselves after its start, as after the restart of a failure domain, because these
// changes do not arrive within the timeout of a poll.
func TestManyChangesOnSlowLink(t *testing.T) {
	const upstreams = 12_000
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	group.announce(1)
	r := startEntryBehind(t, &slowLink{}, group.addresses())
	r.awaitRevision(t, revision, setupTimeout)
	r.awaitUpstreams(t, 1, setupTimeout)
	group.announce(upstreams)
	announcedAt := timer.Now()
	r.awaitUpstreams(t, upstreams, recoveryTime)
	t.Logf("all are known after %v", timer.Now()-announcedAt)
}

// TestUpstreamsComeOnce guards against control traffic that is twice what is needed: of many upstreams an
// entry process gets the rows from one of the two control processes that it polls. When that one ends, the
// other one tells it of new upstreams.
func TestUpstreamsComeOnce(t *testing.T) {
	const (
		upstreams = 3000
		// rowBytes is more than the size of a row, and less than twice that.
		rowBytes = 160
	)
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	group.announce(upstreams)
	link := &slowLink{}
	r := startEntryBehind(t, link, group.addresses())
	r.awaitRevision(t, revision, setupTimeout)
	r.awaitUpstreams(t, upstreams, setupTimeout)
	timer.Sleep(t.Context(), 2*pollTimeout)
	if received := link.received.Load(); received > upstreams*rowBytes {
		t.Errorf("%d bytes were received for %d upstreams, want at most %d each", received, upstreams, rowBytes)
	}
	for i, c := range group.clients {
		if c.Address() == r.controlClients.Preferred().Address() {
			group.stopOne[i]()
			group.clients = slices.Delete(group.clients, i, i+1)
			break
		}
	}
	group.announce(upstreams + 1)
	r.awaitUpstreams(t, upstreams+1, recoveryTime)
}

// TestLeaveWhileTablesAreFetched guards against requests to an upstream whose leave was
// acknowledged, while an entry process fetches the whole tables of the control processes that
// it polls over a slow link, as after their restart.
func TestLeaveWhileTablesAreFetched(t *testing.T) {
	const upstreams = 12_000
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	group.announce(1)
	link := &slowLink{}
	r := startEntryBehind(t, link, group.addresses())
	r.awaitRevision(t, revision, setupTimeout)
	awaitCondition(t, "the upstream is not known", func() bool { return r.isServing(announcedID(0)) })
	group.stop()
	group.start()
	group.announce(upstreams)
	// The next reply to each poll says that the whole table is to be fetched.
	before := link.received.Load()
	awaitCondition(t, "no table is fetched", func() bool { return link.received.Load() > before+assembler.PartBytes })
	group.commit(&state.Command{Kind: &state.Command_Departure{Departure: &state.Departure{Upstream: announcedID(0), Incarnation: announcedIncarnation}}})
	acknowledged := timer.Now()
	awaitCondition(t, "the leave is not known", func() bool { return !r.isServing(announcedID(0)) })
	if after := timer.Now() - acknowledged; after > drainBound {
		t.Errorf("the leave is known after %v, want %v", after, drainBound)
	}
}

// TestChangeWhileTablesAreFetched guards against a change that was acknowledged and is not in force
// in time, since the control group has lost its quorum meanwhile, and the polls that bring the
// change wait until they have fetched whole tables over a slow link.
func TestChangeWhileTablesAreFetched(t *testing.T) {
	const upstreams = 12_000
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	group.announce(1)
	link := &slowLink{}
	r := startEntryBehind(t, link, group.addresses())
	r.awaitRevision(t, revision, setupTimeout)
	group.stop()
	group.start()
	group.announce(upstreams)
	before := link.received.Load()
	awaitCondition(t, "no table is fetched", func() bool { return link.received.Load() > before+assembler.PartBytes })
	// The entry process does not hear of the change until the quorum is lost.
	next := group.putUnheard(r, documentWithRoutes(2, 11))
	nextAt := timer.Now()
	r.awaitRevision(t, next, inForceTimeout-(timer.Now()-nextAt))
}

// TestLeaveReachesAllHosts guards against the sum of the delays on the way of a leave: its commit,
// the sync interval, and control processes that do not answer and are tried first. Nothing
// comes by polls, as while a table is fetched. The time counts at the last of all hosts.
func TestLeaveReachesAllHosts(t *testing.T) {
	// lost is the number of control processes that accept connections and do not answer: frozen
	// ones, or ones whose loss is not noticed yet.
	const lost = 2
	group := startControlGroup(t)
	revision := group.put(documentWithRoutes(1, 10))
	var silent []string
	for range lost {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		silent = append(silent, l.Addr().String())
	}
	for n, hosts := range []int{2, 7, 88, 194} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			routers := make([]*Router, hosts)
			for i := range routers {
				routers[i] = newSyncingRouter(t, fmt.Sprint("e-", i), append(slices.Clone(silent), group.addresses()...))
				routers[i].dispatcher.applyAnnouncement(announcedUpstream(n, routers[i].dispatcher.now()))
			}
			for _, r := range routers {
				r.awaitRevision(t, revision, setupTimeout)
			}
			group.commit(&state.Command{Kind: &state.Command_Departure{Departure: &state.Departure{Upstream: announcedID(n), Incarnation: announcedIncarnation}}})
			acknowledged := timer.Now()
			for _, r := range routers {
				awaitCondition(t, "the leave is not known", func() bool { return !r.isServing(announcedID(n)) })
			}
			// A request that was sent just before may still wait for a connection.
			sum := timer.Now() - acknowledged + platformConnectTimeout
			t.Logf("no request %v after the acknowledgement", sum)
			if sum > drainBound {
				t.Errorf("requests until %v after the acknowledgement, want none after %v", sum, drainBound)
			}
		})
	}
}

// newSyncingRouter returns an entry process that sends sync requests, and no polls, until the end
// of the test.
func newSyncingRouter(t *testing.T, host string, control []string) *Router {
	t.Helper()
	s := &settings.Settings{
		Host: &settings.Host{Id: host, FailureDomain: "a"},
		Entry: &settings.Entry{
			FollowControl: true, ServeStale: true, ControlAddresses: control, AnnouncementLease: durationpb.New(time.Minute),
			SyncInterval: durationpb.New(time.Second), Freshness: durationpb.New(5 * time.Second),
		},
	}
	validator.FillDefaults(s)
	r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = r.controlPlane.run(ctx) })
	running.Go(func() { _ = r.fetcher.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return r
}

func announcedUpstream(number int, now time.Duration) registrar.Upstream {
	return registrar.Upstream{
		ID: registrar.UpstreamID(announcedID(number)), Incarnation: announcedIncarnation, URL: "http://" + announcedID(number), FailureDomain: "a",
		Kind: registrar.KindService, Serves: []string{"service"}, State: registrar.Serving, AnnouncedAt: now, Load: registrar.Load{Slots: 64},
	}
}

// isServing reports whether requests are sent to an upstream.
func (r *Router) isServing(id string) bool {
	return r.dispatcher.isServing(&registrar.Upstream{ID: registrar.UpstreamID(id), Incarnation: announcedIncarnation})
}

// putUnheard commits a document while an entry process sends no requests, and then stops all control
// processes that have applied it but the last one.
func (g *controlGroup) putUnheard(r *Router, d *state.Document) configurer.Revision {
	g.t.Helper()
	r.controlPlane.syncMu.Lock()
	defer r.controlPlane.syncMu.Unlock()
	revision := g.put(d)
	last := len(g.clients) - 1
	awaitCondition(g.t, "the last control process has not applied the change", func() bool {
		return configurer.Revision(g.poll(last).GetRevision()) >= revision
	})
	for _, stop := range g.stopOne[:last] {
		stop()
	}
	return revision
}
