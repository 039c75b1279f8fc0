package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// flood runs clients that send requests of a class one after the other until stop is
// closed. It counts the successful ones in completed.
func (e *entryProcess) flood(wait *sync.WaitGroup, stop chan struct{}, clients int, key, class string, completed *atomic.Int64) {
	for range clients {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a := e.complete(key, 5, translator.HeaderClass, class); a.status == http.StatusOK && a.err == nil {
					completed.Add(1)
				}
			}
		})
	}
}

func smallQueue(s *settings.Settings) {
	s.Entry.Queue = &settings.Queue{Waiting: 20, GuaranteedPercent: 5}
}

// TestLowTierBurst guards against a low tier that displaces a high one. Requests of
// the lowest tier fill the queue: none of the higher tier may be refused, and the
// lowest still gets responses.
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
		if a := e.complete(key.Key, 5, translator.HeaderClass, "chat"); a.status != http.StatusOK {
			t.Errorf("request %d of the higher tier: status %d, body %s", i, a.status, a.body)
		}
	}
	close(stop)
	wait.Wait()
	if batch.Load() == 0 {
		t.Error("the lower tier got no responses")
	}
}

// TestHighTierBurst guards against starvation of the lowest tier. The highest tier
// saturates the pool: the lowest one must still get responses, but no more than a
// fifth as many.
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
				return fmt.Errorf("round %d: the lowest tier got %d responses, the highest %d", round, batch.Load(), chat.Load())
			}
			return nil
		})
	}
	close(stop)
	wait.Wait()
	if chat.Load() < 5*batch.Load() {
		t.Errorf("the highest tier got %d responses, the lowest %d", chat.Load(), batch.Load())
	}
}

// TestEntryKilledDuringOrder guards against an order that runs twice after a crash.
// The entry process is killed while the service runs an order: resends through
// another host must be refused, as the order may have run.
func TestEntryKilledDuringOrder(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "a"}})
	s.configure()
	service := s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	service.setFaults(t, emulator.InjectedFaults{DelayMillis: 3000})
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
		if a.status != http.StatusConflict || a.run() != translator.MayHaveRun || a.header.Get("Retry-After") == "" {
			t.Errorf("resend: status %d, run %q, body %s", a.status, a.run(), a.body)
		}
	}
	if runs := service.stats(t).Orders["killed"]; runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// TestKeyWithdrawnDuringStream guards against resuming a stream for a withdrawn key.
// The key is withdrawn during a stream that its engine cuts later: the second engine
// must not resume it, and the client must see an error.
func TestKeyWithdrawnDuringStream(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	first := s.startUpstream("engine-1", "a", "model", "m", s.entries, "--token-interval", "20ms")
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	first.setFaults(t, emulator.InjectedFaults{CutAfterEvents: 250})
	stream := e.openStream(t, key.Key, 400)
	stream.readTokens(t, 1)
	second := s.startUpstream("engine-2", "a", "model", "m", s.entries)
	if _, err := s.operator().Change(t.Context(), withdrawal(key.ID), -1, ""); err != nil {
		t.Fatal(err)
	}
	if a := stream.readRest(); a.err == nil {
		t.Error("the stream of a withdrawn key was completed")
	}
	if resumed := second.stats(t).Resumed; resumed != 0 {
		t.Error("the stream of a withdrawn key was resumed")
	}
}
