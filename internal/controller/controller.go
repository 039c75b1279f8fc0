// Package controller is the control daemon: a member of the replicated log
// that holds configuration, keys, claims, usage windows and orders. The holder
// of the leader lease alone talks to the platform.
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

	"github.com/comfreybend/comfreybend/internal/certifier"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/replication"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// batchBytes bounds the payload of one append message.
	batchBytes = 1 << 20
	// exchangeTimeout bounds one exchange between control processes.
	exchangeTimeout = 2 * time.Second
	// journalFolder is the part of the data folder that holds the log.
	journalFolder = "log"
	// httpHeaderTimeout bounds the time in which the headers of an operator's request arrive.
	httpHeaderTimeout = 5 * time.Second
	httpShutdown      = 5 * time.Second
	// diskRetryInterval is the time between attempts to open a journal whose disk refuses writes.
	diskRetryInterval = 500 * time.Millisecond
	// snapshotBytes is the payload of applied commands after which a snapshot is
	// taken, so that whole documents fit the memory and disk of a small host.
	snapshotBytes = 4 << 20
)

type (
	// node is the replicated log with this daemon's result type.
	node = replicator.Node[*wire.ProposeReply]

	// Controller is one control process.
	Controller struct {
		settings    *settings.Settings
		log         *zap.Logger
		instruments *instrumenter.Instruments
		security    messenger.Security

		keeper     *keeper.Keeper
		journal    *journaler.Journal
		identity   *replication.Identity
		peers      *peers
		node       *node
		membership *memberKeeper
		collector  *usageCollector
		entries    *entryTable
		dialect    Dialect
		table      *upstreamTable
		followers  *followers
		loads      *loadTable
		reports    *reportCollector
		orders     atomic.Pointer[orderer]

		committed tally.Counter
		refused   tally.Counter
	}
)

// New returns a control process that has not started.
func New(
	s *settings.Settings, dialect Dialect, log *zap.Logger, instruments *instrumenter.Instruments,
) (*Controller, error) {
	security, err := certifier.Peer(s.GetTls())
	if err != nil {
		return nil, err
	}
	c := &Controller{
		settings:    s,
		log:         log,
		instruments: instruments,
		security:    security,
		keeper:      keeper.New(),
		collector:   newUsageCollector(),
		entries:     newEntryTable(),
		dialect:     dialect,
		table:       newUpstreamTable(s.GetControl().GetAnnouncementLease().AsDuration()),
		followers:   newFollowers(),
		loads:       newLoadTable(),
		reports:     newReportCollector(s.GetControl()),
		committed:   instruments.Scope.Counter("commands_committed"),
		refused:     instruments.Scope.Counter("commands_refused"),
	}
	c.peers = newPeers(s, security, log)
	return c, nil
}

// Run serves until ctx ends or the journal fails.
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
	if recovered.CutBytes > 0 {
		c.log.Warn("cut the torn tail of the journal", zap.Int64("bytes", recovered.CutBytes))
	}
	c.membership = newMemberKeeper(c, recovered)
	listeners, err := c.listen(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	exchanges := messenger.NewServer(listeners.peer, c.security, c.handle)
	group.Go(func() error { return exchanges.Run(ctx) })
	group.Go(func() error { return c.serveHTTP(ctx, listeners.status, c.instruments.Handler(c.notReady, "")) })
	group.Go(func() error { return c.serveHTTP(ctx, listeners.operator, c.outsideHandler()) })
	group.Go(func() error { return c.runSpread(ctx) })
	group.Go(func() error { return c.peers.run(ctx) })
	group.Go(func() error { return c.runNode(ctx, recovered) })
	c.log.Info("control process started",
		zap.Uint64("incarnation", c.identity.GetIncarnation()), zap.String("peerListen", s.GetPeerListen()))
	err = group.Wait()
	c.log.Info("control process stopped", zap.Error(err))
	return err
}

// openJournal opens the journal, as soon as the disk takes what that needs to write.
func (c *Controller) openJournal(ctx context.Context, host string) (*journaler.Journal, *journaler.Recovered, error) {
	folder := filepath.Join(c.settings.GetControl().GetDataFolder(), journalFolder)
	for {
		journal, recovered, err := journaler.Open(folder, host, journaler.OSDisk())
		if err == nil || !errors.As(err, new(*journaler.RefusedError)) {
			return journal, recovered, err
		}
		c.log.Warn("the journal cannot be opened yet", zap.Error(err))
		if !timer.Sleep(ctx, diskRetryInterval) {
			return nil, nil, ctx.Err()
		}
	}
}

// Reload takes over the settings that may change while the process runs: the seeds.
func (c *Controller) Reload(s *settings.Settings) {
	c.peers.reseed(s.GetControl().GetSeeds())
}

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
	public, err := certifier.Public(c.settings.GetTls())
	if err != nil {
		return nil, err
	}
	l.operator = certifier.Listener(l.operator, public)
	return l, nil
}

func (c *Controller) serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	httpServer := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.Background(), httpShutdown)
		defer cancel()
		_ = httpServer.Shutdown(closing)
	})
	defer stop()
	return server.Serve(httpServer, l)
}

// runNode forms or joins the group and then runs the replicated log.
func (c *Controller) runNode(ctx context.Context, recovered *journaler.Recovered) error {
	founding := c.membership.findGroup(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if recovered.Snapshot == nil && founding != nil {
		recovered.Snapshot = &replication.Snapshot{
			Header: &replication.SnapshotHeader{Membership: founding},
		}
		err := c.journal.SaveSnapshot(recovered.Snapshot, recovered.HardState, recovered.Entries)
		if err != nil {
			return err
		}
	}
	n, err := c.newNode(recovered)
	if err != nil {
		return err
	}
	c.node = n
	c.membership.setNode(n)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error { return c.membership.run(ctx) })
	group.Go(func() error { return c.runUsage(ctx) })
	group.Go(func() error { return c.runCharge(ctx) })
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
		Retryable:      func(err error) bool { return errors.As(err, new(*journaler.RefusedError)) },
		SaveSnapshot: c.journal.SaveSnapshot,
		Send:         c.peers.send,
		Apply: func(_ replicator.Index, data []byte) *wire.ProposeReply {
			c.committed.Inc(1)
			return c.keeper.Apply(data)
		},
		Snapshot:        c.keeper.Snapshot,
		Restore:         c.keeper.Restore,
		SnapshotEntries: int(s.GetSnapshotEntries()),
		SnapshotBytes:   snapshotBytes,
	}, recovered.Snapshot)
}

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

// propose commits a command through this member, which must be the leader.
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
