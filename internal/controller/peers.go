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
	// peers holds a client and an outbox for every other control process.
	peers struct {
		log     *zap.Logger
		self    string
		clients map[string]*messenger.Client
		outbox  map[string]chan *replication.Message

		mu    sync.Mutex
		hosts map[replicator.MemberID]string
	}
)

func newPeers(s *settings.Settings, security messenger.Security, log *zap.Logger) *peers {
	p := &peers{
		log:     log,
		self:    s.GetHost().GetId(),
		clients: map[string]*messenger.Client{},
		outbox:  map[string]chan *replication.Message{},
		hosts:   map[replicator.MemberID]string{},
	}
	for _, peer := range s.GetControl().GetPeers() {
		if peer.GetId() == p.self {
			continue
		}
		p.clients[peer.GetId()] = messenger.NewClient(peer.GetAddress(), security, exchangeTimeout)
		p.outbox[peer.GetId()] = make(chan *replication.Message, outboxSize)
	}
	return p
}

// run sends the outboxes until ctx ends.
func (p *peers) run(ctx context.Context) error {
	var wait sync.WaitGroup
	for host := range p.clients {
		wait.Go(func() { p.drain(ctx, host) })
	}
	wait.Wait()
	return nil
}

// learn records which host a member runs on.
func (p *peers) learn(membership *replication.Membership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range membership.GetMembers() {
		p.hosts[replicator.MemberID(m.GetId())] = m.GetHost()
	}
}

// host returns the host of a member, or an empty string.
func (p *peers) host(id replicator.MemberID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[id]
}

// note records the host of a process that introduced itself.
func (p *peers) note(i *wire.Introduction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[replicator.MemberID(i.GetIncarnation())] = i.GetHost()
}

// send queues messages without blocking.
func (p *peers) send(messages []*replication.Message) {
	for _, m := range messages {
		box := p.outbox[p.host(replicator.MemberID(m.GetTo()))]
		if box == nil {
			continue
		}
		select {
		case box <- m:
		default:
		}
	}
}

// drain sends what waits for one peer, everything at hand in one exchange.
func (p *peers) drain(ctx context.Context, host string) {
	defer p.clients[host].Close()
	box := p.outbox[host]
	for {
		var batch []*replication.Message
		select {
		case <-ctx.Done():
			return
		case m := <-box:
			batch = append(batch, m)
		}
		for range len(box) {
			batch = append(batch, <-box)
		}
		request := &wire.Request{Kind: &wire.Request_Replicate{Replicate: &wire.Replicate{Messages: batch}}}
		if err := p.clients[host].Notify(ctx, request); err != nil {
			p.log.Debug("messages to a control process were lost", zap.String("peer", host), zap.Error(err))
		}
	}
}
