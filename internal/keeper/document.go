package keeper

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// fingerprintBytes is the length of a document's fingerprint in its change id.
const fingerprintBytes = 8

// applyDocument takes a document into force if its version is higher than the
// one held. A lower or equal one is acknowledged and changes nothing.
func (k *StateMachine) applyDocument(d *state.Document, limits *state.Limits) *wire.ProposeReply {
	held := k.document.GetVersion()
	if k.document != nil && d.GetVersion() <= held {
		return &wire.ProposeReply{Outcome: &state.Outcome{
			Accepted: true,
			Revision: uint64(k.catalog.Revision()),
			Detail:   fmt.Sprintf("version %d is not higher than version %d, which stays", d.GetVersion(), held),
		}}
	}
	sum := sha256.Sum256(d.GetContent())
	outcome := k.decideChange(&state.Change{
		BaseRevision: uint64(k.catalog.Revision()),
		Operation:    &state.Operation{Kind: &state.Operation_Replace{Replace: withoutContent(d)}},
	})
	if outcome.GetAccepted() {
		k.document = &state.Document{Version: d.GetVersion(), Content: d.GetContent()}
		// Nobody catches up through a document change by change.
		k.recent = nil
	}
	k.auditSequence++
	record := &state.AuditRecord{
		Sequence:    k.auditSequence,
		AtMillis:    k.clock,
		ChangeId:    fmt.Sprintf("document-%d-%s", d.GetVersion(), hex.EncodeToString(sum[:fingerprintBytes])),
		Summary:     Summarize(&state.Operation{Kind: &state.Operation_Replace{Replace: d}}),
		Outcome:     outcome,
		Fingerprint: sum[:],
	}
	k.audit = append(k.audit, record)
	k.byChangeID[record.GetChangeId()] = record
	k.trimAudit(int(limits.GetAuditRecords()))
	return &wire.ProposeReply{Outcome: outcome}
}

func withoutContent(d *state.Document) *state.Document {
	return &state.Document{Version: d.GetVersion(), Configuration: d.GetConfiguration(), Keys: d.GetKeys()}
}

// Document returns the latest document's version and content, or nil before the first one.
func (k *StateMachine) Document() *state.Document {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.document
}
