package gatherer

import "time"

// renewalsPerLifetime determines when a key that is added repeatedly is published
// again: lifetime/renewalsPerLifetime after its last publication.
const renewalsPerLifetime = 3

type (
	// RecentSet holds the keys that were published within the last lifetime, in the
	// order of their publication. It is not safe for concurrent use.
	RecentSet[K comparable] struct {
		lifetime time.Duration
		maxKeys  int
		entries  map[K]recentEntry
		// publications holds the keys published at the positions base+1, base+2 and
		// so on. A key that was published again is there more than once; only its
		// latest position counts.
		publications []K
		base         Position
	}

	// recentEntry is the latest publication of a key.
	recentEntry struct {
		publishedAt time.Duration
		position    Position
	}
)

// NewRecentSet returns an empty set that drops a key a lifetime after it was
// last published, and takes no new key while it holds maxKeys.
func NewRecentSet[K comparable](lifetime time.Duration, maxKeys int) *RecentSet[K] {
	return &RecentSet[K]{lifetime: lifetime, maxKeys: maxKeys, entries: map[K]recentEntry{}}
}

// Add adds a key and reports whether this publishes it: it does if the key is
// new and the set is not full, or if a third of a lifetime has passed since the
// key was last published.
func (r *RecentSet[K]) Add(now time.Duration, key K) bool {
	r.expire(now)
	entry, ok := r.entries[key]
	if ok && now-entry.publishedAt < r.lifetime/renewalsPerLifetime {
		return false
	}
	if !ok && len(r.entries) >= r.maxKeys {
		return false
	}
	r.publications = append(r.publications, key)
	r.entries[key] = recentEntry{publishedAt: now, position: r.position()}
	return true
}

// Since returns the keys that were published after a position, each once and in
// the order of their latest publication, and the position to pass the next time.
func (r *RecentSet[K]) Since(now time.Duration, after Position) ([]K, Position) {
	r.expire(now)
	var out []K
	for at := max(after, r.base); at < r.position(); at++ {
		key := r.publications[at-r.base]
		if r.entries[key].position == at+1 {
			out = append(out, key)
		}
	}
	return out, r.position()
}

// position returns the position of the latest publication.
func (r *RecentSet[K]) position() Position { return r.base + Position(len(r.publications)) }

// expire removes publications from the oldest on. It stops at the first one that
// is both the latest of its key and at most a lifetime old. Keys whose latest
// publication is removed leave the set.
func (r *RecentSet[K]) expire(now time.Duration) {
	expired := 0
	for _, key := range r.publications {
		entry := r.entries[key]
		if entry.position == r.base+Position(expired)+1 {
			if now-entry.publishedAt <= r.lifetime {
				break
			}
			delete(r.entries, key)
		}
		expired++
	}
	r.publications = r.publications[expired:]
	r.base += Position(expired)
}
