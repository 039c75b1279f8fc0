package racer

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/pkg/hedger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// TestRacerReports guards against copies that are not counted, counted twice or not logged.
func TestRacerReports(t *testing.T) {
	const ms, never = time.Millisecond, time.Hour
	tests := map[string]struct {
		lanes    [none]script
		waiting  int
		noRetry  bool
		counters map[string]int64
		lines    int
	}{
		"fast":       {lanes: [none]script{{after: 10 * ms}}, counters: map[string]int64{}},
		"copy wins":  {lanes: [none]script{{after: never}, {after: 10 * ms}}, counters: map[string]int64{"copies_sent": 1, "copies_won": 1}, lines: 1},
		"copy loses": {lanes: [none]script{{after: 90 * ms}, {after: never}}, counters: map[string]int64{"copies_sent": 1, "copies_lost": 1}, lines: 1},
		"copy fails": {lanes: [none]script{{after: 90 * ms}, {10 * ms, Failed}}, counters: map[string]int64{"copies_sent": 1, "copies_lost": 1}, lines: 1},
		"both fail":  {lanes: [none]script{{60 * ms, Failed}, {30 * ms, Failed}}, counters: map[string]int64{"copies_sent": 1, "copies_lost": 1}, lines: 1},
		"not sent":   {lanes: [none]script{{after: 90 * ms}}, waiting: 1, counters: map[string]int64{"copies_not_sent capacity": 1}},
		"no retry":   {lanes: [none]script{{after: 90 * ms}}, noRetry: true, counters: map[string]int64{"copies_not_sent retryBudget": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				scope := tally.NewTestScope("", nil)
				core, logs := observer.New(zap.InfoLevel)
				r := New(&settings.Hedging{Ratio: 1, Quantile: 0.95, MinimumDelay: durationpb.New(copyDelay)},
					func() time.Duration { return time.Since(started) + time.Minute }, scope)
				r.Log = zap.New(core)
				request := Request{
					ID: "r", Pool: "p", Class: "c", Deadline: 2 * time.Minute, Counts: true,
					Send: func(context.Context, Lane) Result { return Answered }, Settle: func(Lane) {}, Discard: func(Lane) {},
					Copy: func(decide func(hedger.Request, hedger.Load) bool) bool {
						return decide(hedger.Request{AttemptsLeft: 1}, hedger.Load{Waiting: test.waiting, Slots: 2, Others: 1})
					},
					TakeRetry: func() bool { return !test.noRetry },
					Upstream:  func(Lane) string { return "u" },
				}
				for range 30 {
					r.Run(t.Context(), request)
				}
				request.Send = func(ctx context.Context, lane Lane) Result {
					select {
					case <-time.After(test.lanes[lane].after):
						return test.lanes[lane].result
					case <-ctx.Done():
						return Cancelled
					}
				}
				r.Run(t.Context(), request)
				counters := map[string]int64{}
				for _, c := range scope.Snapshot().Counters() {
					key := c.Name()
					if reason := c.Tags()["reason"]; reason != "" {
						key += " " + reason
					}
					counters[key] = c.Value()
				}
				if !maps.Equal(counters, test.counters) || logs.FilterMessage("second copy sent").Len() != test.lines {
					t.Errorf("counters %v, %d lines, want %v, %d", counters, logs.Len(), test.counters, test.lines)
				}
				synctest.Wait()
			})
		})
	}
}
