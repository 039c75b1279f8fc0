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
	// loadLifetime is the time after which a silent process's share of the load counts no more.
	loadLifetime = 1500 * time.Millisecond
	// holdingLifetime is the time after which an upstream may have dropped a part
	// that it was not asked for: as long as entry processes believe in it.
	holdingLifetime = time.Minute
	// mostHoldings bounds the parts held over all upstreams, 100 bytes each.
	mostHoldings = 50_000
)

type (
	// loadTable adds up the load that entry processes put on upstreams: those
	// that follow this process, and what the other control processes tell of
	// theirs. It passes on which upstreams hold which parts of prompts.
	loadTable struct {
		mu  sync.Mutex
		own *gatherer.Gatherer[registrar.UpstreamID]
		all *gatherer.Gatherer[registrar.UpstreamID]
		// told reports that the others hold a share of this process that is not empty.
		told bool
		held *gatherer.RecentSet[picker.CachedPart]
		// news are the parts that the others have not been told of.
		news []picker.CachedPart
	}
)

func newLoadTable() *loadTable {
	return &loadTable{
		own: gatherer.New[registrar.UpstreamID](loadLifetime),
		all: gatherer.New[registrar.UpstreamID](loadLifetime),

		held: gatherer.NewRecentSet[picker.CachedPart](holdingLifetime, mostHoldings),
	}
}

// note takes the share of an entry process; nil if it tells it elsewhere.
func (t *loadTable) note(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	loads := announcer.LoadsFromWire(share.GetLoads())
	t.own.Update(now, gatherer.Source(host), loads)
	t.all.Update(now, gatherer.Source(host), loads)
	for _, h := range announcer.CachedPartsFromWire(share.GetHeld()) {
		if t.held.Add(now, h) {
			t.news = append(t.news, h)
		}
	}
}

// receive takes the share of another control process's followers.
func (t *loadTable) receive(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.all.Update(now, gatherer.Source("control/"+host), announcer.LoadsFromWire(share.GetLoads()))
	for _, h := range announcer.CachedPartsFromWire(share.GetHeld()) {
		t.held.Add(now, h)
	}
}

// tell adds to a reply what changed after the positions asked for.
func (t *loadTable) tell(reply *wire.FollowReply, loadsAfter, heldAfter uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	sums, position := t.all.Since(now, gatherer.Position(loadsAfter))
	reply.Loads, reply.LoadPosition = announcer.LoadsToWire(sums), uint64(position)
	held, position := t.held.Since(now, gatherer.Position(heldAfter))
	reply.Held, reply.HeldPosition = announcer.CachedPartsToWire(held), uint64(position)
}

// outgoing returns the share of this process's followers, or nil if it has long been empty.
func (t *loadTable) outgoing() *wire.LoadShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums, _ := t.own.Since(timer.Now(), 0)
	for id, load := range sums {
		if load == (gatherer.Load{}) {
			delete(sums, id)
		}
	}
	if len(sums) == 0 && !t.told && len(t.news) == 0 {
		return nil
	}
	t.told = len(sums) > 0
	held := announcer.CachedPartsToWire(t.news)
	t.news = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(sums), Held: held}
}
