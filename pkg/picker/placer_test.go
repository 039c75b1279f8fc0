package picker

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	placerEngines  = 16
	placerDomains  = 4
	longClass      = Class("review")
	shortClass     = Class("chat")
	longShared     = 13_000
	longOwn        = 3_700
	documents      = 60
	placerArrivals = 4_000
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
		Class: longClass, PromptTokens: longShared + longOwn, MaxOutputTokens: 120, FirstTokenTarget: 3 * time.Second,
		Parts: []PromptPart{{ID: PrefixID(fmt.Sprint("document-", document)), Tokens: longShared}, {ID: "own", Tokens: longOwn}},
	}
}

func shortRequest() PromptRequest {
	return PromptRequest{
		Class: shortClass, PromptTokens: 1_400, MaxOutputTokens: 170, FirstTokenTarget: 2 * time.Second,
		Parts: []PromptPart{{ID: "greeting", Tokens: 300}, {ID: "own", Tokens: 1_100}},
	}
}

// place places one request and returns the engine.
func place(p *Placer, now time.Duration, r PromptRequest, engines []Engine) registrar.UpstreamID {
	p.RequestArrived(now, r)
	chosen, _ := p.Pick(now, r, engines)
	p.RecordPlacement(now, r, engines[chosen].ID)
	return engines[chosen].ID
}

// TestPlacerKeepsLongPromptsFromChats answers the pattern of long prompts that
// are read between the tokens of running chats: once the classes are known, no
// engine serves both while no engine is short of time.
func TestPlacerKeepsLongPromptsFromChats(t *testing.T) {
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
		if now < 2*knownAfter {
			continue
		}
		if served[id] == nil {
			served[id] = map[Class]int{}
		}
		served[id][r.Class]++
	}
	for id, classes := range served {
		if classes[longClass] > 0 && classes[shortClass] > 0 {
			t.Errorf("engine %s served %v", id, classes)
		}
	}
}

// TestPlacerFindsSharedParts answers the pattern of many requests about few long
// documents, seen by several processes that do not talk: each document is read
// by one engine.
func TestPlacerFindsSharedParts(t *testing.T) {
	const processes = 6
	engines := testEngines()
	holders := map[int]map[registrar.UpstreamID]bool{}
	random := rand.New(rand.NewSource(1))
	var placers [processes]*Placer
	for i := range placers {
		placers[i] = NewPlacer()
	}
	for i := range placerArrivals {
		document := random.Intn(documents)
		id := place(placers[random.Intn(processes)], time.Duration(i)*20*time.Millisecond, longRequest(document), engines)
		if holders[document] == nil {
			holders[document] = map[registrar.UpstreamID]bool{}
		}
		holders[document][id] = true
	}
	for document, at := range holders {
		if len(at) > 1 {
			t.Errorf("document %d is read by %d engines", document, len(at))
		}
	}
}

func TestPlacerLeavesTheHome(t *testing.T) {
	r := longRequest(1)
	home := func() int {
		p := NewPlacer()
		chosen, _ := p.Pick(0, r, testEngines())
		return chosen
	}()
	tests := map[string]struct {
		change func(*Engine)
		stays  bool
	}{
		"nothing to read before":    {change: func(*Engine) {}, stays: true},
		"a short wait":              {change: func(e *Engine) { e.PendingTokens = 10_000 }, stays: true},
		"a long wait":               {change: func(e *Engine) { e.PendingTokens = 500_000 }},
		"no free slot":              {change: func(e *Engine) { e.Free = false }},
		"failures of late":          {change: func(e *Engine) { e.Penalty = 5 * time.Second }},
		"new beside the other ones": {change: func(e *Engine) { e.Age = time.Second }},
		"cold, and another is next": {change: func(e *Engine) { e.Cold = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engines := testEngines()
			test.change(&engines[home])
			chosen, _ := NewPlacer().Pick(0, r, engines)
			if (chosen == home) != test.stays {
				t.Errorf("placed at %d, home is %d", chosen, home)
			}
		})
	}
}

// TestPlacerNewEngine adds an engine while documents are known: it takes none of them away.
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

// TestPlacerHotDocument answers the pattern of one document that much of the
// load is about, seen by many processes that do not talk: it is read by the few
// engines that its load needs, the same for all, and not wherever it is quiet.
func TestPlacerHotDocument(t *testing.T) {
	const (
		processes = 40
		busy      = 30_000
	)
	engines := testEngines()
	readers := map[registrar.UpstreamID]bool{}
	for process := range processes {
		p := NewPlacer()
		for range 4 {
			// Whoever has it is busy in half of the moments.
			for i := range engines {
				engines[i].PendingTokens = 0
				if readers[engines[i].ID] && process%2 == 0 {
					engines[i].PendingTokens = busy
				}
			}
			readers[place(p, time.Second, longRequest(1), engines)] = true
		}
	}
	if len(readers) > homes {
		t.Errorf("one document is read by %d engines", len(readers))
	}
}

func TestPlacerNobodyFree(t *testing.T) {
	engines := testEngines()
	for i := range engines {
		engines[i].Free = false
	}
	if chosen, _ := NewPlacer().Pick(0, shortRequest(), engines); chosen != -1 {
		t.Errorf("placed at %d", chosen)
	}
}

// TestPlacerReadRate learns the rate of engines that read faster or slower than assumed.
func TestPlacerReadRate(t *testing.T) {
	for name, rate := range map[string]float64{"slow engines": 36_000, "fast engines": 112_000} {
		t.Run(name, func(t *testing.T) {
			p := NewPlacer()
			for i := range 400 {
				tokens := 5_000 + i%10*1_000
				took := time.Duration(float64(tokens) / rate * float64(time.Second))
				if i%2 == 0 {
					took *= 3 // others were read beside it
				}
				p.ObserveFirstToken(tokens, took+firstTokenOverhead)
			}
			if p.rate < rate*0.7 || p.rate > rate*1.3 {
				t.Errorf("rate %.0f, want about %.0f", p.rate, rate)
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
