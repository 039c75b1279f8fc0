package budgeter

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/schema/settings"
)

// TestQuietServiceBesideBusyOne guards against repeats of the requests to one service that the requests to another
// one pay for: the limit holds for each service by itself. The upstreams of the quiet one refuse everything.
func TestQuietServiceBesideBusyOne(t *testing.T) {
	const (
		ratio  = 0.2
		window = 10 * time.Second
		step   = 10 * time.Millisecond
		// maxRefusals is the number of refusals after which a request is given up.
		maxRefusals = 5
	)
	tests := map[string]struct {
		processes int
		allowance int32
		// busy and quiet are in requests a second, over all processes.
		busy, quiet float64
		// minRepeats must be possible.
		minRepeats int
	}{
		"2 processes":   {processes: 2, allowance: 52, busy: 120, quiet: 4, minRepeats: 30},
		"7 processes":   {processes: 7, allowance: 54, busy: 120, quiet: 4, minRepeats: 30},
		"88 processes":  {processes: 88, allowance: 216, busy: 1000, quiet: 40, minRepeats: 150},
		"194 processes": {processes: 194, allowance: 428, busy: 2000, quiet: 80, minRepeats: 300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &settings.Entry{SharedBudget: &settings.SharedBudget{Ratio: ratio, Allowance: test.allowance, Window: durationpb.New(window)}}
			busy, quiet := make([]Budget, test.processes), make([]Budget, test.processes)
			for n := range test.processes {
				budgets := NewBudgets(e)
				busy[n] = budgets.Add()
				budgets.SetProcesses(test.processes)
				quiet[n] = budgets.Add()
			}
			var repeatedAt []time.Duration
			dueBusy, dueQuiet, nextBusy, nextQuiet := 0.0, 0.0, 0, 0
			for now := time.Hour; now < time.Hour+6*window; now += step {
				for dueBusy += test.busy * step.Seconds(); dueBusy >= 1; dueBusy-- {
					busy[nextBusy%test.processes].OnRequest(now)
					nextBusy++
				}
				for dueQuiet += test.quiet * step.Seconds(); dueQuiet >= 1; dueQuiet-- {
					b := quiet[nextQuiet%test.processes]
					nextQuiet++
					b.OnRequest(now)
					for refusals := 1; refusals < maxRefusals && b.Take(now); refusals++ {
						repeatedAt = append(repeatedAt, now)
					}
				}
			}
			most := 0
			for first, last := 0, 0; last < len(repeatedAt); last++ {
				for repeatedAt[last]-repeatedAt[first] >= window {
					first++
				}
				most = max(most, last-first+1)
			}
			limit := ratio*test.quiet*window.Seconds() + float64(test.allowance)
			t.Logf("%d repeats in a window, %.0f allowed", most, limit)
			if float64(most) > limit || most < test.minRepeats {
				t.Errorf("%d repeats in a window, want %d to %.0f", most, test.minRepeats, limit)
			}
		})
	}
}

// TestOwnBudgetIsCommon checks that without a shared budget all services and models have one.
func TestOwnBudgetIsCommon(t *testing.T) {
	budgets := NewBudgets(&settings.Entry{})
	one, two := budgets.Add(), budgets.Add()
	for one.Take(0) {
		continue
	}
	if two.Take(0) {
		t.Error("a retry is left for another service")
	}
}
