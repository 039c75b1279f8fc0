// Package sequencer numbers the changes of keyed items, so that readers get what has changed since
// they last read. A key counts with its latest change only. Reading costs what has changed, not what
// there is.
package sequencer

import "sort"

// minStale is the number of outdated changes from which they are dropped.
const minStale = 64

type (
	// Position is the number of a change. The first change has position 1.
	Position uint64

	// Sequencer holds the position of the latest change of each key. It is not safe for concurrent
	// use.
	Sequencer[K comparable] struct {
		position Position
		latest   map[K]Position
		// changes holds the changes in the order of their positions. One that is not the latest of
		// its key is outdated.
		changes []change[K]
	}

	change[K comparable] struct {
		key      K
		position Position
	}
)

// New returns a sequencer without changes.
func New[K comparable]() *Sequencer[K] {
	return &Sequencer[K]{latest: map[K]Position{}}
}

// Position returns the position of the latest change, zero if there was none.
func (s *Sequencer[K]) Position() Position { return s.position }

// Record records a change of a key and returns its position.
func (s *Sequencer[K]) Record(key K) Position {
	s.position++
	s.latest[key] = s.position
	s.changes = append(s.changes, change[K]{key: key, position: s.position})
	s.compact()
	return s.position
}

// Forget drops a key. Readers do not get its latest change any more.
func (s *Sequencer[K]) Forget(key K) {
	delete(s.latest, key)
	s.compact()
}

// PositionOf returns the position of the latest change of a key, zero if there is none.
func (s *Sequencer[K]) PositionOf(key K) Position { return s.latest[key] }

// CountSince returns the number of keys that have changed after a position, counting up to limit.
func (s *Sequencer[K]) CountSince(after Position, limit int) int {
	count := 0
	for _, c := range s.after(after) {
		if s.latest[c.key] == c.position {
			count++
		}
		if count >= limit {
			break
		}
	}
	return count
}

// Since returns the keys that have changed after a position, in the order of their latest changes and at
// most limit of them, at least one, and the position up to which these are all.
func (s *Sequencer[K]) Since(after Position, limit int) ([]K, Position) {
	var out []K
	for _, c := range s.after(after) {
		if s.latest[c.key] != c.position {
			continue
		}
		if len(out) == limit {
			return out, s.latest[out[limit-1]]
		}
		out = append(out, c.key)
	}
	return out, s.position
}

// after returns the changes after a position, outdated ones included.
func (s *Sequencer[K]) after(after Position) []change[K] {
	if after >= s.position {
		return nil
	}
	return s.changes[sort.Search(len(s.changes), func(i int) bool { return s.changes[i].position > after }):]
}

// compact drops outdated changes once they are more than the others.
func (s *Sequencer[K]) compact() {
	if stale := len(s.changes) - len(s.latest); stale < minStale || stale < len(s.latest) {
		return
	}
	kept := s.changes[:0]
	for _, c := range s.changes {
		if s.latest[c.key] == c.position {
			kept = append(kept, c)
		}
	}
	clear(s.changes[len(kept):])
	s.changes = kept
}
