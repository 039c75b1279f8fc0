// Package controller implements the control process: a member of the replication
// group, whose log holds configuration, keys, claims, usage windows and the intents
// of orders. Only the holder of the platform lease, which is the leader, calls the
// platform.
package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/comfreybend/comfreybend/internal/server"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/aggregator"
	"github.com/comfreybend/comfreybend/internal/certifier"
	"github.com/comfreybend/comfreybend/internal/collector"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/internal/lister"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/recorder"
	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/internal/versioner"
	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/replication"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// batchBytes bounds the payload of one append message of the replicated log.
	batchBytes = 1 << 20
	// requestTimeout bounds one request to another control process, and the serving
	// of a request, including its forwarding to the leader.
	requestTimeout = 2 * time.Second
	// journalFolder is the folder of the journal below the data folder.
	journalFolder = "log"
	// evidenceFile is the file below the data folder with what upstreams ended under.
	evidenceFile = "evidence"
	// httpReadHeaderTimeout bounds the time to read the headers of an HTTP request.
	httpReadHeaderTimeout = 5 * time.Second
	httpShutdownTimeout   = 5 * time.Second
	// diskRetryInterval is the time between two attempts to open the journal while there is no disk space.
	diskRetryInterval = 500 * time.Millisecond
	// snapshotBytes is the payload of applied commands after which a snapshot is
	// taken. A command may hold a whole configuration document; the limit keeps the
	// log within the memory and disk of a small host.
	snapshotBytes = 4 << 20
)

type (
	// node is a member of the replicated log whose commands yield a ProposeReply.
	node = replicator.Node[*wire.ProposeReply]

	// Controller is a control process.
	Controller struct {
		settings    *settings.Settings
		log         *zap.Logger
		instruments *instrumenter.Instruments
		security    messenger.Security

		stateMachine  *keeper.StateMachine
		journal       *journaler.Journal
		identity      *replication.Identity
		peers         *peers
		node          *node
		membership    *membershipManager
		usage         *usageCollector
		entries       *recorder.Table
		dialect       Dialect
		upstreamTable *tabulator.Table
		clusterView   *clusterView
		loads         *aggregator.Table
		windows       *windowCollector
		// gossipWanted makes runGossip send without delay.
		gossipWanted chan struct{}
		evidence     *collector.Table
		lister       *lister.Lister
		versions     *versioner.Versioner
		bodies       *bodyLimits
		// autoscaler is nil until runPlatformAgent starts.
		autoscaler atomic.Pointer[autoscaler]

		// revisionAt is when this member applied the latest revision, in nanoseconds of the
		// monotonic clock.
		revisionAt atomic.Int64
		// appliedCommands counts the commands applied by this member, leader or not.
		appliedCommands tally.Counter
		// failedProposals counts the requests whose command failed to commit.
		failedProposals tally.Counter
		// nodeCreatedAt is when node was created, by the monotonic clock. recoveredOrders reports that the
		// log on disk had an evacuation order then.
		nodeCreatedAt   time.Duration
		recoveredOrders bool
	}
)

// New returns a control process. Run starts it.
func New(
	s *settings.Settings, dialect Dialect, log *zap.Logger, instruments *instrumenter.Instruments,
) (*Controller, error) {
	security, err := certifier.PeerSecurity(s.GetTls())
	if err != nil {
		return nil, err
	}
	c := &Controller{
		settings:        s,
		log:             log,
		instruments:     instruments,
		security:        security,
		stateMachine:    keeper.New(),
		usage:           newUsageCollector(),
		entries:         recorder.New(),
		dialect:         dialect,
		upstreamTable:   tabulator.New(s.GetControl().GetAnnouncementLease().AsDuration()),
		clusterView:     newClusterView(),
		loads:           aggregator.New(),
		windows:         newWindowCollector(s.GetControl()),
		gossipWanted:    make(chan struct{}, 1),
		evidence:        collector.NewTable(),
		versions:        versioner.New(timer.Now()),
		lister:          lister.New(),
		bodies:          newBodyLimits(s.GetControl().GetOperatorLimits()),
		appliedCommands: instruments.Scope.Counter("commands_committed"),
		failedProposals: instruments.Scope.Counter("commands_refused"),
	}
	c.peers = newPeers(s, security, log)
	c.upstreamTable.OnLeaving = func(u *registrar.Upstream, source tabulator.LeaveSource) {
		log.Info("upstream is leaving", zap.String("upstream", string(u.ID)), zap.Uint64("incarnation", uint64(u.Incarnation)),
			zap.String("source", string(source)), zap.Duration("age", timer.Now()-u.AnnouncedAt))
	}
	c.stateMachine.OnDeparture = c.upstreamTable.Depart
	return c, nil
}

// Run runs the control process until ctx ends or a part of it fails, such as the journal.
func (c *Controller) Run(ctx context.Context) error {
	s := c.settings.GetControl()
	host := c.settings.GetHost().GetId()
	journal, recovered, err := c.openJournal(ctx, host)
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	c.journal = journal
	c.identity = recovered.Identity
	if recovered.TruncatedBytes > 0 {
		c.log.Warn("truncated an incomplete record at the end of the journal", zap.Int64("bytes", recovered.TruncatedBytes))
	}
	c.membership = newMembershipManager(c, recovered)
	evidence := collector.NewStore(c.evidence, journaler.NewFile(filepath.Join(s.GetDataFolder(), evidenceFile), journaler.OSDisk()), c.log)
	evidence.Load(time.Now())
	listeners, err := c.listen(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	peerServer := messenger.NewServer(listeners.peer, c.security, c.handle)
	peerServer.OnPause = func(err error) { c.log.Warn("connections of other processes cannot be accepted now", zap.Error(err)) }
	group.Go(func() error { return peerServer.Run(ctx) })
	group.Go(func() error {
		return c.serveHTTP(ctx, listeners.status, &http.Server{Handler: c.instruments.Handler(c.notReady, "")})
	})
	group.Go(func() error { return c.serveHTTP(ctx, listeners.operator, c.bodies.server(c.publicHandler())) })
	group.Go(func() error { return c.runGossip(ctx) })
	group.Go(func() error { return c.peers.run(ctx) })
	group.Go(func() error { return evidence.Run(ctx) })
	group.Go(func() error { return c.runNode(ctx, recovered) })
	c.log.Info("control process started",
		zap.Uint64("incarnation", c.identity.GetIncarnation()), zap.String("peerListen", s.GetPeerListen()))
	err = group.Wait()
	c.log.Info("control process stopped", zap.Error(err))
	return err
}

// openJournal opens the journal. It retries while there is no disk space.
func (c *Controller) openJournal(ctx context.Context, host string) (*journaler.Journal, *journaler.Recovered, error) {
	folder := filepath.Join(c.settings.GetControl().GetDataFolder(), journalFolder)
	for {
		journal, recovered, err := journaler.Open(folder, host, journaler.OSDisk())
		if err == nil || !errors.As(err, new(*journaler.NoSpaceError)) {
			return journal, recovered, err
		}
		c.log.Warn("no disk space to open the journal; retrying", zap.Error(err))
		if !timer.Sleep(ctx, diskRetryInterval) {
			return nil, nil, ctx.Err()
		}
	}
}

// Reload applies the settings that may change while the process runs: the seeds.
func (c *Controller) Reload(s *settings.Settings) {
	c.peers.setSeeds(s.GetControl().GetSeeds())
}

// listeners are the sockets that a control process accepts connections on.
type listeners struct {
	peer     net.Listener
	operator net.Listener
	status   net.Listener
}

func (c *Controller) listen(ctx context.Context) (*listeners, error) {
	s := c.settings.GetControl()
	l := &listeners{}
	err := server.Listen(ctx,
		server.Binding{Address: s.GetPeerListen(), Target: &l.peer},
		server.Binding{Address: s.GetOperatorListen(), Target: &l.operator},
		server.Binding{Address: s.GetStatusListen(), Target: &l.status},
	)
	if err != nil {
		return nil, err
	}
	public, err := certifier.PublicConfig(c.settings.GetTls())
	if err != nil {
		return nil, err
	}
	l.operator = certifier.WrapListener(c.bodies.wrap(l.operator), public)
	return l, nil
}

func (c *Controller) serveHTTP(ctx context.Context, l net.Listener, httpServer *http.Server) error {
	httpServer.ReadHeaderTimeout = httpReadHeaderTimeout
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		_ = httpServer.Shutdown(shutdownCtx)
	})
	defer stop()
	return server.Serve(httpServer, l)
}

// runNode waits until this process belongs to a group, and then runs the
// replicated log and what depends on it.
func (c *Controller) runNode(ctx context.Context, recovered *journaler.Recovered) error {
	initial := c.membership.awaitGroup(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if recovered.Snapshot == nil && initial != nil {
		recovered.Snapshot = &replication.Snapshot{
			Header: &replication.SnapshotHeader{Membership: initial},
		}
		err := c.journal.SaveSnapshot(recovered.Snapshot, recovered.HardState, recovered.Entries)
		if err != nil {
			return err
		}
	}
	c.recoveredOrders = holdsEvacuationOrders(recovered)
	n, err := c.newNode(recovered)
	if err != nil {
		return err
	}
	c.node, c.nodeCreatedAt = n, timer.Now()
	c.membership.setNode(n)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error { return c.membership.run(ctx) })
	group.Go(func() error { return c.runUsage(ctx) })
	group.Go(func() error { return c.runVersions(ctx) })
	group.Go(func() error { return c.runPlatformAgent(ctx) })
	return group.Wait()
}

func (c *Controller) newNode(recovered *journaler.Recovered) (*node, error) {
	s := c.settings.GetControl()
	return replicator.NewNode(replicator.NodeConfig[*wire.ProposeReply]{
		Core: replicator.Config{
			ID:                replicator.MemberID(c.identity.GetIncarnation()),
			HeartbeatInterval: s.GetHeartbeatInterval().AsDuration(),
			ElectionTimeout:   s.GetElectionTimeout().AsDuration(),
			BatchBytes:        batchBytes,
			Random:            rand.Int64N,
		},
		InitialState: replicator.InitialState{
			HardState: recovered.HardState,
			Snapshot:  recovered.Snapshot.GetHeader(),
			Entries:   recovered.Entries,
		},
		Now:          timer.Now,
		Append:       c.journal.Append,
		Retryable:    func(err error) bool { return errors.As(err, new(*journaler.NoSpaceError)) },
		SaveSnapshot: c.journal.SaveSnapshot,
		Send:         c.peers.enqueue,
		Apply: func(index replicator.Index, data []byte) *wire.ProposeReply {
			c.appliedCommands.Inc(1)
			defer c.recordRevision(c.stateMachine.Revision())
			return c.stateMachine.Apply(index, data)
		},
		Snapshot: c.stateMachine.Snapshot,
		Restore: func(data []byte) error {
			defer c.recordRevision(c.stateMachine.Revision())
			return c.stateMachine.Restore(data)
		},
		SnapshotEntries: int(s.GetSnapshotEntries()),
		SnapshotBytes:   snapshotBytes,
	}, recovered.Snapshot)
}

// recordRevision records the time if the revision differs from an earlier one.
func (c *Controller) recordRevision(before configurer.Revision) {
	if c.stateMachine.Revision() != before {
		c.revisionAt.Store(int64(timer.Now()))
	}
}

// revisionAge returns the time since this member applied the latest revision.
func (c *Controller) revisionAge() time.Duration {
	return timer.Now() - time.Duration(c.revisionAt.Load())
}

// notReady returns why the process is not ready, or an empty string if it is.
func (c *Controller) notReady() string {
	n := c.membership.currentNode()
	if n == nil {
		return "not a member of a group yet"
	}
	if n.Status().Leader == 0 {
		return "no leader"
	}
	return ""
}

// propose commits a command and returns its result. This member must be the leader.
func (c *Controller) propose(ctx context.Context, command *state.Command) (*wire.ProposeReply, error) {
	s := c.settings.GetControl()
	command.AtMillis = time.Now().UnixMilli()
	command.Limits = &state.Limits{
		ClaimRetentionMillis:  s.GetClaims().GetRetention().AsDuration().Milliseconds(),
		ClaimsPerOrganisation: s.GetClaims().GetPerOrganisation(),
		AuditRecords:          s.GetAuditRecords(),
		SettleMillis:          s.GetReporting().GetSettle().AsDuration().Milliseconds(),
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a command")
	}
	n := c.membership.currentNode()
	if n == nil {
		return nil, &replicator.NotLeaderError{}
	}
	return n.Propose(ctx, data)
}
