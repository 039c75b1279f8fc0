package controller

import (
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// loadTimeout is the time after which the load reported by a silent process no longer counts.
	loadTimeout = 1500 * time.Millisecond
	// cachedPartLifetime is the time after which an upstream may have evicted a
	// prompt part that no request used; entry processes use the same time.
	cachedPartLifetime = time.Minute
	// maxCachedParts bounds the cached parts of all upstreams, at about 100 bytes each.
	maxCachedParts = 50_000
)

type (
	// loadTable sums the load that all entry processes put on each upstream, and
	// collects which prompt parts the upstreams have cached. Both come from the
	// entry processes that poll this process, and from the other control
	// processes on behalf of theirs.
	loadTable struct {
		mu sync.Mutex
		// local sums the load of the entry processes that poll this process.
		local *gatherer.Gatherer[registrar.UpstreamID]
		// total sums the load of all entry processes.
		total *gatherer.Gatherer[registrar.UpstreamID]
		// lastSentNonEmpty is true if the latest load sent to the other control processes was not empty.
		lastSentNonEmpty    bool
		cachedParts *gatherer.RecentSet[picker.CachedPart]
		// unsentCachedParts are to be sent to the other control processes.
		unsentCachedParts []picker.CachedPart
	}
)

func newLoadTable() *loadTable {
	return &loadTable{
		local: gatherer.New[registrar.UpstreamID](loadTimeout),
		total:  gatherer.New[registrar.UpstreamID](loadTimeout),

		cachedParts: gatherer.NewRecentSet[picker.CachedPart](cachedPartLifetime, maxCachedParts),
	}
}

// recordEntryLoad replaces the load of an entry process that polls this process.
// A nil share means that the entry process reports its load elsewhere.
func (t *loadTable) recordEntryLoad(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	loads := announcer.LoadsFromWire(share.GetLoads())
	t.local.Update(now, gatherer.Source(host), loads)
	t.total.Update(now, gatherer.Source(host), loads)
	for _, h := range announcer.CachedPartsFromWire(share.GetHeld()) {
		if t.cachedParts.Add(now, h) {
			t.unsentCachedParts = append(t.unsentCachedParts, h)
		}
	}
}

// recordPeerLoad replaces the load of the entry processes that poll another
// control process. A nil share means that the load is unchanged.
func (t *loadTable) recordPeerLoad(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.total.Update(now, gatherer.Source("control/"+host), announcer.LoadsFromWire(share.GetLoads()))
	for _, h := range announcer.CachedPartsFromWire(share.GetHeld()) {
		t.cachedParts.Add(now, h)
	}
}

// fillReply adds the load sums and cached parts that changed after the given positions to a reply.
func (t *loadTable) fillReply(reply *wire.FollowReply, loadsAfter, heldAfter uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	sums, position := t.total.Since(now, gatherer.Position(loadsAfter))
	reply.Loads, reply.LoadPosition = announcer.LoadsToWire(sums), uint64(position)
	held, position := t.cachedParts.Since(now, gatherer.Position(heldAfter))
	reply.Held, reply.HeldPosition = announcer.CachedPartsToWire(held), uint64(position)
}

// takeOutgoing returns the load of the entry processes that poll this process,
// for the other control processes. An empty load is returned once, so that they
// learn of it, and then nil.
func (t *loadTable) takeOutgoing() *wire.LoadShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums, _ := t.local.Since(timer.Now(), 0)
	for id, load := range sums {
		if load == (gatherer.Load{}) {
			delete(sums, id)
		}
	}
	if len(sums) == 0 && !t.lastSentNonEmpty && len(t.unsentCachedParts) == 0 {
		return nil
	}
	t.lastSentNonEmpty = len(sums) > 0
	held := announcer.CachedPartsToWire(t.unsentCachedParts)
	t.unsentCachedParts = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(sums), Held: held}
}
