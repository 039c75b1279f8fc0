package matcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

type (
	// History holds the versions of the pools' upstreams. Replicas that apply the same calls in
	// the same order hold the same ones. It is not safe for concurrent use.
	History struct {
		limit    int
		versions map[Pool][]registrar.Version
	}

	// Retirer finds the versions of a History that no upstream has announced for a time, in
	// which a stream of theirs may still have been taken up. It is not safe for concurrent use.
	Retirer struct {
		retention time.Duration
		// seenAt holds when each version was last announced, or first missed.
		seenAt map[Origin]time.Duration
	}
)

// NewHistory returns a history without any versions, of which it holds at most limit for each pool.
func NewHistory(limit int) *History {
	return &History{limit: limit, versions: map[Pool][]registrar.Version{}}
}

// Add adds a version of a pool. It returns false if the pool has too many: its upstreams must then
// not be used, since streams that they begin could not be told from those of others.
func (h *History) Add(o Origin) bool {
	if h.Has(o) {
		return true
	}
	if len(h.versions[o.Pool]) >= h.limit {
		return false
	}
	h.versions[o.Pool] = append(h.versions[o.Pool], o.Version)
	return true
}

// Remove removes a version of a pool.
func (h *History) Remove(o Origin) {
	left := slices.DeleteFunc(slices.Clone(h.versions[o.Pool]), func(v registrar.Version) bool { return v == o.Version })
	if len(left) == 0 {
		delete(h.versions, o.Pool)
		return
	}
	h.versions[o.Pool] = left
}

// Has reports whether a version of a pool is held.
func (h *History) Has(o Origin) bool { return slices.Contains(h.versions[o.Pool], o.Version) }

// Of returns the versions of a pool. The caller must not modify them.
func (h *History) Of(pool Pool) []registrar.Version { return h.versions[pool] }

// All returns all versions of all pools, in a reproducible order.
func (h *History) All() []Origin {
	var out []Origin
	for pool, versions := range h.versions {
		for _, v := range versions {
			out = append(out, Origin{Pool: pool, Version: v})
		}
	}
	slices.SortFunc(out, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// NewRetirer returns a retirer that has not seen any version.
func NewRetirer(retention time.Duration) *Retirer {
	return &Retirer{retention: retention, seenAt: map[Origin]time.Duration{}}
}

// Observe records which versions upstreams announce, and returns those of the held ones that
// none has announced for the retention.
func (r *Retirer) Observe(now time.Duration, announced map[Origin]bool, held []Origin) []Origin {
	var retired []Origin
	for _, o := range held {
		at, known := r.seenAt[o]
		switch {
		case announced[o] || !known:
			r.seenAt[o] = now
		case now-at >= r.retention:
			retired = append(retired, o)
			delete(r.seenAt, o)
		}
	}
	return retired
}
