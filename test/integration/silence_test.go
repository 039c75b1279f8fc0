package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// silence is the time for which sound upstreams are silent, silentAnswer the time after which they
	// answer an order.
	silence      = 1200 * time.Millisecond
	silentAnswer = 3 * time.Second
	silentOrders = 6
)

// TestSilentUpstreamsAreKept guards against giving up calls at sound upstreams that fall silent for a
// second and go on.
func TestSilentUpstreamsAreKept(t *testing.T) {
	c := newCutoff(t, 3, "a", "b")
	for _, u := range c.services {
		u.setFaults(t, emulator.InjectedFaults{DelayMillis: int(silentAnswer.Milliseconds())})
	}
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		answers = map[string]clientResponse{}
	)
	for i, e := range c.entries {
		for n := range silentOrders {
			reference := fmt.Sprintf("silent-%d-%d", i, n)
			wait.Go(func() {
				a := e.placeOrder(c.key, reference)
				mu.Lock()
				defer mu.Unlock()
				answers[reference] = a
			})
		}
	}
	eventually(t, waitTimeout, func() error {
		if ran := c.ranOrders(); len(ran) < silentOrders*len(c.entries) {
			return fmt.Errorf("%d orders have arrived", len(ran))
		}
		return nil
	})
	for i := range c.entries {
		for _, p := range c.paths[i] {
			p.cut(pathHangs)
		}
	}
	timer.Sleep(t.Context(), silence)
	for i := range c.entries {
		for _, p := range c.paths[i] {
			p.heal()
		}
	}
	wait.Wait()
	ran := c.ranOrders()
	for reference, a := range answers {
		switch runs := ran[reference]; {
		case a.err != nil || a.status != http.StatusOK:
			t.Errorf("order %s: status %d %s, ran %d times: %s", reference, a.status, a.run(), runs, strings.TrimSpace(a.body))
		case runs != 1:
			t.Errorf("order %s ran %d times", reference, runs)
		}
	}
	for _, u := range c.services {
		u.setFaults(t, emulator.InjectedFaults{})
	}
	for _, e := range c.entries {
		if a := e.get("/orders/none", c.key); a.status != http.StatusOK {
			t.Errorf("%s responded with %d after the silence: %s", e.id, a.status, a.body)
		}
	}
}
