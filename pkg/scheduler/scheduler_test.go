package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const (
	longDeadline          = time.Hour
	testMaxWaiting        = 100
	testGuaranteedPercent = 5
)

func newTestScheduler() *Scheduler {
	return New(Config{MaxWaiting: testMaxWaiting, GuaranteedPercent: testGuaranteedPercent})
}

func item(id int, class Class, tier Tier, organisation Organisation) Item {
	return Item{
		ID: ItemID(id), Class: class, Tier: tier, Organisation: organisation,
		DispatchBy: longDeadline, Deadline: longDeadline,
	}
}

// TestSheddingStartsAtLowestTier adds random requests to a full queue. A request
// may be refused or shed only if no request of a lower tier waits.
func TestSheddingStartsAtLowestTier(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		s := newTestScheduler()
		tiers := map[ItemID]Tier{}
		for id := range 2000 {
			tier := Tier(1 + random.Intn(4))
			it := item(id, Class(fmt.Sprintf("class-%d", tier)), tier, Organisation(fmt.Sprint(random.Intn(3))))
			lowest := Tier(0)
			for _, waiting := range tiers {
				lowest = max(lowest, waiting)
			}
			admission := s.Add(0, it)
			if !admission.Accepted && lowest > tier {
				t.Fatalf("seed %d: tier %d was refused while tier %d waited", seed, tier, lowest)
			}
			for _, shed := range admission.Shed {
				if tiers[shed] < lowest || tiers[shed] < tier {
					t.Fatalf("seed %d: tier %d was shed for tier %d while tier %d waited", seed, tiers[shed], tier, lowest)
				}
				delete(tiers, shed)
			}
			if admission.Accepted {
				tiers[it.ID] = tier
			}
			if random.Intn(4) == 0 {
				if next, found := s.Next(0); found {
					delete(tiers, next.ID)
				}
			}
		}
	}
}

// TestNoClassStarves keeps requests of a high tier waiting all the time. The two
// classes of lower tiers must still get at least 90 % of their guaranteed share of
// the dispatched cost, and the high tier at least 85 % of the dispatched cost.
func TestNoClassStarves(t *testing.T) {
	s := newTestScheduler()
	costs := map[Class]Cost{"high": 100, "middle": 400, "low": 50}
	tiers := map[Class]Tier{"high": 1, "middle": 2, "low": 3}
	spent := map[Class]Cost{}
	var total Cost
	id := 0
	for range 20_000 {
		for class, tier := range tiers {
			for q := s.queue(class, tier); q.waiting < 5; {
				id++
				s.Add(0, item(id, class, tier, "one"))
			}
		}
		next, _ := s.Next(0)
		s.RecordCost(next, costs[next.Class])
		spent[next.Class] += costs[next.Class]
		total += costs[next.Class]
	}
	for _, class := range []Class{"middle", "low"} {
		if share := float64(spent[class] / total); share < 0.9*testGuaranteedPercent/percent {
			t.Errorf("class %s got %.1f %% of the cost, want at least 0.9 of the guaranteed %d %%", class, 100*share, testGuaranteedPercent)
		}
	}
	if share := float64(spent["high"] / total); share < 1-3*float64(testGuaranteedPercent)/percent {
		t.Errorf("the highest tier got only %.1f %% of the cost, want at least 85 %%", 100*share)
	}
}

// TestOrganisationsShareByCost lets one organisation send requests that cost far
// more than those of the others. Each organisation must get at least 80 % of its
// equal share of the dispatched cost.
func TestOrganisationsShareByCost(t *testing.T) {
	s := newTestScheduler()
	costs := map[Organisation]Cost{"flood": 900, "small": 30, "middle": 200}
	spent := map[Organisation]Cost{}
	id := 0
	for range 30_000 {
		for o := range costs {
			for q := s.queue("c", 1); q.waitingCount(o) < 10; {
				id++
				s.Add(0, item(id, "c", 1, o))
			}
		}
		next, _ := s.Next(0)
		s.RecordCost(next, costs[next.Organisation])
		spent[next.Organisation] += costs[next.Organisation]
	}
	var total Cost
	for _, c := range spent {
		total += c
	}
	for o, c := range spent {
		if share := float64(c/total) * float64(len(spent)); share < 0.8 {
			t.Errorf("organisation %s got only %.2f of its equal share, want at least 0.8", o, share)
		}
	}
}

// TestIdleOrganisationGainsNothing guards against an organisation that returns after
// a long idle time with a low charge, so that its requests go before all others.
func TestIdleOrganisationGainsNothing(t *testing.T) {
	s := newTestScheduler()
	id := 0
	add := func(o Organisation) {
		id++
		s.Add(0, item(id, "c", 1, o))
	}
	add("returning")
	first, _ := s.Next(0)
	s.RecordCost(first, 1)
	for range 1000 {
		add("steady")
		next, _ := s.Next(0)
		s.RecordCost(next, 100)
	}
	inARow := 0
	for range 20 {
		add("returning")
		add("steady")
	}
	for {
		next, found := s.Next(0)
		if !found || next.Organisation == "steady" {
			break
		}
		inARow++
		s.RecordCost(next, 100)
	}
	if inARow > 2 {
		t.Errorf("the returning organisation got %d requests in a row, want at most 2", inARow)
	}
}

// TestRefusedWhenLate checks that a request that cannot be dispatched in time is
// refused at once, with a time after which to retry.
func TestRefusedWhenLate(t *testing.T) {
	const interval = 100 * time.Millisecond
	build := func() (*Scheduler, time.Duration) {
		s := newTestScheduler()
		now := time.Second
		for id := range 60 {
			s.Add(now, item(id, "high", 1, "one"))
		}
		for range 40 {
			s.RecordBlocked()
			now += interval
			s.Next(now)
		}
		return s, now
	}
	tests := map[string]struct {
		class          Class
		tier           Tier
		dispatchWithin time.Duration
		accepted       bool
	}{
		"in time":  {class: "high", tier: 1, dispatchWithin: 4 * time.Second, accepted: true},
		"too late": {class: "high", tier: 1, dispatchWithin: time.Second},
		"lower tier is refused because of the higher one": {class: "low", tier: 2, dispatchWithin: time.Second},
		// Tier 0 is higher than all other tiers of this test.
		"higher tier does not wait for the lower ones": {class: "top", tier: 0, dispatchWithin: 200 * time.Millisecond, accepted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := build()
			it := item(1000, test.class, test.tier, "one")
			it.DispatchBy = now + test.dispatchWithin
			admission := s.Add(now, it)
			if admission.Accepted != test.accepted {
				t.Fatalf("Accepted is %t, want %t", admission.Accepted, test.accepted)
			}
			if !admission.Accepted && (admission.RetryAfter <= 0 || admission.RetryAfter > 10*time.Second) {
				t.Errorf("RetryAfter is %v, want more than 0 and at most 10s", admission.RetryAfter)
			}
		})
	}
}

// TestRequeuedRequestsGoFirst adds a requeued request of the lowest tier to a full
// queue, after its DispatchBy. It must be neither refused nor shed, and be dispatched
// before all others.
func TestRequeuedRequestsGoFirst(t *testing.T) {
	s := newTestScheduler()
	for id := range testMaxWaiting {
		s.Add(0, item(id, "high", 1, "one"))
	}
	requeued := item(1000, "low", 3, "two")
	requeued.DispatchBy = -time.Second
	requeued.Requeued = true
	if admission := s.Add(0, requeued); !admission.Accepted || len(admission.Shed) > 0 {
		t.Fatalf("requeued request: Admission is %v, want accepted without shedding", admission)
	}
	// Tier 0 is higher than all other tiers of this test.
	if admission := s.Add(0, item(1001, "top", 0, "one")); len(admission.Shed) > 0 && admission.Shed[0] == requeued.ID {
		t.Error("the requeued request was shed")
	}
	if next, _ := s.Next(0); next.ID != requeued.ID {
		t.Errorf("request %d was dispatched before the requeued one", next.ID)
	}
}

func TestExpire(t *testing.T) {
	s := newTestScheduler()
	expiring := item(1, "c", 1, "one")
	expiring.Deadline = time.Second
	s.Add(0, expiring)
	s.Add(0, item(2, "c", 1, "one"))
	if expired := s.Expire(time.Second); len(expired) != 1 || expired[0] != 1 {
		t.Errorf("expired requests: %v, want [1]", expired)
	}
	if s.Waiting() != 1 {
		t.Errorf("%d requests wait, want 1", s.Waiting())
	}
}

func BenchmarkAddNext(b *testing.B) {
	s := New(Config{MaxWaiting: 10_000, GuaranteedPercent: testGuaranteedPercent})
	id := 0
	for b.Loop() {
		id++
		s.Add(0, item(id, Class(fmt.Sprint(id%6)), Tier(id%6), Organisation(fmt.Sprint(id%100))))
		if s.Waiting() > 500 {
			next, _ := s.Next(0)
			s.RecordCost(next, 100)
		}
	}
}

func ExampleScheduler() {
	s := New(Config{MaxWaiting: 10, GuaranteedPercent: 3})
	s.Add(0, Item{ID: 1, Class: "batch", Tier: 3, Organisation: "a", DispatchBy: time.Minute, Deadline: time.Minute})
	s.Add(0, Item{ID: 2, Class: "chat", Tier: 1, Organisation: "a", DispatchBy: time.Minute, Deadline: time.Minute})
	next, _ := s.Next(0)
	fmt.Println(next.Class)
	// Output: chat
}

// TestTiersOfOneClass queues requests of one class whose organisations have tiers
// of their own. It guards against a queue that takes the tier of its latest
// request, so that requests are dispatched and shed in the wrong order of tiers.
func TestTiersOfOneClass(t *testing.T) {
	tests := map[string][]Tier{
		"highest tier last":          {3, 3, 1},
		"highest tier first":         {1, 3, 3},
		"highest tier in the middle": {3, 1, 2},
		"two of the highest tier":    {2, 1, 3, 1},
	}
	for name, tiers := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Config{MaxWaiting: len(tiers)})
			for i, tier := range tiers {
				s.Add(0, item(i, "c", tier, Organisation(fmt.Sprint("o", i))))
			}
			victim := s.victimFor(&Item{Class: "c", Tier: 1, Organisation: "new"})
			if want := slices.Max(tiers); victim == nil || victim.Tier != want {
				t.Errorf("victim is %v, want a request of tier %d", victim, want)
			}
			for _, want := range slices.Sorted(slices.Values(tiers)) {
				if next, _ := s.Next(0); next.Tier != want {
					t.Errorf("request of tier %d was dispatched, want tier %d", next.Tier, want)
				}
			}
		})
	}
}

// TestFullQueueWithRequeuedRequests guards against a request that is refused because the requests of
// the lowest tier in a full queue were requeued and may not be shed, although others may be.
func TestFullQueueWithRequeuedRequests(t *testing.T) {
	waiting := func(id ItemID, tier Tier, organisation Organisation, requeued bool) Item {
		return Item{ID: id, Class: Class(fmt.Sprint("class-", tier)), Tier: tier, Organisation: organisation, Requeued: requeued, DispatchBy: time.Hour, Deadline: time.Hour}
	}
	tests := map[string]struct {
		waiting []Item
		tier    Tier
		// shed is the request that makes room; zero if the new one is refused.
		shed ItemID
	}{
		"the lowest tier is requeued": {waiting: []Item{waiting(1, 2, "a", false), waiting(2, 2, "a", false), waiting(3, 3, "a", true)}, tier: 1, shed: 2},
		"the organisation with most there is requeued": {
			waiting: []Item{waiting(1, 3, "a", true), waiting(2, 3, "a", true), waiting(3, 3, "b", false)}, tier: 1, shed: 3,
		},
		"everything below is requeued": {waiting: []Item{waiting(1, 1, "a", false), waiting(2, 2, "a", true), waiting(3, 3, "a", true)}, tier: 1},
		"all are requeued":             {waiting: []Item{waiting(1, 2, "a", true), waiting(2, 2, "b", true), waiting(3, 3, "a", true)}, tier: 1},
		"only higher tiers are left":   {waiting: []Item{waiting(1, 1, "a", false), waiting(2, 1, "a", false), waiting(3, 3, "a", true)}, tier: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Config{MaxWaiting: len(test.waiting)})
			for _, item := range test.waiting {
				if !s.Add(0, item).Accepted {
					t.Fatalf("request %d is refused", item.ID)
				}
			}
			admission := s.Add(0, waiting(9, test.tier, "a", false))
			switch {
			case test.shed == 0 && (admission.Accepted || len(admission.Shed) > 0):
				t.Errorf("admission %+v, want a refusal", admission)
			case test.shed != 0 && (!admission.Accepted || !slices.Equal(admission.Shed, []ItemID{test.shed})):
				t.Errorf("admission %+v, want request %d shed", admission, test.shed)
			}
		})
	}
}

// TestBoundRequests guards against requests that wait for some of the upstreams only and hold up
// the others, are dispatched by Next, shed, refused, or never expire.
func TestBoundRequests(t *testing.T) {
	s := New(Config{MaxWaiting: 1, GuaranteedPercent: 3})
	bound := func(id ItemID, tier Tier, deadline time.Duration) Item {
		return Item{ID: id, Class: "c", Tier: tier, Organisation: "o", Deadline: deadline, Bound: true}
	}
	for _, item := range []Item{bound(1, 2, time.Hour), bound(2, 2, time.Second), bound(3, 1, time.Hour)} {
		if !s.Add(0, item).Accepted {
			t.Fatalf("bound request %d was refused", item.ID)
		}
	}
	if !s.Add(0, Item{ID: 4, Class: "c", Tier: 3, Organisation: "o", DispatchBy: time.Hour, Deadline: time.Hour}).Accepted {
		t.Error("a request was refused because of bound ones")
	}
	if got := s.Bound(); len(got) != 3 || got[0] != 3 || got[1] != 1 || got[2] != 2 {
		t.Errorf("bound requests %v, want those of the highest tier first, in order of arrival", got)
	}
	if item, found := s.Next(0); !found || item.ID != 4 {
		t.Errorf("Next returns %d, %t; want the request that is not bound", item.ID, found)
	}
	if _, found := s.Next(0); found {
		t.Error("Next returns a bound request")
	}
	if got := s.Expire(2 * time.Second); len(got) != 1 || got[0] != 2 {
		t.Errorf("expired %v, want the request whose deadline has passed", got)
	}
	item, found := s.Take(0, 3)
	if !found || item.ID != 3 {
		t.Errorf("Take returns %d, %t; want request 3", item.ID, found)
	}
	s.RecordCost(item, 10)
	if _, again := s.Take(0, 3); again || !s.Remove(1) || s.Waiting() != 0 {
		t.Errorf("%d requests wait, want none", s.Waiting())
	}
}
