package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	crashingPart = "badbad"
	// engineRestart is the time from the end of an engine until it is back.
	engineRestart = time.Second
	// enginePrefill is the time until an engine begins to write a response, engineStep the
	// time between events.
	enginePrefill = 20 * time.Millisecond
	engineStep    = 20 * time.Millisecond
	engineEvents  = 5
)

type (
	// crashingEngine is a model engine that ends shortly after it has begun to write a
	// response for a prompt with crashingPart, and is back after engineRestart.
	crashingEngine struct {
		t       *testing.T
		group   *controlGroup
		address string
		fleet   *engineFleet

		mu     sync.Mutex
		server *http.Server
	}

	// engineFleet is a set of engines with what happened to them.
	engineFleet struct {
		mu      sync.Mutex
		running sync.WaitGroup
		stopped bool
		// ends holds the times at which engines ended, arrivals those at which requests with
		// crashingPart reached an engine.
		ends, arrivals []time.Duration
	}

	// outcomes counts the requests of one kind by the status of their response; zero stands
	// for one that is broken off.
	outcomes struct {
		mu       sync.Mutex
		byStatus map[int]int
	}
)

func startEngineFleet(t *testing.T, group *controlGroup, engines int) *engineFleet {
	t.Helper()
	f := &engineFleet{}
	var all []*crashingEngine
	for range engines {
		e := &crashingEngine{t: t, group: group, address: reserveAddress(t), fleet: f}
		all = append(all, e)
		e.start()
	}
	t.Cleanup(func() {
		f.mu.Lock()
		f.stopped = true
		f.mu.Unlock()
		for _, e := range all {
			e.mu.Lock()
			if e.server != nil {
				_ = e.server.Close()
			}
			e.mu.Unlock()
		}
		f.running.Wait()
	})
	return f
}

// start makes the engine listen and announces a new run of it to the control processes.
func (e *crashingEngine) start() {
	e.t.Helper()
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		e.t.Error(err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	e.fleet.running.Go(func() { _ = server.Serve(l) })
	incarnation := uint64(time.Now().UnixNano())
	e.group.spread(&wire.Upstream{
		Id: fmt.Sprintf("i-%x", incarnation), Incarnation: incarnation, Sequence: 1, Url: "http://" + e.address, FailureDomain: "a",
		Kind: string(registrar.KindService), Serves: []string{"engines"}, State: string(registrar.Serving),
		Load: &wire.Load{Slots: 16}, UpMillis: 1,
	})
}

// crash ends the engine with all its connections. It returns false if that has ended already.
func (e *crashingEngine) crash() bool {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return false
	}
	e.fleet.mu.Lock()
	e.fleet.ends = append(e.fleet.ends, timer.Now())
	e.fleet.mu.Unlock()
	_ = server.Close()
	return true
}

// restart starts the engine again after engineRestart.
func (e *crashingEngine) restart() {
	timer.Sleep(context.Background(), engineRestart)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if !e.fleet.stopped {
		e.start()
	}
}

func (e *crashingEngine) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	crashes := bytes.Contains(body, []byte(crashingPart))
	if crashes {
		e.fleet.mu.Lock()
		e.fleet.arrivals = append(e.fleet.arrivals, timer.Now())
		e.fleet.mu.Unlock()
	}
	timer.Sleep(r.Context(), enginePrefill)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(translator.HeaderAttempt, r.Header.Get(translator.HeaderAttempt))
	_ = http.NewResponseController(w).Flush()
	if crashes {
		timer.Sleep(r.Context(), engineStep)
		if r.Context().Err() == nil && e.crash() {
			e.fleet.running.Go(e.restart)
		}
		return
	}
	for n := 1; n <= engineEvents; n++ {
		if !timer.Sleep(r.Context(), engineStep) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
	}
}

// spread makes an upstream known to all control processes, as their gossip does.
func (g *controlGroup) spread(u *wire.Upstream) {
	for _, client := range g.clients {
		_ = client.Notify(context.Background(), &wire.Request{Kind: &wire.Request_Spread{Spread: &wire.Spread{Host: "other", Upstreams: []*wire.Upstream{u}}}})
	}
}

// earnRetries gives the process the retries of one that has been running for some time.
func earnRetries(r *Router) {
	r.dispatcher.budgets.Confirm(r.dispatcher.now()-retrier.ConfirmationTime, 1)
}

// startServingEntry runs an entry process and returns its URL for clients.
func startServingEntry(t *testing.T, id string, control []string) (*Router, string) {
	t.Helper()
	s := &settings.Settings{
		Host: &settings.Host{Id: id, FailureDomain: "a"},
		Entry: &settings.Entry{
			FollowControl: true, ServeStale: true, ControlAddresses: control, AnnouncementLease: durationpb.New(time.Minute),
			SyncInterval: durationpb.New(time.Second), Freshness: durationpb.New(5 * time.Second),
			SharedBudget: &settings.SharedBudget{Ratio: 0.2, Allowance: 50, Window: durationpb.New(10 * time.Second)},
		},
	}
	validator.FillDefaults(s)
	r, err := New(s, translator.NativeDialect(), zap.NewNop(), instrumenter.New("entry"))
	if err != nil {
		t.Fatal(err)
	}
	earnRetries(r)
	server := httptest.NewServer(r.clientHandler())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{r.controlPlane.run, r.fetcher.Run, r.controlPoller.run, r.dispatcher.run} {
		running.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		running.Wait()
	})
	return r, server.URL
}

// engineDocument returns a document with a route to the engines.
func engineDocument() *state.Document {
	return &state.Document{Version: 1, Configuration: &state.Configuration{
		Pools:   []*state.Pool{{Name: "engines"}},
		Classes: []*state.Class{{Name: "chat", Tier: 1, Target: &state.Target{FirstToken: durationpb.New(2 * time.Second)}}},
		Routes: []*state.Route{{
			Name: "chat", PathPrefix: "/", Kind: configurer.KindService, Service: "engines", Classes: []string{"chat"},
			OpenToAll: true, EventStream: true, Resumable: true, Attempts: 2, Timeout: durationpb.New(5 * time.Second),
		}},
	}}
}

// requestNumber makes the last part of each prompt one of its own.
var requestNumber atomic.Int64

// ask sends a request whose prompt has two shared parts, and counts its outcome.
func (o *outcomes) ask(url, middle string) {
	parts := fmt.Sprintf("common:200,%s:100,own%d:20", middle, requestNumber.Add(1))
	status := 0
	request, err := http.NewRequest(http.MethodPost, url+"/x", bytes.NewBufferString(parts))
	if err == nil {
		request.Header.Set("Comfreybend-Prompt-Parts", parts)
		var response *http.Response
		if response, err = http.DefaultClient.Do(request); err == nil {
			status = response.StatusCode
			var body []byte
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if status == http.StatusOK && (err != nil || bytes.Count(body, []byte("data:")) != engineEvents) {
				status = 0
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byStatus[status]++
}

func (o *outcomes) count(status int) (matching, all int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s, n := range o.byStatus {
		all += n
		if s == status {
			matching = n
		}
	}
	return matching, all
}

// TestPromptPartThatCrashesEngines guards against a prompt part that ends one engine after the
// other, since each entry process sees only some of its requests and sends them, and their
// repeats, to the next engine.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	const (
		entries = 4
		// reactionTime is the time after the fifth end of an engine from which at most
		// mostArrivals requests with the part may still reach engines.
		reactionTime = 3 * time.Second
		mostArrivals = 3
		// recoveryTime is the time after which requests without the part are served again.
		recoveryTime = 2 * reactionTime
		observed     = 4 * time.Second
	)
	group := startControlGroup(t)
	revision := group.put(engineDocument())
	fleet := startEngineFleet(t, group, 8)
	var urls []string
	for i := range entries {
		r, url := startServingEntry(t, fmt.Sprint("entry-", i), group.addresses())
		r.awaitRevision(t, revision, setupTimeout)
		urls = append(urls, url)
		for end := timer.Now() + setupTimeout; r.dispatcher.servingCount("engines") < 8; timer.Sleep(t.Context(), 5*time.Millisecond) {
			if timer.Now() > end {
				t.Fatal("an entry process does not know the engines")
			}
		}
	}
	var (
		clients     sync.WaitGroup
		during      = &outcomes{byStatus: map[int]int{}}
		sound       = &outcomes{byStatus: map[int]int{}}
		crashing    = &outcomes{byStatus: map[int]int{}}
		fifth       time.Duration
		arrivedLate int
	)
	start := timer.Now()
	for n := 0; fifth == 0 || timer.Now() < fifth+recoveryTime+observed; n++ {
		url := urls[n%entries]
		if n%2 == 0 {
			clients.Go(func() { crashing.ask(url, crashingPart) })
		}
		counted := during
		if fifth > 0 && timer.Now() > fifth+recoveryTime {
			counted = sound
		}
		clients.Go(func() { counted.ask(url, fmt.Sprint("good", n%5)) })
		timer.Sleep(t.Context(), 25*time.Millisecond)
		fleet.mu.Lock()
		if len(fleet.ends) >= 5 {
			fifth = fleet.ends[4]
		}
		fleet.mu.Unlock()
		if timer.Now() > start+setupTimeout {
			t.Fatal("fewer than five engines have ended")
		}
	}
	clients.Wait()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, at := range fleet.arrivals {
		if at > fifth+reactionTime {
			arrivedLate++
		}
	}
	t.Logf("%d engines ended, %d requests with the part reached engines; outcomes with it %v, without it %v, then %v",
		len(fleet.ends), len(fleet.arrivals), crashing.byStatus, during.byStatus, sound.byStatus)
	if arrivedLate > mostArrivals {
		t.Errorf("%d requests with the part reached engines later than %v after the fifth end, want at most %d", arrivedLate, reactionTime, mostArrivals)
	}
	if served, all := sound.count(http.StatusOK); served < all*9/10 {
		t.Errorf("%d of %d requests without the part were served %v after the fifth end, want nine in ten", served, all, recoveryTime)
	}
}

// servingCount returns the number of upstreams that accept new requests for a service.
func (d *dispatcher) servingCount(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.registry.Serving(registrar.KindService, service))
}
