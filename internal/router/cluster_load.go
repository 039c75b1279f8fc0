package router

import (
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// hasClusterLoadOf reports whether the cluster load comes from the given table.
func (d *dispatcher) hasClusterLoadOf(tableID uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clusterLoad.HasSumsOf(tableID)
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
// yet and what was observed of upstreams, which it removes from the queues.
func (d *dispatcher) loadShare() *wire.LoadShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[registrar.UpstreamID]gatherer.Load{}
	for id, s := range d.upstreamStates {
		if n := s.limiter.InFlight(); n > 0 {
			loads[id] = gatherer.Load{Requests: n, PendingTokens: int(max(0, s.pendingTokens)), UncachedTokens: int(s.uncachedTokens)}
		}
	}
	cached := announcer.CachedPartsToWire(d.clusterLoad.TakeUnsentCachedParts())
	share := &wire.LoadShare{Loads: announcer.LoadsToWire(loads), Held: cached}
	d.clusterLoad.FillShare(share)
	return share
}

// requeueCachedParts queues the cached parts and observations of a message again after it could not be
// sent.
func (d *dispatcher) requeueCachedParts(share *wire.LoadShare) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clusterLoad.RequeueCachedParts(share)
}

// applyClusterLoad applies a reply of a control process; see estimator.Estimator.Apply.
func (d *dispatcher) applyClusterLoad(share *wire.LoadShare, reply *wire.FollowReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, part := range d.clusterLoad.Apply(now, share, reply, d.registry.Get) {
		d.placer.AddCached(now, part)
	}
	if len(reply.GetProfiles().GetProfiles()) > 0 {
		d.recordSpeeds()
	}
}
