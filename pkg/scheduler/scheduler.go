// Package scheduler orders the requests that wait for a pool of upstreams.
//
// Tiers are strict for shedding: a request is never refused or removed in
// favour of one of a lower tier. Every class with waiting requests gets a small
// guaranteed share of the dispatched cost, which delays higher tiers but sheds
// none of them. Within a class, organisations share by measured cost.
package scheduler

import (
	"time"
)

const (
	percent = 100
	// creditCapacity bounds the guaranteed cost that a class saves up, in average requests.
	creditCapacity = 4
	// rateSmoothing is the weight of a new dispatch interval in the average.
	rateSmoothing = 0.05
	// costSmoothing is the weight of a new cost in a class's average.
	costSmoothing = 0.1
)

type (
	// ItemID identifies a waiting request.
	ItemID uint64
	// Class names a class of work.
	Class string
	// Organisation identifies a customer.
	Organisation string
	// Tier is a priority; 1 is the highest.
	Tier int
	// Cost measures work, in tokens.
	Cost float64

	// Item is a waiting request.
	Item struct {
		ID           ItemID
		Class        Class
		Tier         Tier
		Organisation Organisation
		// StartBy is the time at which the request must be dispatched to be in time.
		StartBy time.Duration
		// Deadline is the time after which the request is refused.
		Deadline time.Duration
		// Requeued requests have been dispatched before and were broken off. They are
		// neither refused nor shed, and go first, so that the work done is not lost.
		Requeued bool
		// charged is the cost that the organisation was charged with at dispatch.
		charged Cost
	}

	// Config configures a Scheduler.
	Config struct {
		// MaxWaiting is the largest number of waiting requests.
		MaxWaiting int
		// GuaranteedPercent is the share of the dispatched cost that each class
		// with waiting requests gets.
		GuaranteedPercent int
		// FirstComeFirstServed ignores tiers and shares; a baseline for experiments.
		FirstComeFirstServed bool
	}

	// Admission is the result of Add.
	Admission struct {
		// Accepted is false when the request was refused.
		Accepted bool
		// RetryAfter is the time after which a refused request may be accepted.
		RetryAfter time.Duration
		// Shed lists waiting requests that were removed to make room.
		Shed []ItemID
	}

	// Scheduler holds the waiting requests of one pool. It is not safe for concurrent use.
	Scheduler struct {
		config  Config
		classes map[queueKey]*classQueue
		order   []*classQueue
		items   map[ItemID]*Item
		// begun are the waiting requests that have been dispatched before, in order.
		begun   []ItemID
		arrival []ItemID
		// interval is the average time between dispatches while requests wait, in seconds.
		interval     float64
		lastDispatch time.Duration
		// saturated reports that requests have waited since the last dispatch.
		saturated bool
	}
)

// New returns an empty scheduler.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:  config,
		classes: map[queueKey]*classQueue{},
		items:   map[ItemID]*Item{},
	}
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.items) }

// Add queues a request, or refuses it when it cannot be served in time.
func (s *Scheduler) Add(now time.Duration, item Item) Admission {
	q := s.class(item.Class, item.Tier)
	if s.config.FirstComeFirstServed {
		return s.addInOrder(q, item)
	}
	if item.Requeued {
		s.insert(q, item)
		s.begun = append(s.begun, item.ID)
		return Admission{Accepted: true}
	}
	if late := now + s.expectedWait(q, &item) - item.StartBy; late > 0 {
		return Admission{RetryAfter: late}
	}
	admission := Admission{Accepted: true}
	if len(s.items) >= s.config.MaxWaiting {
		victim := s.victimFor(&item)
		if victim == nil {
			return Admission{RetryAfter: s.drainTime(len(s.items))}
		}
		s.Remove(victim.ID)
		admission.Shed = append(admission.Shed, victim.ID)
	}
	s.insert(q, item)
	return admission
}

// Remove takes a request out of the queue and reports whether it was waiting.
func (s *Scheduler) Remove(id ItemID) bool {
	item, found := s.items[id]
	if !found {
		return false
	}
	delete(s.items, id)
	s.classes[item.key()].remove(item)
	return true
}

// Expire removes and returns the requests whose deadline has passed.
func (s *Scheduler) Expire(now time.Duration) []ItemID {
	var expired []ItemID
	for id, item := range s.items {
		if item.Deadline <= now {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.Remove(id)
	}
	return expired
}

// Next removes and returns the request to dispatch, or reports that none waits.
func (s *Scheduler) Next(now time.Duration) (Item, bool) {
	if len(s.items) == 0 {
		s.saturated = false
		return Item{}, false
	}
	item := s.choose(now)
	s.Remove(item.ID)
	s.noteDispatch(now)
	q := s.classes[item.key()]
	item.charged = q.averageCost()
	q.charge(item.Organisation, item.charged)
	s.giveCredit(q, item.charged)
	return *item, true
}

// Finished corrects the charge of a dispatched request by its measured cost.
func (s *Scheduler) Finished(item Item, cost Cost) {
	q := s.classes[item.key()]
	q.charge(item.Organisation, cost-item.charged)
	if cost > 0 {
		q.learnCost(cost)
	}
}

// Blocked tells the scheduler that requests wait because no upstream is free.
func (s *Scheduler) Blocked() {
	s.saturated = len(s.items) > 0
}

// WaitEstimate returns how long a new request of an organisation would wait.
func (s *Scheduler) WaitEstimate(class Class, tier Tier, organisation Organisation) time.Duration {
	return s.expectedWait(s.class(class, tier), &Item{Class: class, Tier: tier, Organisation: organisation})
}

func (s *Scheduler) choose(now time.Duration) *Item {
	if s.config.FirstComeFirstServed {
		return s.first(&s.arrival)
	}
	if item := s.first(&s.begun); item != nil {
		return item
	}
	if q := s.creditor(); q != nil {
		q.credit -= q.averageCost()
		return q.head()
	}
	var best *classQueue
	for _, q := range s.order {
		if q.waiting == 0 {
			continue
		}
		if best == nil || q.tier < best.tier || q.tier == best.tier && q.urgency(now) < best.urgency(now) {
			best = q
		}
	}
	return best.head()
}

// creditor returns the waiting class with the most guaranteed cost saved up, if it suffices for a request.
func (s *Scheduler) creditor() *classQueue {
	var best *classQueue
	for _, q := range s.order {
		if q.waiting == 0 || q.credit < q.averageCost() {
			continue
		}
		if best == nil || q.credit/q.averageCost() > best.credit/best.averageCost() {
			best = q
		}
	}
	return best
}

func (s *Scheduler) giveCredit(dispatched *classQueue, cost Cost) {
	share := Cost(s.config.GuaranteedPercent) / percent
	for _, q := range s.order {
		if q == dispatched || q.waiting == 0 {
			continue
		}
		q.credit = min(q.credit+share*cost, creditCapacity*q.averageCost())
	}
}

// victimFor returns the waiting request to shed for a new one: the newest of
// the organisation with the most waiting in the lowest tier, provided that tier
// is lower, or that it is the same and the organisation holds more than the
// new request's.
func (s *Scheduler) victimFor(item *Item) *Item {
	var lowest *classQueue
	for _, q := range s.order {
		if q.waiting > 0 && (lowest == nil || q.tier > lowest.tier) {
			lowest = q
		}
	}
	if lowest == nil || lowest.tier < item.Tier {
		return nil
	}
	largest := lowest.largest()
	own := s.class(item.Class, item.Tier).organisations[item.Organisation]
	if lowest.tier > item.Tier || own == nil || len(own.items)+1 < len(largest.items) {
		return largest.newest()
	}
	return nil
}

// expectedWait estimates the wait from what would be dispatched before the
// request. Lower tiers do not count, so that no request is refused because of them.
func (s *Scheduler) expectedWait(q *classQueue, item *Item) time.Duration {
	position := q.countOf(item.Organisation) + 1
	ahead := 0
	for _, other := range s.order {
		switch {
		case other.tier < q.tier:
			ahead += other.waiting
		case other.tier == q.tier:
			ahead += other.within(position, item.Organisation)
		}
	}
	return min(s.drainTime(ahead), s.guaranteedTime(q, position))
}

// guaranteedTime estimates the wait of a class that lives on its guaranteed share alone.
func (s *Scheduler) guaranteedTime(q *classQueue, position int) time.Duration {
	ahead := q.within(position, "")
	return s.drainTime(max(ahead, 1) * percent / max(1, s.config.GuaranteedPercent))
}

// drainTime returns the time in which a number of requests is dispatched.
func (s *Scheduler) drainTime(requests int) time.Duration {
	return time.Duration(float64(requests) * s.interval * float64(time.Second))
}

// noteDispatch learns the time between dispatches while requests wait for an upstream.
func (s *Scheduler) noteDispatch(now time.Duration) {
	if s.saturated && s.lastDispatch > 0 {
		seconds := (now - s.lastDispatch).Seconds()
		if s.interval == 0 {
			s.interval = seconds
		}
		s.interval += rateSmoothing * (seconds - s.interval)
	}
	s.lastDispatch = now
}

func (s *Scheduler) class(name Class, tier Tier) *classQueue {
	key := queueKey{class: name, tier: tier}
	q := s.classes[key]
	if q == nil {
		q = newClassQueue(name, tier)
		s.classes[key] = q
		s.order = append(s.order, q)
	}
	return q
}

func (s *Scheduler) insert(q *classQueue, item Item) {
	s.items[item.ID] = &item
	q.add(&item)
	if s.config.FirstComeFirstServed {
		s.arrival = append(s.arrival, item.ID)
	}
}

func (s *Scheduler) addInOrder(q *classQueue, item Item) Admission {
	if len(s.items) >= s.config.MaxWaiting {
		return Admission{RetryAfter: s.drainTime(len(s.items))}
	}
	s.insert(q, item)
	return Admission{Accepted: true}
}

// first takes the first request that still waits off a list, or returns nil.
func (s *Scheduler) first(list *[]ItemID) *Item {
	for len(*list) > 0 {
		id := (*list)[0]
		*list = (*list)[1:]
		if item, found := s.items[id]; found {
			return item
		}
	}
	return nil
}
