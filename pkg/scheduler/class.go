package scheduler

import "time"

type (
	// queueKey tells queues apart: an organisation's tier may differ from its class's.
	queueKey struct {
		class Class
		tier  Tier
	}

	// classQueue holds the waiting requests of one class and tier by organisation.
	classQueue struct {
		name          Class
		tier          Tier
		waiting       int
		credit        Cost
		average       Cost
		organisations map[Organisation]*organisationQueue
		// virtual is the smallest cost that any waiting organisation was charged
		// with; an organisation that begins to wait starts from there.
		virtual Cost
	}

	organisationQueue struct {
		name    Organisation
		items   []*Item
		charged Cost
	}
)

func (i *Item) key() queueKey { return queueKey{class: i.Class, tier: i.Tier} }

func newClassQueue(name Class, tier Tier) *classQueue {
	return &classQueue{name: name, tier: tier, organisations: map[Organisation]*organisationQueue{}}
}

func (q *classQueue) add(item *Item) {
	o := q.organisation(item.Organisation)
	if len(o.items) == 0 {
		o.charged = max(o.charged, q.floor())
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

func (q *classQueue) organisation(name Organisation) *organisationQueue {
	o := q.organisations[name]
	if o == nil {
		o = &organisationQueue{name: name, charged: q.floor()}
		q.organisations[name] = o
	}
	return o
}

// floor returns the smallest charge among the waiting organisations.
func (q *classQueue) floor() Cost {
	if o := q.least(); o != nil {
		q.virtual = max(q.virtual, o.charged)
	}
	return q.virtual
}

// least returns the waiting organisation with the smallest charge, or nil.
func (q *classQueue) least() *organisationQueue {
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

// largest returns the organisation with the most waiting requests.
func (q *classQueue) largest() *organisationQueue {
	var best *organisationQueue
	for _, o := range q.organisations {
		if best == nil || len(o.items) > len(best.items) || len(o.items) == len(best.items) && o.name < best.name {
			best = o
		}
	}
	return best
}

// head returns the first request of the organisation that was served least.
func (q *classQueue) head() *Item {
	o := q.least()
	q.virtual = max(q.virtual, o.charged)
	return o.items[0]
}

// urgency returns the time left until the next request must start.
func (q *classQueue) urgency(now time.Duration) time.Duration {
	return q.least().items[0].StartBy - now
}

func (q *classQueue) charge(name Organisation, cost Cost) {
	q.organisation(name).charged += cost
}

// averageCost returns the average cost of a request, 1 before any was measured.
func (q *classQueue) averageCost() Cost {
	if q.average == 0 {
		return 1
	}
	return q.average
}

func (q *classQueue) learnCost(cost Cost) {
	if q.average == 0 {
		q.average = max(cost, 1)
		return
	}
	q.average = max(q.average+costSmoothing*(cost-q.average), 1)
}

func (q *classQueue) countOf(name Organisation) int {
	if o := q.organisations[name]; o != nil {
		return len(o.items)
	}
	return 0
}

// within counts the requests dispatched before the position-th of an
// organisation, when organisations take turns.
func (q *classQueue) within(position int, except Organisation) int {
	count := position - 1
	if except == "" {
		count = 0
	}
	for _, o := range q.organisations {
		if except != "" && o.name == except {
			continue
		}
		count += min(len(o.items), position)
	}
	return count
}

// newest returns the request that began to wait last and has not begun before, or nil.
func (o *organisationQueue) newest() *Item {
	for i := len(o.items) - 1; i >= 0; i-- {
		if !o.items[i].Requeued {
			return o.items[i]
		}
	}
	return nil
}
