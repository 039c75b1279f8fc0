package hedger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/retrier"
)

// The tests of this file play hosts and the upstreams of one service without a network. A request
// goes to the better one of two random upstreams, waits there for one of its slots, and runs for a time that is
// exponentially distributed; a slow machine takes longer by a factor.

const (
	testWindow    = 10 * time.Second
	testAllowance = 20.0
	testSlots     = 6
	meanService   = 40 * time.Millisecond
)

type (
	// scenario is what is played.
	scenario struct {
		hosts, upstreams int
		// ratio is the one of copies, 0 for none.
		ratio float64
		// perSecond is the number of requests, burst the one in the middle third of the run.
		perSecond, burst float64
		length           time.Duration
		// factor returns by how much work takes longer at an upstream.
		factor func(now time.Duration, upstream int) float64
	}

	// result is what came of it.
	result struct {
		took               []time.Duration
		requests, copies   int
		copiesInBurst, won int
		// windows holds the requests and copies by window.
		windows map[int]*[2]int
	}

	event struct {
		at  time.Duration
		run func()
	}

	events []event

	run struct {
		request  *request
		sentAt   time.Duration
		upstream *upstream
		started  bool
		ended    bool
	}

	request struct {
		host    int
		arrived time.Duration
		runs    []*run
		done    bool
	}

	upstream struct {
		id      int
		running int
		queue   []*run
	}

	fleet struct {
		scenario
		result
		now       time.Duration
		events    events
		random    *rand.Rand
		hedgers   []*Hedger
		budgets   []*retrier.SharedBudget
		upstreams []*upstream
	}
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func play(s scenario, seed uint64) *result {
	f := &fleet{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), result: result{windows: map[int]*[2]int{}}}
	for range s.hosts {
		f.hedgers = append(f.hedgers, New(Config{Ratio: s.ratio, Quantile: 0.95, MinimumDelay: 5 * time.Millisecond}))
		f.budgets = append(f.budgets, retrier.NewSharedBudget(0.1, testAllowance, testWindow))
	}
	for id := range s.upstreams {
		f.upstreams = append(f.upstreams, &upstream{id: id})
	}
	f.confirm()
	f.after(0, f.arrive)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	slices.Sort(f.took)
	return &f.result
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{at: f.now + d, run: run})
}

func (f *fleet) confirm() {
	for _, b := range f.budgets {
		b.Confirm(f.now, f.hosts)
	}
	if f.now < f.length {
		f.after(time.Second, f.confirm)
	}
}

func (f *fleet) bursting() bool { return f.burst > 0 && f.now > f.length/3 && f.now < f.length*2/3 }

func (f *fleet) window() *[2]int {
	n := int(f.now / testWindow)
	if f.windows[n] == nil {
		f.windows[n] = &[2]int{}
	}
	return f.windows[n]
}

func (f *fleet) arrive() {
	if f.now >= f.length {
		return
	}
	rate := f.perSecond
	if f.bursting() {
		rate = f.burst
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	r := &request{host: f.random.IntN(f.hosts), arrived: f.now}
	f.requests++
	f.window()[0]++
	h := f.hedgers[r.host]
	h.RecordRequest("p")
	f.budgets[r.host].RecordRequest(f.now)
	f.send(r, f.choose(nil))
	if delay, known := h.Delay(f.now, "p", "c"); known {
		f.after(delay, func() { f.copyOf(r) })
	}
}

// copyOf sends a copy of a request that has not been answered, if it is allowed.
func (f *fleet) copyOf(r *request) {
	if r.done {
		return
	}
	load := Load{Others: len(f.upstreams) - 1}
	for _, u := range f.upstreams {
		load.Running += u.running
		load.Waiting += len(u.queue)
		load.Slots += testSlots
	}
	// What waits at an upstream is reported as running there.
	load.Running, load.Waiting = load.Running+load.Waiting, 0
	take := func() bool { return f.budgets[r.host].Take(f.now) }
	if f.hedgers[r.host].Decide(f.now, Request{Pool: "p", Class: "c", TimeLeft: time.Second, AttemptsLeft: 1}, load, take) != Sent {
		return
	}
	f.copies++
	f.window()[1]++
	if f.bursting() {
		f.copiesInBurst++
	}
	f.send(r, f.choose(r.runs[0].upstream))
}

// choose returns the better one of two random upstreams other than one.
func (f *fleet) choose(avoided *upstream) *upstream {
	var best *upstream
	for range 2 {
		u := f.upstreams[f.random.IntN(len(f.upstreams))]
		for u == avoided {
			u = f.upstreams[f.random.IntN(len(f.upstreams))]
		}
		if best == nil || u.running+len(u.queue) < best.running+len(best.queue) {
			best = u
		}
	}
	return best
}

func (f *fleet) send(r *request, u *upstream) {
	n := &run{request: r, sentAt: f.now, upstream: u}
	r.runs = append(r.runs, n)
	u.queue = append(u.queue, n)
	f.start(u)
}

func (f *fleet) start(u *upstream) {
	for u.running < testSlots && len(u.queue) > 0 {
		n := u.queue[0]
		u.queue = u.queue[1:]
		if n.ended {
			continue
		}
		n.started = true
		u.running++
		service := f.random.ExpFloat64() * float64(meanService) * f.factor(f.now, u.id)
		f.after(time.Duration(service), func() { f.answer(n) })
	}
}

func (f *fleet) answer(n *run) {
	if n.ended {
		return
	}
	r := n.request
	r.done = true
	f.took = append(f.took, f.now-r.arrived)
	if n != r.runs[0] {
		f.won++
	}
	h := f.hedgers[r.host]
	for _, other := range r.runs {
		if other == n {
			h.RecordResponse(f.now, "p", "c", f.now-n.sentAt)
		} else {
			h.RecordUnanswered(f.now, "p", "c", f.now-other.sentAt)
		}
		other.ended = true
		if other.started {
			other.upstream.running--
		}
		f.start(other.upstream)
	}
}

func (r *result) quantile(q float64) time.Duration { return r.took[int(q*float64(len(r.took)-1))] }

func (r *result) String() string {
	return fmt.Sprintf("p50 %v p99 %v p99.9 %v, %.2f %% more arrivals, %d of %d copies won",
		r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.quantile(0.999).Round(time.Millisecond),
		100*float64(r.copies)/float64(r.requests), r.won, r.copies)
}

// oneSlow makes the first upstream slow all the time.
func oneSlow(_ time.Duration, upstream int) float64 {
	if upstream == 0 {
		return 5
	}
	return 1
}

// briefSlowdowns slows 15 % of the machines down by 2.5 for 0.4 s at a time.
func briefSlowdowns(now time.Duration, upstream int) float64 {
	slot := uint64(now / (400 * time.Millisecond))
	if rand.New(rand.NewPCG(slot, uint64(upstream))).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// TestCopiesShortenTail guards against copies that do not help, or that cost more than the ratio, at
// all sizes. The sum over hosts keeps to the ratio, and in each window to the retry budget.
func TestCopiesShortenTail(t *testing.T) {
	const ratio = 0.05
	tests := map[string]struct {
		factor func(time.Duration, int) float64
		// most is the largest 99th percentile with copies, as a share of the one without.
		most float64
	}{
		"one slow upstream of eight": {factor: oneSlow, most: 0.9},
		"brief slowdowns":            {factor: briefSlowdowns, most: 0.9},
	}
	for name, test := range tests {
		s := scenario{hosts: 1, upstreams: 8, perSecond: 200, length: 3 * time.Minute, factor: test.factor}
		without := play(s, 7)
		t.Logf("%s, without copies: %v", name, without)
		s.ratio = ratio
		for _, s.hosts = range []int{2, 7, 88, 194} {
			t.Run(fmt.Sprint(name, "/", s.hosts, " hosts"), func(t *testing.T) {
				with := play(s, 7)
				t.Log(with)
				if float64(with.quantile(0.99)) > test.most*float64(without.quantile(0.99)) {
					t.Errorf("p99 %v with copies, %v without", with.quantile(0.99), without.quantile(0.99))
				}
				with.checkBudgets(t, ratio)
			})
		}
	}
}

func (r *result) checkBudgets(t *testing.T, ratio float64) {
	t.Helper()
	if float64(r.copies) > ratio*float64(r.requests) {
		t.Errorf("%d copies of %d requests, want at most %v of them", r.copies, r.requests, ratio)
	}
	for n, w := range r.windows {
		if float64(w[1]) > 0.1*float64(w[0])+testAllowance {
			t.Errorf("%d copies of %d requests in window %d, want at most a tenth and %v", w[1], w[0], n, testAllowance)
		}
	}
}

// TestNoCopiesInBurst guards against copies while all upstreams are busy: they would delay everybody.
func TestNoCopiesInBurst(t *testing.T) {
	s := scenario{upstreams: 8, ratio: 0.05, perSecond: 200, burst: 1300, length: 2 * time.Minute, factor: oneSlow}
	for _, s.hosts = range []int{2, 7, 88, 194} {
		t.Run(fmt.Sprint(s.hosts, " hosts"), func(t *testing.T) {
			with := play(s, 9)
			t.Logf("%v, %d in the burst", with, with.copiesInBurst)
			// The queues take a moment to fill.
			if limit := with.requests / 1000; with.copiesInBurst > limit {
				t.Errorf("%d copies in the burst, want at most %d", with.copiesInBurst, limit)
			}
			with.checkBudgets(t, s.ratio)
		})
	}
}
