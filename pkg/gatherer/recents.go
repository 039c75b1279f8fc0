package gatherer

import "time"

// renewals is how often within the lifetime readers hear again of what is noted all the while.
const renewals = 3

type (
	// RecentSet holds the things that were noted lately, in the order in which
	// readers are to hear of them. It is not safe for concurrent use.
	RecentSet[K comparable] struct {
		lifetime time.Duration
		most     int
		noted    map[K]recent
		// order holds what was told at each position after base.
		order []K
		base  Position
	}

	recent struct {
		// told is when readers were told last, at a position.
		told     time.Duration
		position Position
	}
)

// NewRecentSet returns an empty set that forgets what was not noted for lifetime,
// and takes nothing new beyond most things.
func NewRecentSet[K comparable](lifetime time.Duration, most int) *RecentSet[K] {
	return &RecentSet[K]{lifetime: lifetime, most: most, noted: map[K]recent{}}
}

// Add notes a thing and reports that readers are told of it: it is new, or a
// good part of its lifetime has passed.
func (r *RecentSet[K]) Add(now time.Duration, key K) bool {
	r.expire(now)
	before, found := r.noted[key]
	if found && now-before.told < r.lifetime/renewals {
		return false
	}
	if !found && len(r.noted) >= r.most {
		return false
	}
	r.order = append(r.order, key)
	r.noted[key] = recent{told: now, position: r.position()}
	return true
}

// Since returns the things that were noted anew after a position, and the position reached.
func (r *RecentSet[K]) Since(now time.Duration, after Position) ([]K, Position) {
	r.expire(now)
	var out []K
	for at := max(after, r.base); at < r.position(); at++ {
		key := r.order[at-r.base]
		if r.noted[key].position == at+1 {
			out = append(out, key)
		}
	}
	return out, r.position()
}

func (r *RecentSet[K]) position() Position { return r.base + Position(len(r.order)) }

// expire forgets the oldest positions: what was told again since, and what
// was not noted for a lifetime.
func (r *RecentSet[K]) expire(now time.Duration) {
	gone := 0
	for _, key := range r.order {
		n := r.noted[key]
		if n.position == r.base+Position(gone)+1 {
			if now-n.told <= r.lifetime {
				break
			}
			delete(r.noted, key)
		}
		gone++
	}
	r.order = r.order[gone:]
	r.base += Position(gone)
}
