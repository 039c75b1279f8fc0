// Package router is the entry daemon: it admits callers' requests, queues them
// by class and organisation, chooses an upstream, forwards, streams the answer
// back and counts usage.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/comfreybend/comfreybend/internal/server"
	"github.com/comfreybend/comfreybend/pkg/timer"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/comfreybend/comfreybend/internal/certifier"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// finalSyncTimeout bounds the last push of usage counters.
	finalSyncTimeout = 2 * time.Second
	// idleTimeout closes callers' connections on which nothing happens.
	idleTimeout = 2 * time.Minute
	// startUpTime is the time after its start in which a process has learnt the
	// configuration and the upstreams: an election, and one announcement of each.
	startUpTime = 2500 * time.Millisecond
	// shortestReturn is the least time after which a refused caller comes back.
	shortestReturn = 400 * time.Millisecond
	// returnSpread divides the time to come back into the time over which callers spread.
	returnSpread = 3
)

// Router is one entry process.
type Router struct {
	settings    *settings.Settings
	dialect     Dialect
	random      func(n int) int
	windows     *windowCounter
	controlPoller    *follower
	controls    *controlClients
	begun       time.Duration
	log         *zap.Logger
	instruments *instrumenter.Instruments
	incarnation string

	authority  *controlPlane
	dispatcher *dispatcher
	attempter  *upstreamClient
	usage      *usageCounter
	peers      *peerExchanger
	metrics    *metrics
	inProgress atomic.Int64
	draining   atomic.Bool
}

// New returns an entry process that has not started.
func New(
	s *settings.Settings, dialect Dialect, log *zap.Logger, instruments *instrumenter.Instruments,
) (*Router, error) {
	security, err := certifier.Peer(s.GetTls())
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings:    s,
		dialect:     dialect,
		random:      rand.IntN,
		begun:       timer.Now(),
		windows:     newWindowCounter(s.GetEntry()),
		log:         log,
		instruments: instruments,
		incarnation: uuid.NewString(),
		usage:       newUsageCounter(),
		metrics:     newMetrics(instruments.Scope),
	}
	r.dispatcher = newDispatcher(s, r.metrics)
	r.dispatcher.returnAfter = r.retryAfter
	r.attempter = newUpstreamClient(s.GetEntry(), dialect)
	r.controls = newControlClients(s.GetEntry(), security)
	r.authority = newControlPlane(r)
	r.controlPoller = newFollower(r)
	r.peers = newPeerExchanger(r, security)
	return r, nil
}

// Run serves until ctx ends, and then until every request in progress has ended.
func (r *Router) Run(ctx context.Context) error {
	l, err := r.listen(ctx)
	if err != nil {
		return err
	}
	// The background work goes on while requests in progress are finished.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, running := errgroup.WithContext(background)
	peerServer := messenger.NewServer(l.peer, r.peers.security, r.peers.handle)
	status := &http.Server{Handler: r.instruments.Handler(r.notReady, r.dialect.ReadyPath), ReadHeaderTimeout: idleTimeout}
	upstreams := &http.Server{Handler: r.announcementHandler(), ReadHeaderTimeout: idleTimeout}
	callers := r.callerServer()
	group.Go(func() error { return peerServer.Run(running) })
	group.Go(func() error { return r.authority.run(running) })
	group.Go(func() error { return r.peers.run(running) })
	group.Go(func() error { return r.controlPoller.run(running) })
	group.Go(func() error { return r.dispatcher.run(running) })
	group.Go(func() error { return server.Serve(status, l.status) })
	group.Go(func() error { return server.Serve(upstreams, l.upstream) })
	group.Go(func() error { return server.Serve(callers, l.caller) })
	group.Go(func() error {
		defer stopBackground()
		return r.drain(ctx, running, callers, status, upstreams)
	})
	r.log.Info("entry process started", zap.String("incarnation", r.incarnation),
		zap.String("callerListen", r.settings.GetEntry().GetCallerListen()))
	err = group.Wait()
	r.log.Info("entry process stopped", zap.Error(err))
	return err
}

// Reload takes over the settings that may change while the process runs: the
// addresses of control processes.
func (r *Router) Reload(s *settings.Settings) {
	r.controls.setSeeds(s.GetEntry().GetControlAddresses())
}

// drain waits for the end of ctx and then shuts down gracefully: readiness
// fails first, then no new connection is accepted, and every request in
// progress ends before the process does.
func (r *Router) drain(ctx, running context.Context, callers *http.Server, others ...*http.Server) error {
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	s := r.settings.GetEntry()
	r.draining.Store(true)
	r.log.Info("graceful shutdown begins", zap.Int64("requestsInProgress", r.inProgress.Load()))
	timer.Sleep(running, s.GetShutdownDelay().AsDuration())
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.GetShutdownGrace().AsDuration())
	defer cancel()
	err := callers.Shutdown(grace)
	if err != nil {
		r.log.Error("requests in progress outlasted the grace period", zap.Error(err))
		_ = callers.Close()
	}
	final, cancelFinal := context.WithTimeout(context.WithoutCancel(ctx), finalSyncTimeout)
	defer cancelFinal()
	r.authority.pushFinalUsage(final)
	for _, other := range others {
		_ = other.Close()
	}
	return nil
}

type routerListeners struct {
	caller   net.Listener
	upstream net.Listener
	status   net.Listener
	peer     net.Listener
}

func (r *Router) listen(ctx context.Context) (*routerListeners, error) {
	e := r.settings.GetEntry()
	l := &routerListeners{}
	err := server.Listen(ctx,
		server.Binding{Address: e.GetCallerListen(), Target: &l.caller},
		server.Binding{Address: e.GetUpstreamListen(), Target: &l.upstream},
		server.Binding{Address: e.GetStatusListen(), Target: &l.status},
		server.Binding{Address: e.GetPeerListen(), Target: &l.peer},
	)
	if err != nil {
		return nil, err
	}
	public, err := certifier.Public(r.settings.GetTls())
	if err != nil {
		return nil, err
	}
	l.caller = netutil.LimitListener(l.caller, int(e.GetCallerLimits().GetConnections()))
	l.caller = certifier.Listener(l.caller, public)
	l.upstream = certifier.Listener(l.upstream, public)
	return l, nil
}

func (r *Router) callerServer() *http.Server {
	limits := r.settings.GetEntry().GetCallerLimits()
	return &http.Server{
		Handler:           r.clientHandler(),
		ReadHeaderTimeout: limits.GetHeaderTimeout().AsDuration(),
		MaxHeaderBytes:    int(limits.GetHeaderBytes()),
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(r.log),
	}
}

// retryAfter tells a caller whose request cannot be served yet when to come
// back: once a process that has just started has what it needs, spread so that
// not all return at once.
func (r *Router) retryAfter() time.Duration {
	left := max(shortestReturn, startUpTime-(timer.Now()-r.begun))
	return left + time.Duration(r.random(int(left/returnSpread)))
}

// notReady returns why the process takes no work. A process whose
// configuration is not fresh still serves open routes.
func (r *Router) notReady() string {
	switch {
	case r.draining.Load():
		return "shutting down"
	case !r.authority.hasConfiguration():
		return "no configuration yet"
	default:
		return ""
	}
}
