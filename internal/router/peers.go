package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// peerTimeout bounds one exchange with a peer.
	peerTimeout = time.Second
	// maxQueuedCacheEvents bounds the queue of cache events for one peer.
	maxQueuedCacheEvents = 1000
)

type (
	// peerExchanger exchanges announcements, cache events and demand with the other entry
	// processes.
	peerExchanger struct {
		router   *Router
		security messenger.Security
		peers    []*messenger.Client
		interval time.Duration

		mu sync.Mutex
		// pendingAnnouncements holds, for each peer, the announcements that it has not
		// acknowledged yet.
		pendingAnnouncements []map[registrar.UpstreamID]registrar.Upstream
		// pendingCacheEvents holds, for each peer, the cache events to send next. They
		// are not sent again after a failure; the receiver detects lost events by a gap in
		// the sequence numbers.
		pendingCacheEvents [][]*wire.CacheEvent
	}
)

func newPeerExchanger(r *Router, security messenger.Security) *peerExchanger {
	e := r.settings.GetEntry()
	x := &peerExchanger{router: r, security: security, interval: e.GetPeerInterval().AsDuration()}
	for _, address := range e.GetPeerAddresses() {
		x.peers = append(x.peers, messenger.NewClient(address, security, peerTimeout))
		x.pendingAnnouncements = append(x.pendingAnnouncements, map[registrar.UpstreamID]registrar.Upstream{})
		x.pendingCacheEvents = append(x.pendingCacheEvents, nil)
	}
	return x
}

// run exchanges with every peer until ctx is done.
func (x *peerExchanger) run(ctx context.Context) error {
	var group sync.WaitGroup
	for i := range x.peers {
		group.Go(func() { x.exchangeLoop(ctx, i) })
	}
	group.Wait()
	return nil
}

func (x *peerExchanger) exchangeLoop(ctx context.Context, i int) {
	defer x.peers[i].Close()
	for ctx.Err() == nil {
		if err := x.exchange(ctx, i); err != nil {
			x.router.log.Debug("exchange with a peer failed",
				zap.String("peer", x.peers[i].Address()), zap.Error(err))
		}
		timer.Sleep(ctx, x.interval)
	}
}

func (x *peerExchanger) exchange(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	pending := x.takeAnnouncements(i)
	request := x.newPeerExchange()
	request.CacheEvents = x.takeCacheEvents(i)
	now := x.router.dispatcher.now()
	for _, u := range pending {
		request.Upstreams = append(request.Upstreams, announcer.ToWire(&u, now))
	}
	reply, err := x.peers[i].Call(ctx, &wire.Request{Kind: &wire.Request_PeerExchange{PeerExchange: request}})
	if err != nil {
		x.requeueAnnouncements(i, pending)
		return err
	}
	x.apply(reply.GetPeerExchange())
	return nil
}

// queueAnnouncement queues, for every peer, an announcement that an upstream sent.
func (x *peerExchanger) queueAnnouncement(u registrar.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, out := range x.pendingAnnouncements {
		out[u.ID] = u
	}
}

// queueCacheEvent queues, for every peer, a cache event that an upstream sent. A peer whose
// queue is full does not get it.
func (x *peerExchanger) queueCacheEvent(e *wire.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range x.pendingCacheEvents {
		if len(x.pendingCacheEvents[i]) < maxQueuedCacheEvents {
			x.pendingCacheEvents[i] = append(x.pendingCacheEvents[i], e)
		}
	}
}

func (x *peerExchanger) takeCacheEvents(i int) []*wire.CacheEvent {
	x.mu.Lock()
	defer x.mu.Unlock()
	events := x.pendingCacheEvents[i]
	x.pendingCacheEvents[i] = nil
	return events
}

func (x *peerExchanger) takeAnnouncements(i int) map[registrar.UpstreamID]registrar.Upstream {
	x.mu.Lock()
	defer x.mu.Unlock()
	pending := x.pendingAnnouncements[i]
	x.pendingAnnouncements[i] = map[registrar.UpstreamID]registrar.Upstream{}
	return pending
}

// requeueAnnouncements queues announcements again after a failed exchange, except those
// that a newer one of the same upstream has replaced meanwhile.
func (x *peerExchanger) requeueAnnouncements(i int, pending map[registrar.UpstreamID]registrar.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, u := range pending {
		if _, newer := x.pendingAnnouncements[i][id]; !newer {
			x.pendingAnnouncements[i][id] = u
		}
	}
}

// newPeerExchange returns a message with this process's demand.
func (x *peerExchanger) newPeerExchange() *wire.PeerExchange {
	return &wire.PeerExchange{
		Host:    x.router.settings.GetHost().GetId(),
		Demands: x.router.dispatcher.poolDemands(),

		Evidence: x.router.allEvidence(),
	}
}

// handle replies to an exchange that a peer started.
func (x *peerExchanger) handle(_ context.Context, r *wire.Request) *wire.Reply {
	exchange := r.GetPeerExchange()
	if exchange == nil {
		return &wire.Reply{Failure: &wire.Failure{Reason: "invalid", Detail: "unknown request"}}
	}
	x.apply(exchange)
	return &wire.Reply{Kind: &wire.Reply_PeerExchange{PeerExchange: x.newPeerExchange()}}
}

// apply applies a message of a peer.
func (x *peerExchanger) apply(exchange *wire.PeerExchange) {
	d := x.router.dispatcher
	x.router.mergeEvidence(exchange.GetEvidence())
	for _, u := range exchange.GetUpstreams() {
		if validateAnnouncement(u) == nil {
			x.router.applyAnnouncement(announcer.FromWire(u, d.now()), leaveExchanged, exchange.GetHost())
		}
	}
	for _, e := range exchange.GetCacheEvents() {
		d.applyCacheEvent(cacheEventFromWire(e))
	}
	d.setPeerDemand(exchange.GetHost(), exchange.GetDemands())
}

func (d *dispatcher) setPeerDemand(host string, demands []*wire.PoolDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byPool := map[string]int{}
	for _, demand := range demands {
		byPool[demand.GetPool()] = int(demand.GetRequests())
	}
	d.peerDemands.Record(d.now(), host, byPool)
}
