package router

import (
	"context"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/limiter"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// demandLifetime is the time after which a silent peer's demand is not known any more.
	demandLifetime = 2 * time.Second
	// peerTimeout bounds one exchange with a peer.
	peerTimeout = time.Second
	// maximumQueuedCacheEvents bounds the cache events that wait for one peer.
	maximumQueuedCacheEvents = 1000
)

type (
	// peerExchanger spreads announcements and demand between entry processes.
	peerExchanger struct {
		router   *Router
		security messenger.Security
		clients  []*messenger.Client
		interval time.Duration

		mu sync.Mutex
		// outgoing holds, for each client, the announcements that it has not answered yet.
		outgoing []map[registrar.UpstreamID]registrar.Upstream
		// cacheEvents holds, for each client, the cache events to send next. They
		// may be lost, which the receiver notices as a gap.
		cacheEvents [][]*wire.CacheEvent
	}

	// demandTable holds the demand of the other entry processes. The dispatcher guards it.
	demandTable struct {
		expected int
		byHost   map[string]peerDemand
	}

	peerDemand struct {
		at     time.Duration
		demand map[string]int
	}
)

func newPeerExchanger(r *Router, security messenger.Security) *peerExchanger {
	e := r.settings.GetEntry()
	x := &peerExchanger{router: r, security: security, interval: e.GetPeerInterval().AsDuration()}
	for _, address := range e.GetPeerAddresses() {
		x.clients = append(x.clients, messenger.NewClient(address, security, peerTimeout))
		x.outgoing = append(x.outgoing, map[registrar.UpstreamID]registrar.Upstream{})
		x.cacheEvents = append(x.cacheEvents, nil)
	}
	return x
}

// run exchanges with every peer until ctx ends.
func (x *peerExchanger) run(ctx context.Context) error {
	var wait sync.WaitGroup
	for i := range x.clients {
		wait.Go(func() { x.exchangeLoop(ctx, i) })
	}
	wait.Wait()
	return nil
}

func (x *peerExchanger) exchangeLoop(ctx context.Context, i int) {
	defer x.clients[i].Close()
	for ctx.Err() == nil {
		if err := x.exchange(ctx, i); err != nil {
			x.router.log.Debug("exchange with a peer failed",
				zap.String("peer", x.clients[i].Address()), zap.Error(err))
		}
		timer.Sleep(ctx, x.interval)
	}
}

func (x *peerExchanger) exchange(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	pending := x.take(i)
	request := x.describe()
	request.CacheEvents = x.takeCacheEvents(i)
	now := x.router.dispatcher.now()
	for _, u := range pending {
		request.Upstreams = append(request.Upstreams, announcer.ToWire(&u, now))
	}
	reply, err := x.clients[i].Exchange(ctx, &wire.Request{Kind: &wire.Request_PeerExchange{PeerExchange: request}})
	if err != nil {
		x.putBack(i, pending)
		return err
	}
	x.learn(reply.GetPeerExchange())
	return nil
}

// relay queues an announcement that arrived here for every peer.
func (x *peerExchanger) relay(u registrar.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, out := range x.outgoing {
		out[u.ID] = u
	}
}

// relayCache queues a cache event that arrived here for every peer.
func (x *peerExchanger) relayCache(e *wire.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range x.cacheEvents {
		if len(x.cacheEvents[i]) < maximumQueuedCacheEvents {
			x.cacheEvents[i] = append(x.cacheEvents[i], e)
		}
	}
}

func (x *peerExchanger) takeCacheEvents(i int) []*wire.CacheEvent {
	x.mu.Lock()
	defer x.mu.Unlock()
	events := x.cacheEvents[i]
	x.cacheEvents[i] = nil
	return events
}

func (x *peerExchanger) take(i int) map[registrar.UpstreamID]registrar.Upstream {
	x.mu.Lock()
	defer x.mu.Unlock()
	pending := x.outgoing[i]
	x.outgoing[i] = map[registrar.UpstreamID]registrar.Upstream{}
	return pending
}

// putBack queues announcements again, except where a newer one waits.
func (x *peerExchanger) putBack(i int, pending map[registrar.UpstreamID]registrar.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, u := range pending {
		if _, newer := x.outgoing[i][id]; !newer {
			x.outgoing[i][id] = u
		}
	}
}

func (x *peerExchanger) describe() *wire.PeerExchange {
	return &wire.PeerExchange{
		Host:    x.router.settings.GetHost().GetId(),
		Demands: x.router.dispatcher.poolDemands(),
	}
}

// handle answers an exchange that a peer began.
func (x *peerExchanger) handle(_ context.Context, r *wire.Request) *wire.Reply {
	exchange := r.GetPeerExchange()
	if exchange == nil {
		return &wire.Reply{Failure: &wire.Failure{Reason: "invalid", Detail: "unknown request"}}
	}
	x.learn(exchange)
	return &wire.Reply{Kind: &wire.Reply_PeerExchange{PeerExchange: x.describe()}}
}

func (x *peerExchanger) learn(exchange *wire.PeerExchange) {
	d := x.router.dispatcher
	for _, u := range exchange.GetUpstreams() {
		if checkAnnouncement(u) == nil {
			d.announce(announcer.FromWire(u, d.now()))
		}
	}
	for _, e := range exchange.GetCacheEvents() {
		d.noteCache(cacheEventFromWire(e))
	}
	d.learnDemand(exchange.GetHost(), exchange.GetDemands())
}

func newDemandTable(expected int) *demandTable {
	return &demandTable{expected: expected, byHost: map[string]peerDemand{}}
}

func (d *dispatcher) learnDemand(host string, demands []*wire.PoolDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byPool := map[string]int{}
	for _, demand := range demands {
		byPool[demand.GetPool()] = int(demand.GetRequests())
	}
	d.peers.byHost[host] = peerDemand{at: d.now(), demand: byPool}
}

// demands returns the demand of every configured peer for a pool.
func (t *demandTable) demands(now time.Duration, key poolKey) []limiter.Demand {
	out := make([]limiter.Demand, 0, t.expected)
	for host, p := range t.byHost {
		if now-p.at > demandLifetime {
			delete(t.byHost, host)
			continue
		}
		out = append(out, limiter.Demand{Requests: p.demand[key.String()], Known: true})
	}
	for len(out) < t.expected {
		out = append(out, limiter.Demand{})
	}
	return out
}
