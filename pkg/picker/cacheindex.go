package picker

import "github.com/comfreybend/comfreybend/pkg/registrar"

// maxPrefixesPerUpstream is the largest number of prefixes tracked for one upstream; further ones
// are ignored.
const maxPrefixesPerUpstream = 20_000

type (
	// PrefixID identifies the beginning of a prompt, up to the end of a shared part if the prompt
	// consists of parts.
	PrefixID string

	// CacheEvent reports the prefixes that an upstream's cache has stored and removed.
	CacheEvent struct {
		Upstream    registrar.UpstreamID
		Incarnation registrar.Incarnation
		// Sequence numbers the events of one incarnation from 1.
		Sequence registrar.Sequence
		Stored   []PrefixID
		Removed  []PrefixID
	}

	// CacheIndex tracks which prefixes the caches of upstreams hold, according to events that may
	// be late, lost or repeated. It is not safe for concurrent use.
	CacheIndex struct {
		caches map[registrar.UpstreamID]*upstreamCache
	}

	upstreamCache struct {
		incarnation registrar.Incarnation
		sequence    registrar.Sequence
		prefixes    map[PrefixID]struct{}
	}
)

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{caches: map[registrar.UpstreamID]*upstreamCache{}}
}

// Apply applies an event and reports whether it is new. Events that are repeated or arrive
// after a later one are ignored. After a gap in the sequence numbers removals may have been lost,
// and a new incarnation starts with an empty cache: in both cases the known prefixes are dropped
// first.
func (x *CacheIndex) Apply(e CacheEvent) bool {
	cache := x.caches[e.Upstream]
	if cache != nil && (e.Incarnation < cache.incarnation || e.Incarnation == cache.incarnation && e.Sequence <= cache.sequence) {
		return false
	}
	if cache == nil || e.Incarnation != cache.incarnation || e.Sequence != cache.sequence+1 {
		cache = &upstreamCache{incarnation: e.Incarnation, prefixes: map[PrefixID]struct{}{}}
		x.caches[e.Upstream] = cache
	}
	cache.sequence = e.Sequence
	for _, id := range e.Stored {
		if len(cache.prefixes) < maxPrefixesPerUpstream {
			cache.prefixes[id] = struct{}{}
		}
	}
	for _, id := range e.Removed {
		delete(cache.prefixes, id)
	}
	return true
}

// Holds reports whether an upstream's cache is known to hold a prefix.
func (x *CacheIndex) Holds(upstream registrar.UpstreamID, prefix PrefixID) bool {
	cache := x.caches[upstream]
	if cache == nil {
		return false
	}
	_, found := cache.prefixes[prefix]
	return found
}

// Forget drops all that is known of an upstream's cache.
func (x *CacheIndex) Forget(upstream registrar.UpstreamID) {
	delete(x.caches, upstream)
}
