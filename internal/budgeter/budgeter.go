// Package budgeter limits the retries of an entry process by its settings.
package budgeter

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/retrier"
	"github.com/comfreybend/comfreybend/schema/settings"
)

type (
	// Service names what a budget is for: a service or model and its kind.
	Service string

	// Reason is why a request is to be sent again.
	Reason string

	// Repeat describes a request that is to be sent again. It is logged.
	Repeat struct {
		Service   Service
		RequestID string
		Reason    Reason
		// Attempts is the number of attempts that may have run.
		Attempts int
	}

	// Budgets holds the budgets of a process: for each service this process's share of a budget common to
	// all entry processes if the settings have one, or else one budget that grows with successful responses
	// and that all services have in common.
	Budgets struct {
		// Log takes a line for each retry that is allowed or denied.
		Log   *zap.Logger
		scope tally.Scope

		mu sync.Mutex
		// own is nil if the budgets are shared.
		own *retrier.Budget
		// processes is zero until it is confirmed.
		processes int
		// confirmedAt is when the number of processes was last confirmed, or a greater one.
		confirmedAt time.Duration
		shared      map[Service]*retrier.SharedBudget
		// unused is the budget of a service without requests.
		unused *retrier.SharedBudget
	}
)

// Reasons for which a request is sent again.
const (
	// Refused means that an upstream has refused to run it.
	Refused Reason = "refused"
	// Failed means that it may have run, and that an attempt failed or a stream broke.
	Failed Reason = "failed"
	// Copied means that its upstream is slow.
	Copied Reason = "copied"
)

// NewBudgets returns the budgets of a process that has just started.
func NewBudgets(e *settings.Entry, scope tally.Scope) *Budgets {
	b := &Budgets{Log: zap.NewNop(), scope: scope, shared: map[Service]*retrier.SharedBudget{}}
	if s := e.GetSharedBudget(); s != nil {
		b.unused = retrier.NewSharedBudget(s.GetRatio(), float64(s.GetAllowance()), s.GetWindow().AsDuration())
	} else {
		b.own = retrier.NewBudget(int(e.GetUpstreamLimits().GetRetryPercent()))
	}
	return b
}

// of returns the shared budget of a service.
func (b *Budgets) of(service Service) *retrier.SharedBudget {
	s := b.shared[service]
	if s == nil {
		s = b.unused.Clone()
		b.shared[service] = s
	}
	return s
}

// RecordRequest counts a request.
func (b *Budgets) RecordRequest(now time.Duration, service Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own == nil {
		b.of(service).RecordRequest(now)
	}
}

// RecordSuccess counts a successful response.
func (b *Budgets) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own != nil {
		b.own.RecordSuccess()
	}
}

// Take reports whether a retry is left, and uses it up.
func (b *Budgets) Take(now time.Duration, repeat Repeat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var (
		allowed   bool
		available float64
	)
	if b.own != nil {
		allowed, available = b.own.Take(), b.own.Available()
	} else {
		shared := b.of(repeat.Service)
		allowed, available = shared.Take(now), shared.Available()
	}
	b.scope.Tagged(map[string]string{"service": string(repeat.Service), "reason": string(repeat.Reason), "allowed": strconv.FormatBool(allowed)}).
		Counter("requests_repeated").Inc(1)
	b.Log.Info("repeat decided", zap.String("requestId", repeat.RequestID), zap.String("service", string(repeat.Service)),
		zap.String("reason", string(repeat.Reason)), zap.Bool("allowed", allowed), zap.Int("attempts", repeat.Attempts),
		zap.Float64("available", available), zap.Int("processes", b.processes), zap.Duration("processesAge", now-b.confirmedAt))
	return allowed
}

// Confirm sets the number of processes that share the budgets, zero if it is not known. A smaller number takes
// effect once the greater one is not confirmed any more: control processes may know different ones.
func (b *Budgets) Confirm(now time.Duration, processes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own != nil || processes < 1 || processes < b.processes && now-b.confirmedAt < retrier.ConfirmationTime {
		return
	}
	b.processes, b.confirmedAt = processes, now
	b.unused.Confirm(now, processes)
	for _, shared := range b.shared {
		shared.Confirm(now, processes)
	}
}
