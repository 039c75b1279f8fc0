package scheduler

import (
	"slices"
	"time"
)

// Bound returns the bound requests in the order in which to dispatch them: the highest tier first,
// in order of arrival.
func (s *Scheduler) Bound() []ItemID {
	ids := make([]ItemID, 0, len(s.bound))
	for _, item := range s.bound {
		ids = append(ids, item.ID)
	}
	return ids
}

// Take removes and returns a bound request, to be dispatched to an upstream that can serve it. It
// returns false if the request does not wait. The organisation is charged as by Next.
func (s *Scheduler) Take(now time.Duration, id ItemID) (Item, bool) {
	item := s.removeBound(id)
	if item == nil {
		return Item{}, false
	}
	s.dispatch(now, item)
	return *item, true
}

func (s *Scheduler) insertBound(item Item) {
	at := slices.IndexFunc(s.bound, func(other *Item) bool { return other.Tier > item.Tier })
	if at < 0 {
		at = len(s.bound)
	}
	s.bound = slices.Insert(s.bound, at, &item)
}

// removeBound removes and returns a bound request, or returns nil.
func (s *Scheduler) removeBound(id ItemID) *Item {
	at := slices.IndexFunc(s.bound, func(item *Item) bool { return item.ID == id })
	if at < 0 {
		return nil
	}
	item := s.bound[at]
	s.bound = slices.Delete(s.bound, at, at+1)
	return item
}
