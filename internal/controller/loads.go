package controller

import (
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// loadLifetime is the time after which a silent process's share of the load counts no more.
const loadLifetime = 1500 * time.Millisecond

type (
	// loadTable adds up the load that entry processes put on upstreams: those
	// that follow this process, and what the other control processes tell of theirs.
	loadTable struct {
		mu  sync.Mutex
		own *gatherer.Gatherer[registrar.UpstreamID]
		all *gatherer.Gatherer[registrar.UpstreamID]
		// told reports that the others hold a share of this process that is not empty.
		told bool
	}
)

func newLoadTable() *loadTable {
	return &loadTable{
		own: gatherer.New[registrar.UpstreamID](loadLifetime),
		all: gatherer.New[registrar.UpstreamID](loadLifetime),
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
	t.own.Note(now, gatherer.Source(host), loads)
	t.all.Note(now, gatherer.Source(host), loads)
}

// receive takes the share of another control process's followers.
func (t *loadTable) receive(host string, share *wire.LoadShare) {
	if share == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.Note(timer.Now(), gatherer.Source("control/"+host), announcer.LoadsFromWire(share.GetLoads()))
}

// since returns the sums over all entry processes that changed after a position.
func (t *loadTable) since(after uint64) (changed []*wire.UpstreamLoad, position uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums, reached := t.all.Since(timer.Now(), gatherer.Position(after))
	return announcer.LoadsToWire(sums), uint64(reached)
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
	if len(sums) == 0 && !t.told {
		return nil
	}
	t.told = len(sums) > 0
	return &wire.LoadShare{Loads: announcer.LoadsToWire(sums)}
}
