package keeper

import (
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which an intent is refused.
const (
	// ReasonFenced means that the intent does not carry the latest fencing number:
	// another process has become the lease holder.
	ReasonFenced = "fenced"
)

// FencingNumberIssued reports whether a fencing number was ever issued.
func (m *StateMachine) FencingNumberIssued() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fencingNumber != 0
}

// applyFence issues the next fencing number to a lease holder. The reply carries
// the number in its revision field.
func (m *StateMachine) applyFence(f *state.Fence) *wire.ProposeReply {
	m.fencingNumber++
	m.leaseHolder = f.GetHolder()
	return &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true, Revision: m.fencingNumber}}
}

// applyIntent stores an intent, the record of an order that is about to be sent to
// the platform. When an order is sent again, the new intent replaces the open one
// with the same order id. Intents of earlier lease holders are refused.
func (m *StateMachine) applyIntent(i *state.Intent) *wire.ProposeReply {
	if i.GetFencingNumber() != m.fencingNumber {
		return refused(ReasonFenced, "another process is in charge")
	}
	for n, open := range m.openIntents {
		if open.GetOrderId() == i.GetOrderId() {
			m.openIntents[n] = i
			return accepted()
		}
	}
	m.openIntents = append(m.openIntents, i)
	return accepted()
}

// applyIntentOutcome removes the intent of an order that the platform has accepted or
// refused.
func (m *StateMachine) applyIntentOutcome(o *state.IntentOutcome) *wire.ProposeReply {
	kept := make([]*state.Intent, 0, len(m.openIntents))
	for _, i := range m.openIntents {
		if i.GetOrderId() != o.GetOrderId() {
			kept = append(kept, i)
		}
	}
	m.openIntents = kept
	return accepted()
}

// OpenIntents returns the intents of the orders whose outcome is not yet known.
func (m *StateMachine) OpenIntents() []*state.Intent {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]*state.Intent(nil), m.openIntents...)
}

// FencingNumber returns the latest fencing number and the host it was issued to.
func (m *StateMachine) FencingNumber() (uint64, string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fencingNumber, m.leaseHolder
}
