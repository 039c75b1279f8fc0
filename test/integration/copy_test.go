package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/translator"
)

// TestCopiesOfAnswers guards against copies of refusals and of other answers that are taken for the answer to
// another request, or to the same one when it comes again. An order must run once at most and not after it
// was answered as not run; reads and streams must get their own answers. Some orders are cancelled.
func TestCopiesOfAnswers(t *testing.T) {
	const (
		orders = 20
		// cancelEvery orders one is cancelled while it runs, after cancelAfter.
		cancelEvery = 5
		cancelAfter = 5 * time.Millisecond
		runDelay    = 10 * time.Millisecond
		tokens      = 5
	)
	s := startSystem(t, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	services := []*upstreamProcess{s.startUpstream("orders-1", "a", "service", "orders", s.entries)}
	engine := s.startUpstream("engine-1", "a", "model", "m", s.entries, "--token-interval", "1ms")
	key := s.grant("one").Key
	s.awaitKey(key, e)
	s.awaitCompletion(e, key)
	delay := int(runDelay.Milliseconds())
	tests := []struct {
		name     string
		services int
		faults   emulator.InjectedFaults
	}{
		{name: "late", services: 1, faults: emulator.InjectedFaults{AnswerCopies: 1}},
		{name: "early", services: 1, faults: emulator.InjectedFaults{AnswerCopies: 1, EarlyCopies: true}},
		{name: "refused late", services: 1, faults: emulator.InjectedFaults{AnswerCopies: 1, RefuseFirst: http.StatusServiceUnavailable}},
		{name: "refused late with a body", services: 1, faults: emulator.InjectedFaults{AnswerCopies: 1, RefuseFirst: http.StatusServiceUnavailable, RefusalBodies: true}},
		{name: "refused twice", services: 4, faults: emulator.InjectedFaults{AnswerCopies: 2, RefuseFirst: http.StatusTooManyRequests}},
		{name: "refused early", services: 4, faults: emulator.InjectedFaults{AnswerCopies: 2, EarlyCopies: true, RefuseFirst: http.StatusServiceUnavailable}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for len(services) < test.services {
				services = append(services, s.startUpstream(fmt.Sprint("orders-", len(services)+1), "a", "service", "orders", s.entries))
			}
			test.faults.DelayMillis = delay
			engine.setFaults(t, emulator.InjectedFaults{AnswerCopies: test.faults.AnswerCopies, EarlyCopies: test.faults.EarlyCopies})
			for _, service := range services {
				service.setFaults(t, test.faults)
			}
			notRun := map[string]bool{}
			statuses := map[string]int{}
			for n := range orders {
				reference := fmt.Sprint(strings.ReplaceAll(test.name, " ", "-"), "-", n)
				ctx, cancel := context.WithCancel(t.Context())
				if n%cancelEvery == 0 {
					time.AfterFunc(cancelAfter, cancel)
				}
				a := e.do(ctx, http.MethodPost, "/orders", key, fmt.Sprintf(`{"reference":%q}`, reference))
				cancel()
				if a.err == nil {
					notRun[reference] = a.run() == translator.NotRun
					statuses[fmt.Sprint("order ", a.status)]++
				}
				if a.status == http.StatusOK && !strings.Contains(a.body, fmt.Sprintf("%q", reference)) {
					t.Errorf("order %s got %s", reference, a.body)
				}
				read := e.get("/orders/"+reference, key)
				statuses[fmt.Sprint("read ", read.status)]++
				if read.status == http.StatusOK && !strings.Contains(read.body, fmt.Sprintf("%q", reference)) {
					t.Errorf("a read of order %s got %s", reference, read.body)
				}
				stream := e.complete(key, tokens)
				statuses[fmt.Sprint("stream ", stream.status)]++
				if stream.status == http.StatusOK {
					checkTokens(t, stream, tokens)
				}
			}
			runs := map[string]int{}
			for _, service := range services {
				for reference, n := range service.stats(t).Orders {
					runs[reference] += n
				}
			}
			for reference, n := range runs {
				if n > 1 || notRun[reference] {
					t.Errorf("order %s ran %d times, answered as not run: %t", reference, n, notRun[reference])
				}
			}
			t.Logf("answers: %v", statuses)
		})
	}
}
