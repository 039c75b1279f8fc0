package integration

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/router"
	"github.com/comfreybend/comfreybend/schema/state"
)

// propagationTimeout is the time in which an accepted change is in force on every reachable entry process.
const propagationTimeout = 2 * time.Second

func withdrawal(key string) *state.Operation {
	return &state.Operation{Kind: &state.Operation_WithdrawKey{WithdrawKey: key}}
}

// TestWithdrawnKey withdraws a key while one entry process is cut off from
// every control process, a request of the key is in progress at each, and one
// waits in a queue.
func TestWithdrawnKey(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	reached, cutOff := s.entries[0], s.entries[1]
	for _, e := range s.entries {
		s.startUpstream("engine-"+e.domain, e.domain, "model", "m", []*entryProcess{e},
			"--slots", "2", "--token-interval", "50ms")
		s.startUpstream("orders-"+e.domain, e.domain, "service", "orders", []*entryProcess{e})
	}
	key := s.grant("one")
	s.awaitKey(key.Key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key.Key)
	}

	for _, c := range s.controls {
		s.network.partition(cutOff.id, c.id)
	}
	const tokens = 160
	dispatched := []*completionStream{reached.openStream(t, key.Key, tokens), cutOff.openStream(t, key.Key, tokens)}
	for _, d := range dispatched {
		d.readTokens(t, 1)
	}
	if _, err := s.operator().Change(t.Context(), withdrawal(key.ID), -1, ""); err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	eventually(t, propagationTimeout, func() error { return checkRefusal(reached.get("/orders/x", key.Key), http.StatusUnauthorized) })
	eventually(t, freshness-time.Since(accepted), func() error {
		return checkRefusal(cutOff.get("/orders/x", key.Key), http.StatusServiceUnavailable)
	})
	for _, e := range s.entries {
		if a := e.get("/public/x", ""); a.status != http.StatusOK {
			t.Errorf("open route at %s: status %d, body %s", e.id, a.status, a.body)
		}
	}
	if a := cutOff.get("/orders/x", key.Key); a.header.Get("Retry-After") == "" {
		t.Error("refusal of the cut-off process has no Retry-After")
	}
	for _, d := range dispatched {
		checkTokens(t, d.readRest(), tokens)
	}
	for _, c := range s.controls {
		s.network.heal(cutOff.id, c.id)
	}
	eventually(t, waitTimeout, func() error { return checkRefusal(cutOff.get("/orders/x", key.Key), http.StatusUnauthorized) })
}

// checkRefusal returns nil if an answer refuses with a status and says that nothing was run.
func checkRefusal(a clientResponse, status int) error {
	if a.status != status || a.run() != router.NotRun {
		return fmt.Errorf("status %d, run %q, body %s, error %w", a.status, a.run(), a.body, errors.Join(a.err))
	}
	return nil
}

// TestWithdrawnKeyFrozenEntry freezes an entry process past its freshness
// while a key is withdrawn; on waking it must not serve the key.
func TestWithdrawnKeyFrozenEntry(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	s.startUpstream("orders-a", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)

	e.freeze()
	if _, err := s.operator().Change(t.Context(), withdrawal(key.ID), -1, ""); err != nil {
		t.Fatal(err)
	}
	waking := time.Now().Add(freshness)
	eventually(t, 2*freshness, func() error {
		if time.Now().Before(waking) {
			return fmt.Errorf("still frozen")
		}
		return nil
	})
	s.network.partition(e.id, s.controls[0].id)
	e.thaw()
	if a := e.get("/orders/x", key.Key); a.status == http.StatusOK {
		t.Errorf("a withdrawn key was served after waking: %s", a.body)
	}
}
