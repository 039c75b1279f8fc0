package router

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// budget bounds the retries of this process.
type budget struct {
	// requested counts a request, succeeded one that was answered.
	requested func(now time.Duration)
	succeeded func()
	// take uses up one retry, or reports that none is left.
	take func(now time.Duration) bool
	// divide tells how many processes share the budget.
	divide func(processes int)
}

// newBudget returns this process's part of the budget that all entry processes
// share, or the product's own budget by successes.
func newBudget(e *settings.Entry) budget {
	if s := e.GetSharedBudget(); s != nil {
		shared := retrier.NewSharedBudget(s.GetRatio(), float64(s.GetAllowance()), s.GetWindow().AsDuration())
		return budget{
			requested: shared.Requested,
			succeeded: func() {},
			take:      shared.Take,
			divide:    shared.SetProcesses,
		}
	}
	own := retrier.NewBudget(int(e.GetUpstreamLimits().GetRetryPercent()))
	return budget{
		requested: func(time.Duration) {},
		succeeded: own.Succeeded,
		take:      func(time.Duration) bool { return own.Take() },
		divide:    func(int) {},
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
	d.budget.divide(max(1, n))
	d.fleet.hosts = n
}

// entryHosts returns how many entry processes there are, as far as known.
func (d *dispatcher) entryHosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.hosts
}
