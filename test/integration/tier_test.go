package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/router"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// flood keeps a number of requests of a class going until the test says stop.
func (e *entryProcess) flood(wait *sync.WaitGroup, stop chan struct{}, clients int, key, class string, answered *atomic.Int64) {
	for range clients {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a := e.complete(key, 5, router.HeaderClass, class); a.status == http.StatusOK && a.err == nil {
					answered.Add(1)
				}
			}
		})
	}
}

func smallQueue(s *settings.Settings) {
	s.Entry.Queue = &settings.Queue{Waiting: 20, GuaranteedPercent: 5}
}

// TestLowTierBurst floods a full queue with the lowest tier: no request of
// the higher tier is refused.
func TestLowTierBurst(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}, adjustEntry: smallQueue})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	s.startUpstream("engine-1", "a", "model", "m", s.entries, "--slots", "2", "--token-interval", "5ms", "--first-token", "5ms")
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	var (
		wait  sync.WaitGroup
		batch atomic.Int64
		stop  = make(chan struct{})
	)
	e.flood(&wait, stop, 40, key.Key, "batch", &batch)
	for i := range 60 {
		if a := e.complete(key.Key, 5, router.HeaderClass, "chat"); a.status != http.StatusOK {
			t.Errorf("request %d of the higher tier: status %d, body %s", i, a.status, a.body)
		}
	}
	close(stop)
	wait.Wait()
	if batch.Load() == 0 {
		t.Error("the lower tier got nothing")
	}
}

// TestHighTierBurst saturates the pool with the highest tier for long: the
// lowest one still gets answers.
func TestHighTierBurst(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	s.startUpstream("engine-1", "a", "model", "m", s.entries, "--slots", "2", "--token-interval", "5ms", "--first-token", "5ms")
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	var (
		wait        sync.WaitGroup
		chat, batch atomic.Int64
		stop        = make(chan struct{})
	)
	e.flood(&wait, stop, 30, key.Key, "chat", &chat)
	e.flood(&wait, stop, 3, key.Key, "batch", &batch)
	for round := range 3 {
		before := batch.Load()
		eventually(t, waitTimeout, func() error {
			if batch.Load() < before+3 {
				return fmt.Errorf("round %d: the lowest tier got %d answers, the highest %d", round, batch.Load(), chat.Load())
			}
			return nil
		})
	}
	close(stop)
	wait.Wait()
	if chat.Load() < 5*batch.Load() {
		t.Errorf("the highest tier got %d answers, the lowest %d", chat.Load(), batch.Load())
	}
}

// TestEntryKilledDuringOrder kills the entry process while an order runs: the
// resend through another host is told that the outcome is in doubt.
func TestEntryKilledDuringOrder(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "a"}})
	s.configure()
	service := s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	service.setFaults(t, emulator.Faults{DelayMillis: 3000})
	done := make(chan clientResponse, 1)
	go func() { done <- s.entries[0].placeOrder(key.Key, "killed", "Idempotency-Key", "k1") }()
	eventually(t, waitTimeout, func() error {
		if service.stats(t).Orders["killed"] == 0 {
			return fmt.Errorf("the order has not arrived")
		}
		return nil
	})
	s.entries[0].kill()
	<-done
	for range 3 {
		a := s.entries[1].placeOrder(key.Key, "killed", "Idempotency-Key", "k1")
		if a.status != http.StatusConflict || a.run() != router.MayHaveRun || a.header.Get("Retry-After") == "" {
			t.Errorf("resend: status %d, run %q, body %s", a.status, a.run(), a.body)
		}
	}
	if runs := service.stats(t).Orders["killed"]; runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// TestKeyWithdrawnDuringStream withdraws the key of a stream that breaks off
// later: it must not be resumed.
func TestKeyWithdrawnDuringStream(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	first := s.startUpstream("engine-1", "a", "model", "m", s.entries, "--token-interval", "20ms")
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	first.setFaults(t, emulator.Faults{CutAfterEvents: 250})
	open := e.openStream(t, key.Key, 400)
	open.readTokens(t, 1)
	second := s.startUpstream("engine-2", "a", "model", "m", s.entries)
	if _, err := s.operator().Change(t.Context(), withdrawal(key.ID), -1, ""); err != nil {
		t.Fatal(err)
	}
	if a := open.readRest(); a.err == nil {
		t.Error("the stream of a withdrawn key was completed")
	}
	if resumed := second.stats(t).Resumed; resumed != 0 {
		t.Error("the stream of a withdrawn key was resumed")
	}
}
