package profiler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	serviceUpstreams = 4
	serviceTick      = 2 * time.Millisecond
	serviceTime      = 40 * time.Millisecond
	serviceRate      = 100
	failuresBegin    = 5 * time.Second
	failuresLength   = 6 * time.Second
	serviceLength    = 30 * time.Second
)

type (
	// serviceSimulation is a plain service with upstreams of 6 slots whose requests come through many
	// hosts, which exchange what they have observed through one table.
	serviceSimulation struct {
		random *rand.Rand
		hosts  []*serviceHost
		table  *profiler.Table
		// failure returns the fraction of requests that an upstream fails.
		failure func(upstream int, now time.Duration) float64
		pooled  bool
		failed  int
		// served counts the requests by upstream from the end of the failures on, and lateServed those
		// of the last 5 seconds.
		lateServed [serviceUpstreams]int
		// marked counts the profiles with an excess that hosts have received.
		marked int
	}

	serviceHost struct {
		observer *profiler.Observer
		picker   *picker.Picker
		inFlight [serviceUpstreams]int
		failing  [serviceUpstreams]bool
		position profiler.Position
		ends     []serviceEnd
	}

	serviceEnd struct {
		at       time.Duration
		upstream int
	}
)

func serviceRun(i int) profiler.Run {
	return profiler.Run{ID: registrar.UpstreamID(fmt.Sprint("s-", i)), Incarnation: 1}
}

func newServiceSimulation(hosts int, pooled bool, failure func(int, time.Duration) float64) *serviceSimulation {
	s := &serviceSimulation{random: rand.New(rand.NewPCG(1, 2)), table: profiler.NewTable(), failure: failure, pooled: pooled}
	for range hosts {
		s.hosts = append(s.hosts, &serviceHost{observer: profiler.NewObserver(), picker: picker.New(picker.PolicyStandard, s.random.IntN)})
	}
	return s
}

func (s *serviceSimulation) run() *serviceSimulation {
	exchangeEvery := max(200, min(400, 4*len(s.hosts)))
	for now := time.Duration(0); now < serviceLength; now += serviceTick {
		for i, h := range s.hosts {
			s.end(now, h)
			if s.pooled && (int(now/serviceTick)*2+i*exchangeEvery/len(s.hosts))%exchangeEvery < 2 {
				s.exchange(now, h)
			}
		}
		if s.random.Float64() < serviceRate*serviceTick.Seconds() {
			s.arrive(now, s.random.IntN(len(s.hosts)))
		}
	}
	return s
}

func (s *serviceSimulation) arrive(now time.Duration, host int) {
	h := s.hosts[host]
	candidates := make([]picker.Candidate, serviceUpstreams)
	for i := range candidates {
		candidates[i] = picker.Candidate{
			ID: serviceRun(i).ID, Domain: registrar.FailureDomain(fmt.Sprint(i)), Local: i == host%serviceUpstreams,
			Free: true, Slots: 6, InFlight: h.inFlight[i], Failing: h.failing[i],
		}
	}
	chosen := h.picker.Pick(picker.Request{Retryable: true}, candidates)
	h.inFlight[chosen]++
	h.ends = append(h.ends, serviceEnd{at: now + serviceTime, upstream: chosen})
	if now > serviceLength-5*time.Second {
		s.lateServed[chosen]++
	}
}

func (s *serviceSimulation) end(now time.Duration, h *serviceHost) {
	for len(h.ends) > 0 && h.ends[0].at <= now {
		upstream := h.ends[0].upstream
		h.ends = h.ends[1:]
		h.inFlight[upstream]--
		failed := s.random.Float64() < s.failure(upstream, now)
		h.observer.Ended(serviceRun(upstream), failed)
		if failed {
			s.failed++
		}
	}
}

func (s *serviceSimulation) exchange(now time.Duration, h *serviceHost) {
	for run, sums := range h.observer.Take(64) {
		s.table.Add(now, run, sums)
	}
	changed, position := s.table.Since(now, h.position, 64, func(registrar.UpstreamID) (string, bool) { return "service", true })
	h.position = position
	for _, p := range changed {
		if p.Profile.Excess > 0 {
			s.marked++
		}
		for i := range h.failing {
			if serviceRun(i) == p.Run {
				h.failing[i] = p.Profile.Excess > 0
			}
		}
	}
}

// TestFailingUpstreamLoad plays 100 requests a second at a service with four upstreams, one of which
// fails 45 % of its requests for 6 s while its health check is good. It guards against failures that
// go on because no host alone sees enough of them, and against an upstream that gets no requests any
// more once it is sound.
func TestFailingUpstreamLoad(t *testing.T) {
	oneFails := func(upstream int, now time.Duration) float64 {
		if upstream == 1 && now >= failuresBegin && now < failuresBegin+failuresLength {
			return 0.45
		}
		return 0
	}
	for _, hosts := range []int{2, 7, 88, 194} {
		before := newServiceSimulation(hosts, false, oneFails).run()
		after := newServiceSimulation(hosts, true, oneFails).run()
		t.Logf("%d hosts: %d requests failed without pooling, %d with it; by upstream in the last 5 s %v", hosts, before.failed, after.failed, after.lateServed)
		if after.failed*2 > before.failed {
			t.Errorf("%d hosts: %d requests failed with pooling and %d without it, want half at most", hosts, after.failed, before.failed)
		}
		if fair := serviceRate * 5 / serviceUpstreams; after.lateServed[1] < fair/2 {
			t.Errorf("%d hosts: the upstream that has recovered got %d requests in the last 5 s, want about %d", hosts, after.lateServed[1], fair)
		}
	}
}

// TestEqualFailuresChangeNothing guards against upstreams that are avoided although they fail no more than
// the others: while all fail, and where the application fails a tenth of the requests.
func TestEqualFailuresChangeNothing(t *testing.T) {
	for name, failure := range map[string]func(int, time.Duration) float64{
		"none":             func(int, time.Duration) float64 { return 0 },
		"a tenth":          func(int, time.Duration) float64 { return 0.1 },
		"half, for a time": func(_ int, now time.Duration) float64 { return 0.5 * float64(min(1, now/failuresBegin)) },
	} {
		for _, hosts := range []int{2, 7, 88, 194} {
			before, after := newServiceSimulation(hosts, false, failure).run(), newServiceSimulation(hosts, true, failure).run()
			if after.marked > 0 || after.failed != before.failed || after.lateServed != before.lateServed {
				t.Errorf("%s, %d hosts: %d marks; %d and %d failed", name, hosts, after.marked, before.failed, after.failed)
			}
		}
	}
}
