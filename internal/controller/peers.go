package controller

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/queuer"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/replication"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	// peers holds a client and an outbox for every other control process. If the
	// settings list all peers, the set is fixed. With seeds, peers are added and
	// removed as introductions and membership changes arrive.
	peers struct {
		log         *zap.Logger
		selfHost    string
		selfAddress string
		security    messenger.Security
		// static is true if the settings list all control processes.
		static bool
		// seeds are clients for the seed addresses, through which the group is found.
		seeds []*messenger.Client

		mu           sync.Mutex
		byHost       map[string]*peer
		hostByMember map[replicator.MemberID]string
		// runContext is the context of run, nil before run is called.
		runContext context.Context //nolint:containedctx // Senders started after run must end with run's context.
		// senders waits for the goroutines that run sendOutbox.
		senders sync.WaitGroup
	}

	peer struct {
		host   string
		client *messenger.Client
		outbox *queuer.Queue
		// stop is closed when the peer is removed or its address changes.
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

// setSeeds replaces the seed addresses. The process's own address is left out.
func (p *peers) setSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = nil
	for _, address := range addresses {
		if address != p.selfAddress {
			p.seeds = append(p.seeds, messenger.NewClient(address, p.security, requestTimeout))
		}
	}
}

// addOrUpdate adds a control process or changes its address.
func (p *peers) addOrUpdate(host, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host == p.selfHost || host == "" || address == "" {
		return
	}
	if existing := p.byHost[host]; existing != nil {
		// The addresses listed in the settings take precedence over those received from other processes.
		if p.static || existing.client.Address() == address {
			return
		}
		close(existing.stop)
	}
	added := &peer{
		host:   host,
		client: messenger.NewClient(address, p.security, requestTimeout),
		outbox: queuer.New(),
		stop:   make(chan struct{}),
	}
	p.byHost[host] = added
	if p.runContext != nil {
		running := p.runContext
		p.senders.Go(func() { p.sendOutbox(running, added) })
	}
}

// removeDeparted removes the control processes that a membership change has removed.
func (p *peers) removeDeparted(before, after *replication.Membership) {
	if p.static {
		return
	}
	remaining := map[string]bool{}
	for _, m := range after.GetMembers() {
		remaining[m.GetHost()] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range before.GetMembers() {
		if pr := p.byHost[m.GetHost()]; pr != nil && !remaining[m.GetHost()] {
			close(pr.stop)
			delete(p.byHost, m.GetHost())
		}
	}
}

// run sends the messages queued for the peers until ctx ends.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.runContext = ctx
	for _, pr := range p.byHost {
		p.senders.Go(func() { p.sendOutbox(ctx, pr) })
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.senders.Wait()
	return nil
}

// recordMembership records the host and address of each member.
func (p *peers) recordMembership(membership *replication.Membership) {
	for _, m := range membership.GetMembers() {
		p.mu.Lock()
		p.hostByMember[replicator.MemberID(m.GetId())] = m.GetHost()
		p.mu.Unlock()
		p.addOrUpdate(m.GetHost(), m.GetAddress())
	}
}

// hostOf returns the host of a member, or an empty string if it is unknown.
func (p *peers) hostOf(id replicator.MemberID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostByMember[id]
}

// clientOf returns the client for a host, or nil if it is unknown.
func (p *peers) clientOf(host string) *messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.byHost[host]; pr != nil {
		return pr.client
	}
	return nil
}

// clients returns the clients for all known peers.
func (p *peers) clients() []*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*messenger.Client, 0, len(p.byHost))
	for _, pr := range p.byHost {
		out = append(out, pr.client)
	}
	return out
}

// clientsByHost returns the clients for all known peers, by host.
func (p *peers) clientsByHost() map[string]*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*messenger.Client, len(p.byHost))
	for host, pr := range p.byHost {
		out[host] = pr.client
	}
	return out
}

// introductionClients returns the clients for all known peers and the remaining seeds.
func (p *peers) introductionClients() []*messenger.Client {
	out := p.clients()
	knownAddresses := map[string]bool{}
	for _, c := range out {
		knownAddresses[c.Address()] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.seeds {
		if !knownAddresses[c.Address()] {
			out = append(out, c)
		}
	}
	return out
}

// recordIntroduction records the host and address of the sender of an
// introduction and, with seeds, the members that the sender knows.
func (p *peers) recordIntroduction(i *wire.Introduction) {
	p.mu.Lock()
	p.hostByMember[replicator.MemberID(i.GetIncarnation())] = i.GetHost()
	p.mu.Unlock()
	p.addOrUpdate(i.GetHost(), i.GetAddress())
	if !p.static {
		p.recordMembership(i.GetMembership())
	}
}

// enqueue adds messages to the outboxes without blocking. A message is dropped if its receiver
// is unknown.
func (p *peers) enqueue(messages []*replication.Message) {
	for _, m := range messages {
		p.mu.Lock()
		to := p.byHost[p.hostByMember[replicator.MemberID(m.GetTo())]]
		p.mu.Unlock()
		if to != nil {
			to.outbox.Add(m)
		}
	}
}

// sendOutbox sends the messages queued for a peer until ctx ends or the peer is
// removed or replaced. It sends all messages that are queued at a time in one request.
func (p *peers) sendOutbox(ctx context.Context, to *peer) {
	defer to.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-to.stop:
			return
		case <-to.outbox.Added:
		}
		messages := to.outbox.Take()
		if len(messages) == 0 {
			continue
		}
		request := &wire.Request{Kind: &wire.Request_Replicate{Replicate: &wire.Replicate{Messages: messages}}}
		if err := to.client.Notify(ctx, request); err != nil {
			p.log.Debug("sending messages to a control process failed; they are dropped", zap.String("peer", to.host), zap.Error(err))
		}
	}
}
