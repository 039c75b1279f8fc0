package warmer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/apportioner"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	testUpstream = registrar.UpstreamID("engine")
	testRate     = apportioner.Rate(5.2)
	// allowedInSecond is 5.2 x 1.5 + 5, rounded down.
	allowedInSecond = 12
	testStep        = 20 * time.Millisecond
)

var (
	testBounds = Bounds{Overrun: 1.5, Tolerance: 5}
	testStart  = time.UnixMilli(1_790_000_000_123)
)

type (
	// fleet describes hosts that send requests to one upstream.
	fleet struct {
		hosts int
		// wanted is the rate of requests, over all hosts, that would go to the cold upstream. A request
		// waits for patience.
		wanted   float64
		patience time.Duration
		// skew is the largest deviation of a host's agreed clock either way.
		skew time.Duration
		// warmRate is the rate at which all hosts together send before the upstream turns cold; zero if
		// it is new. They learn that in learnTime.
		warmRate  float64
		learnTime time.Duration
		// cutOff is the part of the hosts that hear of no others from cutOffAt on, before or after the
		// upstream turns cold.
		cutOff   float64
		cutOffAt time.Duration
		// growth is the number of hosts that come after the others are cut off, so that these have a
		// list that is too short.
		growth int
	}

	fleetHost struct {
		*Warmer
		id             apportioner.Host
		offset         time.Duration
		learnAt        time.Duration
		cutOff, joined bool
		waiting        []time.Duration
	}
)

const (
	// turnCold is when the upstream turns cold: long after hosts that were cut off ceased to count.
	turnCold = 150 * time.Second
	// coldTime is the time for which it is cold.
	coldTime = 15 * time.Second
	// heartbeat is the time between two reports.
	heartbeat = 600 * time.Millisecond
)

func (f fleet) build(r *rand.Rand) []*fleetHost {
	var hosts []*fleetHost
	for n := range f.hosts + f.growth {
		h := &fleetHost{id: apportioner.HostOf(fmt.Sprint("host-", n)), cutOff: n < int(f.cutOff*float64(f.hosts)), joined: n < f.hosts}
		h.Warmer = New(h.id, testBounds)
		h.learnAt = turnCold + time.Duration(r.Float64()*float64(f.learnTime))
		h.offset = time.Duration((2*r.Float64() - 1) * float64(f.skew))
		hosts = append(hosts, h)
	}
	return hosts
}

// play simulates a cold upstream for coldTime, and returns the times of the requests to it in order,
// from two seconds before it turns cold.
func (f fleet) play(seed uint64) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 7))
	hosts := f.build(r)
	var arrivals []time.Duration
	list := func(now time.Duration) {
		var ids []apportioner.Host
		for _, h := range hosts {
			if h.joined = h.joined || now > f.cutOffAt; h.joined && (!h.cutOff || now < f.cutOffAt) {
				ids = append(ids, h.id)
			}
		}
		for _, h := range hosts {
			if h.joined && (!h.cutOff || now < f.cutOffAt) {
				h.SetHosts(Moment{Agreed: testStart.Add(now + h.offset), Local: now}, ids)
			}
		}
	}
	for now := time.Duration(0); now < turnCold-2*time.Second; now += 5 * time.Second {
		list(now)
	}
	warmDue := 0.0
	for now := turnCold - 2*time.Second; now < turnCold+coldTime; now += testStep {
		if now%(500*time.Millisecond) == 0 {
			list(now)
		}
		warmDue += f.warmRate * testStep.Seconds()
		for range int(warmDue) {
			// Before it is known to be cold, requests are sent as they come.
			if h := hosts[r.IntN(len(hosts))]; now < h.learnAt {
				arrivals = append(arrivals, now)
			}
			warmDue--
		}
		for _, h := range hosts {
			f.send(r, h, now, &arrivals)
		}
	}
	return arrivals
}

// send has a host send what it may at a time.
func (f fleet) send(r *rand.Rand, h *fleetHost, now time.Duration, arrivals *[]time.Duration) {
	at := Moment{Agreed: testStart.Add(now + h.offset), Local: now}
	if now < h.learnAt {
		if f.warmRate > 0 {
			h.Observe(at, Report{Upstream: testUpstream, EndsAt: now, MadeAt: now})
		}
		return
	}
	if now-h.learnAt < testStep || now%heartbeat == 0 {
		h.Observe(at, Report{Upstream: testUpstream, EndsAt: now + 3*time.Second, MadeAt: now})
	}
	if r.Float64() < f.wanted/float64(f.hosts)*testStep.Seconds() {
		h.waiting = append(h.waiting, now)
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(since time.Duration) bool { return now-since > f.patience })
	for len(h.waiting) > 0 {
		if _, ok := h.Take(at, testUpstream, testRate); !ok {
			return
		}
		h.waiting = h.waiting[1:]
		*arrivals = append(*arrivals, now)
	}
}

// mostInSecond returns the most arrivals in any second, wherever it begins.
func mostInSecond(arrivals []time.Duration) int {
	first, most := 0, 0
	for last, at := range arrivals {
		for at-arrivals[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestSumOverHosts guards against a cold upstream that gets more than its bound in some second from
// all hosts together, each of which keeps to its share. The demand is ten times the bound.
func TestSumOverHosts(t *testing.T) {
	kinds := map[string]func(*fleet){
		"steady":       func(*fleet) {},
		"skewed":       func(f *fleet) { f.skew = 120 * time.Millisecond },
		"far skewed":   func(f *fleet) { f.skew = 490 * time.Millisecond },
		"new, late":    func(f *fleet) { f.learnTime, f.skew = 1200*time.Millisecond, 120*time.Millisecond },
		"again, late":  func(f *fleet) { f.learnTime, f.warmRate, f.skew = 1200*time.Millisecond, 8, 120*time.Millisecond },
		"cut off late": func(f *fleet) { f.cutOff, f.cutOffAt, f.skew = 0.5, turnCold-10*time.Second, 120*time.Millisecond },
		"cut off long": func(f *fleet) { f.cutOff, f.cutOffAt, f.skew = 0.5, 10*time.Second, 120*time.Millisecond },
		"all cut off":  func(f *fleet) { f.cutOff, f.cutOffAt, f.skew = 1, 10*time.Second, 120*time.Millisecond },
		"cut off and grown": func(f *fleet) {
			f.cutOff, f.cutOffAt, f.growth, f.skew = 0.5, 10*time.Second, f.hosts, 120*time.Millisecond
		},
	}
	for _, hosts := range []int{2, 7, 88, 194} {
		for name, adjust := range kinds {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, name), func(t *testing.T) {
				f := fleet{hosts: hosts, wanted: 10 * (float64(testRate)*testBounds.Overrun + testBounds.Tolerance), patience: 2 * time.Second}
				adjust(&f)
				for seed := range uint64(2) {
					arrivals := f.play(seed)
					t.Logf("seed %d: at most %d requests in a second, %.2f of the rate used", seed, mostInSecond(arrivals), float64(len(arrivals))/float64(testRate)/coldTime.Seconds())
					if most := mostInSecond(arrivals); most > allowedInSecond {
						t.Errorf("seed %d: %d requests in a second, want at most %d", seed, most, allowedInSecond)
					}
				}
			})
		}
	}
}

// TestRateIsUsed guards against a division that keeps requests away from a cold upstream that
// takes them, though there is enough work.
func TestRateIsUsed(t *testing.T) {
	for _, hosts := range []int{2, 7, 88, 194} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := fleet{hosts: hosts, wanted: 128, patience: 3 * time.Second, skew: 120 * time.Millisecond}
			used := float64(len(f.play(1))) / float64(testRate) / coldTime.Seconds()
			t.Logf("%.2f of the rate is used", used)
			if used < 0.85 || used > 1.05 {
				t.Errorf("%.2f of the rate is used, want about all of it", used)
			}
		})
	}
}

// TestPlanKeepsBounds guards against turns so long or so many that a second touches more of them
// than requests are allowed, whatever the rate and the bounds.
func TestPlanKeepsBounds(t *testing.T) {
	for _, b := range []Bounds{testBounds, {Overrun: 1}, {Overrun: 1.1, Tolerance: 1}, {Overrun: 10, Tolerance: 100}, {}} {
		for _, rate := range []apportioner.Rate{0.01, 0.5, 1, 5.2, 48, 1000, 1e9} {
			p := b.plan(rate)
			// touched is the number of slots whose turns a second can touch.
			touched := int64((time.Second + p.length + clockSpread) / slotLength)
			for slot := range int64(2000) {
				turns := p.firstTurn(testUpstream, slot+touched) - p.firstTurn(testUpstream, slot)
				if p.reserve {
					turns += ceilDivide(p.firstTurn(testUpstream, slot+touched)) - ceilDivide(p.firstTurn(testUpstream, slot))
				}
				if turns > int64(b.Most(rate)) {
					t.Fatalf("bounds %+v, rate %v: %d turns in a second, want at most %d", b, rate, turns, b.Most(rate))
				}
			}
		}
	}
}

// TestReports guards against a warm-up that a late report shortens, that never ends, or that
// begins with turns at once although other hosts may not know of it yet.
func TestReports(t *testing.T) {
	const second = time.Second
	at := func(local time.Duration) Moment { return Moment{Agreed: testStart.Add(local), Local: local} }
	warm := func(made time.Duration) Report { return Report{Upstream: testUpstream, EndsAt: made, MadeAt: made} }
	cold := func(made, left time.Duration) Report {
		return Report{Upstream: testUpstream, EndsAt: made + left, MadeAt: made}
	}
	tests := map[string]struct {
		reports []Report
		// coldAt and warmAt are times at which the upstream counts as cold and as warm.
		coldAt, warmAt time.Duration
		// quiet reports that no turn may be used half a second after the last report.
		quiet bool
	}{
		"new":                    {reports: []Report{cold(20*second, 3*second)}, coldAt: 23 * second, warmAt: 24500 * time.Millisecond},
		"cold again":             {reports: []Report{warm(10 * second), cold(20*second, 3*second)}, coldAt: 23 * second, warmAt: 24500 * time.Millisecond, quiet: true},
		"a late report":          {reports: []Report{cold(20*second, 3*second), warm(19 * second)}, coldAt: 23 * second, warmAt: 24500 * time.Millisecond},
		"extended":               {reports: []Report{cold(20*second, 3*second), cold(21*second, 5*second)}, coldAt: 26 * second, warmAt: 27500 * time.Millisecond},
		"warm earlier than said": {reports: []Report{cold(20*second, 9*second), warm(21 * second)}, coldAt: 21 * second, warmAt: 22500 * time.Millisecond},
		"reports after the end":  {reports: []Report{cold(20*second, second), warm(21 * second), warm(21500 * time.Millisecond)}, coldAt: 21 * second, warmAt: 22500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := New(1, testBounds)
			w.SetHosts(at(0), []apportioner.Host{1})
			for _, r := range test.reports {
				w.Observe(at(r.MadeAt), r)
			}
			latest := slices.MaxFunc(test.reports, func(a, b Report) int { return cmp.Compare(a.MadeAt, b.MadeAt) })
			last := at(latest.MadeAt + second/2)
			if available := w.Available(last, testUpstream, testRate); available == test.quiet {
				t.Errorf("a request may be sent: %t, want %t", available, !test.quiet)
			}
			if _, is := w.Cold(at(test.coldAt), testUpstream); !is || len(w.Warmed(at(test.coldAt))) > 0 {
				t.Errorf("warm after %v", test.coldAt)
			}
			if _, is := w.Cold(at(test.warmAt), testUpstream); is || len(w.Warmed(at(test.warmAt))) != 1 {
				t.Errorf("cold after %v", test.warmAt)
			}
		})
	}
}

// TestReturnIsSpread guards against all hosts that return at the end of the warm-up at once.
func TestReturnIsSpread(t *testing.T) {
	returned := map[time.Duration]int{}
	for n := range 88 {
		w := New(apportioner.HostOf(fmt.Sprint("host-", n)), testBounds)
		w.Observe(Moment{}, Report{Upstream: testUpstream, EndsAt: time.Second})
		until, _ := w.Cold(Moment{}, testUpstream)
		returned[until.Truncate(100*time.Millisecond)]++
	}
	for at, n := range returned {
		if n > 20 {
			t.Errorf("%d of 88 hosts return at %v", n, at)
		}
	}
}

// TestHostWithoutOthers guards against turns of a host that knows no others, or that the others
// cannot know yet.
func TestHostWithoutOthers(t *testing.T) {
	w := New(1, testBounds)
	at := func(local time.Duration) Moment { return Moment{Agreed: testStart.Add(local), Local: local} }
	w.Observe(at(0), Report{Upstream: testUpstream, EndsAt: time.Minute})
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		if now == 5*time.Second {
			w.SetHosts(at(now), []apportioner.Host{1})
		}
		if w.Available(at(now), testUpstream, testRate) && now < 5*time.Second+JoinDelay {
			t.Fatalf("a request may be sent after %v", now)
		}
	}
	if !w.Available(at(10*time.Second), testUpstream, testRate) {
		t.Error("no request may be sent once the hosts have long been known")
	}
}

// TestClockStepsBack guards against turns that are used twice when the agreed clock steps back.
func TestClockStepsBack(t *testing.T) {
	w := New(1, testBounds)
	w.SetHosts(Moment{}, []apportioner.Host{1})
	w.Observe(Moment{}, Report{Upstream: testUpstream, EndsAt: time.Minute})
	taken := 0
	for _, agreed := range []time.Duration{0, 1, -2, -1, 0, 1} {
		for {
			if _, ok := w.Take(Moment{Agreed: testStart.Add(agreed * time.Second), Local: 10 * time.Second}, testUpstream, testRate); !ok {
				break
			}
			taken++
		}
	}
	if taken > 8 {
		t.Errorf("%d requests in turns of two moments", taken)
	}
}

// TestTurns checks that the announced turns are those at which the host may send.
func TestTurns(t *testing.T) {
	at := func(local time.Duration) Moment { return Moment{Agreed: testStart.Add(local), Local: local} }
	w := New(1, testBounds)
	w.SetHosts(at(0), []apportioner.Host{1, 2, 3, 4, 5, 6, 7})
	start := 10 * time.Second
	w.Observe(at(start-time.Second), Report{Upstream: testUpstream, EndsAt: start, MadeAt: start - time.Second})
	w.Warmed(at(start + 2*time.Second))
	start += 3 * time.Second
	w.Observe(at(start), Report{Upstream: testUpstream, EndsAt: start + time.Minute, MadeAt: start})
	turns := w.Turns(at(start), testUpstream, testRate, 3, time.Minute)
	if len(turns) != 3 || turns[0] < SettleDelay {
		t.Fatalf("turns %v, want three after %v", turns, SettleDelay)
	}
	for _, wait := range turns {
		if before := at(start + wait - time.Millisecond); w.Available(before, testUpstream, testRate) {
			t.Errorf("a request may be sent before the turn after %v", wait)
		}
		if _, ok := w.Take(at(start+wait), testUpstream, testRate); !ok {
			t.Errorf("no request may be sent at the turn after %v", wait)
		}
	}
	if within := w.Turns(at(start), testUpstream, testRate, 100, 0); len(within) > 0 {
		t.Errorf("turns %v now", within)
	}
}
