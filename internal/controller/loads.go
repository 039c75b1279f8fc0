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
	// loadTimeout is the time after which a silent process's share of the load counts no more.
	loadTimeout = 1500 * time.Millisecond
	// cachedPartLifetime is the time after which an upstream may have dropped a part
	// that it was not asked for: as long as entry processes believe in it.
	cachedPartLifetime = time.Minute
	// maxCachedParts bounds the parts held over all upstreams, 100 bytes each.
	maxCachedParts = 50_000
)

type (
	// loadTable adds up the load that entry processes put on upstreams: those
	// that follow this process, and what the other control processes tell of
	// theirs. It passes on which upstreams hold which parts of prompts.
	loadTable struct {
		mu  sync.Mutex
		own *gatherer.Gatherer[registrar.UpstreamID]
		all *gatherer.Gatherer[registrar.UpstreamID]
		// sentLoad reports that the others hold a share of this process that is not empty.
		sentLoad    bool
		cachedParts *gatherer.Recents[picker.Holding]
		// unsentCachedParts are the parts that the others have not been told of.
		unsentCachedParts []picker.Holding
	}
)

func newLoadTable() *loadTable {
	return &loadTable{
		own: gatherer.New[registrar.UpstreamID](loadTimeout),
		all: gatherer.New[registrar.UpstreamID](loadTimeout),

		cachedParts: gatherer.NewRecents[picker.Holding](cachedPartLifetime, maxCachedParts),
	}
}

// recordEntryLoad takes the share of an entry process; nil if it tells it elsewhere.
func (t *loadTable) recordEntryLoad(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	loads := announcer.LoadsFromWire(share.GetLoads())
	t.own.Note(now, gatherer.Source(host), loads)
	t.all.Note(now, gatherer.Source(host), loads)
	for _, h := range announcer.HeldFromWire(share.GetHeld()) {
		if t.cachedParts.Note(now, h) {
			t.unsentCachedParts = append(t.unsentCachedParts, h)
		}
	}
}

// recordPeerLoad takes the share of another control process's followers.
func (t *loadTable) recordPeerLoad(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.all.Note(now, gatherer.Source("control/"+host), announcer.LoadsFromWire(share.GetLoads()))
	for _, h := range announcer.HeldFromWire(share.GetHeld()) {
		t.cachedParts.Note(now, h)
	}
}

// fillReply adds to a reply what changed after the positions asked for.
func (t *loadTable) fillReply(reply *wire.FollowReply, loadsAfter, heldAfter uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	sums, position := t.all.Since(now, gatherer.Position(loadsAfter))
	reply.Loads, reply.LoadPosition = announcer.LoadsToWire(sums), uint64(position)
	held, position := t.cachedParts.Since(now, gatherer.Position(heldAfter))
	reply.Held, reply.HeldPosition = announcer.HeldToWire(held), uint64(position)
}

// takeOutgoing returns the share of this process's followers, or nil if it has long been empty.
func (t *loadTable) takeOutgoing() *wire.LoadShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums, _ := t.own.Since(timer.Now(), 0)
	for id, load := range sums {
		if load == (gatherer.Load{}) {
			delete(sums, id)
		}
	}
	if len(sums) == 0 && !t.sentLoad && len(t.unsentCachedParts) == 0 {
		return nil
	}
	t.sentLoad = len(sums) > 0
	held := announcer.HeldToWire(t.unsentCachedParts)
	t.unsentCachedParts = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(sums), Held: held}
}
