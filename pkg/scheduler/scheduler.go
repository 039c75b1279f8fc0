// Package scheduler orders the requests that wait for a pool of upstreams.
//
// Every request belongs to a class, a tier and an organisation. Tiers are strict
// for admission: no request is refused or shed in favour of one of a lower tier,
// except that requeued requests, which were dispatched before and interrupted, are
// never shed. Requeued requests are dispatched before all others. Bound requests, which only some
// of the upstreams can serve, are dispatched by the caller when one of these is free. Of the others,
// the highest tier is dispatched first, except that every class and tier with
// waiting requests is guaranteed a small share of the dispatched cost. The
// guarantee delays requests of higher tiers but sheds none of them. Within a class
// and tier, organisations get equal shares of the dispatched cost, which is
// measured for each request.
//
// Times are readings of one monotonic clock. The package starts no goroutines
// and reads no clock; the caller passes the time.
package scheduler

import (
	"time"
)

const (
	percent = 100
	// maxCreditRequests is the largest credit of a queue, as a number of requests of average cost.
	maxCreditRequests = 4
	// intervalSampleWeight is the weight of a new sample in the average dispatch interval.
	intervalSampleWeight = 0.05
	// costSampleWeight is the weight of a new sample in the average cost of a queue's requests.
	costSampleWeight = 0.1
)

type (
	// ItemID identifies a request. The caller makes it unique within a Scheduler.
	ItemID uint64
	// Class names a class of work.
	Class string
	// Organisation identifies the organisation that a request is made for.
	Organisation string
	// Tier is a strict priority; 1 is the highest.
	Tier int
	// Cost measures the work that a request takes, in tokens.
	Cost float64

	// Item is a request to be scheduled.
	Item struct {
		ID           ItemID
		Class        Class
		Tier         Tier
		Organisation Organisation
		// DispatchBy is the time by which the request must be dispatched to meet its
		// latency target. Add refuses a request that is expected to be dispatched
		// later.
		DispatchBy time.Duration
		// Deadline is the time at which a request that still waits expires.
		Deadline time.Duration
		// Requeued marks a request that was dispatched before and interrupted. It
		// is neither refused nor shed, and is dispatched before all others, so that
		// the work already done is not lost. Config.FirstComeFirstServed disables
		// this.
		Requeued bool
		// Bound marks a request that only some of the pool's upstreams can serve. It is neither
		// refused nor shed. Next passes over it; Take dispatches it.
		Bound bool
		// charged is what the organisation was charged for the request at dispatch.
		charged Cost
	}

	// Config configures a Scheduler.
	Config struct {
		// MaxWaiting is the largest number of waiting requests. Requeued requests
		// are accepted beyond it.
		MaxWaiting int
		// GuaranteedPercent is the percentage of the dispatched cost that is
		// guaranteed to each class and tier with waiting requests.
		GuaranteedPercent int
		// FirstComeFirstServed dispatches requests in order of arrival, regardless
		// of tiers, shares and DispatchBy, and refuses a request, also a requeued
		// one, only if the queue is full. It is a baseline for experiments.
		FirstComeFirstServed bool
	}

	// Admission is the result of Add.
	Admission struct {
		// Accepted reports whether the request was queued. Otherwise it was refused.
		Accepted bool
		// RetryAfter is the time after which a refused request is likely to be
		// accepted. It is zero if the queue is full and the dispatch interval is not
		// known yet.
		RetryAfter time.Duration
		// Shed lists the waiting requests that were removed to accept this one.
		Shed []ItemID
	}

	// Scheduler holds the waiting requests of one pool. It is not safe for
	// concurrent use.
	Scheduler struct {
		config Config
		byKey  map[queueKey]*classQueue
		// queues holds the values of byKey, in order of creation.
		queues []*classQueue
		items  map[ItemID]*Item
		// bound holds the bound requests, the highest tier first, in order of arrival.
		bound []*Item
		// requeued holds the requeued requests in order of arrival. arrivals holds
		// all requests in order of arrival if Config.FirstComeFirstServed is set.
		// Both may hold requests that no longer wait.
		requeued []ItemID
		arrivals []ItemID
		// dispatchInterval is the average time between dispatches while requests
		// wait for an upstream, in seconds, or zero if it is not known yet.
		dispatchInterval float64
		lastDispatchedAt time.Duration
		// saturated is set by RecordBlocked if requests wait, and cleared by
		// RecordBlocked or Next if none waits. The dispatch interval is measured only
		// while it is set.
		saturated bool
	}
)

// New returns an empty scheduler.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config,
		byKey:  map[queueKey]*classQueue{},
		items:  map[ItemID]*Item{},
	}
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.items) + len(s.bound) }

// WaitingUpTo returns the number of waiting requests of a tier and of higher ones.
func (s *Scheduler) WaitingUpTo(tier Tier) int {
	n := 0
	for _, q := range s.queues {
		if q.tier <= tier {
			n += q.waiting
		}
	}
	return n
}

// Add queues a request or refuses it. A request is refused if it is not expected
// to be dispatched by its DispatchBy, or if the queue is full and no waiting
// request can be shed for it. Requeued requests are never refused, unless
// Config.FirstComeFirstServed is set.
func (s *Scheduler) Add(now time.Duration, item Item) Admission {
	q := s.queue(item.Class, item.Tier)
	if item.Bound {
		s.insertBound(item)
		return Admission{Accepted: true}
	}
	if s.config.FirstComeFirstServed {
		return s.addByArrival(q, item)
	}
	if item.Requeued {
		s.insert(q, item)
		s.requeued = append(s.requeued, item.ID)
		return Admission{Accepted: true}
	}
	if late := now + s.estimateWait(q, &item) - item.DispatchBy; late > 0 {
		return Admission{RetryAfter: late}
	}
	admission := Admission{Accepted: true}
	if len(s.items) >= s.config.MaxWaiting {
		victim := s.victimFor(&item)
		if victim == nil {
			return Admission{RetryAfter: s.estimateDrainTime(len(s.items))}
		}
		s.Remove(victim.ID)
		admission.Shed = append(admission.Shed, victim.ID)
	}
	s.insert(q, item)
	return admission
}

// Remove removes a request, for example one that was cancelled, and reports
// whether it was waiting.
func (s *Scheduler) Remove(id ItemID) bool {
	item, ok := s.items[id]
	if !ok {
		return s.removeBound(id) != nil
	}
	delete(s.items, id)
	s.byKey[item.key()].remove(item)
	return true
}

// Expire removes the waiting requests whose deadline has been reached, and returns
// them in no particular order.
func (s *Scheduler) Expire(now time.Duration) []ItemID {
	var expired []ItemID
	for id, item := range s.items {
		if item.Deadline <= now {
			expired = append(expired, id)
		}
	}
	for _, item := range s.bound {
		if item.Deadline <= now {
			expired = append(expired, item.ID)
		}
	}
	for _, id := range expired {
		s.Remove(id)
	}
	return expired
}

// Next removes and returns the request to dispatch. It returns false if none
// waits that is not bound. The organisation is charged the average cost of a request of the class
// and tier; RecordCost corrects the charge.
func (s *Scheduler) Next(now time.Duration) (Item, bool) {
	if len(s.items) == 0 {
		s.saturated = false
		return Item{}, false
	}
	item := s.selectNext(now)
	s.Remove(item.ID)
	s.dispatch(now, item)
	return *item, true
}

// dispatch charges the organisation of a request that is dispatched.
func (s *Scheduler) dispatch(now time.Duration, item *Item) {
	s.observeDispatch(now)
	q := s.byKey[item.key()]
	item.charged = q.estimatedCost()
	q.charge(item.Organisation, item.charged)
	s.addCredit(q, item.charged)
}

// RecordCost replaces the charge for a request that Next returned by its measured
// cost. A request with a cost of zero is not charged and does not count for the
// average cost.
func (s *Scheduler) RecordCost(item Item, cost Cost) {
	q := s.byKey[item.key()]
	q.charge(item.Organisation, cost-item.charged)
	if cost > 0 {
		q.observeCost(cost)
	}
}

// RecordBlocked records that no upstream is free. If requests wait, the time from the
// last dispatch to the next one counts for the average dispatch interval.
func (s *Scheduler) RecordBlocked() {
	s.saturated = len(s.items) > 0
}

// WaitEstimate returns how long a new request is expected to wait. It is zero
// while the dispatch interval is not known.
func (s *Scheduler) WaitEstimate(class Class, tier Tier, organisation Organisation) time.Duration {
	return s.estimateWait(s.queue(class, tier), &Item{Class: class, Tier: tier, Organisation: organisation})
}

// selectNext returns the request to dispatch: the first requeued one; otherwise one
// of the queue with the most credit, if that suffices for a request; otherwise one
// of the highest tier, from the class with the least slack. If requests are served
// first come, first served, it is the first one to have arrived. At least one
// request must be waiting.
func (s *Scheduler) selectNext(now time.Duration) *Item {
	if s.config.FirstComeFirstServed {
		return s.popFirst(&s.arrivals)
	}
	if item := s.popFirst(&s.requeued); item != nil {
		return item
	}
	if q := s.guaranteedQueue(); q != nil {
		q.credit -= q.estimatedCost()
		return q.head()
	}
	var best *classQueue
	for _, q := range s.queues {
		if q.waiting == 0 {
			continue
		}
		if best == nil || q.tier < best.tier || q.tier == best.tier && q.slack(now) < best.slack(now) {
			best = q
		}
	}
	return best.head()
}

// guaranteedQueue returns the queue with waiting requests that has the most credit,
// counted in requests of average cost, or nil if none has credit for a request.
func (s *Scheduler) guaranteedQueue() *classQueue {
	var best *classQueue
	for _, q := range s.queues {
		if q.waiting == 0 || q.credit < q.estimatedCost() {
			continue
		}
		if best == nil || q.credit/q.estimatedCost() > best.credit/best.estimatedCost() {
			best = q
		}
	}
	return best
}

// addCredit adds the guaranteed share of the cost of a dispatched request to the
// credit of every other queue with waiting requests.
func (s *Scheduler) addCredit(dispatched *classQueue, cost Cost) {
	share := Cost(s.config.GuaranteedPercent) / percent
	for _, q := range s.queues {
		if q == dispatched || q.waiting == 0 {
			continue
		}
		q.credit = min(q.credit+share*cost, maxCreditRequests*q.estimatedCost())
	}
}

// victimFor returns the waiting request to shed for a new one, or nil if none may be
// shed. The victim is the newest request of the organisation with the most waiting
// requests in a queue of the lowest tier. Requeued requests are never shed: organisations
// and queues that have no other ones are passed over.
//
// Requests of tiers above the new request's are not shed. A request of the same tier
// is shed only if the new request's organisation has fewer requests waiting in the
// new request's class and tier, the new one included, than the victim's organisation
// has in the victim's class and tier, or has never queued a request of the new
// request's class and tier.
func (s *Scheduler) victimFor(item *Item) *Item {
	var (
		lowest  *classQueue
		largest *organisationQueue
	)
	for _, q := range s.queues {
		if q.waiting == 0 || q.tier < item.Tier || lowest != nil && q.tier <= lowest.tier {
			continue
		}
		if longest := q.longestSheddable(); longest != nil {
			lowest, largest = q, longest
		}
	}
	if lowest == nil {
		return nil
	}
	own := s.queue(item.Class, item.Tier).organisations[item.Organisation]
	if lowest.tier > item.Tier || own == nil || len(own.items)+1 < len(largest.items) {
		return largest.newest()
	}
	return nil
}

// estimateWait estimates how long a new request waits, from the number of requests
// that are dispatched before it. Requests of lower tiers do not count, so that no
// request is refused because of them. The estimate is at most the wait at the
// guaranteed share.
func (s *Scheduler) estimateWait(q *classQueue, item *Item) time.Duration {
	position := q.waitingCount(item.Organisation) + 1
	ahead := 0
	for _, other := range s.queues {
		switch {
		case other.tier < q.tier:
			ahead += other.waiting
		case other.tier == q.tier:
			ahead += other.countAhead(position, item.Organisation)
		}
	}
	return min(s.estimateDrainTime(ahead), s.estimateGuaranteedWait(q, position))
}

// estimateGuaranteedWait estimates how long the position-th request of an
// organisation waits if its queue is dispatched at its guaranteed share only.
func (s *Scheduler) estimateGuaranteedWait(q *classQueue, position int) time.Duration {
	ahead := q.countAhead(position, "")
	return s.estimateDrainTime(max(ahead, 1) * percent / max(1, s.config.GuaranteedPercent))
}

// estimateDrainTime estimates how long it takes to dispatch a number of requests.
func (s *Scheduler) estimateDrainTime(requests int) time.Duration {
	return time.Duration(float64(requests) * s.dispatchInterval * float64(time.Second))
}

// observeDispatch records a dispatch. It updates the average dispatch interval if the
// scheduler is saturated.
func (s *Scheduler) observeDispatch(now time.Duration) {
	if s.saturated && s.lastDispatchedAt > 0 {
		seconds := (now - s.lastDispatchedAt).Seconds()
		if s.dispatchInterval == 0 {
			s.dispatchInterval = seconds
		}
		s.dispatchInterval += intervalSampleWeight * (seconds - s.dispatchInterval)
	}
	s.lastDispatchedAt = now
}

// queue returns the queue of a class and tier and creates it if necessary.
func (s *Scheduler) queue(class Class, tier Tier) *classQueue {
	key := queueKey{class: class, tier: tier}
	q := s.byKey[key]
	if q == nil {
		q = newClassQueue(class, tier)
		s.byKey[key] = q
		s.queues = append(s.queues, q)
	}
	return q
}

func (s *Scheduler) insert(q *classQueue, item Item) {
	s.items[item.ID] = &item
	q.add(&item)
	if s.config.FirstComeFirstServed {
		s.arrivals = append(s.arrivals, item.ID)
	}
}

// addByArrival implements Add for Config.FirstComeFirstServed: it refuses a request
// only if the queue is full.
func (s *Scheduler) addByArrival(q *classQueue, item Item) Admission {
	if len(s.items) >= s.config.MaxWaiting {
		return Admission{RetryAfter: s.estimateDrainTime(len(s.items))}
	}
	s.insert(q, item)
	return Admission{Accepted: true}
}

// popFirst returns the first request in a list that still waits, or nil if none
// does. It removes this request and those before it from the list.
func (s *Scheduler) popFirst(list *[]ItemID) *Item {
	for len(*list) > 0 {
		id := (*list)[0]
		*list = (*list)[1:]
		if item, ok := s.items[id]; ok {
			return item
		}
	}
	return nil
}
