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
	ReasonConflict       = "conflict"
	ReasonInvalid        = "invalid"
	ReasonReusedChangeID = "reusedChangeId"
)

// applyChange decides an operator's change. A resend gets the first outcome.
func (k *StateMachine) applyChange(change *state.Change, limits *state.Limits) *wire.ProposeReply {
	if first := k.byChangeID[change.GetChangeId()]; first != nil {
		if !bytes.Equal(first.GetFingerprint(), change.GetFingerprint()) {
			return refused(ReasonReusedChangeID, "the change id was used for another change")
		}
		return &wire.ProposeReply{Outcome: first.GetOutcome()}
	}
	outcome := k.decideChange(change)
	k.auditSequence++
	record := &state.AuditRecord{
		Sequence:     k.auditSequence,
		AtMillis:     k.clock,
		Operator:     change.GetOperator(),
		ChangeId:     change.GetChangeId(),
		BaseRevision: change.GetBaseRevision(),
		Summary:      Summarize(change.GetOperation()),
		Outcome:      outcome,
		Fingerprint:  change.GetFingerprint(),
	}
	k.audit = append(k.audit, record)
	k.byChangeID[record.GetChangeId()] = record
	k.trimAudit(int(limits.GetAuditRecords()))
	return &wire.ProposeReply{Outcome: outcome}
}

func (k *StateMachine) decideChange(change *state.Change) *state.Outcome {
	revision := uint64(k.catalog.Revision())
	if change.GetBaseRevision() != revision {
		return &state.Outcome{
			Revision: revision,
			Reason:   ReasonConflict,
			Detail:   fmt.Sprintf("made against revision %d, but revision %d is in force", change.GetBaseRevision(), revision),
		}
	}
	next, err := k.catalog.Apply(change.GetOperation())
	if err != nil {
		return &state.Outcome{Revision: revision, Reason: ReasonInvalid, Detail: err.Error()}
	}
	k.catalog = next
	k.announceChange()
	revised := &state.Revised{Revision: uint64(next.Revision()), Operation: change.GetOperation()}
	k.recent = append(k.recent, revised)
	k.trimRecent()
	return &state.Outcome{Accepted: true, Revision: uint64(next.Revision())}
}

// trimRecent keeps the latest changes, within their number and size.
func (k *StateMachine) trimRecent() {
	size := 0
	kept := 0
	for kept < min(len(k.recent), recentChanges) {
		size += proto.Size(k.recent[len(k.recent)-1-kept])
		if size > recentBytes {
			break
		}
		kept++
	}
	if kept < len(k.recent) {
		k.recent = append([]*state.Revised(nil), k.recent[len(k.recent)-kept:]...)
	}
}

func (k *StateMachine) trimAudit(limit int) {
	if limit <= 0 || len(k.audit) <= limit {
		return
	}
	excess := len(k.audit) - limit
	for _, r := range k.audit[:excess] {
		delete(k.byChangeID, r.GetChangeId())
	}
	k.audit = append([]*state.AuditRecord(nil), k.audit[excess:]...)
}

// Summarize describes an operation in words, without any key or hash.
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

// Revision returns the revision in force.
func (k *StateMachine) Revision() configurer.Revision {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.catalog.Revision()
}

// Changed returns a channel that is closed when the configuration changes.
func (k *StateMachine) Changed() <-chan struct{} {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.changed
}

func (k *StateMachine) announceChange() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Catalog returns the configuration in force.
func (k *StateMachine) Catalog() *configurer.Catalog {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.catalog
}

// Audit returns the audit trail, oldest record first.
func (k *StateMachine) Audit() []*state.AuditRecord {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return append([]*state.AuditRecord(nil), k.audit...)
}

// SyncSince returns what changed since a revision that an entry process holds.
func (k *StateMachine) SyncSince(have configurer.Revision) *wire.SyncReply {
	k.mu.RLock()
	defer k.mu.RUnlock()
	current := k.catalog.Revision()
	reply := &wire.SyncReply{Revision: uint64(current)}
	missing := int(current) - int(have)
	if missing == 0 {
		return reply
	}
	if missing > 0 && missing <= len(k.recent) {
		reply.Changes = append(reply.Changes, k.recent[len(k.recent)-missing:]...)
		return reply
	}
	reply.Whole = true
	reply.Configuration = k.catalog.Configuration()
	reply.Keys = k.catalog.Keys()
	return reply
}

// MarshalDeterministic returns the bytes of an operation that its fingerprint is taken over.
func MarshalDeterministic(op *state.Operation) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(op)
}
