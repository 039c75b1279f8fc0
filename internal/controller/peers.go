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

// outboxSize bounds the messages queued for one peer. Further messages are dropped.
const outboxSize = 256

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
		runContext context.Context //nolint:containedctx // Senders of peers that are added later end with it.
		// senders waits for the goroutines that send the outboxes.
		senders sync.WaitGroup
	}

	peer struct {
		host   string
		client *messenger.Client
		outbox chan *replication.Message
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

// setSeeds replaces the seed addresses. The own address is left out.
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
	if before := p.byHost[host]; before != nil {
		// The addresses listed in the settings take precedence over announced ones.
		if p.static || before.client.Address() == address {
			return
		}
		close(before.stop)
	}
	added := &peer{
		host:   host,
		client: messenger.NewClient(address, p.security, requestTimeout),
		outbox: make(chan *replication.Message, outboxSize),
		stop:   make(chan struct{}),
	}
	p.byHost[host] = added
	if p.runContext != nil {
		running := p.runContext
		p.senders.Go(func() { p.sendOutbox(running, added) })
	}
}

// removeDeparted removes the control processes that are members before but not after a change.
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
		if known := p.byHost[m.GetHost()]; known != nil && !remaining[m.GetHost()] {
			close(known.stop)
			delete(p.byHost, m.GetHost())
		}
	}
}

// run sends the queued messages of all peers until ctx ends.
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
	if known := p.byHost[host]; known != nil {
		return known.client
	}
	return nil
}

// clients returns the clients for all known peers.
func (p *peers) clients() []*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*messenger.Client, 0, len(p.byHost))
	for _, known := range p.byHost {
		out = append(out, known.client)
	}
	return out
}

// clientsByHost returns the clients for all known peers, by host.
func (p *peers) clientsByHost() map[string]*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*messenger.Client, len(p.byHost))
	for host, known := range p.byHost {
		out[host] = known.client
	}
	return out
}

// introductionClients returns the clients for all known peers and the remaining seeds.
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

// enqueue adds messages to the outboxes without blocking. A message is dropped
// if its outbox is full or its receiver is unknown.
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

// sendOutbox sends the messages queued for a peer until ctx ends or the peer is
// stopped. It sends all messages that are queued at a time in one request.
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
