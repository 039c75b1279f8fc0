package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/pkg/synchronizer"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// gossipInterval is the time between looks at what the other control processes have to be told.
	gossipInterval = 50 * time.Millisecond
	// maxGossipInterval is the time between messages that carry nothing but the time of day and the followers.
	maxGossipInterval = time.Second
	// entryTimeout is the time after which a silent entry process is not counted any more.
	entryTimeout = 5 * time.Second
	// clockTimeout is the time after which a silent host's time of day counts no more.
	clockTimeout = 10 * time.Second
	// maxFollowWait bounds the time that a follower's question waits for news.
	maxFollowWait = 2 * time.Second
)

// gossip knows the entry processes that follow this control process or
// another one, the other processes' addresses by failure domain, and their
// times of day.
type gossip struct {
	mu             sync.Mutex
	entries        map[string]time.Duration
	localEntries   map[string]time.Duration
	clock          *synchronizer.Synchronizer
	failureDomains map[string]string
}

func newGossip() *gossip {
	return &gossip{
		entries:        map[string]time.Duration{},
		localEntries:   map[string]time.Duration{},
		clock:          synchronizer.New(clockTimeout),
		failureDomains: map[string]string{},
	}
}

func (g *gossip) recordEntry(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	g.entries[host] = now
	g.localEntries[host] = now
}

// receive takes what another control process tells.
func (g *gossip) receive(s *wire.Spread) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	g.clock.Observe(now, synchronizer.Host(s.GetHost()), time.UnixMilli(s.GetWallMillis()))
	g.failureDomains[s.GetHost()] = s.GetFailureDomain()
	for _, host := range s.GetEntryHosts() {
		g.entries[host] = now
	}
}

// entryCount returns the number of entry processes that are known.
func (g *gossip) entryCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	dropSilent(g.entries)
	return len(g.entries)
}

// localEntryHosts returns the entry processes that follow this process.
func (g *gossip) localEntryHosts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	dropSilent(g.localEntries)
	out := make([]string, 0, len(g.localEntries))
	for host := range g.localEntries {
		out = append(out, host)
	}
	return out
}

func dropSilent(hosts map[string]time.Duration) {
	now := timer.Now()
	for host, at := range hosts {
		if now-at > entryTimeout {
			delete(hosts, host)
		}
	}
}

// trueTime returns the true time as the control processes agree on it.
func (g *gossip) trueTime(self string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	g.clock.Observe(now, synchronizer.Host(self), time.Now())
	agreed, _ := g.clock.True(now)
	return agreed
}

// follow answers an entry process as soon as something is new. It needs no quorum.
func (c *Controller) follow(ctx context.Context, f *wire.Follow) *wire.Reply {
	c.gossip.recordEntry(f.GetHost())
	c.loads.recordEntryLoad(f.GetHost(), f.GetLoadShare())
	wait := min(time.Duration(f.GetWaitMillis())*time.Millisecond, maxFollowWait)
	until := timer.Now() + wait
	var (
		reply *wire.FollowReply
		news  <-chan struct{}
	)
	for {
		changed := c.keeper.Changed()
		reply, news = c.table.changesSince(f.GetTable(), f.GetPosition())
		reply.Revision = uint64(c.keeper.Revision())
		left := until - timer.Now()
		if len(reply.GetUpstreams()) > 0 || reply.GetRevision() > f.GetHaveRevision() || left <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return failureReply(ReasonNoLeader, "the process stops")
		case <-news:
		case <-changed:
		case <-time.After(left):
		}
	}
	if f.GetLoadShare() != nil {
		loads, held := f.GetLoadPosition(), f.GetHeldPosition()
		if f.GetTable() != reply.GetTable() {
			loads, held = 0, 0
		}
		c.loads.fillReply(reply, loads, held)
	}
	reply.ControlAddresses = c.controlAddresses(f.GetFailureDomain())
	reply.EntryHosts = int32(c.gossip.entryCount())
	reply.TrueMillis = c.gossip.trueTime(c.settings.GetHost().GetId()).UnixMilli()
	if f.GetWantUnconfirmed() {
		reply.Unconfirmed = c.keeper.SyncSince(configurer.Revision(f.GetHaveRevision()))
	}
	return &wire.Reply{Kind: &wire.Reply_Follow{Follow: reply}}
}

// controlAddresses returns the control processes' addresses, those of a failure domain first.
func (c *Controller) controlAddresses(domain string) []string {
	var near, far []string
	add := func(address, its string) {
		if its == domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	add(c.peers.selfAddress, c.settings.GetHost().GetFailureDomain())
	c.gossip.mu.Lock()
	defer c.gossip.mu.Unlock()
	for host, client := range c.peers.clientsByHost() {
		add(client.Address(), c.gossip.failureDomains[host])
	}
	return append(near, far...)
}

// receiveGossip takes the soft state that another control process tells.
func (c *Controller) receiveGossip(s *wire.Spread) {
	c.gossip.receive(s)
	c.loads.recordPeerLoad(s.GetHost(), s.GetLoadShare())
	now := timer.Now()
	for _, u := range s.GetUpstreams() {
		c.table.update(announcer.FromWire(u, now), false)
	}
}

// runGossip tells the other control processes what is new here. A process that
// was met only now gets everything.
func (c *Controller) runGossip(ctx context.Context) error {
	told := map[string]*messenger.Client{}
	beacon, shared := time.Duration(0), time.Duration(0)
	for ctx.Err() == nil {
		timer.Sleep(ctx, gossipInterval)
		now := timer.Now()
		news := c.table.takeOutgoing()
		due := now-beacon >= maxGossipInterval
		if due {
			beacon = now
		}
		var share *wire.LoadShare
		if now-shared >= announcer.LoadPace(c.gossip.entryCount()) {
			shared = now
			share = c.loads.takeOutgoing()
		}
		for host, client := range c.peers.clientsByHost() {
			message := &wire.Spread{Upstreams: news, LoadShare: share}
			fresh := told[host] != client
			if fresh {
				told[host] = client
				message.Upstreams = c.table.all()
			}
			if len(message.GetUpstreams()) == 0 && share == nil && !due && !fresh {
				continue
			}
			go c.sendGossip(ctx, client, message)
		}
	}
	return nil
}

// sendGossip sends a message to one control process; one that is lost is made good by the next announcements.
func (c *Controller) sendGossip(ctx context.Context, client *messenger.Client, s *wire.Spread) {
	ctx, cancel := context.WithTimeout(ctx, maxGossipInterval)
	defer cancel()
	s.Host = c.settings.GetHost().GetId()
	s.FailureDomain = c.settings.GetHost().GetFailureDomain()
	s.WallMillis = time.Now().UnixMilli()
	s.EntryHosts = c.gossip.localEntryHosts()
	err := client.Notify(ctx, &wire.Request{Kind: &wire.Request_Spread{Spread: s}})
	if err != nil {
		c.log.Debug("announcements were not passed on", zap.String("peer", client.Address()), zap.Error(err))
	}
}
