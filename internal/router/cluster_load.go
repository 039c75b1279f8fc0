package router

import (
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// clusterLoadLifetime is the time after which the load of the other processes is
	// considered unknown. Each process sends its load (a wire.LoadShare) several times in
	// that time.
	clusterLoadLifetime = 2 * time.Second
	// cachedPartLifetime is the time after which an upstream may have evicted a prompt
	// part that no request has used. It must equal the constants of the same name in
	// packages controller and picker.
	cachedPartLifetime = time.Minute
	// maxCachedParts is the largest number of recent cached parts to keep; each takes about
	// 100 bytes.
	maxCachedParts = 50_000
	// maxUnsentCachedParts is the length at which the queue of unsent cached parts takes no
	// new ones. It limits the size of a message, since the whole queue is sent in one. Parts
	// that are queued again after a failure may exceed it.
	maxUnsentCachedParts = 2000
)

type (
	// clusterLoad is what a control process reported about all entry processes: their load
	// on the upstreams, the prompt parts that their requests got cached, and their number.
	// It is guarded by the mutex of the dispatcher.
	clusterLoad struct {
		// tableID identifies the control process's table that the sums come from; zero if
		// there is none.
		tableID uint64
		// sums holds the load of all entry processes, by upstream.
		sums map[registrar.UpstreamID]gatherer.Load
		// own is the load of this process that sums include.
		own map[registrar.UpstreamID]gatherer.Load
		// means holds, by failure domain and service, the mean load of the other entry
		// processes on an upstream. It is set for the other domains if there are too many
		// upstreams for a sum for each.
		means map[poolPlace]gatherer.Load
		// updatedAt is when the latest report arrived.
		updatedAt time.Duration
		// entryProcesses is the number of entry processes.
		entryProcesses int
		// recentCachedParts holds the cached parts that were sent or received recently.
		recentCachedParts *gatherer.RecentSet[picker.CachedPart]
		// unsentCachedParts holds the cached parts to send with the next wire.LoadShare.
		unsentCachedParts []picker.CachedPart
	}

	// poolPlace is a failure domain and the name of what is served there.
	poolPlace struct {
		domain registrar.FailureDomain
		name   string
	}
)

func placeOf(u *registrar.Upstream) poolPlace {
	p := poolPlace{domain: u.FailureDomain}
	if len(u.Serves) > 0 {
		p.name = u.Serves[0]
	}
	return p
}

func newClusterLoad() clusterLoad {
	return clusterLoad{recentCachedParts: gatherer.NewRecentSet[picker.CachedPart](cachedPartLifetime, maxCachedParts)}
}

// recordCachedPart records that a request of this process makes an upstream cache a prompt
// part, and queues it for sending unless it was sent or received recently or the queue is
// full.
func (c *clusterLoad) recordCachedPart(now time.Duration, part picker.CachedPart) {
	if c.recentCachedParts.Add(now, part) && len(c.unsentCachedParts) < maxUnsentCachedParts {
		c.unsentCachedParts = append(c.unsentCachedParts, part)
	}
}

// loadOfOthers returns the load of the other entry processes on an upstream, or false if
// no report arrived recently.
func (c *clusterLoad) loadOfOthers(now time.Duration, u *registrar.Upstream) (gatherer.Load, bool) {
	if c.tableID == 0 || now-c.updatedAt > clusterLoadLifetime {
		return gatherer.Load{}, false
	}
	if mean, found := c.means[placeOf(u)]; found {
		return mean, true
	}
	return withoutLoad(c.sums[u.ID], c.own[u.ID]), true
}

// withoutLoad returns the part of a sum that is not own.
func withoutLoad(sum, own gatherer.Load) gatherer.Load {
	return gatherer.Load{
		Requests:       max(0, sum.Requests-own.Requests),
		PendingTokens:  max(0, sum.PendingTokens-own.PendingTokens),
		UncachedTokens: max(0, sum.UncachedTokens-own.UncachedTokens),
	}
}

// setMeans sets the means from the load of all entry processes by domain. placeOf returns
// the place of an upstream.
func (c *clusterLoad) setMeans(loads []*wire.DomainLoad, placeOf func(registrar.UpstreamID) poolPlace) {
	c.means = nil
	if len(loads) == 0 {
		return
	}
	own := map[poolPlace]gatherer.Load{}
	for id, load := range c.own {
		place := placeOf(id)
		sum := own[place]
		own[place] = gatherer.Load{
			Requests:       sum.Requests + load.Requests,
			PendingTokens:  sum.PendingTokens + load.PendingTokens,
			UncachedTokens: sum.UncachedTokens + load.UncachedTokens,
		}
	}
	c.means = make(map[poolPlace]gatherer.Load, len(loads))
	for _, l := range loads {
		place, upstreams := poolPlace{domain: registrar.FailureDomain(l.GetFailureDomain()), name: l.GetServes()}, max(1, int(l.GetUpstreams()))
		others := withoutLoad(gatherer.Load{
			Requests: int(l.GetRequests()), PendingTokens: int(l.GetTokens()), UncachedTokens: int(l.GetBegunTokens()),
		}, own[place])
		c.means[place] = gatherer.Load{
			Requests:       others.Requests / upstreams,
			PendingTokens:  others.PendingTokens / upstreams,
			UncachedTokens: others.UncachedTokens / upstreams,
		}
	}
}

// hasClusterLoadOf reports whether the cluster load comes from the given table.
func (d *dispatcher) hasClusterLoadOf(tableID uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return tableID != 0 && d.clusterLoad.tableID == tableID
}

// hasRequestsInProgress reports whether this process has requests in progress at upstreams.
func (d *dispatcher) hasRequestsInProgress() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		if p.inProgress > 0 {
			return true
		}
	}
	return false
}

// renewLeases renews the leases of upstreams, except the overdue ones, as of a time. It
// returns the ids of those that are not known.
func (d *dispatcher) renewLeases(ids, overdue map[registrar.UpstreamID]bool, announcedAt time.Duration) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var unknown []string
	for id := range ids {
		if !overdue[id] && !d.registry.Renew(id, announcedAt) {
			unknown = append(unknown, string(id))
		}
	}
	return unknown
}

// loadShare returns this process's load on the upstreams, and the cached parts not sent
// yet, which it removes from the queue.
func (d *dispatcher) loadShare() *wire.LoadShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[registrar.UpstreamID]gatherer.Load{}
	for id, s := range d.upstreamStates {
		if n := s.limiter.InFlight(); n > 0 {
			loads[id] = gatherer.Load{Requests: n, PendingTokens: int(max(0, s.pendingTokens)), UncachedTokens: int(s.uncachedTokens)}
		}
	}
	cached := announcer.CachedPartsToWire(d.clusterLoad.unsentCachedParts)
	d.clusterLoad.unsentCachedParts = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(loads), Held: cached}
}

// requeueCachedParts queues the cached parts of a message again after it could not be sent.
func (d *dispatcher) requeueCachedParts(share *wire.LoadShare) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clusterLoad.unsentCachedParts = append(d.clusterLoad.unsentCachedParts, announcer.CachedPartsFromWire(share.GetHeld())...)
}

// applyClusterLoad applies a reply of a control process: the sums that have changed since
// the requested position, and new cached parts. The sums include the load of this process
// in share.
func (d *dispatcher) applyClusterLoad(share *wire.LoadShare, reply *wire.FollowReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &d.clusterLoad
	if c.tableID != reply.GetTable() {
		c.tableID, c.sums = reply.GetTable(), map[registrar.UpstreamID]gatherer.Load{}
	}
	c.updatedAt = d.now()
	for _, part := range announcer.CachedPartsFromWire(reply.GetHeld()) {
		c.recentCachedParts.Add(c.updatedAt, part)
		d.placer.AddCached(c.updatedAt, part)
	}
	c.own = announcer.LoadsFromWire(share.GetLoads())
	for id, load := range announcer.LoadsFromWire(reply.GetLoads()) {
		if load == (gatherer.Load{}) {
			delete(c.sums, id)
			continue
		}
		c.sums[id] = load
	}
	c.setMeans(reply.GetDomainLoads(), func(id registrar.UpstreamID) poolPlace {
		if u := d.registry.Get(id); u != nil {
			return placeOf(u)
		}
		return poolPlace{}
	})
}
