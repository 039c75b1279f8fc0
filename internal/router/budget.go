package router

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// retryBudget limits the retries of this process.
type retryBudget struct {
	// onRequest counts a request.
	onRequest func(now time.Duration)
	// onSuccess counts a successful response.
	onSuccess func()
	// take reports whether a retry is left, and uses it up.
	take func(now time.Duration) bool
	// setProcesses sets the number of processes that share the budget.
	setProcesses func(processes int)
}

// newRetryBudget returns this process's share of a budget common to all entry processes if
// the settings have one, or else a budget of its own that grows with successful responses.
func newRetryBudget(e *settings.Entry) retryBudget {
	if s := e.GetSharedBudget(); s != nil {
		shared := retrier.NewSharedBudget(s.GetRatio(), float64(s.GetAllowance()), s.GetWindow().AsDuration())
		return retryBudget{
			onRequest:    shared.RecordRequest,
			onSuccess:    func() {},
			take:         shared.Take,
			setProcesses: shared.SetProcesses,
		}
	}
	own := retrier.NewBudget(int(e.GetUpstreamLimits().GetRetryPercent()))
	return retryBudget{
		onRequest:    func(time.Duration) {},
		onSuccess:    own.RecordSuccess,
		take:         func(time.Duration) bool { return own.Take() },
		setProcesses: func(int) {},
	}
}

// takeRetry reports whether the budget has a retry left, and uses it up.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.take(d.now())
}

// setEntryProcesses sets the number of entry processes, which share the retry budget.
func (d *dispatcher) setEntryProcesses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.setProcesses(max(1, n))
	d.entryProcessCount = n
}

// entryProcesses returns the number of entry processes; zero if it is not known yet.
func (d *dispatcher) entryProcesses() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryProcessCount
}
