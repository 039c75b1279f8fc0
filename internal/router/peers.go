package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/mailer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// peerTimeout bounds one exchange with a peer.
const peerTimeout = time.Second

type (
	// peerExchanger exchanges announcements, cache events and demand with the other entry
	// processes.
	peerExchanger struct {
		router   *Router
		security messenger.Security
		peers    []*messenger.Client
		interval time.Duration
		mailer   *mailer.Mailer
	}
)

func newPeerExchanger(r *Router, security messenger.Security) *peerExchanger {
	e := r.settings.GetEntry()
	x := &peerExchanger{router: r, security: security, interval: e.GetPeerInterval().AsDuration(), mailer: mailer.New(len(e.GetPeerAddresses()))}
	for _, address := range e.GetPeerAddresses() {
		x.peers = append(x.peers, messenger.NewClient(address, security, peerTimeout))
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
	request := x.newPeerExchange()
	pending, events := x.mailer.Take(i)
	request.CacheEvents = events
	now := x.router.dispatcher.now()
	for _, u := range pending {
		request.Upstreams = append(request.Upstreams, announcer.ToWire(&u, now))
	}
	reply, err := x.peers[i].Call(ctx, &wire.Request{Kind: &wire.Request_PeerExchange{PeerExchange: request}})
	if err != nil {
		x.mailer.Requeue(i, pending)
		return err
	}
	x.apply(reply.GetPeerExchange())
	return nil
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
		if announcer.Validate(u) == nil {
			x.router.applyAnnouncement(announcer.FromWire(u, d.now()), leaveExchanged, exchange.GetHost())
		}
	}
	for _, e := range exchange.GetCacheEvents() {
		d.applyCacheEvent(announcer.CacheEventFromWire(e))
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
