package keeper

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/evacuator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/replicator"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// ReasonTooManyEvacuations means that as many failure domains are evacuated as may be.
const ReasonTooManyEvacuations = "tooManyEvacuations"

// applyEvacuationOrder starts or finishes the evacuation of a failure domain and records the outcome in
// the audit trail. An order that has no effect is accepted.
func (m *StateMachine) applyEvacuationOrder(index replicator.Index, o *state.EvacuationOrder, limits *state.Limits) *wire.ProposeReply {
	apply := m.evacuations.Start
	if o.GetFinish() {
		apply = m.evacuations.Finish
	}
	changed, err := apply(evacuator.Position(index), registrar.FailureDomain(o.GetFailureDomain()))
	outcome := &state.Outcome{Accepted: err == nil, Revision: uint64(m.catalog.Revision())}
	switch {
	case errors.As(err, new(*evacuator.TooManyError)):
		outcome.Reason, outcome.Detail = ReasonTooManyEvacuations, err.Error()
	case err != nil:
		outcome.Reason, outcome.Detail = ReasonInvalid, err.Error()
	case changed:
		m.notifyChanged()
	default:
		outcome.Detail = "no effect"
	}
	if changed || err != nil || !m.isLatestOrder(o) {
		m.recordEvacuationOrder(o, outcome, int(limits.GetAuditRecords()))
	}
	return &wire.ProposeReply{Outcome: outcome}
}

// isLatestOrder reports whether the latest audit record is of an equal order that was accepted. Operators
// resend an order until it is acknowledged; the resends are not recorded again.
func (m *StateMachine) isLatestOrder(o *state.EvacuationOrder) bool {
	if len(m.audit) == 0 {
		return false
	}
	last := m.audit[len(m.audit)-1]
	return last.GetSummary() == SummarizeEvacuation(o) && last.GetOperator() == o.GetOperator() && last.GetOutcome().GetAccepted()
}

// recordEvacuationOrder adds an order to the audit trail.
func (m *StateMachine) recordEvacuationOrder(o *state.EvacuationOrder, outcome *state.Outcome, limit int) {
	m.auditSequence++
	record := &state.AuditRecord{
		Sequence:     m.auditSequence,
		AtMillis:     m.latestMillis,
		Operator:     o.GetOperator(),
		ChangeId:     fmt.Sprintf("evacuation-%d", m.auditSequence),
		BaseRevision: outcome.GetRevision(),
		Summary:      SummarizeEvacuation(o),
		Outcome:      outcome,
	}
	m.audit = append(m.audit, record)
	m.auditByChangeID[record.GetChangeId()] = record
	m.trimAudit(limit)
}

// SummarizeEvacuation describes an order for the audit trail.
func SummarizeEvacuation(o *state.EvacuationOrder) string {
	if o.GetFinish() {
		return fmt.Sprintf("finish the evacuation of failure domain %q", o.GetFailureDomain())
	}
	return fmt.Sprintf("start the evacuation of failure domain %q", o.GetFailureDomain())
}

// Evacuations returns the evacuated failure domains.
func (m *StateMachine) Evacuations() *state.Evacuations {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return announcer.EvacuationsToState(m.evacuations)
}

// EvacuationPosition returns the position of the order that produced the set of evacuated domains.
func (m *StateMachine) EvacuationPosition() evacuator.Position {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.Position()
}
