package gatherer

import "time"

// renewals is how often within the lifetime readers hear again of what is noted all the while.
const renewals = 3

type (
	// Recents holds the things that were noted lately, in the order in which
	// readers are to hear of them. It is not safe for concurrent use.
	Recents[K comparable] struct {
		lifetime time.Duration
		most     int
		noted    map[K]recent
		position Position
	}

	recent struct {
		// told is when readers were told last, at a position.
		told     time.Duration
		position Position
	}
)

// NewRecents returns an empty set that forgets what was not noted for lifetime,
// and takes nothing new beyond most things.
func NewRecents[K comparable](lifetime time.Duration, most int) *Recents[K] {
	return &Recents[K]{lifetime: lifetime, most: most, noted: map[K]recent{}}
}

// Note notes a thing and reports that readers are told of it: it is new, or a
// good part of its lifetime has passed.
func (r *Recents[K]) Note(now time.Duration, key K) bool {
	before, found := r.noted[key]
	if found && now-before.told < r.lifetime/renewals {
		return false
	}
	if !found && len(r.noted) >= r.most {
		r.expire(now)
		if len(r.noted) >= r.most {
			return false
		}
	}
	r.position++
	r.noted[key] = recent{told: now, position: r.position}
	return true
}

// Since returns the things that were noted anew after a position, and the position reached.
func (r *Recents[K]) Since(now time.Duration, after Position) ([]K, Position) {
	var out []K
	if after == r.position {
		return out, after
	}
	for key, n := range r.noted {
		if n.position > after && now-n.told <= r.lifetime {
			out = append(out, key)
		}
	}
	return out, r.position
}

func (r *Recents[K]) expire(now time.Duration) {
	for key, n := range r.noted {
		if now-n.told > r.lifetime {
			delete(r.noted, key)
		}
	}
}
