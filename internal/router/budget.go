package router

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// retryBudget bounds the retries of this process.
type retryBudget struct {
	// onRequest counts a request, succeeded one that was answered.
	onRequest func(now time.Duration)
	onSuccess func()
	// take uses up one retry, or reports that none is left.
	take func(now time.Duration) bool
	// setProcesses tells how many processes share the budget.
	setProcesses func(processes int)
}

// newRetryBudget returns this process's part of the budget that all entry processes
// share, or the product's own budget by successes.
func newRetryBudget(e *settings.Entry) retryBudget {
	if s := e.GetSharedBudget(); s != nil {
		shared := retrier.NewShared(s.GetRatio(), float64(s.GetAllowance()), s.GetWindow().AsDuration())
		return retryBudget{
			onRequest: shared.Requested,
			onSuccess: func() {},
			take:      shared.Take,
			setProcesses:    shared.Divide,
		}
	}
	own := retrier.NewBudget(int(e.GetUpstreamLimits().GetRetryPercent()))
	return retryBudget{
		onRequest: func(time.Duration) {},
		onSuccess: own.Succeeded,
		take:      func(time.Duration) bool { return own.Take() },
		setProcesses:    func(int) {},
	}
}

// takeRetry takes one retry from the budget.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.take(d.now())
}

// setEntryHosts tells how many entry processes share the retry budget.
func (d *dispatcher) setEntryHosts(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.setProcesses(max(1, n))
	d.clusterLoad.entryHosts = n
}

// entryHosts returns how many entry processes there are, as far as known.
func (d *dispatcher) entryHosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clusterLoad.entryHosts
}
