package integration

import (
	"net/http"
	"strings"
	"testing"

	"github.com/comfreybend/comfreybend/internal/translator"
)

// TestEndToEnd guards against a broken path from client to engine and against
// leaked API keys. Separate processes serve a request; invalid keys are refused,
// and the valid key must reach neither the upstreams nor the log.
func TestEndToEnd(t *testing.T) {
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	engine := s.startUpstream("engine-1", "a", "model", "m", s.entries)
	service := s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one")
	e := s.entries[0]
	s.awaitKey(key.Key, e)

	s.awaitCompletion(e, key.Key)
	checkTokens(t, e.complete(key.Key, 20), 20)

	for name, presented := range map[string]string{"none": "", "unknown": "cfb_000000000000_0000"} {
		a := e.complete(presented, 3)
		if a.status != http.StatusUnauthorized || a.run() != translator.NotRun || !strings.Contains(a.body, `"run":"notRun"`) {
			t.Errorf("key %s: status %d, run %q, body %s", name, a.status, a.run(), a.body)
		}
	}
	for _, u := range []*upstreamProcess{engine, service} {
		for _, line := range u.stats(t).Headers {
			if strings.Contains(line, key.Key) {
				t.Errorf("%s received the key in %q", u.id, line)
			}
		}
	}
	if log := string(e.log()); strings.Contains(log, key.Key) {
		t.Error("the log of the entry process contains the key")
	}
}
