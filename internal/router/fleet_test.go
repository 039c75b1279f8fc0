package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	simulatedEngines   = 16
	simulatedDocuments = 24
	sharedPromptTokens    = 13_000
	ownPromptTokens       = 3_700
	outputTokens       = 120
	engineSlots     = 64
	firstTokenTarget    = 3 * time.Second
	answerTimeLimit     = 12 * time.Second
	simulationTick      = 5 * time.Millisecond
	simulationLength    = 20 * time.Second

	// The engines' figures are those of the platform's pages.
	prefillTokensPerSecond = 36_700
	prefillChunkTokens    = 4096
	stepTime     = 4340 * time.Microsecond
	stepTimePerRequest = 151 * time.Microsecond
)

type (
	// clusterSimulation plays many entry processes before a few engines in simulated time.
	clusterSimulation struct {
		now     time.Duration
		random  *rand.Rand
		entries []*dispatcher
		shares  *gatherer.Gatherer[registrar.UpstreamID]
		engines map[registrar.UpstreamID]*simulatedEngine
		// order lists the engines, so that each run is the same.
		order   []*simulatedEngine
		ids     []registrar.UpstreamID
		waiting []*simulatedRequest
		// replaceEvery is the time between losses of an engine, which a new one follows.
		replaceEvery time.Duration
		// load is the part of the engines' time that the requests' own tokens take.
		load float64
		// firstTokenTimes are the times to the first token.
		firstTokenTimes []time.Duration
		// arrived, refused, complete, timedOut and documentPrefills count requests.
		arrived, refused, complete, timedOut, documentPrefills, interrupted int
		// lostDocuments counts the documents whose last holder was lost.
		lostDocuments int
		// engineCount numbers the engines.
		engineCount int
	}

	// simulatedEngine runs requests in steps: each makes one token of every answer
	// and reads one chunk of the first prompt that is not read.
	simulatedEngine struct {
		queue   []*simulatedRequest
		running []*simulatedRequest
		cached    map[picker.PrefixID]bool
		// stepEnd is when the step in progress ends.
		stepEnd time.Duration
	}

	simulatedRequest struct {
		entry    *dispatcher
		ticket   *waiter
		grant    *grant
		document picker.PrefixID
		arrived  time.Duration
		uncachedTokens   int
		remainingOutput      int
		firstTokenSent     bool
	}
)

// TestClusterLoadRelievesHotEngines answers the pattern of many entry processes that each
// see few of the requests: engines that several much-asked documents are at
// home at are overloaded, which none of the processes can see from its own
// requests. The first token must come in time for 95 of 100 requests, the
// objective that the users name, while the engines have room.
func TestClusterLoadRelievesHotEngines(t *testing.T) {
	for name, processes := range map[string]int{"few processes": 6, "many processes": 80} {
		t.Run(name, func(t *testing.T) {
			run := newClusterSimulation(t, processes, 0.5)
			for run.now < simulationLength {
				run.tick()
			}
			t.Log(run.String())
			if late := run.lateCount() + run.refused; late*20 > run.arrived {
				t.Errorf("%d of %d first tokens are later than %v", late, run.arrived, firstTokenTarget)
			}
		})
	}
}

// String sums up the run.
func (f *clusterSimulation) String() string {
	sort.Slice(f.firstTokenTimes, func(i, j int) bool { return f.firstTokenTimes[i] < f.firstTokenTimes[j] })
	n := len(f.firstTokenTimes)
	return fmt.Sprintf("%d arrived, %d refused, %d complete, %d cut, %d late, %d broken, %d documents read; first token median %v, 95 in 100 %v",
		f.arrived, f.refused, f.complete, f.timedOut, f.lateCount(), f.interrupted, f.documentPrefills, f.firstTokenTimes[n/2], f.firstTokenTimes[n*95/100])
}

func newClusterSimulation(t *testing.T, processes int, load float64) *clusterSimulation {
	t.Helper()
	f := &clusterSimulation{
		random:  rand.New(rand.NewPCG(7, uint64(processes))), //nolint:gosec // The same sequence each time.
		shares:  gatherer.New[registrar.UpstreamID](time.Second),
		engines: map[registrar.UpstreamID]*simulatedEngine{},
		load:    load,
	}
	for range simulatedEngines {
		f.addEngine()
	}
	for range processes {
		f.entries = append(f.entries, f.newEntry(t))
	}
	return f
}

func (f *clusterSimulation) newEntry(t *testing.T) *dispatcher {
	t.Helper()
	s := &settings.Settings{Host: &settings.Host{Id: "e", FailureDomain: "a"}, Entry: &settings.Entry{}}
	validator.FillDefaults(s)
	s.Entry.UpstreamLimits.InitialConcurrency = 64
	s.Entry.UpstreamLimits.MaximumConcurrency = 64
	r, err := New(s, Own(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	d := r.dispatcher
	d.now = func() time.Duration { return f.now + time.Hour }
	for _, id := range f.ids {
		d.applyAnnouncement(f.announcement(d, id, registrar.Serving))
	}
	return d
}

func (f *clusterSimulation) announcement(d *dispatcher, id registrar.UpstreamID, state registrar.State) registrar.Upstream {
	sequence := registrar.Sequence(1)
	if state != registrar.Serving {
		sequence++
	}
	return registrar.Upstream{
		ID: id, Incarnation: 1, Sequence: sequence, URL: "http://127.0.0.1:1", FailureDomain: "a",
		Kind: registrar.KindModel, Serves: []string{"m"}, State: state,
		Load: registrar.Load{Slots: engineSlots}, HeardAt: d.now(), StartedAt: f.now + time.Second,
	}
}

func (f *clusterSimulation) addEngine() registrar.UpstreamID {
	e := &simulatedEngine{cached: map[picker.PrefixID]bool{}, stepEnd: f.now}
	id := registrar.UpstreamID(fmt.Sprint("engine-", f.engineCount))
	f.engineCount++
	f.order = append(f.order, e)
	f.ids = append(f.ids, id)
	f.engines[id] = e
	return id
}

// replaceEngine loses an engine; a new one takes its place.
func (f *clusterSimulation) replaceEngine() {
	i := f.random.IntN(len(f.order))
	lost, id := f.order[i], f.ids[i]
	f.order = slices.Delete(f.order, i, i+1)
	f.ids = slices.Delete(f.ids, i, i+1)
	delete(f.engines, id)
	for document := range lost.cached {
		if !f.isCached(document) {
			f.lostDocuments++
		}
	}
	for _, r := range append(lost.queue, lost.running...) {
		r.entry.release(r.grant, outcomeFailed, 1)
		f.interrupted++
	}
	added := f.addEngine()
	for _, d := range f.entries {
		d.applyAnnouncement(f.announcement(d, id, registrar.Leaving))
		d.applyAnnouncement(f.announcement(d, added, registrar.Serving))
	}
}

func (f *clusterSimulation) tick() {
	f.now += simulationTick
	if f.now%announcer.LoadPace(len(f.entries)) == 0 {
		f.exchangeLoad()
	}
	if f.replaceEvery > 0 && f.now%f.replaceEvery == 0 {
		f.replaceEngine()
	}
	perTick := f.load * simulatedEngines * prefillTokensPerSecond / ownPromptTokens * simulationTick.Seconds()
	for perTick > f.random.Float64() {
		f.arrive()
		perTick--
	}
	f.dispatch()
	for _, e := range f.order {
		for e.stepEnd <= f.now {
			f.stepEngine(e)
		}
	}
}

// exchangeLoad tells every process the others' load.
func (f *clusterSimulation) exchangeLoad() {
	told := make([]*wire.LoadShare, len(f.entries))
	reply := &wire.FollowReply{Table: 1}
	for i, d := range f.entries {
		told[i] = d.loadShare()
		reply.Held = append(reply.Held, told[i].GetHeld()...)
		f.shares.Note(f.now, gatherer.Source(fmt.Sprint(i)), announcer.LoadsFromWire(told[i].GetLoads()))
	}
	sums, _ := f.shares.Since(f.now, 0)
	reply.Loads = announcer.LoadsToWire(sums)
	for i, d := range f.entries {
		d.applyClusterLoad(told[i], reply)
	}
}

// arrive sends a request about a document, some of which are asked for more than others.
func (f *clusterSimulation) arrive() {
	document := picker.PrefixID(fmt.Sprint("document-", int(simulatedDocuments*f.random.Float64()*f.random.Float64())))
	d := f.entries[f.random.IntN(len(f.entries))]
	now := d.now()
	t, refusal := d.enqueue(dispatchRequest{
		pool:  poolKey{kind: registrar.KindModel, name: "m"},
		class: &state.Class{Name: "review", Tier: 1}, organisation: "one", arrived: now, deadline: now + answerTimeLimit,
		prompt: &picker.PromptRequest{
			Class: "review", In: sharedPromptTokens + ownPromptTokens, Out: outputTokens, FirstToken: firstTokenTarget, TimeLimit: answerTimeLimit,
			Parts: []picker.Part{{ID: document, Tokens: sharedPromptTokens}, {ID: "own", Tokens: ownPromptTokens}},
		},
	})
	f.arrived++
	if refusal != nil {
		f.refused++
		return
	}
	f.waiting = append(f.waiting, &simulatedRequest{
		entry: d, ticket: t, document: document, arrived: f.now, uncachedTokens: ownPromptTokens, remainingOutput: outputTokens,
	})
}

// isCached reports that some engine has read a document.
func (f *clusterSimulation) isCached(document picker.PrefixID) bool {
	for _, e := range f.order {
		if e.cached[document] {
			return true
		}
	}
	return false
}

// dispatch hands over the requests whose upstreams were chosen.
func (f *clusterSimulation) dispatch() {
	var left []*simulatedRequest
	for _, r := range f.waiting {
		select {
		case r.grant = <-r.ticket.granted:
			e := f.engines[r.grant.upstream.ID]
			if e == nil {
				r.entry.release(r.grant, outcomeFailed, 1)
				f.interrupted++
				continue
			}
			e.queue = append(e.queue, r)
		default:
			left = append(left, r)
		}
	}
	f.waiting = left
}

// stepEngine makes one step of an engine.
func (f *clusterSimulation) stepEngine(e *simulatedEngine) {
	for len(e.queue) > 0 && len(e.running) < engineSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if !e.cached[r.document] {
			r.uncachedTokens += sharedPromptTokens
			f.documentPrefills++
		}
		e.cached[r.document] = true
		e.running = append(e.running, r)
	}
	if len(e.running) == 0 {
		e.stepEnd = f.now + simulationTick
		return
	}
	took := stepTime + time.Duration(len(e.running))*stepTimePerRequest
	for _, r := range e.running {
		if r.uncachedTokens > 0 {
			chunk := min(prefillChunkTokens, r.uncachedTokens)
			r.uncachedTokens -= chunk
			took += time.Duration(chunk) * time.Second / prefillTokensPerSecond
			break
		}
	}
	e.stepEnd = max(e.stepEnd, f.now-simulationTick) + took
	var left []*simulatedRequest
	for _, r := range e.running {
		if !f.advance(e, r) {
			left = append(left, r)
		}
	}
	e.running = left
}

// advance gives a request the token of a step and reports that it has ended.
func (f *clusterSimulation) advance(e *simulatedEngine, r *simulatedRequest) bool {
	if e.stepEnd-r.arrived > answerTimeLimit {
		f.timedOut++
		r.entry.release(r.grant, outcomeAbandoned, 1)
		return true
	}
	if r.uncachedTokens > 0 {
		return false
	}
	if !r.firstTokenSent {
		r.firstTokenSent = true
		f.firstTokenTimes = append(f.firstTokenTimes, e.stepEnd-r.arrived)
		r.entry.firstTokenReceived(r.grant)
	}
	r.remainingOutput--
	if r.remainingOutput > 0 {
		return false
	}
	f.complete++
	r.entry.release(r.grant, outcomeAnswered, scheduler.Cost(1))
	return true
}

// lateCount counts the requests whose first token came after the target, or is due.
func (f *clusterSimulation) lateCount() int {
	n := 0
	for _, took := range f.firstTokenTimes {
		if took > firstTokenTarget {
			n++
		}
	}
	for _, e := range f.order {
		for _, r := range append(e.queue, e.running...) {
			if !r.firstTokenSent && f.now-r.arrived > firstTokenTarget {
				n++
			}
		}
	}
	return n
}

// TestOvercommittedRequestsAreRefused answers the pattern of more prompts than
// the engines can read: what they take ends in time, and with twice the load no
// less is served than with all that fits.
func TestOvercommittedRequestsAreRefused(t *testing.T) {
	const fits = 0.8
	served := map[float64]int{}
	for _, load := range []float64{fits, 2 * fits} {
		run := newClusterSimulation(t, 80, load)
		for run.now < simulationLength {
			run.tick()
		}
		t.Log(load, run.String())
		served[load] = run.complete
		if begun := run.arrived - run.refused; run.timedOut*20 > begun {
			t.Errorf("load %v: %d of %d answers that were begun did not end in time", load, run.timedOut, begun)
		}
	}
	if served[2*fits] < served[fits] {
		t.Errorf("%d requests served of what fits, %d of twice as much", served[fits], served[2*fits])
	}
}

// TestCachedPartsAreSharedAmongProcesses answers the pattern of engines that come and go,
// as preemptible ones do: a document is read again when its last holder was
// lost, and otherwise only where one engine cannot serve all who ask for it.
// Half of the reading of shared parts at least must be needed so.
func TestCachedPartsAreSharedAmongProcesses(t *testing.T) {
	for name, processes := range map[string]int{"few processes": 6, "many processes": 80} {
		t.Run(name, func(t *testing.T) {
			run := newClusterSimulation(t, processes, 0.4)
			run.replaceEvery = time.Second
			for run.now < simulationLength {
				run.tick()
			}
			t.Log(run.String(), run.lostDocuments)
			if needed := simulatedDocuments + run.lostDocuments; run.documentPrefills > 2*needed {
				t.Errorf("documents were read %d times, needed were %d", run.documentPrefills, needed)
			}
		})
	}
}
