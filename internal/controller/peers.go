package controller

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/replication"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// outboxSize bounds the messages that wait for one peer; older ones are lost first.
const outboxSize = 256

type (
	// peers holds a client and an outbox for every other control process. With
	// a list of peers in the settings it is complete from the start; with seeds
	// it grows by what introductions and memberships tell.
	peers struct {
		log         *zap.Logger
		selfHost    string
		selfAddress string
		security    messenger.Security
		// static reports that the settings list every control process.
		static bool
		// seeds are clients of the seeds' addresses, for finding the group.
		seeds []*messenger.Client

		mu           sync.Mutex
		byHost       map[string]*peer
		hostByMember map[replicator.MemberID]string
		// runContext is the context of the outboxes, nil before run.
		runContext context.Context //nolint:containedctx // Outboxes that are added later end with it.
		senders    sync.WaitGroup
	}

	peer struct {
		host   string
		client *messenger.Client
		outbox chan *replication.Message
		// stop ends the outbox of a peer whose address has changed.
		stop chan struct{}
	}
)

func newPeers(s *settings.Settings, security messenger.Security, log *zap.Logger) *peers {
	control := s.GetControl()
	p := &peers{
		log:          log,
		selfHost:     s.GetHost().GetId(),
		selfAddress:  control.GetPeerListen(),
		security:     security,
		static:       len(control.GetSeeds()) == 0,
		byHost:       map[string]*peer{},
		hostByMember: map[replicator.MemberID]string{},
	}
	for _, listed := range control.GetPeers() {
		p.addOrUpdate(listed.GetId(), listed.GetAddress())
	}
	p.setSeeds(control.GetSeeds())
	return p
}

// setSeeds replaces the addresses from which the group is found.
func (p *peers) setSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = nil
	for _, address := range addresses {
		if address != p.selfAddress {
			p.seeds = append(p.seeds, messenger.NewClient(address, p.security, exchangeTimeout))
		}
	}
}

// addOrUpdate adds a control process, or notes its new address.
func (p *peers) addOrUpdate(host, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host == p.selfHost || host == "" || address == "" {
		return
	}
	if before := p.byHost[host]; before != nil {
		// Addresses that the settings list stand, whatever the others say of themselves.
		if p.static || before.client.Address() == address {
			return
		}
		close(before.stop)
	}
	added := &peer{
		host:   host,
		client: messenger.NewClient(address, p.security, exchangeTimeout),
		outbox: make(chan *replication.Message, outboxSize),
		stop:   make(chan struct{}),
	}
	p.byHost[host] = added
	if p.runContext != nil {
		running := p.runContext
		p.senders.Go(func() { p.sendOutbox(running, added) })
	}
}

// removeDeparted drops the control processes that a change of the membership removed.
func (p *peers) removeDeparted(before, after *replication.Membership) {
	if p.static {
		return
	}
	member := map[string]bool{}
	for _, m := range after.GetMembers() {
		member[m.GetHost()] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range before.GetMembers() {
		if known := p.byHost[m.GetHost()]; known != nil && !member[m.GetHost()] {
			close(known.stop)
			delete(p.byHost, m.GetHost())
		}
	}
}

// run sends the outboxes until ctx ends.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.runContext = ctx
	for _, known := range p.byHost {
		p.senders.Go(func() { p.sendOutbox(ctx, known) })
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.senders.Wait()
	return nil
}

// learnMembership records which host a member runs on, and where.
func (p *peers) learnMembership(membership *replication.Membership) {
	for _, m := range membership.GetMembers() {
		p.mu.Lock()
		p.hostByMember[replicator.MemberID(m.GetId())] = m.GetHost()
		p.mu.Unlock()
		p.addOrUpdate(m.GetHost(), m.GetAddress())
	}
}

// hostOf returns the hostOf of a member, or an empty string.
func (p *peers) hostOf(id replicator.MemberID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostByMember[id]
}

// clientOf returns the clientOf of a host, or nil.
func (p *peers) clientOf(host string) *messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byHost[host]; known != nil {
		return known.client
	}
	return nil
}

// clients returns the clients of all other control processes that are known.
func (p *peers) clients() []*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*messenger.Client, 0, len(p.byHost))
	for _, known := range p.byHost {
		out = append(out, known.client)
	}
	return out
}

// clientsByHost returns the clients of all other control processes that are known, by host.
func (p *peers) clientsByHost() map[string]*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*messenger.Client, len(p.byHost))
	for host, known := range p.byHost {
		out[host] = known.client
	}
	return out
}

// introductionClients returns the clients of all processes to introduce this one to.
func (p *peers) introductionClients() []*messenger.Client {
	out := p.clients()
	met := map[string]bool{}
	for _, c := range out {
		met[c.Address()] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.seeds {
		if !met[c.Address()] {
			out = append(out, c)
		}
	}
	return out
}

// recordIntroduction records the host of a process that introduced itself, and what it knows of the members.
func (p *peers) recordIntroduction(i *wire.Introduction) {
	p.mu.Lock()
	p.hostByMember[replicator.MemberID(i.GetIncarnation())] = i.GetHost()
	p.mu.Unlock()
	p.addOrUpdate(i.GetHost(), i.GetAddress())
	if !p.static {
		p.learnMembership(i.GetMembership())
	}
}

// enqueue queues messages without blocking.
func (p *peers) enqueue(messages []*replication.Message) {
	for _, m := range messages {
		p.mu.Lock()
		known := p.byHost[p.hostByMember[replicator.MemberID(m.GetTo())]]
		p.mu.Unlock()
		if known == nil {
			continue
		}
		select {
		case known.outbox <- m:
		default:
		}
	}
}

// sendOutbox sends what waits for one peer, everything at hand in one exchange.
func (p *peers) sendOutbox(ctx context.Context, to *peer) {
	defer to.client.Close()
	for {
		var batch []*replication.Message
		select {
		case <-ctx.Done():
			return
		case <-to.stop:
			return
		case m := <-to.outbox:
			batch = append(batch, m)
		}
		for range len(to.outbox) {
			batch = append(batch, <-to.outbox)
		}
		request := &wire.Request{Kind: &wire.Request_Replicate{Replicate: &wire.Replicate{Messages: batch}}}
		if err := to.client.Notify(ctx, request); err != nil {
			p.log.Debug("messages to a control process were lost", zap.String("peer", to.host), zap.Error(err))
		}
	}
}
