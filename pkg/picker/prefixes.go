package picker

import "github.com/comfreybend/comfreybend/pkg/registrar"

// prefixesPerUpstream bounds the remembered prefixes of one upstream.
const prefixesPerUpstream = 20_000

type (
	// PrefixID identifies the beginning of a prompt.
	PrefixID string

	// CacheEvent tells which prefixes an upstream's cache has gained and lost.
	CacheEvent struct {
		Upstream    registrar.UpstreamID
		Incarnation registrar.Incarnation
		// Sequence counts the events of one incarnation from 1.
		Sequence registrar.Sequence
		Stored   []PrefixID
		Removed  []PrefixID
	}

	// CacheIndex remembers what upstreams' caches hold, from events that come late
	// and with gaps. It is not safe for concurrent use.
	CacheIndex struct {
		held map[registrar.UpstreamID]*heldPrefixes
	}

	heldPrefixes struct {
		incarnation registrar.Incarnation
		sequence    registrar.Sequence
		prefixes    map[PrefixID]struct{}
	}
)

// NewCacheIndex returns an empty memory.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{held: map[registrar.UpstreamID]*heldPrefixes{}}
}

// Apply takes an event and reports whether it is new. After a gap, or in a new
// incarnation, everything known before is forgotten, since removals may have
// been lost. An event that comes after a later one is dropped.
func (p *CacheIndex) Apply(e CacheEvent) bool {
	h := p.held[e.Upstream]
	if h != nil && (e.Incarnation < h.incarnation || e.Incarnation == h.incarnation && e.Sequence <= h.sequence) {
		return false
	}
	if h == nil || e.Incarnation != h.incarnation || e.Sequence != h.sequence+1 {
		h = &heldPrefixes{incarnation: e.Incarnation, prefixes: map[PrefixID]struct{}{}}
		p.held[e.Upstream] = h
	}
	h.sequence = e.Sequence
	for _, id := range e.Stored {
		if len(h.prefixes) < prefixesPerUpstream {
			h.prefixes[id] = struct{}{}
		}
	}
	for _, id := range e.Removed {
		delete(h.prefixes, id)
	}
	return true
}

// Holds reports whether an upstream's cache holds a prefix, as far as is known.
func (p *CacheIndex) Holds(upstream registrar.UpstreamID, prefix PrefixID) bool {
	h := p.held[upstream]
	if h == nil {
		return false
	}
	_, found := h.prefixes[prefix]
	return found
}

// Forget forgets an upstream.
func (p *CacheIndex) Forget(upstream registrar.UpstreamID) {
	delete(p.held, upstream)
}
