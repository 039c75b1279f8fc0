package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

const (
	inspectionClass = Class("inspection")
	tagClass        = Class("tag")
	lookupClass     = Class("lookup")

	// admissionRate is the prefill rate of the engines in tokens per second.
	admissionRate = 45_000
)

// tagRequest is a short, urgent request with a short deadline. Its prompt is near the
// limit between light and other classes.
func tagRequest(tokens int) PromptRequest {
	return PromptRequest{
		Class: tagClass, PromptTokens: tokens, MaxOutputTokens: 25, FirstTokenTarget: 400 * time.Millisecond,
		TimeLimit: 3 * time.Second, Rank: 1, Ranks: 3,
		Parts: []PromptPart{{ID: "form", Tokens: tokens / 4}, {ID: "own", Tokens: tokens - tokens/4}},
	}
}

func lookupRequest() PromptRequest {
	return PromptRequest{
		Class: lookupClass, PromptTokens: 850, MaxOutputTokens: 290, FirstTokenTarget: 250 * time.Millisecond,
		TimeLimit: 15 * time.Second, Ranks: 3,
		Parts: []PromptPart{{ID: "tables", Tokens: 200}, {ID: "own", Tokens: 650}},
	}
}

func inspectionRequest() PromptRequest {
	return PromptRequest{
		Class: inspectionClass, PromptTokens: 12_000, MaxOutputTokens: 380, FirstTokenTarget: 2 * time.Second,
		TimeLimit: 15 * time.Second, Rank: 2, Ranks: 3,
		Parts: []PromptPart{{ID: "history", Tokens: 5_400}, {ID: "own", Tokens: 6_600}},
	}
}

// mixedPlacer returns a placer that has seen the three classes in the given mix of
// inspections and tags to one lookup.
func mixedPlacer(inspections, tags int) *Placer {
	p := NewPlacer()
	p.prefillRate = admissionRate
	for i := range 100 {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		for range inspections {
			p.RequestArrived(now, inspectionRequest())
		}
		for range tags {
			p.RequestArrived(now, tagRequest(2_400))
		}
		p.RequestArrived(now, lookupRequest())
	}
	return p
}

// loadedEngines returns engines with the given uncached tokens of their requests in
// flight and pending tokens.
func loadedEngines(pending float64, uncached ...float64) []Engine {
	engines := make([]Engine, len(uncached))
	for i := range engines {
		engines[i] = Engine{
			ID: registrar.UpstreamID(fmt.Sprint("engine-", i)), Domain: registrar.FailureDomain(fmt.Sprint(i % 3)), Incarnation: registrar.Incarnation(i),
			Free: true, Age: time.Hour, Requests: 5, PendingTokens: pending, UncachedTokens: uncached[i],
		}
	}
	return engines
}

// TestShortPromptsFindRoom guards against refusals of short, urgent requests while long
// prompts fill some engines: the pattern "a short class beside long prompts". A request
// must be placed wherever an engine has room for its prompt, and a prompt that takes
// next to no time is refused only if it cannot be answered in time. The loads are those
// of a calm stretch after a burst of long prompts, in which 16 of 141 tags were refused.
func TestShortPromptsFindRoom(t *testing.T) {
	// The budget of a tag is 0.35 of 3 s, which are 47,250 tokens.
	tests := map[string]struct {
		request PromptRequest
		engines []Engine
		// cachedAt is the engine that has the shared part cached, -1 for none.
		cachedAt int
		refused  bool
	}{
		"other engines of the group have room": {
			request: tagRequest(5_500), cachedAt: 3, // also with a prompt that is not small
			engines: loadedEngines(0, 46_000, 46_000, 46_000, 46_000, 46_000, 12_000, 46_000, 46_000, 46_000, 46_000, 46_000, 46_000),
		},
		"only engines of light classes have room": {
			request: tagRequest(2_400), cachedAt: 8,
			engines: loadedEngines(0, 3_155, 17_223, 1_481, 50_735, 53_493, 46_747, 102_017, 101_956, 105_554, 74_117, 48_800, 49_000),
		},
		"the engine with the shared part is full, others of the group are not": {
			request: lookupRequest(), cachedAt: 0,
			engines: loadedEngines(0, 60_000, 8_000, 10_000, 50_735, 53_493, 46_747, 102_017, 101_956, 105_554, 74_117, 48_800, 49_000),
		},
		"no engine has room, but prompts are read at once": {
			request: tagRequest(2_400), cachedAt: -1,
			engines: loadedEngines(4_000, 60_000, 70_000, 80_000, 60_000, 70_000, 80_000, 60_000, 70_000, 80_000),
		},
		"no engine has room for a longer prompt": {
			request: tagRequest(20_000), cachedAt: -1, refused: true,
			engines: loadedEngines(4_000, 60_000, 70_000, 80_000, 60_000, 70_000, 80_000, 60_000, 70_000, 80_000),
		},
		"prompts wait too long for a short one": {
			request: tagRequest(2_400), cachedAt: -1, refused: true,
			engines: loadedEngines(100_000, 100_000, 100_000, 100_000, 100_000, 100_000, 100_000),
		},
		"long prompts stay out of engines of light classes": {
			request: inspectionRequest(), cachedAt: -1, refused: true,
			engines: loadedEngines(0, 30_000, 30_000, 30_000, 50_735, 53_493, 46_747, 102_017, 101_956, 105_554, 74_117, 48_800, 49_000),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := mixedPlacer(1, 4)
			now := 12 * time.Second
			if test.cachedAt >= 0 {
				p.RecordPlacement(now, test.request, test.engines[test.cachedAt].ID)
			}
			chosen, _ := p.Pick(now, test.request, test.engines)
			delay := p.AdmissionDelay(now, test.request, test.engines)
			if refused := delay > 0; refused != test.refused {
				t.Errorf("refused for %v at engine %d: want a refusal: %t", delay, chosen, test.refused)
			}
		})
	}
}

// TestLongPromptsWaitForTheirDocument guards against engines that compute the same long
// documents again and again under high load: while most of the prefill budget is in use,
// a request whose document only a full engine has cached is told to come back.
func TestLongPromptsWaitForTheirDocument(t *testing.T) {
	p := mixedPlacer(4, 1)
	r := inspectionRequest()
	r.PromptTokens = 30_000
	r.Parts = []PromptPart{{ID: "history", Tokens: 25_000}, {ID: "own", Tokens: 5_000}}
	// Responses of about 350 tokens take 2 s; 0.525 of that are 47,000 tokens.
	engines := loadedEngines(0, 10, 10, 10, 47_000, 40_000, 40_000, 40_000, 40_000, 40_000, 40_000, 40_000, 40_000)
	now := 12 * time.Second
	p.RecordPlacement(now, r, engines[3].ID)
	if chosen, _ := p.Pick(now, r, engines); chosen != 3 {
		t.Errorf("placed at engine %d, want the one that has the document cached", chosen)
	}
	if p.AdmissionDelay(now, r, engines) == 0 {
		t.Error("admitted at an engine without prefill budget left")
	}
}

// TestLongResponsesAllowMorePrompts guards against refusals at engines that are mostly idle:
// the pattern "long responses on few slots". Requests are in flight for as long as their
// responses take, and so are their prompts in the sum that is compared with the budget,
// although the prefill of all of them takes a fraction of that time. The limit must still
// hold where the prefill takes more than half of it.
func TestLongResponsesAllowMorePrompts(t *testing.T) {
	const responseTokens = 400
	inspection := inspectionRequest()
	inspection.MaxOutputTokens = responseTokens
	p := NewPlacer()
	p.prefillRate = admissionRate
	for i := range 100 {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		for range 4 {
			p.RequestArrived(now, inspection)
		}
		p.RequestArrived(now, tagRequest(2_400))
	}
	now := 12 * time.Second
	engines := func(uncached float64) []Engine {
		out := loadedEngines(0, uncached, uncached, uncached, uncached, uncached, uncached)
		for i := range out {
			out[i].Requests, out[i].Slots = 6, 12
		}
		return out
	}
	// A response takes 400 steps of 5.9 ms, which are 2.36 s; the budget by the tags' time
	// limit of 3 s is 0.9 s.
	if delay := p.AdmissionDelay(now, inspection, engines(0.4*2.36*admissionRate)); delay > 0 {
		t.Errorf("refused for %v while prompts take 0.4 of the time of the responses", delay)
	}
	if p.AdmissionDelay(now, inspection, engines(0.6*2.36*admissionRate)) == 0 {
		t.Error("admitted while prompts take more than half of the time of the responses")
	}
}
