package integration

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/router"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// soakSeedVariable and soakSecondsVariable choose a run by hand; make soak sets them.
	soakSeedVariable    = "SOAK_SEED"
	soakSecondsVariable = "SOAK_SECONDS"
	// soakSeconds is the length of a run in CI.
	soakSeconds = 12
	soakClients = 6
	soakTokens  = 12
	// soakTimeout bounds one request of a client.
	soakTimeout = 15 * time.Second
	// withdrawnAfter is the time after which a withdrawn key must work nowhere:
	// freshness, and what a request may take before its key is checked last.
	withdrawnAfter = freshness + 2*time.Second
)

// soakSeeds are the seeds that CI plays: one fresh one is played by hand each
// time, and each that ever failed stays here with its cause.
var soakSeeds = map[string]int64{
	"first": 1,
}

type (
	// soak is one run: a system, its upstreams, and what clients have seen.
	soak struct {
		*system
		random  *rand.Rand
		engines []*upstreamProcess
		orders  []*upstreamProcess
		until   time.Time

		mu sync.Mutex
		// disturbed holds the spans in which a process or link was disturbed.
		disturbed []disturbance
		// placed holds each order's outcome by reference.
		placed map[string]router.RunStatus
		// withdrawn holds the time of each withdrawal's acknowledgement by key.
		withdrawn map[string]time.Time
		changes   map[string]bool
		counts    map[string]int
		faults    []string
	}

	// disturbance is a span; planned stops are told apart from faults.
	disturbance struct {
		target  string
		planned bool
		from    time.Time
		to      time.Time
	}
)

// done stands for the outcome of an order that was answered.
const done router.RunStatus = "done"

// TestSoak plays random faults against whole systems and checks the promises
// from what callers and upstreams see. make soak SEED=... plays one longer.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	length := soakSeconds
	if text := os.Getenv(soakSeedVariable); text != "" {
		seed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = map[string]int64{"by hand": seed}
	}
	if text := os.Getenv(soakSecondsVariable); text != "" {
		seconds, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		length = seconds
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			newSoak(t, seed).play(time.Duration(length) * time.Second)
		})
	}
}

func newSoak(t *testing.T, seed int64) *soak {
	t.Logf("seed %d", seed)
	s := &soak{
		system: startSystem(t, layout{controls: 3, entries: []string{"a", "a", "b"}}),
		random: rand.New(rand.NewSource(seed)),
		placed: map[string]router.RunStatus{}, withdrawn: map[string]time.Time{},
		changes: map[string]bool{}, counts: map[string]int{},
	}
	s.configure()
	for i, domain := range []string{"a", "a", "b"} {
		id := fmt.Sprintf("engine-%d", i+1)
		s.engines = append(s.engines, s.startUpstream(id, domain, "model", "m", s.entries, "--token-interval", "20ms"))
	}
	for i, domain := range []string{"a", "b"} {
		id := fmt.Sprintf("orders-%d", i+1)
		s.orders = append(s.orders, s.startUpstream(id, domain, "service", "orders", s.entries))
	}
	return s
}

func (s *soak) play(length time.Duration) {
	key := s.grant("one").Key
	s.inForce(key, s.entries...)
	s.until = time.Now().Add(length)
	ctx, cancel := context.WithDeadline(s.t.Context(), s.until)
	defer cancel()
	var clients sync.WaitGroup
	for client := range soakClients {
		seed := s.random.Int63()
		clients.Go(func() { s.runClient(ctx, client, seed, key) })
	}
	clients.Go(func() { s.runOperator(ctx) })
	s.disturbUntil(ctx)
	clients.Wait()
	s.recover()
	s.check()
	s.t.Logf("faults: %s", strings.Join(s.faults, ", "))
	s.t.Logf("seen: %v", s.counts)
}

// runClient sends orders and completions, one after the other.
func (s *soak) runClient(ctx context.Context, client int, seed int64, key string) {
	random := rand.New(rand.NewSource(seed))
	for n := 0; ctx.Err() == nil; n++ {
		e := s.entries[random.Intn(len(s.entries))]
		if random.Intn(2) == 0 {
			s.placeOrder(e, key, fmt.Sprintf("soak-%d-%d", client, n))
		} else {
			s.askCompletion(e, key)
		}
	}
}

func (s *soak) placeOrder(e *entryProcess, key, reference string) {
	ctx, cancel := context.WithTimeout(context.Background(), soakTimeout)
	defer cancel()
	begun := time.Now()
	a := e.do(ctx, http.MethodPost, "/orders", key, fmt.Sprintf(`{"reference":%q}`, reference))
	outcome := a.run()
	if a.err == nil && a.status == http.StatusOK {
		outcome = done
		if !strings.Contains(a.body, fmt.Sprintf("%q", reference)) {
			s.t.Errorf("order %s got another one's answer: %s", reference, a.body)
		}
	}
	s.mu.Lock()
	s.placed[reference] = outcome
	s.counts[fmt.Sprintf("order %d", a.status)]++
	s.mu.Unlock()
	s.checkStop(e, begun, a)
}

// askCompletion checks that a stream is whole or visibly broken: never a clean end without all tokens.
func (s *soak) askCompletion(e *entryProcess, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), soakTimeout)
	defer cancel()
	begun := time.Now()
	a := e.do(ctx, http.MethodPost, "/v1/chat/completions", key, completionBody(soakTokens))
	s.mu.Lock()
	s.counts[fmt.Sprintf("completion %d", a.status)]++
	s.mu.Unlock()
	if a.status == http.StatusOK && a.err == nil {
		if tokens := strings.Count(a.body, `"delta"`); tokens < soakTokens || !strings.Contains(a.body, "data: [DONE]") {
			s.t.Errorf("a stream ended as complete with %d of %d tokens", tokens, soakTokens)
		}
	}
	s.checkStop(e, begun, a)
}

// checkStop fails if a planned stop, and nothing else, cut a request that had been accepted.
func (s *soak) checkStop(e *entryProcess, begun time.Time, a answered) {
	if a.err == nil || a.status == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := false
	for _, d := range s.disturbed {
		if d.to.Before(begun) {
			continue
		}
		if !d.planned {
			return
		}
		planned = planned || d.target == e.id
	}
	if planned {
		s.t.Errorf("%s cut a request while it stopped as planned: %v", e.id, a.err)
	}
}

// runOperator grants and withdraws keys and remembers what was acknowledged.
func (s *soak) runOperator(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("soak-%d", n)
		changing, cancel := context.WithTimeout(ctx, soakTimeout)
		granted, err := s.operator().GrantKey(changing, "two", -1, id)
		if err == nil {
			s.mu.Lock()
			s.changes[id] = true
			s.mu.Unlock()
			s.withdraw(changing, granted.ID, granted.Key, id+"-withdrawn")
		}
		cancel()
		s.probeWithdrawn()
	}
}

func (s *soak) withdraw(ctx context.Context, id, key, change string) {
	op := &state.Operation{Kind: &state.Operation_WithdrawKey{WithdrawKey: id}}
	if _, err := s.operator().Change(ctx, op, -1, change); err == nil {
		s.mu.Lock()
		s.withdrawn[key] = time.Now()
		s.changes[change] = true
		s.mu.Unlock()
	}
}

// probeWithdrawn asks an entry process with keys that were withdrawn long enough ago.
func (s *soak) probeWithdrawn() {
	s.mu.Lock()
	old := []string{}
	for key, at := range s.withdrawn {
		if time.Since(at) > withdrawnAfter {
			old = append(old, key)
		}
	}
	s.mu.Unlock()
	for _, key := range old[:min(2, len(old))] {
		for _, e := range s.entries {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			a := e.do(ctx, http.MethodGet, "/orders/none", key, "")
			cancel()
			if a.err == nil && a.status == http.StatusOK {
				s.t.Errorf("%s serves a key that was withdrawn over %v ago", e.id, withdrawnAfter)
			}
		}
	}
}

// disturbUntil brings about faults that follow and overlap each other.
func (s *soak) disturbUntil(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		fault := s.drawFault()
		running.Go(fault)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+s.random.Intn(1500)) * time.Millisecond):
		}
	}
}

// drawFault draws the next fault; everything random is drawn here, in one order.
func (s *soak) drawFault() func() {
	span := time.Duration(300+s.random.Intn(2500)) * time.Millisecond
	entry := s.entries[s.random.Intn(len(s.entries))]
	control := s.controls[s.random.Intn(len(s.controls))]
	engine := s.engines[s.random.Intn(len(s.engines))]
	order := s.orders[s.random.Intn(len(s.orders))]
	other := s.controls[s.random.Intn(len(s.controls))]
	faults := []struct {
		name string
		act  func()
	}{
		{"freeze " + control.id, func() { s.pause(control.process, control.id, span) }},
		{"freeze " + entry.id, func() { s.pause(entry.process, entry.id, span) }},
		{"freeze " + engine.id, func() { s.pause(engine.process, engine.id, span) }},
		{"freeze " + order.id, func() { s.pause(order.process, order.id, span) }},
		{"kill " + control.id, func() { s.restart(control.process, control.id, syscall.SIGKILL) }},
		{"kill " + entry.id, func() { s.restart(entry.process, entry.id, syscall.SIGKILL) }},
		{"kill " + engine.id, func() { s.restart(engine.process, engine.id, syscall.SIGKILL) }},
		{"stop " + entry.id, func() { s.restart(entry.process, entry.id, syscall.SIGTERM) }},
		{"stop " + control.id, func() { s.restart(control.process, control.id, syscall.SIGTERM) }},
		{"cut " + control.id + " " + other.id, func() { s.cutFor(control.id, other.id, span) }},
		{"cut " + control.id + " " + entry.id, func() { s.cutFor(entry.id, control.id, span) }},
		{"cut answers of " + order.id, func() { s.failFor(order, emulator.Faults{CutBody: true}, span) }},
		{"cross answers of " + engine.id, func() { s.failFor(engine, emulator.Faults{CrossAnswers: true}, span) }},
		{"break streams of " + engine.id, func() { s.failFor(engine, emulator.Faults{CutAfterEvents: 5}, span) }},
	}
	chosen := faults[s.random.Intn(len(faults))]
	s.faults = append(s.faults, chosen.name)
	return chosen.act
}

// during remembers a span in which a target is disturbed.
func (s *soak) during(target string, planned bool, act func()) {
	s.mu.Lock()
	index := len(s.disturbed)
	s.disturbed = append(s.disturbed, disturbance{
		target: target, planned: planned, from: time.Now(), to: time.Now().Add(time.Hour),
	})
	s.mu.Unlock()
	act()
	s.mu.Lock()
	// What a fault has broken is noticed a little later.
	s.disturbed[index].to = time.Now().Add(5 * time.Second)
	s.mu.Unlock()
}

func (s *soak) pause(p *process, id string, span time.Duration) {
	s.during(id, false, func() {
		p.freeze()
		time.Sleep(span)
		p.thaw()
	})
}

// restart ends a process and starts it again; only one restart of a process runs at a time.
func (s *soak) restart(p *process, id string, signal syscall.Signal) {
	s.mu.Lock()
	for _, d := range s.disturbed {
		if d.target == id && time.Now().Before(d.to) {
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.during(id, signal == syscall.SIGTERM, func() {
		p.signal(signal)
		p.awaitExit()
		p.start()
	})
}

func (s *soak) cutFor(from, to string, span time.Duration) {
	if from == to {
		return
	}
	s.during(from+" "+to, false, func() {
		s.network.mu.Lock()
		link := s.network.links[linkName(from, to)]
		s.network.mu.Unlock()
		if link == nil {
			return
		}
		// A link that another cut holds already stays as it is.
		if _, err := link.Toxics.AddToxicJson(strings.NewReader(
			`{"name":"soak","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)); err != nil {
			return
		}
		time.Sleep(span)
		s.network.heal(from, to)
	})
}

func (s *soak) failFor(u *upstreamProcess, f emulator.Faults, span time.Duration) {
	s.during(u.id, false, func() {
		// A frozen or killed stand-in takes no faults; the span is one of that fault then.
		if u.tryFault(f) != nil {
			return
		}
		time.Sleep(span)
		eventually(s.t, startWithin, func() error { return u.tryFault(emulator.Faults{}) })
	})
}

// recover ends every disturbance and waits until every entry process serves.
func (s *soak) recover() {
	key := s.grant("one").Key
	for _, e := range s.entries {
		eventually(s.t, startWithin, e.ready)
	}
	s.inForce(key, s.entries...)
	for _, e := range s.entries {
		s.served(e, key)
	}
}

// check compares what clients were told with what upstreams ran, and what was acknowledged with what is kept.
func (s *soak) check() {
	ran := map[string]int{}
	for _, u := range s.orders {
		for reference, runs := range u.stats(s.t).Orders {
			ran[reference] += runs
		}
	}
	for reference, outcome := range s.placed {
		switch runs := ran[reference]; {
		case runs > 1:
			s.t.Errorf("order %s ran %d times", reference, runs)
		case outcome == router.NotRun && runs > 0:
			s.t.Errorf("order %s ran, though it was refused as not run", reference)
		case outcome == done && runs != 1:
			s.t.Errorf("order %s was answered and ran %d times", reference, runs)
		}
	}
	reply, err := s.operator().Read(s.t.Context(), "audit")
	if err != nil {
		s.t.Fatal(err)
	}
	kept := map[string]bool{}
	for _, record := range reply.GetAudit() {
		kept[record.GetChangeId()] = record.GetOutcome().GetAccepted()
	}
	for id := range s.changes {
		if !kept[id] {
			s.t.Errorf("change %s was acknowledged and is gone", id)
		}
	}
}
