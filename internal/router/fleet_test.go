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
	sharedPromptTokens = 13_000
	ownPromptTokens    = 3_700
	outputTokens       = 120
	engineSlots        = 64
	firstTokenTarget   = 3 * time.Second
	answerTimeLimit    = 12 * time.Second
	simulationTick     = 5 * time.Millisecond
	simulationLength   = 20 * time.Second

	// The figures of the engines are those that the platform documents.
	prefillTokensPerSecond = 36_700
	prefillChunkTokens     = 4096
	stepTime               = 4340 * time.Microsecond
	stepTimePerRequest     = 151 * time.Microsecond
)

type (
	// clusterSimulation runs many entry processes and a few engines in simulated time.
	clusterSimulation struct {
		now     time.Duration
		random  *rand.Rand
		entries []*dispatcher
		shares  *gatherer.Gatherer[registrar.UpstreamID]
		engines map[registrar.UpstreamID]*simulatedEngine
		// order lists the engines in a fixed order, to make runs reproducible.
		order   []*simulatedEngine
		ids     []registrar.UpstreamID
		waiting []*simulatedRequest
		// replaceEvery is the time between two replacements of an engine by a new one.
		replaceEvery time.Duration
		// load is the utilisation of the engines by the requests' own prompt tokens.
		load            float64
		firstTokenTimes []time.Duration
		// arrived, refused, complete, timedOut and interrupted count requests;
		// documentPrefills counts those for which an engine had to process the document.
		arrived, refused, complete, timedOut, documentPrefills, interrupted int
		// lostDocuments counts the documents that no engine had in its cache after a loss.
		lostDocuments int
		// engineCount is the number of engines started so far.
		engineCount int
	}

	// simulatedEngine runs requests in steps. Each step generates one token of every
	// answer and processes one chunk of the first prompt that is not processed yet.
	simulatedEngine struct {
		queue   []*simulatedRequest
		running []*simulatedRequest
		cached  map[picker.PrefixID]bool
		// stepEnd is when the current step ends.
		stepEnd time.Duration
	}

	simulatedRequest struct {
		entry           *dispatcher
		ticket          *waiter
		grant           *grant
		document        picker.PrefixID
		arrived         time.Duration
		uncachedTokens  int
		remainingOutput int
		firstTokenSent  bool
	}
)

// TestClusterLoadRelievesHotEngines guards against overloaded engines while others have
// room. It happens when several popular documents are cached at the same engine: each of
// many entry processes sees only a few of the requests, so none detects the overload from
// its own. The test requires that 95% of the first tokens arrive within the objective.
func TestClusterLoadRelievesHotEngines(t *testing.T) {
	for name, processes := range map[string]int{"few processes": 6, "many processes": 80} {
		t.Run(name, func(t *testing.T) {
			run := newClusterSimulation(t, processes, 0.5)
			for run.now < simulationLength {
				run.tick()
			}
			t.Log(run.String())
			if late := run.lateCount() + run.refused; late*20 > run.arrived {
				t.Errorf("%d of %d requests were refused or got their first token after %v", late, run.arrived, firstTokenTarget)
			}
		})
	}
}

// String summarises the results.
func (f *clusterSimulation) String() string {
	sort.Slice(f.firstTokenTimes, func(i, j int) bool { return f.firstTokenTimes[i] < f.firstTokenTimes[j] })
	n := len(f.firstTokenTimes)
	return fmt.Sprintf("%d arrived, %d refused, %d complete, %d timed out, %d late, %d interrupted, %d documents processed; first token median %v, 95th percentile %v",
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

// replaceEngine stops a random engine and starts a new one.
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

// exchangeLoad sends every process the cluster load.
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

// arrive sends a request about a document. Low numbers are more popular.
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

// isCached reports whether any engine has a document in its cache.
func (f *clusterSimulation) isCached(document picker.PrefixID) bool {
	for _, e := range f.order {
		if e.cached[document] {
			return true
		}
	}
	return false
}

// dispatch hands granted requests to their engines.
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

// stepEngine runs one step of an engine.
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

// advance generates one token of a request and reports whether the request has ended.
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

// lateCount returns the number of requests whose first token arrived after the target or
// is overdue.
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

// TestOvercommittedRequestsAreRefused guards against engines that accept more prompts than
// they can process, so that answers time out. At most 5% of the accepted requests may time
// out, and twice the load must not reduce the number of completed requests.
func TestOvercommittedRequestsAreRefused(t *testing.T) {
	const fullLoad = 0.8
	served := map[float64]int{}
	for _, load := range []float64{fullLoad, 2 * fullLoad} {
		run := newClusterSimulation(t, 80, load)
		for run.now < simulationLength {
			run.tick()
		}
		t.Log(load, run.String())
		served[load] = run.complete
		if begun := run.arrived - run.refused; run.timedOut*20 > begun {
			t.Errorf("load %v: %d of %d accepted requests timed out", load, run.timedOut, begun)
		}
	}
	if served[2*fullLoad] < served[fullLoad] {
		t.Errorf("%d requests completed at full load, %d at twice the load", served[fullLoad], served[2*fullLoad])
	}
}

// TestCachedPartsAreSharedAmongProcesses guards against prompt parts that are processed
// again although an engine has them in its cache, while engines are lost and replaced as
// preemptible ones are. Processing a document is needed once, and once more after the last
// engine that has it was lost. More is useful only where one engine cannot serve all
// requests for a document, so at least half of the processing must be needed.
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
				t.Errorf("documents were processed %d times, %d needed", run.documentPrefills, needed)
			}
		})
	}
}
