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
	engineCount     = 30
	engineSlots     = 48
	engineDocuments = 60
	engineTick      = 5 * time.Millisecond
	engineLength    = 30 * time.Second
	engineCounted   = 10 * time.Second
	// An engine of speed 1, as RODP documents it. A step computes one token of each response and a
	// chunk of one prompt.
	enginePrefill     = 93_000
	engineChunk       = 4096
	engineStep        = 3290 * time.Microsecond
	engineStepRequest = 151 * time.Microsecond
	// A slowdown by 2.5 of 15 % of the engines begins every 300 ms and lasts as long.
	slowdownLength = 300 * time.Millisecond
	slowdownFactor = 2.5
	slowdownShare  = 0.15
)

type (
	engineSimulation struct {
		now     time.Duration
		random  *rand.Rand
		pooled  bool
		hosts   []*engineHost
		engines []*simulatedEngine
		table   *profiler.Table
		// cached holds the prompt parts that engines have begun to cache since the latest exchange.
		cached []picker.CachedPart
		// arrived and inTime count by class the requests that arrived after engineCounted.
		arrived, inTime map[picker.Class]int
	}

	simulatedEngine struct {
		run      profiler.Run
		speed    float64
		slowdown float64
		cached   map[picker.PrefixID]bool
		running  []*simulatedRequest
		stepEnd  time.Duration
	}

	// engineLoad is the load of one host or of all on one engine.
	engineLoad struct {
		requests          int
		pending, uncached float64
	}

	engineHost struct {
		placer   *picker.Placer
		observer *profiler.Observer
		position profiler.Position
		// own is the load of this host now, ownThen and all those of this host and of all hosts when
		// loads were exchanged.
		own, ownThen, all [engineCount]engineLoad
		speed             [engineCount]float64
		slowdown          [engineCount]float64
		slowdownAt        [engineCount]time.Duration
	}

	simulatedRequest struct {
		host                            *engineHost
		class                           picker.Class
		document                        picker.PrefixID
		arrived, limit, firstAt         time.Duration
		uncached, expectedTokens, ahead float64
		toCompute, left, outputs        int
		load                            int
		started, prefillDone            bool
	}
)

func newEngineSimulation(hosts int, pooled bool, speeds func(i int) float64) *engineSimulation {
	s := &engineSimulation{
		random: rand.New(rand.NewPCG(3, 4)), pooled: pooled, table: profiler.NewTable(),
		arrived: map[picker.Class]int{}, inTime: map[picker.Class]int{},
	}
	for range hosts {
		h := &engineHost{placer: picker.NewPlacer(), observer: profiler.NewObserver()}
		h.observer.Enable()
		s.hosts = append(s.hosts, h)
	}
	for i := range engineCount {
		run := profiler.Run{ID: registrar.UpstreamID(fmt.Sprint("e-", i)), Incarnation: 1}
		s.engines = append(s.engines, &simulatedEngine{run: run, speed: speeds(i), slowdown: 1, cached: map[picker.PrefixID]bool{}})
	}
	return s
}

// play plays requests, given by their number per second, with or without brief slowdowns.
func (s *engineSimulation) play(rate float64, slowdowns bool) *engineSimulation {
	exchangeEvery := time.Duration(max(200, min(400, 4*len(s.hosts)))) * time.Millisecond / engineTick * engineTick
	for ; s.now < engineLength; s.now += engineTick {
		if slowdowns && s.now%slowdownLength == 0 {
			for _, e := range s.engines {
				e.slowdown = 1
				if s.random.Float64() < slowdownShare {
					e.slowdown = slowdownFactor
				}
			}
		}
		if s.now%exchangeEvery == 0 {
			s.exchange()
		}
		for n := rate * engineTick.Seconds(); n > s.random.Float64(); n-- {
			s.arrive(s.hosts[s.random.IntN(len(s.hosts))])
		}
		for i, e := range s.engines {
			for e.stepEnd <= s.now {
				s.step(i, e)
			}
		}
	}
	return s
}

func (s *engineSimulation) exchange() {
	var all [engineCount]engineLoad
	for _, h := range s.hosts {
		for i, own := range h.own {
			all[i].requests += own.requests
			all[i].pending += own.pending
			all[i].uncached += own.uncached
		}
		for run, sums := range h.observer.Take(64) {
			s.table.Add(s.now, run, sums)
		}
	}
	defer func() { s.cached = nil }()
	for _, h := range s.hosts {
		h.ownThen, h.all = h.own, all
		for _, part := range s.cached {
			h.placer.AddCached(s.now+time.Hour, part)
		}
		if !s.pooled {
			continue
		}
		changed, position := s.table.Since(s.now, h.position, 1000, func(registrar.UpstreamID) (string, bool) { return "m", true })
		h.position = position
		for _, p := range changed {
			for i, e := range s.engines {
				if e.run == p.Run {
					h.speed[i] = p.Profile.Speed
				}
			}
		}
	}
}

func (h *engineHost) candidates(s *engineSimulation) []picker.Engine {
	engines := make([]picker.Engine, engineCount)
	for i, e := range s.engines {
		own, then, all := h.own[i], h.ownThen[i], h.all[i]
		engines[i] = picker.Engine{
			ID: e.run.ID, Domain: registrar.FailureDomain(fmt.Sprint(i % 3)), Local: true, Free: true, Age: time.Hour, Slots: engineSlots,
			Requests:       own.requests + max(0, all.requests-then.requests),
			PendingTokens:  own.pending + max(0, all.pending-then.pending),
			UncachedTokens: own.uncached + max(0, all.uncached-then.uncached),
			Speed:          h.speed[i],
		}
		if s.pooled {
			engines[i].Slowdown = profiler.PresentSlowdown(h.slowdown[i], s.now-h.slowdownAt[i])
		}
	}
	return engines
}

func (s *engineSimulation) arrive(h *engineHost) {
	p := picker.PromptRequest{
		Class: "chat", PromptTokens: 1_400, MaxOutputTokens: 160, FirstTokenTarget: time.Second, TimeLimit: 3 * time.Second, Ranks: 2,
		Parts: []picker.PromptPart{{ID: "greeting", Tokens: 300}, {ID: "own", Tokens: 1_100}},
	}
	if s.random.IntN(2) == 0 {
		document := picker.PrefixID(fmt.Sprint("document-", int(engineDocuments*s.random.Float64()*s.random.Float64())))
		p = picker.PromptRequest{
			Class: "review", PromptTokens: 16_700, MaxOutputTokens: 120, FirstTokenTarget: 3 * time.Second, TimeLimit: 8 * time.Second, Rank: 1, Ranks: 2,
			Parts: []picker.PromptPart{{ID: document, Tokens: 13_000}, {ID: "own", Tokens: 3_700}},
		}
	}
	if s.now >= engineCounted && s.now < engineLength-p.TimeLimit {
		s.arrived[p.Class]++
	}
	h.placer.RequestArrived(s.now+time.Hour, p)
	engines := h.candidates(s)
	if h.placer.AdmissionDelay(s.now+time.Hour, p, engines) > 0 {
		return
	}
	i, tokens := h.placer.Pick(s.now+time.Hour, p, engines)
	if part, report := h.placer.RecordPlacement(s.now+time.Hour, p, engines[i].ID); report {
		s.cached = append(s.cached, part)
	}
	shared := p.Parts[0]
	e, toCompute := s.engines[i], p.PromptTokens-shared.Tokens
	if !e.cached[shared.ID] {
		e.cached[shared.ID] = true
		toCompute = p.PromptTokens
	}
	h.own[i].requests++
	h.own[i].pending += tokens
	h.own[i].uncached += tokens
	e.running = append(e.running, &simulatedRequest{
		host: h, class: p.Class, document: shared.ID, arrived: s.now, limit: p.TimeLimit, expectedTokens: tokens,
		ahead: engines[i].PendingTokens, uncached: engines[i].UncachedTokens, toCompute: toCompute, left: p.MaxOutputTokens, outputs: p.MaxOutputTokens, load: engines[i].Requests,
	})
}

// step runs one step of an engine for the first engineSlots requests.
func (s *engineSimulation) step(i int, e *simulatedEngine) {
	if len(e.running) == 0 {
		e.stepEnd = s.now + engineTick
		return
	}
	active := e.running[:min(engineSlots, len(e.running))]
	took := engineStep + time.Duration(len(active))*engineStepRequest
	for _, r := range active {
		if r.toCompute > 0 {
			chunk := min(engineChunk, r.toCompute)
			r.toCompute -= chunk
			took += time.Duration(chunk) * time.Second / enginePrefill
			break
		}
	}
	e.stepEnd = max(e.stepEnd, s.now-engineTick) + time.Duration(float64(took)*e.slowdown/e.speed)
	var left []*simulatedRequest
	for n, r := range e.running {
		if n >= len(active) || !s.advance(i, e, r) {
			left = append(left, r)
		}
	}
	e.running = left
}

// advance computes the next token of a request if its prompt has been computed, and reports whether the
// request has ended.
func (s *engineSimulation) advance(i int, e *simulatedEngine, r *simulatedRequest) bool {
	h, late := r.host, e.stepEnd-r.arrived > r.limit
	sample := profiler.Sample{Run: e.run, Slowdown: e.slowdown, Speed: h.speed[i]}
	if (r.toCompute == 0 || late) && !r.prefillDone {
		r.prefillDone = true
		h.own[i].pending -= r.expectedTokens
	}
	if r.toCompute == 0 && !r.started {
		r.started, r.firstAt = true, e.stepEnd
		h.slowdown[i], h.slowdownAt[i] = e.slowdown, e.stepEnd
		sample.Group = profiler.Group{Class: string(r.class), Work: profiler.WorkPrefill}
		sample.Expected, sample.Took = profiler.ExpectedPrefill(r.expectedTokens, r.ahead), r.firstAt-r.arrived
		h.observer.Observe(sample)
	}
	if r.started {
		r.left--
	}
	if r.left > 0 && !late {
		return false
	}
	h.own[i].requests--
	h.own[i].uncached -= r.expectedTokens
	if !late {
		if r.arrived >= engineCounted && r.arrived < engineLength-r.limit {
			s.inTime[r.class]++
		}
		sample.Group = profiler.Group{Class: string(r.class), Work: profiler.WorkEvents}
		now := h.candidates(s)[i]
		sample.Expected, sample.Took = profiler.ExpectedEvents(r.outputs, (r.load+now.Requests+1)/2, (r.uncached+now.UncachedTokens)/2), e.stepEnd-r.firstAt
		h.observer.Observe(sample)
	}
	return true
}

// fractions returns the fraction served in time of all requests and of the worst-served class.
func (s *engineSimulation) fractions() (all, worst float64) {
	arrived, inTime, worst := 0, 0, 1.0
	for class, n := range s.arrived {
		arrived += n
		inTime += s.inTime[class]
		worst = min(worst, float64(s.inTime[class])/float64(n))
	}
	return float64(inTime) / float64(arrived), worst
}

// TestEnginesOfDifferentSpeed plays 30 engines whose speeds differ by factors from 0.7 to 1.7, of which
// 15 % at a time are slowed down by 2.5 for 0.3 s, at 180 requests a second: chat with prompts of 1,400
// tokens and a deadline of 3 s, review with prompts of 16,700 tokens and one of 8 s. It guards against
// engines that get the same work whatever their speed.
func TestEnginesOfDifferentSpeed(t *testing.T) {
	speeds := func(i int) float64 { return 0.7 + float64(i*7%engineCount)/(engineCount-1) }
	for _, hosts := range []int{2, 7, 88, 194} {
		before, worstBefore := newEngineSimulation(hosts, false, speeds).play(180, true).fractions()
		after, worstAfter := newEngineSimulation(hosts, true, speeds).play(180, true).fractions()
		t.Logf("%d hosts: %.4f served in time, worst class %.4f; with speeds %.4f and %.4f", hosts, before, worstBefore, after, worstAfter)
		if after < before || worstAfter < worstBefore {
			t.Errorf("%d hosts: fewer are served in time with speeds than without", hosts)
		}
	}
}

// TestEnginesOfEqualSpeed guards against errors of the estimate that cost equally fast engines more than
// it gains elsewhere.
func TestEnginesOfEqualSpeed(t *testing.T) {
	equal := func(int) float64 { return 1 }
	before, worstBefore := newEngineSimulation(88, false, equal).play(180, false).fractions()
	after, worstAfter := newEngineSimulation(88, true, equal).play(180, false).fractions()
	t.Logf("%.4f served in time, worst class %.4f; with speeds %.4f and %.4f", before, worstBefore, after, worstAfter)
	if after < before-0.005 || worstAfter < worstBefore-0.01 {
		t.Error("fewer are served in time with speeds than without")
	}
}
