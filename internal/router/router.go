// Package router implements the entry process. It admits client requests, queues them by
// class and organisation, forwards each to an upstream, relays the response and counts
// usage.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreybend/comfreybend/internal/admitter"
	"github.com/comfreybend/comfreybend/internal/bounder"
	"github.com/comfreybend/comfreybend/internal/bufferer"
	"github.com/comfreybend/comfreybend/internal/certifier"
	"github.com/comfreybend/comfreybend/internal/counter"
	"github.com/comfreybend/comfreybend/internal/fetcher"
	"github.com/comfreybend/comfreybend/internal/forwarder"
	"github.com/comfreybend/comfreybend/internal/identifier"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/measurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/proposer"
	"github.com/comfreybend/comfreybend/internal/racer"
	"github.com/comfreybend/comfreybend/internal/ranker"
	"github.com/comfreybend/comfreybend/internal/relayer"
	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/server"
	"github.com/comfreybend/comfreybend/internal/stopper"
	"github.com/comfreybend/comfreybend/internal/tracker"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/windower"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// finalSyncTimeout bounds the last push of the usage counters at shutdown.
	finalSyncTimeout = 2 * time.Second
	// idleTimeout closes idle client connections.
	idleTimeout = 2 * time.Minute
	// startupTime is the time that a process needs after its start to learn the
	// configuration and the upstreams: it covers an election and one announcement of each
	// upstream. A client that retries earlier would be refused again.
	startupTime = 2500 * time.Millisecond
	// usualStartupTime is the time after which a process mostly has its configuration: 0.1 s while control
	// processes serve, 0.5 to 1.5 s if they have been started at the same time.
	usualStartupTime = 1200 * time.Millisecond
	// minRetryAfter is the shortest time, before jitter, after which a refused client may
	// retry.
	minRetryAfter = 400 * time.Millisecond
	// retryAfterJitterDivisor bounds the random jitter: it is less than the time to wait
	// divided by retryAfterJitterDivisor.
	retryAfterJitterDivisor = 3
)

// Router is one entry process.
type Router struct {
	settings       *settings.Settings
	dialect        translator.Dialect
	random         func(n int) int
	windows        *windower.Counter
	controlPoller  *controlPoller
	controlClients *ranker.Ranker
	startedAt      time.Duration
	log            *zap.Logger
	instruments    *instrumenter.Instruments
	incarnation    string

	controlPlane   *controlPlane
	proposer       *proposer.Proposer
	fetcher        *fetcher.Fetcher
	isolation      *isolation
	restrainer     *restrainer.Restrainer
	identifier     *identifier.Identifier
	tracker        *tracker.Tracker
	racer          *racer.Racer
	dispatcher     *dispatcher
	forwarder      *forwarder.Forwarder
	receiver       *relayer.Receiver
	upstreamClient *upstreamClient
	usage          *counter.Counters
	peers          *peerExchanger
	metrics        *measurer.Metrics
	buffers        *bufferer.Pool
	bodies         *ingester.Ingester
	admitter       *admitter.Admitter
	bounder        *bounder.Bounder
	stopper        *stopper.Stopper
	inProgress     atomic.Int64
	// admitted counts the requests in progress whose bodies have been read.
	admitted     atomic.Int64
	shuttingDown atomic.Bool
}

// New returns an entry process that has not been started.
func New(
	s *settings.Settings, dialect translator.Dialect, log *zap.Logger, instruments *instrumenter.Instruments,
) (*Router, error) {
	security, err := certifier.PeerSecurity(s.GetTls())
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings:    s,
		dialect:     dialect,
		random:      rand.IntN,
		startedAt:   timer.Now(),
		windows:     windower.New(s.GetEntry().GetAlignedWindow().AsDuration(), reportedWindows),
		log:         log,
		instruments: instruments,
		incarnation: uuid.NewString(),
		usage:       counter.New(),
		metrics:     measurer.New(instruments.Scope),
		identifier:  identifier.New(),
		tracker:     tracker.New(),
	}
	r.restrainer = restrainer.New(s.GetHost().GetId(), s.GetEntry().GetColdUpstreams(), r.windows.Now)
	r.restrainer.Log, r.restrainer.Held = log, r.metrics.HeldCold
	r.dispatcher = newDispatcher(s, r.metrics)
	r.dispatcher.budgets.Log = log
	r.dispatcher.restrainer = r.restrainer
	r.dispatcher.retryAfter = r.retryAfter
	r.stopper = r.dispatcher.stopper
	r.racer = racer.New(s.GetEntry().GetHedging(), func() time.Duration { return r.dispatcher.now() }, r.metrics.Scope)
	r.racer.Log = log
	limits := s.GetEntry().GetCallerLimits()
	r.admitter = admitter.New(int(limits.GetConnections()))
	r.bounder = bounder.New(limits.GetSocketMemoryBytes())
	r.bodies = ingester.New(limits, func() time.Duration { return r.dispatcher.now() })
	r.buffers = bufferer.New(s.GetEntry().GetUpstreamLimits().GetBufferedBytes())
	r.upstreamClient = newUpstreamClient(s.GetEntry(), dialect)
	r.upstreamClient.onEnd = r.stopper.OnEnd
	r.upstreamClient.admit = r.restrainer.Admit
	r.upstreamClient.askWarmUp = r.askWarmUp
	r.upstreamClient.checkLeaving = r.dispatcher.checkWithheld
	r.controlClients = ranker.New(s.GetEntry(), security)
	r.controlPlane, r.proposer = newControlPlane(r), proposer.New(r.controlClients.All)
	r.tracker.Targets, r.tracker.All = r.controlClients.Apart, r.controlClients.All
	r.tracker.Unreachable, r.tracker.Propose = r.controlClients.MarkFailed, r.proposer.Propose
	r.tracker.Restarted = func(c *messenger.Client, streams int) {
		log.Info("control process has forgotten which versions began streams", zap.String("control", c.Address()), zap.Int("streams", streams))
	}
	r.fetcher = fetcher.New(r.controlClients, log)
	r.fetcher.Revisions, r.fetcher.Apply = r.controlPlane.revisions, r.controlPlane.applyFetched
	r.isolation = newIsolation(r)
	r.controlPoller = newControlPoller(r)
	r.peers = newPeerExchanger(r, security)
	r.dispatcher.onWithdrawn = r.peers.mailer.QueueAnnouncement
	r.upstreamClient.onResponse = r.handleNotices
	r.upstreamClient.onStart = r.isolation.track
	r.setUpRelay(security)
	return r, nil
}

// Run serves until ctx is done, and returns after a graceful shutdown.
func (r *Router) Run(ctx context.Context) error {
	l, err := r.listen(ctx)
	if err != nil {
		return err
	}
	// Background work continues while requests in progress finish.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, running := errgroup.WithContext(background)
	peerServer := messenger.NewServer(l.peer, r.peers.security, r.peers.handle)
	peerServer.OnPause = func(err error) { r.log.Warn("connections of other processes cannot be accepted now", zap.Error(err)) }
	peerServer.HandleRelay, peerServer.ReserveRelay = r.receiver.Handle, r.bodies.Reserve
	status := &http.Server{Handler: r.instruments.Handler(r.notReadyReason, r.dialect.ReadyPath), ReadHeaderTimeout: idleTimeout}
	upstreams := &http.Server{Handler: r.announcementHandler(), ReadHeaderTimeout: idleTimeout, ConnContext: r.bounder.ConnContext}
	clients := r.clientServer()
	group.Go(func() error { return peerServer.Run(running) })
	group.Go(func() error { return r.controlPlane.run(running) })
	group.Go(func() error { return r.fetcher.Run(running) })
	group.Go(func() error { return r.tracker.Run(running) })
	group.Go(func() error { return r.peers.run(running) })
	group.Go(func() error { return r.controlPoller.run(running) })
	group.Go(func() error { return r.dispatcher.run(running) })
	group.Go(func() error { return r.forwarder.Run(running) })
	group.Go(func() error { return server.Serve(status, l.status) })
	group.Go(func() error { return server.Serve(upstreams, l.upstream) })
	group.Go(func() error { return server.Serve(clients, l.client) })
	group.Go(func() error {
		defer stopBackground()
		return r.shutDown(ctx, running, clients, status, upstreams)
	})
	r.log.Info("entry process started", zap.String("incarnation", r.incarnation),
		zap.String("callerListen", r.settings.GetEntry().GetCallerListen()))
	err = group.Wait()
	r.log.Info("entry process stopped", zap.Error(err))
	return err
}

// Reload applies the settings that can change at run time: the addresses of the control
// processes.
func (r *Router) Reload(s *settings.Settings) {
	r.controlClients.SetSeeds(s.GetEntry().GetControlAddresses())
}

// shutDown waits until ctx is done and shuts down gracefully: readiness fails first, then new
// connections are rejected, and requests in progress get the grace period to finish. Those that cannot are
// refused before it ends.
func (r *Router) shutDown(ctx, running context.Context, clients *http.Server, others ...*http.Server) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	s := r.settings.GetEntry()
	r.shuttingDown.Store(true)
	r.log.Info("graceful shutdown begins", zap.Int64("requestsInProgress", r.inProgress.Load()))
	delay := s.GetShutdownDelay().AsDuration()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), delay+s.GetShutdownGrace().AsDuration())
	defer cancel()
	go r.stopper.Stop(grace, delay+s.GetShutdownGrace().AsDuration())
	timer.Sleep(running, delay)
	err := clients.Shutdown(grace)
	if err != nil {
		r.log.Error("grace period ended with requests in progress", zap.Int64("requestsInProgress", r.inProgress.Load()), zap.Error(err))
		_ = clients.Close()
	}
	r.receiver.Stop(grace)
	final, cancelFinal := context.WithTimeout(context.WithoutCancel(ctx), finalSyncTimeout)
	defer cancelFinal()
	r.controlPlane.pushFinalUsage(final)
	for _, other := range others {
		_ = other.Close()
	}
	return nil
}

type routerListeners struct {
	client   net.Listener
	upstream net.Listener
	status   net.Listener
	peer     net.Listener
}

func (r *Router) listen(ctx context.Context) (*routerListeners, error) {
	e := r.settings.GetEntry()
	l := &routerListeners{}
	err := server.Listen(ctx,
		server.Binding{Address: e.GetCallerListen(), Target: &l.client},
		server.Binding{Address: e.GetUpstreamListen(), Target: &l.upstream},
		server.Binding{Address: e.GetStatusListen(), Target: &l.status},
		server.Binding{Address: e.GetPeerListen(), Target: &l.peer},
	)
	if err != nil {
		return nil, err
	}
	public, err := certifier.PublicConfig(r.settings.GetTls())
	if err != nil {
		return nil, err
	}
	l.client = r.admitter.Wrap(r.bounder.Wrap(l.client))
	l.upstream = r.bounder.Wrap(l.upstream)
	l.client = certifier.WrapListener(l.client, public)
	l.upstream = certifier.WrapListener(l.upstream, public)
	return l, nil
}

func (r *Router) clientServer() *http.Server {
	limits := r.settings.GetEntry().GetCallerLimits()
	return &http.Server{
		Handler:           r.clientHandler(),
		ReadHeaderTimeout: limits.GetHeaderTimeout().AsDuration(),
		MaxHeaderBytes:    int(limits.GetHeaderBytes()),
		IdleTimeout:       idleTimeout,
		ConnState:         r.admitter.ConnState,
		ConnContext:       r.bounder.ConnContext,
		ErrorLog:          zap.NewStdLog(r.log),
	}
}

// retryAfter returns the time after which a request that cannot be served yet may be
// retried: the rest of the usual time until the configuration is known, at least
// minRetryAfter, plus jitter so that clients do not retry all at once.
func (r *Router) retryAfter() time.Duration {
	left := max(minRetryAfter, usualStartupTime-(timer.Now()-r.startedAt))
	return left + time.Duration(r.random(int(left/retryAfterJitterDivisor)))
}

// notReadyReason returns why the process is not ready, or an empty string if it is. A
// process whose configuration is not fresh is ready, since it still serves open routes.
func (r *Router) notReadyReason() string {
	switch {
	case r.shuttingDown.Load():
		return "shutting down"
	case !r.controlPlane.hasConfiguration():
		return "no configuration yet"
	case r.admitter.Full():
		return "no connection can be taken"
	default:
		return ""
	}
}
