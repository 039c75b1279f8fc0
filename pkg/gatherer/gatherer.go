// Package gatherer aggregates the load that many sources report for each key, such
// as an upstream, and publishes to readers only what has changed.
//
// Each report of a source is complete and replaces the source's previous one.
// Reports expire: a source that has not reported for longer than the lifetime
// given to New is left out of the sums.
//
// Every published change has a position. A reader passes the position that it
// has reached and gets the changes after it; with position 0 it gets
// everything. Positions are only comparable within one Gatherer or RecentSet.
//
// Times are readings of one monotonic clock.
package gatherer

import (
	"math"
	"time"

	"github.com/comfreybend/comfreybend/pkg/sequencer"
)

const (
	// minPublishedChange is the least change of a sum's pending tokens that is
	// published. The prefill of 1000 tokens takes 10 to 30 ms, depending on the
	// engine.
	minPublishedChange = 1000
	// zeroRetentionLifetimes is the number of lifetimes for which a sum that has
	// become zero is kept, so that readers receive the zero.
	zeroRetentionLifetimes = 5
)

type (
	// Source identifies a process that reports load. It should stay the same when
	// the process restarts, so that the new reports replace the last one from before.
	Source string
	// Position is the number of a published change. The first one has number 1.
	Position uint64

	// Load is the load that one or more sources put on one key.
	Load struct {
		// Requests is the number of requests in flight.
		Requests int
		// PendingTokens is the number of uncached prompt tokens of these requests
		// that are still to be computed.
		PendingTokens int
		// UncachedTokens is the number of prompt tokens of these requests that were
		// not cached when each request started, whether computed since or not.
		UncachedTokens int
	}

	// Gatherer aggregates reports: it holds the latest report of each source and
	// the sums of the reports by key. It is not safe for concurrent use.
	Gatherer[K comparable] struct {
		lifetime time.Duration
		reports  map[Source]report[K]
		sums     map[K]*sum
		// published numbers the published changes.
		published *sequencer.Sequencer[K]
		// expiredAt is when the sums that have long been zero were dropped last.
		expiredAt time.Duration
	}

	report[K comparable] struct {
		receivedAt time.Duration
		loads      map[K]Load
	}

	sum struct {
		current Load
		// published is the load that readers get, publishedAt the time of its publication.
		published   Load
		publishedAt time.Duration
	}
)

// New returns an empty Gatherer that drops the report of a source that has not
// reported again within lifetime.
func New[K comparable](lifetime time.Duration) *Gatherer[K] {
	return &Gatherer[K]{lifetime: lifetime, reports: map[Source]report[K]{}, sums: map[K]*sum{}, published: sequencer.New[K]()}
}

// Update replaces the report of source by loads. A key that is missing from loads
// has zero load from this source. The caller must not change loads afterwards.
func (g *Gatherer[K]) Update(now time.Duration, source Source, loads map[K]Load) {
	previous := g.reports[source].loads
	g.reports[source] = report[K]{receivedAt: now, loads: loads}
	for key, load := range loads {
		g.applyDelta(now, key, load.minus(previous[key]))
	}
	for key, last := range previous {
		if _, ok := loads[key]; !ok {
			g.applyDelta(now, key, Load{}.minus(last))
		}
	}
}

// Since returns the sums that were published after a position, and the position
// to pass the next time.
//
// A sum is published when its number of requests changes, when its pending
// tokens have changed by at least 1000, and whenever it changes while no tokens
// are pending. A sum that has become zero is dropped after five lifetimes. A
// reader that calls Since less than once in five lifetimes can miss the zero.
func (g *Gatherer[K]) Since(now time.Duration, after Position) (map[K]Load, Position) {
	g.expire(now)
	keys, position := g.published.Since(sequencer.Position(after), math.MaxInt)
	out := make(map[K]Load, len(keys))
	for _, key := range keys {
		out[key] = g.sums[key].published
	}
	return out, Position(position)
}

// applyDelta adds a change to a sum and publishes the sum if it has changed enough.
func (g *Gatherer[K]) applyDelta(now time.Duration, key K, delta Load) {
	s := g.sums[key]
	if s == nil {
		s = &sum{}
		g.sums[key] = s
	}
	s.current.Requests += delta.Requests
	s.current.PendingTokens += delta.PendingTokens
	s.current.UncachedTokens += delta.UncachedTokens
	if s.current.needsPublishing(s.published) {
		g.published.Record(key)
		s.published, s.publishedAt = s.current, now
	}
}

func (l Load) minus(other Load) Load {
	return Load{
		Requests:       l.Requests - other.Requests,
		PendingTokens:  l.PendingTokens - other.PendingTokens,
		UncachedTokens: l.UncachedTokens - other.UncachedTokens,
	}
}

// needsPublishing reports whether l differs enough from the published load.
func (l Load) needsPublishing(published Load) bool {
	if l == published {
		return false
	}
	change := l.PendingTokens - published.PendingTokens
	return l.Requests != published.Requests || l.PendingTokens == 0 || change >= minPublishedChange || -change >= minPublishedChange
}

// expire drops the reports of sources that have stopped reporting, and sums
// that have long been zero.
func (g *Gatherer[K]) expire(now time.Duration) {
	for source, r := range g.reports {
		if now-r.receivedAt > g.lifetime {
			g.Update(now, source, nil)
			delete(g.reports, source)
		}
	}
	if now-g.expiredAt < g.lifetime {
		return
	}
	g.expiredAt = now
	for key, s := range g.sums {
		if s.current == (Load{}) && now-s.publishedAt > zeroRetentionLifetimes*g.lifetime {
			delete(g.sums, key)
			g.published.Forget(key)
		}
	}
}
