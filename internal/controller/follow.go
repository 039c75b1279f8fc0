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
	// spreadInterval is the time between looks at what the other control processes have to be told.
	spreadInterval = 50 * time.Millisecond
	// beaconInterval is the time between messages that carry nothing but the time of day and the followers.
	beaconInterval = time.Second
	// followerLifetime is the time after which a silent entry process is not counted any more.
	followerLifetime = 5 * time.Second
	// clockLifetime is the time after which a silent host's time of day counts no more.
	clockLifetime = 10 * time.Second
	// longestWait bounds the time that a follower's question waits for news.
	longestWait = 2 * time.Second
)

// followers knows the entry processes that follow this control process or
// another one, the other processes' addresses by failure domain, and their
// times of day.
type followers struct {
	mu     sync.Mutex
	seen   map[string]time.Duration
	own    map[string]time.Duration
	clock  *synchronizer.Synchronizer
	domain map[string]string
}

func newFollowers() *followers {
	return &followers{
		seen:   map[string]time.Duration{},
		own:    map[string]time.Duration{},
		clock:  synchronizer.New(clockLifetime),
		domain: map[string]string{},
	}
}

func (f *followers) note(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := timer.Now()
	f.seen[host] = now
	f.own[host] = now
}

// receive takes what another control process tells.
func (f *followers) receive(s *wire.Spread) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := timer.Now()
	f.clock.Observe(now, synchronizer.Host(s.GetHost()), time.UnixMilli(s.GetWallMillis()))
	f.domain[s.GetHost()] = s.GetFailureDomain()
	for _, host := range s.GetEntryHosts() {
		f.seen[host] = now
	}
}

// count returns the number of entry processes that are known.
func (f *followers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	forgetOld(f.seen)
	return len(f.seen)
}

// ownHosts returns the entry processes that follow this process.
func (f *followers) ownHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	forgetOld(f.own)
	out := make([]string, 0, len(f.own))
	for host := range f.own {
		out = append(out, host)
	}
	return out
}

func forgetOld(hosts map[string]time.Duration) {
	now := timer.Now()
	for host, at := range hosts {
		if now-at > followerLifetime {
			delete(hosts, host)
		}
	}
}

// trueTime returns the true time as the control processes agree on it.
func (f *followers) trueTime(self string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := timer.Now()
	f.clock.Observe(now, synchronizer.Host(self), time.Now())
	agreed, _ := f.clock.True(now)
	return agreed
}

// follow answers an entry process as soon as something is new. It needs no quorum.
func (c *Controller) follow(ctx context.Context, f *wire.Follow) *wire.Reply {
	c.followers.note(f.GetHost())
	c.loads.note(f.GetHost(), f.GetLoadShare())
	wait := min(time.Duration(f.GetWaitMillis())*time.Millisecond, longestWait)
	until := timer.Now() + wait
	var (
		reply *wire.FollowReply
		news  <-chan struct{}
	)
	for {
		changed := c.keeper.Changed()
		reply, news = c.table.since(f.GetTable(), f.GetPosition())
		reply.Revision = uint64(c.keeper.Revision())
		left := until - timer.Now()
		if len(reply.GetUpstreams()) > 0 || reply.GetRevision() > f.GetHaveRevision() || left <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return failure(ReasonNoLeader, "the process stops")
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
		c.loads.tell(reply, loads, held)
	}
	reply.ControlAddresses = c.addressesFor(f.GetFailureDomain())
	reply.EntryHosts = int32(c.followers.count())
	reply.TrueMillis = c.followers.trueTime(c.settings.GetHost().GetId()).UnixMilli()
	if f.GetWantUnconfirmed() {
		reply.Unconfirmed = c.keeper.SyncSince(configurer.Revision(f.GetHaveRevision()))
	}
	return &wire.Reply{Kind: &wire.Reply_Follow{Follow: reply}}
}

// addressesFor returns the control processes' addresses, those of a failure domain first.
func (c *Controller) addressesFor(domain string) []string {
	var near, far []string
	add := func(address, its string) {
		if its == domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	add(c.peers.address, c.settings.GetHost().GetFailureDomain())
	c.followers.mu.Lock()
	defer c.followers.mu.Unlock()
	for host, client := range c.peers.byHost() {
		add(client.Address(), c.followers.domain[host])
	}
	return append(near, far...)
}

// receiveSpread takes the soft state that another control process tells.
func (c *Controller) receiveSpread(s *wire.Spread) {
	c.followers.receive(s)
	c.loads.receive(s.GetHost(), s.GetLoadShare())
	now := timer.Now()
	for _, u := range s.GetUpstreams() {
		c.table.announce(announcer.FromWire(u, now), false)
	}
}

// runSpread tells the other control processes what is new here. A process that
// was met only now gets everything.
func (c *Controller) runSpread(ctx context.Context) error {
	told := map[string]*messenger.Client{}
	beacon, shared := time.Duration(0), time.Duration(0)
	for ctx.Err() == nil {
		timer.Sleep(ctx, spreadInterval)
		now := timer.Now()
		news := c.table.takeOutgoing()
		due := now-beacon >= beaconInterval
		if due {
			beacon = now
		}
		var share *wire.LoadShare
		if now-shared >= announcer.LoadInterval(c.followers.count()) {
			shared = now
			share = c.loads.outgoing()
		}
		for host, client := range c.peers.byHost() {
			message := &wire.Spread{Upstreams: news, LoadShare: share}
			fresh := told[host] != client
			if fresh {
				told[host] = client
				message.Upstreams = c.table.all()
			}
			if len(message.GetUpstreams()) == 0 && share == nil && !due && !fresh {
				continue
			}
			go c.tell(ctx, client, message)
		}
	}
	return nil
}

// tell sends a message to one control process; one that is lost is made good by the next announcements.
func (c *Controller) tell(ctx context.Context, client *messenger.Client, s *wire.Spread) {
	ctx, cancel := context.WithTimeout(ctx, beaconInterval)
	defer cancel()
	s.Host = c.settings.GetHost().GetId()
	s.FailureDomain = c.settings.GetHost().GetFailureDomain()
	s.WallMillis = time.Now().UnixMilli()
	s.EntryHosts = c.followers.ownHosts()
	err := client.Notify(ctx, &wire.Request{Kind: &wire.Request_Spread{Spread: s}})
	if err != nil {
		c.log.Debug("announcements were not passed on", zap.String("peer", client.Address()), zap.Error(err))
	}
}
