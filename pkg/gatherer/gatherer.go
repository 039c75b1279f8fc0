// Package gatherer adds up the load that many sources put on the same things.
//
// A source tells its whole share again and again; each replaces the one
// before it. The sums over all sources are kept in the order in which they
// changed, so that a reader hears only what is new since it last asked. A
// source that falls silent counts no more.
package gatherer

import "time"

const (
	// noticedTokens is the least change of a sum that readers are told of: about
	// a hundredth of a second of reading.
	noticedTokens = 1000
	// keptIdle is the number of lifetimes for which a sum of zero is kept, so that readers hear of it.
	keptIdle = 5
)

type (
	// Source names one that tells its share.
	Source string
	// Position counts the changes of sums.
	Position uint64

	// Load is what is put on one thing.
	Load struct {
		// Requests are in progress there.
		Requests int
		// PendingTokens are still to be read there.
		PendingTokens int
		// UncachedTokens are the tokens that the requests in progress had to be read at their start.
		UncachedTokens int
	}

	// Gatherer holds the shares and their sums. It is not safe for concurrent use.
	Gatherer[K comparable] struct {
		lifetime time.Duration
		shares   map[Source]share[K]
		sums     map[K]*sum
		position Position
	}

	share[K comparable] struct {
		heard time.Duration
		loads map[K]Load
	}

	sum struct {
		now Load
		// told is what readers were told last, at a position and a time.
		told     Load
		position Position
		at       time.Duration
	}
)

// New returns a gatherer that forgets a source that was silent for lifetime.
func New[K comparable](lifetime time.Duration) *Gatherer[K] {
	return &Gatherer[K]{lifetime: lifetime, shares: map[Source]share[K]{}, sums: map[K]*sum{}}
}

// Update replaces a source's share. The map must not be changed afterwards.
func (g *Gatherer[K]) Update(now time.Duration, source Source, loads map[K]Load) {
	before := g.shares[source].loads
	g.shares[source] = share[K]{heard: now, loads: loads}
	for key, load := range loads {
		g.add(now, key, load.minus(before[key]))
	}
	for key, old := range before {
		if _, still := loads[key]; !still {
			g.add(now, key, Load{}.minus(old))
		}
	}
}

// Since returns the sums that changed after a position, and the position reached.
func (g *Gatherer[K]) Since(now time.Duration, after Position) (map[K]Load, Position) {
	g.expire(now)
	out := map[K]Load{}
	for key, s := range g.sums {
		if s.position > after {
			out[key] = s.told
		}
	}
	return out, g.position
}

func (g *Gatherer[K]) add(now time.Duration, key K, change Load) {
	s := g.sums[key]
	if s == nil {
		s = &sum{}
		g.sums[key] = s
	}
	s.now.Requests += change.Requests
	s.now.PendingTokens += change.PendingTokens
	s.now.UncachedTokens += change.UncachedTokens
	if s.now.noticeable(s.told) {
		g.position++
		s.told, s.position, s.at = s.now, g.position, now
	}
}

func (l Load) minus(other Load) Load {
	return Load{Requests: l.Requests - other.Requests, PendingTokens: l.PendingTokens - other.PendingTokens, UncachedTokens: l.UncachedTokens - other.UncachedTokens}
}

func (l Load) noticeable(told Load) bool {
	if l == told {
		return false
	}
	change := l.PendingTokens - told.PendingTokens
	return l.Requests != told.Requests || l.PendingTokens == 0 || change >= noticedTokens || -change >= noticedTokens
}

// expire forgets silent sources, and sums that have long been zero.
func (g *Gatherer[K]) expire(now time.Duration) {
	for source, s := range g.shares {
		if now-s.heard > g.lifetime {
			g.Update(now, source, nil)
			delete(g.shares, source)
		}
	}
	for key, s := range g.sums {
		if s.now == (Load{}) && now-s.at > keptIdle*g.lifetime {
			delete(g.sums, key)
		}
	}
}
