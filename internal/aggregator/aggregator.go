// Package aggregator sums in a control process the load that entry processes put on each upstream, and
// collects the cached prompt parts and the observations of upstreams that they report. It owns what is
// reported, which is kept in memory only, and decides what of it replies to polls and messages to the
// other control processes carry. It sends nothing itself and calls neither the controller nor the
// replicated log.
package aggregator

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// loadTimeout is the time after which the load reported by a silent process is dropped.
	loadTimeout = 1500 * time.Millisecond
	// cachedPartLifetime is the time after its latest use at which a cached part is
	// assumed evicted. It must equal the constants of the same name in packages estimator
	// and picker.
	cachedPartLifetime = time.Minute
	// maxCachedParts bounds the cached parts of all upstreams, at about 100 bytes each.
	maxCachedParts = 50_000
	// MaxDetailedUpstreams is the number of upstreams up to which entry processes get the
	// load of each. A row takes about 40 bytes, and most change within a load interval.
	MaxDetailedUpstreams = 256
	// domainLoadCacheTime is the time for which the load by failure domain is computed once.
	domainLoadCacheTime = 200 * time.Millisecond
)

type (
	// Table sums the load that all entry processes put on each upstream, and
	// collects which prompt parts the upstreams have cached. Both come from the
	// entry processes that poll this process, and from the other control
	// processes on behalf of theirs.
	Table struct {
		mu sync.Mutex
		// local sums the load of the entry processes that poll this process.
		local *gatherer.Gatherer[registrar.UpstreamID]
		// total sums the load of all entry processes.
		total *gatherer.Gatherer[registrar.UpstreamID]
		// lastSentNonEmpty is true if the latest load sent to the other control
		// processes was not empty.
		lastSentNonEmpty bool
		cachedParts      *gatherer.RecentSet[picker.CachedPart]
		// profiles adds up what all entry processes have observed of upstreams; unsentSums holds
		// what is to be sent of it to the other control processes.
		profiles   *profiler.Table
		unsentSums *profiler.Observer
		// unsentCachedParts are to be sent to the other control processes.
		unsentCachedParts []picker.CachedPart
		// domainLoads is the result of sumByPlace at domainLoadsAt.
		domainLoads   map[tabulator.Place]*wire.DomainLoad
		domainLoadsAt time.Duration
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{
		local: gatherer.New[registrar.UpstreamID](loadTimeout),
		total: gatherer.New[registrar.UpstreamID](loadTimeout),

		cachedParts: gatherer.NewRecentSet[picker.CachedPart](cachedPartLifetime, maxCachedParts),
		profiles:    profiler.NewTable(), unsentSums: profiler.NewObserver(),
	}
}

// RecordEntry replaces the load of an entry process that polls this process.
// A nil load means that the entry process reports its load elsewhere.
func (t *Table) RecordEntry(host string, load *wire.LoadShare) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	byUpstream := announcer.LoadsFromWire(load.GetLoads())
	t.local.Update(now, gatherer.Source(host), byUpstream)
	t.total.Update(now, gatherer.Source(host), byUpstream)
	for _, part := range announcer.CachedPartsFromWire(load.GetHeld()) {
		if t.cachedParts.Add(now, part) {
			t.unsentCachedParts = append(t.unsentCachedParts, part)
		}
	}
	t.unsentSums.Add(t.addSums(now, load))
}

// RecordPeer replaces the load of the entry processes that poll another
// control process. A nil load means that the message carries none; the earlier load
// counts until loadTimeout has passed.
func (t *Table) RecordPeer(host string, load *wire.LoadShare) {
	if load == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	t.total.Update(now, gatherer.Source("control/"+host), announcer.LoadsFromWire(load.GetLoads()))
	for _, part := range announcer.CachedPartsFromWire(load.GetHeld()) {
		t.cachedParts.Add(now, part)
	}
	t.addSums(now, load)
}

// FillReply adds to a reply the load sums and cached parts that changed after the given
// positions. If there are too many upstreams, it adds them only for those in the failure
// domain of the entry process, and the sums by domain for the others.
func (t *Table) FillReply(reply *wire.FollowReply, loadsAfter, cachedPartsAfter uint64, domain registrar.FailureDomain, places tabulator.Places) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := timer.Now()
	sums, position := t.total.Since(now, gatherer.Position(loadsAfter))
	reply.LoadPosition = uint64(position)
	parts, position := t.cachedParts.Since(now, gatherer.Position(cachedPartsAfter))
	reply.HeldPosition = uint64(position)
	if len(places) > MaxDetailedUpstreams {
		// The place of an upstream that is new may not be known yet.
		elsewhere := func(id registrar.UpstreamID) bool {
			place, known := places[id]
			return known && place.Domain != domain
		}
		for id := range sums {
			if elsewhere(id) {
				delete(sums, id)
			}
		}
		parts = slices.DeleteFunc(parts, func(p picker.CachedPart) bool { return elsewhere(p.Upstream) })
		for place, load := range t.sumByPlace(now, places) {
			if place.Domain != domain {
				reply.DomainLoads = append(reply.DomainLoads, load)
			}
		}
	}
	reply.Loads = announcer.LoadsToWire(sums)
	reply.Held = announcer.CachedPartsToWire(parts)
}

// sumByPlace returns the load of all entry processes by failure domain and service. The
// result is kept for domainLoadCacheTime.
func (t *Table) sumByPlace(now time.Duration, places tabulator.Places) map[tabulator.Place]*wire.DomainLoad {
	if t.domainLoads != nil && now-t.domainLoadsAt < domainLoadCacheTime {
		return t.domainLoads
	}
	t.domainLoads, t.domainLoadsAt = map[tabulator.Place]*wire.DomainLoad{}, now
	sums, _ := t.total.Since(now, 0)
	for id, place := range places {
		load := t.domainLoads[place]
		if load == nil {
			load = &wire.DomainLoad{FailureDomain: string(place.Domain), Serves: place.Serves}
			t.domainLoads[place] = load
		}
		load.Upstreams++
		load.Requests += int32(sums[id].Requests)
		load.Tokens += int64(sums[id].PendingTokens)
		load.BegunTokens += int64(sums[id].UncachedTokens)
	}
	return t.domainLoads
}

// TakeOutgoing returns the load of the entry processes that poll this process,
// for the other control processes, and the unsent cached parts and observations. It returns nil if
// there is nothing to send; an empty load is sent once after a non-empty one.
func (t *Table) TakeOutgoing() *wire.LoadShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums, _ := t.local.Since(timer.Now(), 0)
	for id, load := range sums {
		if load == (gatherer.Load{}) {
			delete(sums, id)
		}
	}
	observed := announcer.SumsToWire(t.unsentSums.Take(maxGossipSums))
	if len(sums) == 0 && !t.lastSentNonEmpty && len(t.unsentCachedParts) == 0 && len(observed) == 0 {
		return nil
	}
	t.lastSentNonEmpty = len(sums) > 0
	parts := announcer.CachedPartsToWire(t.unsentCachedParts)
	t.unsentCachedParts = nil
	return &wire.LoadShare{Loads: announcer.LoadsToWire(sums), Held: parts, Sums: observed}
}
