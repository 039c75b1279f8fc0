package picker

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const randomChoices = 3_000

// randomEngines changes the engines at random. Their speeds are drawn from a generator of their own.
func randomEngines(engines []Engine, random *rand.Rand, speed func() float64) {
	for i := range engines {
		e := &engines[i]
		e.Free, e.Local, e.Limited = random.Intn(8) > 0, random.Intn(4) == 0, random.Intn(20) == 0
		e.Requests, e.Slots = random.Intn(60), 48
		e.PendingTokens, e.UncachedTokens = float64(random.Intn(30_000)), float64(random.Intn(90_000))
		e.Incarnation = registrar.Incarnation(i)
		e.Speed, e.Slowdown = speed(), speed()
	}
}

// placerChoices returns the choices and admission delays for random requests.
func placerChoices(speed func() float64) []string {
	random, p, engines := rand.New(rand.NewSource(3)), NewPlacer(), testEngines()
	var out []string
	for i := range randomChoices {
		now := time.Second + time.Duration(i)*20*time.Millisecond
		randomEngines(engines, random, speed)
		r := shortRequest()
		if i%2 == 0 {
			r = longRequest(random.Intn(documents))
		}
		r.TimeLimit, r.Ranks, r.Rank = 5*time.Second, 3, random.Intn(3)
		p.RequestArrived(now, r)
		chosen, tokens := p.Pick(now, r, engines)
		if chosen >= 0 {
			p.RecordPlacement(now, r, engines[chosen].ID)
		}
		out = append(out, fmt.Sprint(chosen, tokens, p.AdmissionDelay(now, r, engines)))
	}
	return out
}

// pickerChoices returns the choices for random requests.
func pickerChoices(speed func() float64) []string {
	random := rand.New(rand.NewSource(3))
	p := New(PolicyStandard, rand.New(rand.NewSource(4)).Intn)
	candidates := make([]Candidate, 8)
	var out []string
	for i := range randomChoices {
		for j := range candidates {
			candidates[j] = Candidate{
				ID: registrar.UpstreamID(fmt.Sprint(j)), Domain: registrar.FailureDomain(fmt.Sprint(j % 3)), Local: random.Intn(2) == 0,
				Free: random.Intn(6) > 0, ReportedLoad: random.Intn(9), InFlight: random.Intn(3), Slots: 6, Cached: random.Intn(5) == 0,
				Latency: time.Duration(random.Intn(3)*random.Intn(90)) * time.Millisecond, Speed: speed(), Slowdown: speed(),
			}
		}
		r := Request{Retryable: i%2 == 0}
		if i%3 == 0 {
			r.Prefix = PrefixID(fmt.Sprint(i))
		}
		out = append(out, fmt.Sprint(p.Pick(r, candidates)))
	}
	return out
}

// TestAlikeSpeedsChangeNothing guards against estimates of the speed that change how equally fast
// upstreams are served: with all speeds within 10 % of 1, each choice is the one without any.
func TestAlikeSpeedsChangeNothing(t *testing.T) {
	for name, choices := range map[string]func(func() float64) []string{"placer": placerChoices, "picker": pickerChoices} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewSource(5))
			unknown := choices(func() float64 { return 0 })
			if alike := choices(func() float64 { return 0.901 + 0.198*random.Float64() }); !slices.Equal(alike, unknown) {
				t.Error("speeds close to 1 change a choice")
			}
			if different := choices(func() float64 { return 0.7 + random.Float64() }); slices.Equal(different, unknown) {
				t.Error("different speeds change no choice")
			}
		})
	}
}

// TestSlowUpstreamsAreWorthLess guards against upstreams that get the same work whatever their speed.
func TestSlowUpstreamsAreWorthLess(t *testing.T) {
	engine := func(speed, slowdown float64) Engine {
		return Engine{Free: true, Local: true, Age: time.Hour, Slots: 48, Requests: 10, PendingTokens: 8_000, UncachedTokens: 9_000, Speed: speed, Slowdown: slowdown}
	}
	r := longRequest(1)
	r.Parts, r.TimeLimit = []PromptPart{{ID: "own", Tokens: r.PromptTokens}}, time.Second
	for name, engines := range map[string][]Engine{
		"lasting": {engine(0.7, 0), engine(1, 0)},
		"brief":   {engine(0, 2.5), engine(0, 1)},
	} {
		engines[0].ID, engines[1].ID = "slow", "usual"
		p := NewPlacer()
		for i := range engines {
			engines[i].PendingTokens += 3_000 * float64(i)
		}
		if chosen, _ := p.Pick(0, r, engines); engines[chosen].ID != "usual" {
			t.Errorf("%s: the slow engine is chosen although the usual one has hardly more to do", name)
		}
	}
	p, slow, usual := NewPlacer(), engine(0.7, 0), engine(0, 0)
	if p.prefillExcess(&slow, 10_000, 300*time.Millisecond) <= p.prefillExcess(&usual, 10_000, 300*time.Millisecond) {
		t.Error("a slow engine admits as much as a usual one")
	}
	picked := map[int]int{}
	service := New(PolicyStandard, rand.New(rand.NewSource(1)).Intn)
	candidates := []Candidate{{ID: "slow", Free: true, Slots: 6, Speed: 0.7}, {ID: "fast", Free: true, Slots: 6, Speed: 1.4}}
	for range 300 {
		chosen := service.Pick(Request{}, candidates)
		candidates[chosen].InFlight++
		picked[chosen]++
	}
	if picked[1] < 190 || picked[1] > 210 {
		t.Errorf("%d of 300 requests are at an upstream that is twice as fast as the other, want 200", picked[1])
	}
}

// TestLightGroupCountsSpeed guards against a light group of slow engines that has less than the share of
// the work that it is meant to do.
func TestLightGroupCountsSpeed(t *testing.T) {
	p, engines := NewPlacer(), testEngines()
	p.lightGroupSize = 6
	settled, order := settledEngines(engines), interleaveDomains(engines)
	count := func(speed float64) (n int) {
		for rank, i := range order {
			engines[i].Speed = speed
			if rank >= len(order)/2 {
				engines[i].Speed = 1
			}
		}
		for _, chosen := range p.chooseLightEngines(engines, order, settled) {
			if chosen {
				n++
			}
		}
		return n
	}
	if usual, slow, fast := count(1), count(0.6), count(1.6); usual != 6 || slow <= usual || fast >= usual {
		t.Errorf("%d engines of usual speed, %d slow ones, %d fast ones; want 6, more, fewer", usual, slow, fast)
	}
}

// TestFailingUpstreamIsAvoided guards against upstreams that go on failing requests while others are
// free, against refusals where none is, and against upstreams that get no request to recover with.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	const requests = 6_400
	random := rand.New(rand.NewSource(1))
	p := New(PolicyStandard, random.Intn)
	count := func(load int, retryable bool) (n int) {
		for range requests {
			candidates := []Candidate{
				{ID: "a", Free: true, Local: true, Slots: 6, Failing: true},
				{ID: "b", Free: true, Slots: 6, InFlight: load},
				{ID: "c", Free: true, Slots: 6, InFlight: load},
			}
			if p.Pick(Request{Retryable: retryable}, candidates) == 0 {
				n++
			}
		}
		return n
	}
	if n := count(1, true); n == 0 || n > requests/proveDivisor*5/4 {
		t.Errorf("%d of %d requests go to the failing upstream, want about %d", n, requests, requests/proveDivisor)
	}
	if n := count(1, false); n != 0 {
		t.Errorf("%d of %d requests that run once go to the failing upstream", n, requests)
	}
	if n := count(6, false); n != requests {
		t.Errorf("%d of %d requests go to the failing upstream while the others are full, want all", n, requests)
	}
	if p.Pick(Request{}, []Candidate{{ID: "a", Free: true, Slots: 6, Failing: true}}) != 0 {
		t.Error("the only upstream is not chosen")
	}
}
