package router

import (
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// fleetLifetime is the time after which the others' load counts no more: several exchanges.
const fleetLifetime = 2 * time.Second

type (
	// fleet is the load that all entry processes put on upstreams, as a control
	// process told it. The dispatcher guards it.
	fleet struct {
		// table names the control process's table that the sums are from.
		table uint64
		sums  map[registrar.UpstreamID]gatherer.Load
		// own is this process's part of the sums.
		own map[registrar.UpstreamID]gatherer.Load
		at  time.Duration
	}
)

// others returns what the other entry processes have in progress at an
// upstream; false if nothing was heard lately.
func (f *fleet) others(now time.Duration, id registrar.UpstreamID) (gatherer.Load, bool) {
	if f.table == 0 || now-f.at > fleetLifetime {
		return gatherer.Load{}, false
	}
	sum, own := f.sums[id], f.own[id]
	return gatherer.Load{
		Requests: max(0, sum.Requests-own.Requests),
		Tokens:   max(0, sum.Tokens-own.Tokens),
		Begun:    max(0, sum.Begun-own.Begun),
	}, true
}

// fleetFrom reports that the sums are from a table.
func (d *dispatcher) fleetFrom(table uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return table != 0 && d.fleet.table == table
}

// loadShare returns what this process has in progress at upstreams.
func (d *dispatcher) loadShare() *wire.LoadShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[registrar.UpstreamID]gatherer.Load{}
	for id, t := range d.tracks {
		if n := t.limiter.InFlight(); n > 0 {
			loads[id] = gatherer.Load{Requests: n, Tokens: int(max(0, t.pending)), Begun: int(t.begun)}
		}
	}
	return &wire.LoadShare{Loads: announcer.LoadsToWire(loads)}
}

// learnFleet takes what changed in the sums since the position asked for, and
// the share of this process that they hold.
func (d *dispatcher) learnFleet(share *wire.LoadShare, reply *wire.FollowReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &d.fleet
	if f.table != reply.GetTable() {
		*f = fleet{table: reply.GetTable(), sums: map[registrar.UpstreamID]gatherer.Load{}}
	}
	f.at = d.now()
	f.own = announcer.LoadsFromWire(share.GetLoads())
	for id, load := range announcer.LoadsFromWire(reply.GetLoads()) {
		if load == (gatherer.Load{}) {
			delete(f.sums, id)
			continue
		}
		f.sums[id] = load
	}
}
