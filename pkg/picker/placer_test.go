package picker

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	placerEngines    = 16
	placerDomains    = 4
	longClass        = Class("review")
	shortClass       = Class("chat")
	longSharedTokens = 13_000
	longOwnTokens    = 3_700
	documents        = 60
	placerArrivals   = 4_000
)

func testEngines() []Engine {
	engines := make([]Engine, placerEngines)
	for i := range engines {
		engines[i] = Engine{
			ID:     registrar.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Domain: registrar.FailureDomain(fmt.Sprint(i % placerDomains)),
			Free:   true,
			Age:    time.Hour,
		}
	}
	return engines
}

func longRequest(document int) PromptRequest {
	return PromptRequest{
		Class: longClass, PromptTokens: longSharedTokens + longOwnTokens, MaxOutputTokens: 120, FirstTokenTarget: 3 * time.Second,
		Parts: []PromptPart{{ID: PrefixID(fmt.Sprint("document-", document)), Tokens: longSharedTokens}, {ID: "own", Tokens: longOwnTokens}},
	}
}

func shortRequest() PromptRequest {
	return PromptRequest{
		Class: shortClass, PromptTokens: 1_400, MaxOutputTokens: 170, FirstTokenTarget: 2 * time.Second,
		Parts: []PromptPart{{ID: "greeting", Tokens: 300}, {ID: "own", Tokens: 1_100}},
	}
}

// place simulates the arrival and placement of one request and returns the chosen engine.
func place(p *Placer, now time.Duration, r PromptRequest, engines []Engine) registrar.UpstreamID {
	p.RequestArrived(now, r)
	chosen, _ := p.Pick(now, r, engines)
	p.RecordPlacement(now, r, engines[chosen].ID)
	return engines[chosen].ID
}

// TestPlacerSeparatesLightClasses guards against long prompts that slow down the responses of a
// class with short prompts: once the work of the classes is known, no engine serves both classes
// while no engine is overloaded.
func TestPlacerSeparatesLightClasses(t *testing.T) {
	p := NewPlacer()
	engines := testEngines()
	random := rand.New(rand.NewSource(1))
	served := map[registrar.UpstreamID]map[Class]int{}
	for i := range placerArrivals {
		now := time.Second + time.Duration(i)*25*time.Millisecond
		r := shortRequest()
		if i%2 == 0 {
			r = longRequest(random.Intn(documents))
		}
		id := place(p, now, r, engines)
		if now < 2*workKnownAfter {
			continue
		}
		if served[id] == nil {
			served[id] = map[Class]int{}
		}
		served[id][r.Class]++
	}
	for id, classes := range served {
		if classes[longClass] > 0 && classes[shortClass] > 0 {
			t.Errorf("engine %s served both classes: %v", id, classes)
		}
	}
}

// TestPlacerReusesCachedParts guards against several engines computing the same document: many
// requests about a few long documents arrive at processes that do not communicate, and each
// document must be sent to one engine only.
func TestPlacerReusesCachedParts(t *testing.T) {
	const processes = 6
	engines := testEngines()
	sentTo := map[int]map[registrar.UpstreamID]bool{}
	random := rand.New(rand.NewSource(1))
	var placers [processes]*Placer
	for i := range placers {
		placers[i] = NewPlacer()
	}
	for i := range placerArrivals {
		document := random.Intn(documents)
		id := place(placers[random.Intn(processes)], time.Duration(i)*20*time.Millisecond, longRequest(document), engines)
		if sentTo[document] == nil {
			sentTo[document] = map[registrar.UpstreamID]bool{}
		}
		sentTo[document][id] = true
	}
	for document, ids := range sentTo {
		if len(ids) > 1 {
			t.Errorf("document %d was sent to %d engines, want 1", document, len(ids))
		}
	}
}

func TestPlacerLeavesPreferredEngine(t *testing.T) {
	r := longRequest(1)
	preferred := func() int {
		p := NewPlacer()
		chosen, _ := p.Pick(0, r, testEngines())
		return chosen
	}()
	tests := map[string]struct {
		change func(*Engine)
		stays  bool
	}{
		"no other prompts pending":     {change: func(*Engine) {}, stays: true},
		"a short wait":                 {change: func(e *Engine) { e.PendingTokens = 10_000 }, stays: true},
		"a long wait":                  {change: func(e *Engine) { e.PendingTokens = 500_000 }},
		"no free slot":                 {change: func(e *Engine) { e.Free = false }},
		"recent failures":              {change: func(e *Engine) { e.Penalty = 5 * time.Second }},
		"much younger than the others": {change: func(e *Engine) { e.Age = time.Second }},
		"still slow after its start":   {change: func(e *Engine) { e.WarmingUp = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engines := testEngines()
			test.change(&engines[preferred])
			chosen, _ := NewPlacer().Pick(0, r, engines)
			if (chosen == preferred) != test.stays {
				t.Errorf("placed at engine %d, the preferred engine is %d, want the preferred one: %t", chosen, preferred, test.stays)
			}
		})
	}
}

// TestPlacerNewEngine adds an engine while the others have documents cached: requests about these
// documents must stay with the engines that have them cached.
func TestPlacerNewEngine(t *testing.T) {
	p := NewPlacer()
	engines := testEngines()
	before := map[int]registrar.UpstreamID{}
	for document := range documents {
		before[document] = place(p, 0, longRequest(document), engines)
	}
	engines = append(engines, Engine{ID: "new", Domain: "0", Free: true})
	for document := range documents {
		if id := place(p, time.Second, longRequest(document), engines); id != before[document] {
			t.Errorf("document %d moved from %s to %s", document, before[document], id)
		}
	}
}

// TestPlacerHotDocument guards against a popular document being computed by whichever engine is
// idle: many processes that do not communicate must send it to the same few preferred engines.
func TestPlacerHotDocument(t *testing.T) {
	const (
		processes         = 40
		busyPendingTokens = 30_000
	)
	engines := testEngines()
	chosen := map[registrar.UpstreamID]bool{}
	for process := range processes {
		p := NewPlacer()
		for range 4 {
			// The engines that have the document cached are busy for every second process.
			for i := range engines {
				engines[i].PendingTokens = 0
				if chosen[engines[i].ID] && process%2 == 0 {
					engines[i].PendingTokens = busyPendingTokens
				}
			}
			chosen[place(p, time.Second, longRequest(1), engines)] = true
		}
	}
	if len(chosen) > preferredCount {
		t.Errorf("the document was sent to %d engines, want at most %d", len(chosen), preferredCount)
	}
}

func TestPlacerNoFreeEngine(t *testing.T) {
	engines := testEngines()
	for i := range engines {
		engines[i].Free = false
	}
	if chosen, _ := NewPlacer().Pick(0, shortRequest(), engines); chosen != -1 {
		t.Errorf("placed at %d, want -1", chosen)
	}
}

// TestPlacerPrefillRate checks that the estimated rate approaches that of faster and slower engines.
func TestPlacerPrefillRate(t *testing.T) {
	for name, prefillRate := range map[string]float64{"slow engines": 36_000, "fast engines": 112_000} {
		t.Run(name, func(t *testing.T) {
			p := NewPlacer()
			for i := range 400 {
				tokens := 5_000 + i%10*1_000
				took := time.Duration(float64(tokens) / prefillRate * float64(time.Second))
				if i%2 == 0 {
					took *= 3 // the engine computed other prompts at the same time
				}
				p.ObserveFirstToken(tokens, took+firstTokenOverhead)
			}
			if p.prefillRate < prefillRate*0.7 || p.prefillRate > prefillRate*1.3 {
				t.Errorf("prefill rate is %.0f tokens/s, want about %.0f", p.prefillRate, prefillRate)
			}
		})
	}
}

func BenchmarkPlacer(b *testing.B) {
	p := NewPlacer()
	engines := testEngines()
	random := rand.New(rand.NewSource(1))
	for i := range b.N {
		place(p, time.Duration(i)*time.Millisecond, longRequest(random.Intn(documents)), engines)
	}
}

// TestPlacerKeepsPauses guards against a class of short responses whose prompts, though short
// beside the mean, come often enough to break the pauses of a class that allows only short ones:
// the pattern "labels beside a live answer". The two must not share engines while there are
// enough of them.
func TestPlacerKeepsPauses(t *testing.T) {
	p := NewPlacer()
	engines := testEngines()
	served := map[registrar.UpstreamID]map[Class]int{}
	for i := range placerArrivals {
		now := time.Second + time.Duration(i)*25*time.Millisecond
		requests := []PromptRequest{inspectionRequest(), tagRequest(2_400), lookupRequest()}
		for _, r := range requests {
			r.PauseTarget = map[Class]time.Duration{
				inspectionClass: 600 * time.Millisecond, tagClass: 250 * time.Millisecond, lookupClass: 150 * time.Millisecond,
			}[r.Class]
			id := place(p, now, r, engines)
			if now < 2*workKnownAfter {
				continue
			}
			if served[id] == nil {
				served[id] = map[Class]int{}
			}
			served[id][r.Class]++
		}
	}
	for id, classes := range served {
		if classes[lookupClass] > 0 && classes[tagClass]+classes[inspectionClass] > 0 {
			t.Errorf("engine %s served %v, want lookups or the others", id, classes)
		}
	}
}

// TestPlacerFewSlots guards against requests that queue at engines without a free slot while
// others have some: the pattern "many engines of few slots". The preferred engine is full; and
// the light group must grow when its slots are in use although its share of the work is small.
func TestPlacerFewSlots(t *testing.T) {
	const slots = 12
	engines := testEngines()
	for i := range engines {
		engines[i].Slots = slots
	}
	p := NewPlacer()
	preferred, _ := p.Pick(0, longRequest(1), engines)
	engines[preferred].Requests = slots - 1
	if chosen, _ := p.Pick(0, longRequest(1), engines); chosen != preferred {
		t.Errorf("placed at engine %d, want the preferred one, which has a free slot", chosen)
	}
	engines[preferred].Requests = slots + 6
	if chosen, _ := p.Pick(0, longRequest(1), engines); chosen == preferred {
		t.Error("placed at the preferred engine, which has no free slot")
	}
	engines[preferred].Requests = 0

	for i := range 1000 {
		now := time.Second + time.Duration(i)*20*time.Millisecond
		p.RequestArrived(now, longRequest(i%documents))
		if i%4 == 0 {
			p.RequestArrived(now, shortRequest())
		}
	}
	now := 22 * time.Second
	count := func() int {
		n := 0
		for _, light := range p.lightGroup(now, engines) {
			if light {
				n++
			}
		}
		return n
	}
	before := count()
	if before >= placerEngines/2 {
		t.Fatalf("the light group has %d of %d engines before, want fewer than half", before, placerEngines)
	}
	for i, light := range p.lightGroup(now, engines) {
		if light {
			engines[i].Requests = slots
		}
	}
	if after := count(); after <= before {
		t.Errorf("the light group has %d engines while all slots of its %d are in use, want more", after, before)
	}
}

// TestLimitedEnginesAreReplaced guards against light classes and shared parts that are left
// without an engine since theirs take only few requests.
func TestLimitedEnginesAreReplaced(t *testing.T) {
	p := NewPlacer()
	engines := testEngines()
	now := time.Second
	for i := range placerArrivals {
		now += 25 * time.Millisecond
		r := shortRequest()
		if i%2 == 0 {
			r = longRequest(i % documents)
		}
		place(p, now, r, engines)
	}
	size := func() (n int) {
		for i, light := range p.lightGroup(now, engines) {
			if light && !engines[i].Limited {
				n++
			}
		}
		return n
	}
	before := size()
	home := place(p, now, longRequest(0), engines)
	for i, light := range p.lightGroup(now, engines) {
		if (light && i%2 == 0) || engines[i].ID == home {
			engines[i].Limited, engines[i].Free = true, false
		}
	}
	if after := size(); after < before-1 {
		t.Errorf("%d engines for light classes, %d before some were limited", after, before)
	}
	for _, i := range preferredEngines(longRequest(0), engines, nil, false) {
		if engines[i].Limited {
			t.Errorf("engine %s is preferred for shared parts", engines[i].ID)
		}
	}
	next := place(p, now, longRequest(0), engines)
	if again := place(p, now+time.Second, longRequest(0), engines); next == home || again != next {
		t.Errorf("the shared parts are at %s, then at %s, want one other than %s", next, again, home)
	}
}
