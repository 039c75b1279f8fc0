// Package republisher decides what a process has to tell others again that keep it in memory only.
//
// A process opens items, each a key with a value, and tells them to some receivers. A receiver that
// starts again has forgotten them, and its senders are the only ones that know them. So each
// acknowledgement names the receiver's incarnation: an item counts as held by that incarnation, and is
// sent again to the next one. A receiver that takes the place of another one gets all items too.
//
// The package starts no goroutines and reads no clock; the caller passes the time and sends the
// messages.
package republisher

import (
	"cmp"
	"slices"
	"time"
)

// copiesPerItem is the number of incarnations that are remembered to hold an item, the latest ones.
const copiesPerItem = 4

type (
	// Receiver names a process that keeps items.
	Receiver string

	// Incarnation is one run of a receiver. Receivers that do not name theirs have incarnation
	// zero; their restarts are not noticed.
	Incarnation uint64

	// Item is an item to be sent.
	Item[K comparable, V any] struct {
		Key   K
		Value V
	}

	// Republisher holds the items of one process and which of them each receiver lacks. It is not
	// safe for concurrent use.
	Republisher[K comparable, V any] struct {
		retention, renewal time.Duration
		limit              int

		items map[K]*item[V]
		// closed holds the closed items in the order in which they were closed. Some were opened again.
		closed    []closing[K]
		receivers map[Receiver]*receiver[K]
		// latestID is the latest id of an incarnation.
		latestID incarnationID
	}

	// incarnationID numbers the incarnations of all receivers, beginning with 1.
	incarnationID uint32

	item[V any] struct {
		value V
		// users is how often the item is open.
		users              int
		openedAt, closedAt time.Duration
		// sentAt is when the item was opened or renewed.
		sentAt time.Duration
		// holders are the incarnations that hold the item.
		holders [copiesPerItem]incarnationID
	}

	closing[K comparable] struct {
		key K
		at  time.Duration
	}

	receiver[K comparable] struct {
		// active reports that the receiver gets new items.
		active      bool
		incarnation Incarnation
		// id is that of the incarnation, zero before the first acknowledgement.
		id incarnationID
		// lacking holds the keys of items to be sent again, the last one first.
		lacking []K
	}
)

// New returns a republisher without items. Closed items are kept for the retention, and at most limit
// items in all. Open ones are sent again after the renewal interval, since receivers do not keep them
// for ever.
func New[K comparable, V any](retention, renewal time.Duration, limit int) *Republisher[K, V] {
	return &Republisher[K, V]{
		retention: retention, renewal: renewal, limit: limit,
		items: map[K]*item[V]{}, receivers: map[Receiver]*receiver[K]{},
	}
}

// Open adds an item, which the caller sends to all receivers. It stays open until Close has been
// called as often as Open. It is not kept if there are too many open items.
func (r *Republisher[K, V]) Open(now time.Duration, key K, value V) {
	it := r.items[key]
	if it == nil {
		if len(r.items) >= r.limit {
			r.dropClosed()
		}
		if len(r.items) >= r.limit {
			return
		}
		it = &item[V]{openedAt: now}
		r.items[key] = it
	}
	it.value, it.sentAt = value, now
	it.users++
}

// Close ends an item, which is kept for the retention.
func (r *Republisher[K, V]) Close(now time.Duration, key K) {
	it := r.items[key]
	if it == nil || it.users == 0 {
		return
	}
	it.users--
	if it.users == 0 {
		it.closedAt = now
		r.closed = append(r.closed, closing[K]{key: key, at: now})
	}
}

// Get returns the value of an item, or false if there is none.
func (r *Republisher[K, V]) Get(key K) (value V, found bool) {
	if it := r.items[key]; it != nil {
		return it.value, true
	}
	return value, false
}

// Len returns the number of items.
func (r *Republisher[K, V]) Len() int { return len(r.items) }

// Renew drops what was closed longer than the retention ago, and has the items that have been open for the
// renewal interval sent again.
func (r *Republisher[K, V]) Renew(now time.Duration) {
	for len(r.closed) > 0 && now-r.closed[0].at >= r.retention {
		r.dropEarliest()
	}
	renewed := false
	for _, it := range r.items {
		if it.users > 0 && now-it.sentAt >= r.renewal {
			it.sentAt, it.holders = now, [copiesPerItem]incarnationID{}
			renewed = true
		}
	}
	if !renewed {
		return
	}
	for _, to := range r.receivers {
		if to.active {
			to.lacking = r.lackedBy(to)
		}
	}
}

// SetReceivers sets who gets new items. A receiver that is new among them gets the items that it lacks.
// The others are remembered for the case that they return, if they are listed in all.
func (r *Republisher[K, V]) SetReceivers(receivers, all []Receiver) {
	for name, to := range r.receivers {
		if to.active && !slices.Contains(receivers, name) {
			to.active, to.lacking = false, nil
		}
		if !to.active && !slices.Contains(all, name) {
			delete(r.receivers, name)
		}
	}
	for _, name := range receivers {
		to := r.receivers[name]
		if to == nil {
			to = &receiver[K]{}
			r.receivers[name] = to
		}
		if !to.active {
			to.active = true
			to.lacking = r.lackedBy(to)
		}
	}
}

// Acknowledge records that an incarnation of a receiver has items; there may be none. It reports
// whether the receiver has started again since its last acknowledgement: all other items are then sent
// to it again.
func (r *Republisher[K, V]) Acknowledge(name Receiver, incarnation Incarnation, keys []K) (restarted bool) {
	to := r.receivers[name]
	if to == nil {
		return false
	}
	first := to.id == 0
	restarted = !first && to.incarnation != incarnation
	if first || restarted {
		r.latestID++
		to.id, to.incarnation = r.latestID, incarnation
	}
	for _, key := range keys {
		if it := r.items[key]; it != nil && !slices.Contains(it.holders[:], to.id) {
			copy(it.holders[1:], it.holders[:])
			it.holders[0] = to.id
		}
	}
	if restarted && to.active {
		to.lacking = r.lackedBy(to)
	}
	return restarted
}

// Missed records that a receiver did not acknowledge items, which are sent to it again.
func (r *Republisher[K, V]) Missed(name Receiver, keys []K) {
	if to := r.receivers[name]; to != nil && to.active {
		to.lacking = append(to.lacking, keys...)
	}
}

// Next returns at most limit items to send again to a receiver, those that are open first. They
// are not returned again unless they are missed.
func (r *Republisher[K, V]) Next(name Receiver, limit int) []Item[K, V] {
	to := r.receivers[name]
	if to == nil {
		return nil
	}
	var out []Item[K, V]
	for len(out) < limit && len(to.lacking) > 0 {
		key := to.lacking[len(to.lacking)-1]
		to.lacking = to.lacking[:len(to.lacking)-1]
		if it := r.items[key]; it != nil && !it.heldBy(to.id) {
			out = append(out, Item[K, V]{Key: key, Value: it.value})
		}
	}
	return out
}

// Lacking returns how many items are to be sent again to a receiver, at most.
func (r *Republisher[K, V]) Lacking(name Receiver) int {
	if to := r.receivers[name]; to != nil {
		return len(to.lacking)
	}
	return 0
}

// lackedBy returns the items that a receiver does not hold: first those that were closed, then the open
// ones, each in the order in which they were opened.
func (r *Republisher[K, V]) lackedBy(to *receiver[K]) []K {
	var keys []K
	for key, it := range r.items {
		if !it.heldBy(to.id) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b K) int {
		x, y := r.items[a], r.items[b]
		return cmp.Or(cmp.Compare(min(x.users, 1), min(y.users, 1)), cmp.Compare(x.openedAt, y.openedAt))
	})
	return keys
}

// dropClosed drops the item that was closed first.
func (r *Republisher[K, V]) dropClosed() {
	for before := len(r.items); len(r.closed) > 0 && len(r.items) == before; {
		r.dropEarliest()
	}
}

// dropEarliest drops the earliest closing, and its item unless that was opened again.
func (r *Republisher[K, V]) dropEarliest() {
	c := r.closed[0]
	r.closed = r.closed[1:]
	if it := r.items[c.key]; it != nil && it.users == 0 && it.closedAt == c.at {
		delete(r.items, c.key)
	}
}

func (it *item[V]) heldBy(id incarnationID) bool {
	return id != 0 && slices.Contains(it.holders[:], id)
}
