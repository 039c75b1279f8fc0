// Package budgeter limits the retries of an entry process by its settings.
package budgeter

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// shrinkDelay is longer than it takes a control process that has started to learn of all entry processes.
const shrinkDelay = 5 * time.Second

type (
	// Budget limits the retries of this process for one service or model.
	Budget struct {
		// OnRequest counts a request.
		OnRequest func(now time.Duration)
		// OnSuccess counts a successful response.
		OnSuccess func()
		// Take reports whether a retry is left, and uses it up.
		Take func(now time.Duration) bool
	}

	// Budgets makes the budgets of a process. It is not safe for concurrent use.
	Budgets struct {
		settings  *settings.Entry
		processes int
		// confirmedAt is when the number of processes was last told, or a greater one.
		confirmedAt time.Duration
		shared      []*retrier.SharedBudget
		own         Budget
	}
)

// NewBudgets returns the budgets of a process that is the only one.
func NewBudgets(e *settings.Entry) *Budgets {
	own := retrier.NewBudget(int(e.GetUpstreamLimits().GetRetryPercent()))
	return &Budgets{settings: e, processes: 1, own: Budget{
		OnRequest: func(time.Duration) {},
		OnSuccess: own.RecordSuccess,
		Take:      func(time.Duration) bool { return own.Take() },
	}}
}

// Add returns the budget of another service or model: this process's share of a budget common to all
// entry processes if the settings have one, or else one that grows with successful responses and
// that all services and models have in common.
func (b *Budgets) Add() Budget {
	s := b.settings.GetSharedBudget()
	if s == nil {
		return b.own
	}
	shared := retrier.NewSharedBudget(s.GetRatio(), float64(s.GetAllowance()), s.GetWindow().AsDuration())
	shared.SetProcesses(b.processes)
	b.shared = append(b.shared, shared)
	return Budget{OnRequest: shared.RecordRequest, OnSuccess: func() {}, Take: shared.Take}
}

// SetProcesses sets the number of processes that share the budgets, at least 1. A smaller number takes effect
// once no greater one was told for a time: a control process that has just started does not know all.
func (b *Budgets) SetProcesses(now time.Duration, processes int) {
	if processes < b.processes && now-b.confirmedAt < shrinkDelay {
		return
	}
	b.processes, b.confirmedAt = processes, now
	for _, shared := range b.shared {
		shared.SetProcesses(processes)
	}
}
