package keeper

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which a change is refused.
const (
	// ReasonConflict means that the change was made against a revision other than the current one.
	ReasonConflict = "conflict"
	// ReasonInvalid means that the command is malformed or not valid in the current state.
	ReasonInvalid = "invalid"
	// ReasonReusedChangeID means that an earlier, different change used the change id.
	ReasonReusedChangeID = "reusedChangeId"
)

// applyChange accepts or refuses an operator's change and records the outcome
// in the audit trail. A change that is sent again gets its first outcome, as
// long as its audit record is kept.
func (m *StateMachine) applyChange(change *state.Change, limits *state.Limits) *wire.ProposeReply {
	if first := m.auditByChangeID[change.GetChangeId()]; first != nil {
		if !bytes.Equal(first.GetFingerprint(), change.GetFingerprint()) {
			return refused(ReasonReusedChangeID, "the change id was used for another change")
		}
		return &wire.ProposeReply{Outcome: first.GetOutcome()}
	}
	outcome := m.updateCatalog(change)
	m.auditSequence++
	record := &state.AuditRecord{
		Sequence:     m.auditSequence,
		AtMillis:     m.latestMillis,
		Operator:     change.GetOperator(),
		ChangeId:     change.GetChangeId(),
		BaseRevision: change.GetBaseRevision(),
		Summary:      Summarize(change.GetOperation()),
		Outcome:      outcome,
		Fingerprint:  change.GetFingerprint(),
	}
	m.audit = append(m.audit, record)
	m.auditByChangeID[record.GetChangeId()] = record
	m.trimAudit(int(limits.GetAuditRecords()))
	return &wire.ProposeReply{Outcome: outcome}
}

// updateCatalog applies a change to the catalog if it was made against the current
// revision and is valid.
func (m *StateMachine) updateCatalog(change *state.Change) *state.Outcome {
	revision := uint64(m.catalog.Revision())
	if change.GetBaseRevision() != revision {
		return &state.Outcome{
			Revision: revision,
			Reason:   ReasonConflict,
			Detail:   fmt.Sprintf("made against revision %d, but revision %d is in force", change.GetBaseRevision(), revision),
		}
	}
	next, err := m.catalog.Apply(change.GetOperation())
	if err != nil {
		return &state.Outcome{Revision: revision, Reason: ReasonInvalid, Detail: err.Error()}
	}
	before, revised := m.catalog, revisedBy(change.GetOperation(), m.catalog, next)
	if revised.GetPatch() != nil {
		// The patched catalog shares with the earlier one what has not changed.
		next = before.ApplyPatch(revised.GetPatch())
	}
	m.catalog = next
	m.notifyChanged()
	m.recentChanges = append(m.recentChanges, revised)
	m.trimRecentChanges()
	m.keepCatalog(before)
	return &state.Outcome{Accepted: true, Revision: uint64(next.Revision())}
}

// revisedBy returns an accepted operation with its revision. An operation that replaces the
// configuration becomes the difference that it makes, if that is smaller.
func revisedBy(op *state.Operation, before, after *configurer.Catalog) *state.Revised {
	revised := &state.Revised{Revision: uint64(after.Revision()), Operation: op}
	if op.GetReplace() == nil && op.GetApplyConfiguration() == nil {
		return revised
	}
	if patch := before.PatchTo(after); proto.Size(patch) < proto.Size(op) {
		revised.Operation, revised.Patch = nil, patch
	}
	return revised
}

// trimRecentChanges drops the oldest changes beyond maxRecentChanges and maxRecentBytes.
func (m *StateMachine) trimRecentChanges() {
	size := 0
	kept := 0
	for kept < min(len(m.recentChanges), maxRecentChanges) {
		size += proto.Size(m.recentChanges[len(m.recentChanges)-1-kept])
		if size > maxRecentBytes {
			break
		}
		kept++
	}
	if kept < len(m.recentChanges) {
		m.recentChanges = append([]*state.Revised(nil), m.recentChanges[len(m.recentChanges)-kept:]...)
	}
}

// trimAudit drops the oldest audit records beyond a limit; zero means no limit.
func (m *StateMachine) trimAudit(limit int) {
	if limit <= 0 || len(m.audit) <= limit {
		return
	}
	excess := len(m.audit) - limit
	for _, r := range m.audit[:excess] {
		delete(m.auditByChangeID, r.GetChangeId())
	}
	m.audit = append([]*state.AuditRecord(nil), m.audit[excess:]...)
}

// Summarize describes an operation for the audit trail, without any key or hash.
func Summarize(op *state.Operation) string {
	switch kind := op.GetKind().(type) {
	case *state.Operation_ApplyConfiguration:
		c := kind.ApplyConfiguration
		return fmt.Sprintf("apply configuration with %d classes, %d routes, %d organisations",
			len(c.GetClasses()), len(c.GetRoutes()), len(c.GetOrganisations()))
	case *state.Operation_PutOrganisation:
		return "put organisation " + kind.PutOrganisation.GetId()
	case *state.Operation_RemoveOrganisation:
		return "remove organisation " + kind.RemoveOrganisation
	case *state.Operation_GrantKey:
		return fmt.Sprintf("grant key %s to organisation %s", kind.GrantKey.GetId(), kind.GrantKey.GetOrganisation())
	case *state.Operation_WithdrawKey:
		return "withdraw key " + kind.WithdrawKey
	case *state.Operation_Replace:
		c := kind.Replace.GetConfiguration()
		return fmt.Sprintf("replace everything by version %d with %d routes, %d organisations",
			kind.Replace.GetVersion(), len(c.GetRoutes()), len(c.GetOrganisations()))
	default:
		return "unknown operation"
	}
}

// Revision returns the revision of the current catalog.
func (m *StateMachine) Revision() configurer.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.catalog.Revision()
}

// Changed returns a channel that is closed at the next change of the catalog or of the evacuations.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

func (m *StateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Catalog returns the current configuration with its keys.
func (m *StateMachine) Catalog() *configurer.Catalog {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.catalog
}

// Audit returns the audit trail, oldest record first.
func (m *StateMachine) Audit() []*state.AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]*state.AuditRecord(nil), m.audit...)
}

// MarshalDeterministic encodes equal operations as equal bytes. Callers hash the
// result as the operation's fingerprint.
func MarshalDeterministic(op *state.Operation) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(op)
}
