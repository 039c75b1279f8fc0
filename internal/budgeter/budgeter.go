// Package budgeter limits the retries of an entry process by its settings.
package budgeter

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// Budget limits the retries of this process.
type Budget struct {
	// OnRequest counts a request.
	OnRequest func(now time.Duration)
	// OnSuccess counts a successful response.
	OnSuccess func()
	// Take reports whether a retry is left, and uses it up.
	Take func(now time.Duration) bool
	// SetProcesses sets the number of processes that share the budget.
	SetProcesses func(processes int)
}

// New returns this process's share of a budget common to all entry processes if
// the settings have one, or else a budget of its own that grows with successful responses.
func New(e *settings.Entry) Budget {
	if s := e.GetSharedBudget(); s != nil {
		shared := retrier.NewSharedBudget(s.GetRatio(), float64(s.GetAllowance()), s.GetWindow().AsDuration())
		return Budget{
			OnRequest:    shared.RecordRequest,
			OnSuccess:    func() {},
			Take:         shared.Take,
			SetProcesses: shared.SetProcesses,
		}
	}
	own := retrier.NewBudget(int(e.GetUpstreamLimits().GetRetryPercent()))
	return Budget{
		OnRequest:    func(time.Duration) {},
		OnSuccess:    own.RecordSuccess,
		Take:         func(time.Duration) bool { return own.Take() },
		SetProcesses: func(int) {},
	}
}
