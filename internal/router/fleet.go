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
	// clusterLoadLifetime is the time after which the others' load counts no more: several exchanges.
	clusterLoadLifetime = 2 * time.Second
	// cachedPartLifetime is the time after which an upstream may have dropped a part
	// that it was not asked for.
	cachedPartLifetime = time.Minute
	// maxCachedParts bounds the parts known to be held, 100 bytes each.
	maxCachedParts = 50_000
	// maxUnsentCachedParts bounds the parts that wait to be told in one message.
	maxUnsentCachedParts = 2000
)

type (
	// clusterLoad is the load that all entry processes put on upstreams, as a control
	// process told it. The dispatcher guards it.
	clusterLoad struct {
		// tableID names the control process's tableID that the sums are from.
		tableID uint64
		sums  map[registrar.UpstreamID]gatherer.Load
		// own is this process's part of the sums.
		own map[registrar.UpstreamID]gatherer.Load
		updatedAt  time.Duration
		// entryHosts is the number of entry processes.
		entryHosts int
		// recentCachedParts are the holdings that were recentCachedParts or heard lately, news those still to be recentCachedParts.
		recentCachedParts *gatherer.Recents[picker.Holding]
		unsentCachedParts []picker.Holding
	}
)

func newClusterLoad() clusterLoad {
	return clusterLoad{recentCachedParts: gatherer.NewRecents[picker.Holding](cachedPartLifetime, maxCachedParts)}
}

// noteCachedPart notes that this process had an upstream read a part.
func (f *clusterLoad) noteCachedPart(now time.Duration, h picker.Holding) {
	if f.recentCachedParts.Note(now, h) && len(f.unsentCachedParts) < maxUnsentCachedParts {
		f.unsentCachedParts = append(f.unsentCachedParts, h)
	}
}

// loadOfOthers returns what the other entry processes have in progress at an
// upstream; false if nothing was heard lately.
func (f *clusterLoad) loadOfOthers(now time.Duration, id registrar.UpstreamID) (gatherer.Load, bool) {
	if f.tableID == 0 || now-f.updatedAt > clusterLoadLifetime {
		return gatherer.Load{}, false
	}
	sum, own := f.sums[id], f.own[id]
	return gatherer.Load{
		Requests: max(0, sum.Requests-own.Requests),
		Tokens:   max(0, sum.Tokens-own.Tokens),
		Begun:    max(0, sum.Begun-own.Begun),
	}, true
}

// hasClusterLoadOf reports that the sums are from a table.
func (d *dispatcher) hasClusterLoadOf(table uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return table != 0 && d.clusterLoad.tableID == table
}

// hasRunningRequests reports that this process has requests in progress.
func (d *dispatcher) hasRunningRequests() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		if p.running > 0 {
			return true
		}
	}
	return false
}

// loadShare returns what this process has in progress at upstreams.
func (d *dispatcher) loadShare() *wire.LoadShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[registrar.UpstreamID]gatherer.Load{}
	for id, t := range d.upstreamStates {
		if n := t.limiter.InFlight(); n > 0 {
			loads[id] = gatherer.Load{Requests: n, Tokens: int(max(0, t.pendingTokens)), Begun: int(t.uncachedTokens)}
		}
	}
	held := announcer.HeldToWire(d.clusterLoad.unsentCachedParts)
	d.clusterLoad.unsentCachedParts = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(loads), Held: held}
}

// requeueCachedParts takes back what a lost message told of parts held.
func (d *dispatcher) requeueCachedParts(share *wire.LoadShare) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clusterLoad.unsentCachedParts = append(d.clusterLoad.unsentCachedParts, announcer.HeldFromWire(share.GetHeld())...)
}

// applyClusterLoad takes what changed in the sums since the position asked for, and
// the share of this process that they hold.
func (d *dispatcher) applyClusterLoad(share *wire.LoadShare, reply *wire.FollowReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &d.clusterLoad
	if f.tableID != reply.GetTable() {
		f.tableID, f.sums = reply.GetTable(), map[registrar.UpstreamID]gatherer.Load{}
	}
	f.updatedAt = d.now()
	for _, h := range announcer.HeldFromWire(reply.GetHeld()) {
		f.recentCachedParts.Note(f.updatedAt, h)
		d.placer.Learn(f.updatedAt, h)
	}
	f.own = announcer.LoadsFromWire(share.GetLoads())
	for id, load := range announcer.LoadsFromWire(reply.GetLoads()) {
		if load == (gatherer.Load{}) {
			delete(f.sums, id)
			continue
		}
		f.sums[id] = load
	}
}
