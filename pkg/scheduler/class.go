package scheduler

import "time"

type (
	// queueKey identifies a queue. The class alone does not: organisations with
	// tiers of their own give requests of one class different tiers.
	queueKey struct {
		class Class
		tier  Tier
	}

	// classQueue holds the waiting requests of one class and tier. Organisations
	// share it by fair queueing: the next request is one of the organisation that
	// has been charged least.
	classQueue struct {
		class   Class
		tier    Tier
		waiting int
		// credit is what the queue has not used yet of its guaranteed share, as a cost.
		credit Cost
		// averageCost is the exponential moving average of the measured cost of a
		// request, zero before the first measurement.
		averageCost   Cost
		organisations map[Organisation]*organisationQueue
		// virtualTime is the highest value so far of the smallest charge among the
		// waiting organisations, as in start-time fair queueing. The charge of an
		// organisation that starts to wait is raised to it, so that the organisation
		// gains nothing from having been idle.
		virtualTime Cost
	}

	// organisationQueue holds the waiting requests of one organisation in one
	// classQueue, in order of arrival.
	organisationQueue struct {
		name  Organisation
		items []*Item
		// charged is the cost of the organisation's dispatched requests. It is raised
		// to the virtual time whenever the organisation starts to wait.
		charged Cost
	}
)

func (i *Item) key() queueKey { return queueKey{class: i.Class, tier: i.Tier} }

func newClassQueue(class Class, tier Tier) *classQueue {
	return &classQueue{class: class, tier: tier, organisations: map[Organisation]*organisationQueue{}}
}

func (q *classQueue) add(item *Item) {
	o := q.organisation(item.Organisation)
	if len(o.items) == 0 {
		o.charged = max(o.charged, q.advanceVirtualTime())
	}
	o.items = append(o.items, item)
	q.waiting++
}

func (q *classQueue) remove(item *Item) {
	o := q.organisations[item.Organisation]
	for i, other := range o.items {
		if other == item {
			o.items = append(o.items[:i], o.items[i+1:]...)
			q.waiting--
			return
		}
	}
}

// organisation returns the queue of an organisation and creates it if necessary.
func (q *classQueue) organisation(name Organisation) *organisationQueue {
	o := q.organisations[name]
	if o == nil {
		o = &organisationQueue{name: name, charged: q.advanceVirtualTime()}
		q.organisations[name] = o
	}
	return o
}

// advanceVirtualTime raises the virtual time to the smallest charge among the
// waiting organisations, if that is higher, and returns the virtual time.
func (q *classQueue) advanceVirtualTime() Cost {
	if o := q.leastCharged(); o != nil {
		q.virtualTime = max(q.virtualTime, o.charged)
	}
	return q.virtualTime
}

// leastCharged returns the organisation with the smallest charge of those that have
// waiting requests, or nil if no request waits.
func (q *classQueue) leastCharged() *organisationQueue {
	var best *organisationQueue
	for _, o := range q.organisations {
		if len(o.items) == 0 {
			continue
		}
		if best == nil || o.charged < best.charged || o.charged == best.charged && o.name < best.name {
			best = o
		}
	}
	return best
}

// longestSheddable returns the queue of the organisation with the most waiting requests, among those
// with a request that was not requeued, or nil if there is none.
func (q *classQueue) longestSheddable() *organisationQueue {
	var best *organisationQueue
	for _, o := range q.organisations {
		longer := best == nil || len(o.items) > len(best.items) || len(o.items) == len(best.items) && o.name < best.name
		if longer && o.newest() != nil {
			best = o
		}
	}
	return best
}

// head returns the next request, the first one of the organisation that has been
// charged least, and raises the virtual time to that organisation's charge, if that
// is higher. It panics if no request waits.
func (q *classQueue) head() *Item {
	o := q.leastCharged()
	q.virtualTime = max(q.virtualTime, o.charged)
	return o.items[0]
}

// slack returns the time left until the next request must be dispatched. It is
// negative if the request is late. It panics if no request waits.
func (q *classQueue) slack(now time.Duration) time.Duration {
	return q.leastCharged().items[0].DispatchBy - now
}

// charge adds a cost, which may be negative, to an organisation's charge.
func (q *classQueue) charge(name Organisation, cost Cost) {
	q.organisation(name).charged += cost
}

// estimatedCost returns the average cost of a request, or 1 if none was measured yet.
func (q *classQueue) estimatedCost() Cost {
	if q.averageCost == 0 {
		return 1
	}
	return q.averageCost
}

// observeCost updates the average cost with the measured cost of a request.
func (q *classQueue) observeCost(cost Cost) {
	if q.averageCost == 0 {
		q.averageCost = max(cost, 1)
		return
	}
	q.averageCost = max(q.averageCost+costSampleWeight*(cost-q.averageCost), 1)
}

// waitingCount returns the number of an organisation's waiting requests.
func (q *classQueue) waitingCount(name Organisation) int {
	if o := q.organisations[name]; o != nil {
		return len(o.items)
	}
	return 0
}

// countAhead estimates how many requests are dispatched before the position-th
// request of an organisation (counted from 1) if organisations take turns: up to
// position requests of each other organisation, and the position-1 earlier ones of
// the organisation itself. If organisation is empty, it counts up to position
// requests of every organisation. The result is the same if the request's own
// organisation has position-1 requests in this queue.
func (q *classQueue) countAhead(position int, organisation Organisation) int {
	count := position - 1
	if organisation == "" {
		count = 0
	}
	for _, o := range q.organisations {
		if organisation != "" && o.name == organisation {
			continue
		}
		count += min(len(o.items), position)
	}
	return count
}

// newest returns the request that arrived last and has not been requeued, or nil
// if there is none.
func (o *organisationQueue) newest() *Item {
	for i := len(o.items) - 1; i >= 0; i-- {
		if !o.items[i].Requeued {
			return o.items[i]
		}
	}
	return nil
}
