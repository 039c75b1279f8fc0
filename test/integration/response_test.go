package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// shortSilenceTimeouts lets entry processes detect silent upstream connections early.
func shortSilenceTimeouts(s *settings.Settings) {
	s.Entry.UpstreamLimits = &settings.UpstreamLimits{
		SilenceTimeout: durationpb.New(time.Second),
		ProbeTimeout:   durationpb.New(500 * time.Millisecond),
	}
}

// TestBrokenStreams guards against lost and duplicated tokens when a stream is
// resumed. One engine cuts its streams, falls silent or sends the response of
// another attempt; the other engine resumes them, once from the first event. A
// resumed stream that skips events must not end cleanly.
func TestBrokenStreams(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}, adjustEntry: shortSilenceTimeouts})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-a", "a", "service", "orders", s.entries)
	broken := s.startUpstream("engine-1", "a", "model", "m", s.entries, "--token-interval", "10ms")
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	healthy := s.startUpstream("engine-2", "a", "model", "m", s.entries, "--token-interval", "10ms")

	for name, f := range map[string]struct{ first, second emulator.InjectedFaults }{
		"cut":                    {first: emulator.InjectedFaults{CutAfterEvents: 5}},
		"silent":                 {first: emulator.InjectedFaults{StallAfterEvents: 5}},
		"crossed":                {first: emulator.InjectedFaults{MismatchAttempts: true}},
		"resumed from the start": {first: emulator.InjectedFaults{CutAfterEvents: 5}, second: emulator.InjectedFaults{IgnoreResume: true}},
	} {
		t.Run(name, func(t *testing.T) {
			broken.setFaults(t, f.first)
			healthy.setFaults(t, f.second)
			before := broken.stats(t).Calls
			const tokens = 30
			for broken.stats(t).Calls == before {
				checkTokens(t, e.complete(key.Key, tokens), tokens)
			}
		})
	}
	if healthy.stats(t).Resumed < 3 {
		t.Errorf("only %d streams were resumed", healthy.stats(t).Resumed)
	}
	broken.setFaults(t, emulator.InjectedFaults{CutAfterEvents: 5})
	healthy.setFaults(t, emulator.InjectedFaults{SkipEvents: 2})
	before := healthy.stats(t).Resumed
	for healthy.stats(t).Resumed == before {
		if a := e.complete(key.Key, 30); a.err == nil && healthy.stats(t).Resumed != before {
			t.Errorf("a stream that skipped events ended cleanly: %s", a.body)
		}
	}
}

// TestCacheEvents guards against prompts that are processed again although another
// entry process knows where they are cached. One engine caches prompts and
// announces that to the first entry process only; the second one must send the
// same prompts to it, although it has another engine to choose.
func TestCacheEvents(t *testing.T) {
	const prompts = 8
	s := startSystem(t, layout{controls: 1, entries: []string{"a", "a"}})
	s.configure()
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	holder := s.startUpstream("engine-1", "a", "model", "m", s.entries[:1])
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key.Key)
	}
	ask := func(e *entryProcess, n int) {
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":1,"messages":"prompt %d"}`, n)
		if a := e.do(t.Context(), http.MethodPost, "/v1/chat/completions", key.Key, body); a.status != http.StatusOK {
			t.Fatalf("status %d, body %s", a.status, a.body)
		}
	}
	for n := range prompts {
		ask(s.entries[0], n)
	}
	other := s.startUpstream("engine-2", "a", "model", "m", s.entries)
	eventually(t, waitTimeout, func() error {
		s.entries[1].complete(key.Key, 1)
		if other.stats(t).Calls == 0 {
			return fmt.Errorf("the second engine has received no request yet")
		}
		return nil
	})
	before := holder.stats(t).CacheHits
	for n := range prompts {
		ask(s.entries[1], n)
	}
	if hits := holder.stats(t).CacheHits - before; hits != prompts {
		t.Errorf("%d of %d prompts went to the engine that has them cached", hits, prompts)
	}
}

// TestUnresumableStream guards against truncated streams that look complete. The
// only engine cuts a stream: the client must see an error, and the entry process
// must log all steps of the failure with the ID of the request.
func TestUnresumableStream(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-a", "a", "service", "orders", s.entries)
	engine := s.startUpstream("engine-1", "a", "model", "m", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	engine.setFaults(t, emulator.InjectedFaults{CutAfterEvents: 5})
	if a := e.complete(key.Key, 20); a.err == nil {
		t.Errorf("a truncated stream ended cleanly: %s", a.body)
	}
	id := e.awaitLogLine("upstream stream was interrupted", "")
	for _, message := range []string{"attempt failed", "request refused", "response to the client was aborted"} {
		e.awaitLogLine(message, id)
	}
}

// TestOrdersRunAtMostOnce guards against orders that run twice. Orders are resent
// through another host after a complete response and after a truncated one, and an
// idempotency key is used for a second order. An order to a killed service must be
// refused as not run.
func TestOrdersRunAtMostOnce(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	service := s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	first, second := s.entries[0], s.entries[1]

	if a := first.placeOrder(key.Key, "plain", "Idempotency-Key", "k1"); a.status != http.StatusOK {
		t.Fatalf("order: status %d, body %s", a.status, a.body)
	}
	replay := second.placeOrder(key.Key, "plain", "Idempotency-Key", "k1")
	if replay.status != http.StatusOK || replay.header.Get(translator.HeaderReplayed) != "true" {
		t.Errorf("resend through another host: status %d, body %s", replay.status, replay.body)
	}
	if a := second.placeOrder(key.Key, "other", "Idempotency-Key", "k1"); a.status != http.StatusUnprocessableEntity {
		t.Errorf("another order under the same idempotency key: status %d, body %s", a.status, a.body)
	}

	service.setFaults(t, emulator.InjectedFaults{CutBody: true})
	if a := first.placeOrder(key.Key, "cut", "Idempotency-Key", "k2"); a.status != http.StatusBadGateway || a.run() != translator.MayHaveRun {
		t.Errorf("truncated response: status %d, run %q, body %s", a.status, a.run(), a.body)
	}
	if a := first.placeOrder(key.Key, "unclaimed"); a.run() != translator.MayHaveRun {
		t.Errorf("truncated response without idempotency key: status %d, run %q, body %s", a.status, a.run(), a.body)
	}
	service.setFaults(t, emulator.InjectedFaults{})
	if a := second.placeOrder(key.Key, "cut", "Idempotency-Key", "k2"); a.status != http.StatusConflict || a.run() != translator.MayHaveRun {
		t.Errorf("resend of an order in doubt: status %d, run %q, body %s", a.status, a.run(), a.body)
	}
	for reference, runs := range service.stats(t).Orders {
		if runs != 1 {
			t.Errorf("order %s ran %d times", reference, runs)
		}
	}

	service.kill()
	a := first.placeOrder(key.Key, "down", "Idempotency-Key", "k3")
	if a.status/100 != 5 || a.run() != translator.NotRun || a.header.Get("Retry-After") == "" {
		t.Errorf("order to a killed service: status %d, run %q, body %s", a.status, a.run(), a.body)
	}
}

// TestOrderWithoutQuorum guards against running an order that was not claimed. Two
// of three control processes are frozen: an order with an idempotency key must be
// refused as not run, and must run once after they are thawed.
func TestOrderWithoutQuorum(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	service := s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	for _, c := range s.controls[1:] {
		c.freeze()
	}
	a := e.placeOrder(key.Key, "lost", "Idempotency-Key", "k1")
	if a.status != http.StatusServiceUnavailable || a.run() != translator.NotRun || a.header.Get("Retry-After") == "" {
		t.Errorf("order without quorum: status %d, run %q, body %s", a.status, a.run(), a.body)
	}
	if runs := service.stats(t).Orders["lost"]; runs != 0 {
		t.Errorf("the refused order ran %d times", runs)
	}
	for _, c := range s.controls[1:] {
		c.thaw()
	}
	eventually(t, waitTimeout, func() error {
		return checkStatus(e.placeOrder(key.Key, "lost", "Idempotency-Key", "k2"), http.StatusOK)
	})
	if runs := service.stats(t).Orders["lost"]; runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}
