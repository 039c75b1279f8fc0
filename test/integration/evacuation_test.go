package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// evacuationBound is the time after the acknowledgement from which no request reaches an evacuated domain.
const evacuationBound = 5 * time.Second

// TestEvacuation guards against an evacuation by the operator interface that does not reach all entry processes,
// that is forgotten when all processes are killed, that refuses a resend, or that does not end.
func TestEvacuation(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	evacuated := s.startUpstream("engine-a", "a", "model", "m", s.entries, "--slots", "64")
	s.startUpstream("engine-b", "b", "model", "m", s.entries, "--slots", "64")
	s.startUpstream("orders-b", "b", "service", "orders", s.entries)
	key := s.grant("one").Key
	s.awaitKey(key, s.entries...)
	reached := func() error {
		before := evacuated.stats(t).Calls
		for _, e := range s.entries {
			e.complete(key, 1)
		}
		if evacuated.stats(t).Calls == before {
			return fmt.Errorf("no request reaches the domain")
		}
		return nil
	}
	eventually(t, waitTimeout, reached)

	if _, err := s.operator().Evacuate(t.Context(), "a\n", false); err == nil {
		t.Error("a domain whose name is not printable is accepted")
	}
	for _, c := range s.controls {
		if _, err := s.operator(c.id).Evacuate(t.Context(), "a", false); err != nil {
			t.Fatalf("an order at %s is refused: %v", c.id, err)
		}
	}
	time.Sleep(evacuationBound)
	checkNone := func(moment string) {
		before := evacuated.stats(t).Calls
		for range 20 {
			for _, e := range s.entries {
				if a := e.complete(key, 1); a.status != http.StatusOK {
					t.Errorf("%s %s: status %d, body %s", e.id, moment, a.status, a.body)
				}
			}
		}
		if after := evacuated.stats(t).Calls; after != before {
			t.Errorf("%d requests reached the domain %s", after-before, moment)
		}
	}
	checkNone("during the evacuation")

	for _, c := range s.controls {
		c.kill()
	}
	for _, e := range s.entries {
		e.kill()
		e.start()
	}
	for _, c := range s.controls {
		c.start()
	}
	s.awaitKey(key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key)
	}
	checkNone("after a restart of all processes")
	reply, err := s.operator().Read(t.Context(), "evacuations")
	if err != nil || !slices.Equal(reply.GetEvacuations().GetFailureDomains(), []string{"a"}) {
		t.Errorf("evacuated %v, error %v; want a", reply.GetEvacuations(), err)
	}
	audit, err := s.operator().Read(t.Context(), "audit")
	if err != nil {
		t.Fatal(err)
	}
	last := audit.GetAudit()[len(audit.GetAudit())-1]
	if last.GetOperator() != "tester" || !strings.Contains(last.GetSummary(), "evacuation") || !last.GetOutcome().GetAccepted() {
		t.Errorf("last audit record %v, want one of the evacuation", last)
	}
	if _, err = s.operator().Evacuate(t.Context(), "a", true); err != nil {
		t.Fatal(err)
	}
	eventually(t, waitTimeout, reached)
}
