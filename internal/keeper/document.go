package keeper

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// changeIDHashBytes is the number of bytes of a document's hash that its change id contains.
const changeIDHashBytes = 8

// applyDocument replaces the configuration and all keys by those of a document
// if its version is higher than that of the current document. A lower or equal
// version is accepted without effect. A document is a whole configuration with its
// keys, as an operator sent it.
func (m *StateMachine) applyDocument(d *state.Document, limits *state.Limits) *wire.ProposeReply {
	current := m.document.GetVersion()
	if m.document != nil && d.GetVersion() <= current {
		return &wire.ProposeReply{Outcome: &state.Outcome{
			Accepted: true,
			Revision: uint64(m.catalog.Revision()),
			Detail:   fmt.Sprintf("version %d is not higher than version %d, which stays", d.GetVersion(), current),
		}}
	}
	sum := sha256.Sum256(d.GetContent())
	outcome := m.updateCatalog(&state.Change{
		BaseRevision: uint64(m.catalog.Revision()),
		Operation:    &state.Operation{Kind: &state.Operation_Replace{Replace: withoutContent(d)}},
	})
	if outcome.GetAccepted() {
		m.document = &state.Document{Version: d.GetVersion(), Content: d.GetContent()}
	}
	m.auditSequence++
	record := &state.AuditRecord{
		Sequence:    m.auditSequence,
		AtMillis:    m.latestMillis,
		ChangeId:    fmt.Sprintf("document-%d-%s", d.GetVersion(), hex.EncodeToString(sum[:changeIDHashBytes])),
		Summary:     Summarize(&state.Operation{Kind: &state.Operation_Replace{Replace: d}}),
		Outcome:     outcome,
		Fingerprint: sum[:],
	}
	m.audit = append(m.audit, record)
	m.auditByChangeID[record.GetChangeId()] = record
	m.trimAudit(int(limits.GetAuditRecords()))
	return &wire.ProposeReply{Outcome: outcome}
}

// withoutContent returns a copy of a document without its content.
func withoutContent(d *state.Document) *state.Document {
	return &state.Document{Version: d.GetVersion(), Configuration: d.GetConfiguration(), Keys: d.GetKeys()}
}

// Document returns the version and content of the current document, or nil before the first one.
func (m *StateMachine) Document() *state.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.document
}
