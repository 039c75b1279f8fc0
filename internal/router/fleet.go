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
	// fleetLifetime is the time after which the others' load counts no more: several exchanges.
	fleetLifetime = 2 * time.Second
	// holdingLifetime is the time after which an upstream may have dropped a part
	// that it was not asked for.
	holdingLifetime = time.Minute
	// mostHoldings bounds the parts known to be held, 100 bytes each.
	mostHoldings = 50_000
	// mostNews bounds the parts that wait to be told in one message.
	mostNews = 2000
)

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
		// hosts is the number of entry processes.
		hosts int
		// told are the holdings that were told or heard lately, news those still to be told.
		told *gatherer.RecentSet[picker.CachedPart]
		news []picker.CachedPart
	}
)

func newFleet() fleet {
	return fleet{told: gatherer.NewRecentSet[picker.CachedPart](holdingLifetime, mostHoldings)}
}

// began notes that this process had an upstream read a part.
func (f *fleet) began(now time.Duration, h picker.CachedPart) {
	if f.told.Add(now, h) && len(f.news) < mostNews {
		f.news = append(f.news, h)
	}
}

// others returns what the other entry processes have in progress at an
// upstream; false if nothing was heard lately.
func (f *fleet) others(now time.Duration, id registrar.UpstreamID) (gatherer.Load, bool) {
	if f.table == 0 || now-f.at > fleetLifetime {
		return gatherer.Load{}, false
	}
	sum, own := f.sums[id], f.own[id]
	return gatherer.Load{
		Requests:       max(0, sum.Requests-own.Requests),
		PendingTokens:  max(0, sum.PendingTokens-own.PendingTokens),
		UncachedTokens: max(0, sum.UncachedTokens-own.UncachedTokens),
	}, true
}

// fleetFrom reports that the sums are from a table.
func (d *dispatcher) fleetFrom(table uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return table != 0 && d.fleet.table == table
}

// busyUpstreams reports that this process has requests in progress.
func (d *dispatcher) busyUpstreams() bool {
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
	for id, t := range d.tracks {
		if n := t.limiter.InFlight(); n > 0 {
			loads[id] = gatherer.Load{Requests: n, PendingTokens: int(max(0, t.pending)), UncachedTokens: int(t.begun)}
		}
	}
	held := announcer.CachedPartsToWire(d.fleet.news)
	d.fleet.news = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(loads), Held: held}
}

// keepNews takes back what a lost message told of parts held.
func (d *dispatcher) keepNews(share *wire.LoadShare) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.news = append(d.fleet.news, announcer.CachedPartsFromWire(share.GetHeld())...)
}

// learnFleet takes what changed in the sums since the position asked for, and
// the share of this process that they hold.
func (d *dispatcher) learnFleet(share *wire.LoadShare, reply *wire.FollowReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &d.fleet
	if f.table != reply.GetTable() {
		f.table, f.sums = reply.GetTable(), map[registrar.UpstreamID]gatherer.Load{}
	}
	f.at = d.now()
	for _, h := range announcer.CachedPartsFromWire(reply.GetHeld()) {
		f.told.Add(f.at, h)
		d.placer.AddCached(f.at, h)
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
