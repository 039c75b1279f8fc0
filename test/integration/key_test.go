package integration

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/state"
)

// propagationTimeout bounds the time until an accepted change is in force on every reachable entry process.
const propagationTimeout = 2 * time.Second

func withdrawal(key string) *state.Operation {
	return &state.Operation{Kind: &state.Operation_WithdrawKey{WithdrawKey: key}}
}

// TestWithdrawnKey guards against a key that works after its withdrawal. One of two
// entry processes is partitioned from the control processes, and both have a stream
// in progress when the key is withdrawn. The connected one must refuse the key
// within propagationTimeout; the isolated one must refuse all keys once its
// configuration is no longer fresh. Both serve open routes and complete their
// streams.
func TestWithdrawnKey(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	connected, isolated := s.entries[0], s.entries[1]
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
		s.network.partition(isolated.id, c.id)
	}
	const tokens = 160
	streams := []*completionStream{connected.openStream(t, key.Key, tokens), isolated.openStream(t, key.Key, tokens)}
	for _, stream := range streams {
		stream.readTokens(t, 1)
	}
	if _, err := s.operator().Change(t.Context(), withdrawal(key.ID), -1, ""); err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	eventually(t, propagationTimeout, func() error { return checkRefusal(connected.get("/orders/x", key.Key), http.StatusUnauthorized) })
	eventually(t, freshness-time.Since(accepted), func() error {
		return checkRefusal(isolated.get("/orders/x", key.Key), http.StatusServiceUnavailable)
	})
	for _, e := range s.entries {
		if a := e.get("/public/x", ""); a.status != http.StatusOK {
			t.Errorf("open route at %s: status %d, body %s", e.id, a.status, a.body)
		}
	}
	if a := isolated.get("/orders/x", key.Key); a.header.Get("Retry-After") == "" {
		t.Error("refusal of the isolated process has no Retry-After")
	}
	for _, stream := range streams {
		checkTokens(t, stream.readRest(), tokens)
	}
	for _, c := range s.controls {
		s.network.heal(isolated.id, c.id)
	}
	eventually(t, waitTimeout, func() error { return checkRefusal(isolated.get("/orders/x", key.Key), http.StatusUnauthorized) })
}

// checkRefusal returns an error unless a response has the given status and says that the request was not run.
func checkRefusal(a clientResponse, status int) error {
	if a.status != status || a.run() != translator.NotRun {
		return fmt.Errorf("status %d, run %q, body %s, error %w", a.status, a.run(), a.body, errors.Join(a.err))
	}
	return nil
}

// TestWithdrawnKeyFrozenEntry guards against an entry process that relies on an
// outdated configuration after a pause. It is frozen for longer than its freshness
// while a key is withdrawn, and thawed without a link to the control process: it
// must not accept the key.
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
	thawAt := time.Now().Add(freshness)
	eventually(t, 2*freshness, func() error {
		if time.Now().Before(thawAt) {
			return fmt.Errorf("still frozen")
		}
		return nil
	})
	s.network.partition(e.id, s.controls[0].id)
	e.thaw()
	if a := e.get("/orders/x", key.Key); a.status == http.StatusOK {
		t.Errorf("a withdrawn key was accepted after the thaw: %s", a.body)
	}
}
