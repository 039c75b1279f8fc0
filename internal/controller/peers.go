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
		log      *zap.Logger
		self     string
		address  string
		security messenger.Security
		// closed reports that the settings list every control process.
		closed bool
		// seeds are clients of the seeds' addresses, for finding the group.
		seeds []*messenger.Client

		mu    sync.Mutex
		known map[string]*peer
		hosts map[replicator.MemberID]string
		// running is the context of the outboxes, nil before run.
		running context.Context //nolint:containedctx // Outboxes that are added later end with it.
		wait    sync.WaitGroup
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
		log:      log,
		self:     s.GetHost().GetId(),
		address:  control.GetPeerListen(),
		security: security,
		closed:   len(control.GetSeeds()) == 0,
		known:    map[string]*peer{},
		hosts:    map[replicator.MemberID]string{},
	}
	for _, listed := range control.GetPeers() {
		p.meet(listed.GetId(), listed.GetAddress())
	}
	p.reseed(control.GetSeeds())
	return p
}

// reseed replaces the addresses from which the group is found.
func (p *peers) reseed(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = nil
	for _, address := range addresses {
		if address != p.address {
			p.seeds = append(p.seeds, messenger.NewClient(address, p.security, exchangeTimeout))
		}
	}
}

// meet adds a control process, or notes its new address.
func (p *peers) meet(host, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host == p.self || host == "" || address == "" {
		return
	}
	if before := p.known[host]; before != nil {
		// Addresses that the settings list stand, whatever the others say of themselves.
		if p.closed || before.client.Address() == address {
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
	p.known[host] = added
	if p.running != nil {
		running := p.running
		p.wait.Go(func() { p.drain(running, added) })
	}
}

// forget drops the control processes that a change of the membership removed.
func (p *peers) forget(before, after *replication.Membership) {
	if p.closed {
		return
	}
	member := map[string]bool{}
	for _, m := range after.GetMembers() {
		member[m.GetHost()] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range before.GetMembers() {
		if known := p.known[m.GetHost()]; known != nil && !member[m.GetHost()] {
			close(known.stop)
			delete(p.known, m.GetHost())
		}
	}
}

// run sends the outboxes until ctx ends.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.running = ctx
	for _, known := range p.known {
		p.wait.Go(func() { p.drain(ctx, known) })
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.wait.Wait()
	return nil
}

// learn records which host a member runs on, and where.
func (p *peers) learn(membership *replication.Membership) {
	for _, m := range membership.GetMembers() {
		p.mu.Lock()
		p.hosts[replicator.MemberID(m.GetId())] = m.GetHost()
		p.mu.Unlock()
		p.meet(m.GetHost(), m.GetAddress())
	}
}

// host returns the host of a member, or an empty string.
func (p *peers) host(id replicator.MemberID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[id]
}

// client returns the client of a host, or nil.
func (p *peers) client(host string) *messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[host]; known != nil {
		return known.client
	}
	return nil
}

// clients returns the clients of all other control processes that are known.
func (p *peers) clients() []*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*messenger.Client, 0, len(p.known))
	for _, known := range p.known {
		out = append(out, known.client)
	}
	return out
}

// byHost returns the clients of all other control processes that are known, by host.
func (p *peers) byHost() map[string]*messenger.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*messenger.Client, len(p.known))
	for host, known := range p.known {
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

// note records the host of a process that introduced itself, and what it knows of the members.
func (p *peers) note(i *wire.Introduction) {
	p.mu.Lock()
	p.hosts[replicator.MemberID(i.GetIncarnation())] = i.GetHost()
	p.mu.Unlock()
	p.meet(i.GetHost(), i.GetAddress())
	if !p.closed {
		p.learn(i.GetMembership())
	}
}

// send queues messages without blocking.
func (p *peers) send(messages []*replication.Message) {
	for _, m := range messages {
		p.mu.Lock()
		known := p.known[p.hosts[replicator.MemberID(m.GetTo())]]
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

// drain sends what waits for one peer, everything at hand in one exchange.
func (p *peers) drain(ctx context.Context, to *peer) {
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
