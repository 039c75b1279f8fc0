package keeper

import (
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which an intent is refused.
const (
	// ReasonFenced means that a later holder of the lease has taken over.
	ReasonFenced = "fenced"
)

// FencingNumberIssued reports whether any process has ever taken a fencing number.
func (k *StateMachine) FencingNumberIssued() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.fence != 0
}

// applyFence gives the next fencing number to a holder; the reply carries it as the revision.
func (k *StateMachine) applyFence(f *state.Fence) *wire.ProposeReply {
	k.fence++
	k.holder = f.GetHolder()
	return &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true, Revision: k.fence}}
}

func (k *StateMachine) applyIntent(i *state.Intent) *wire.ProposeReply {
	if i.GetFencingNumber() != k.fence {
		return refused(ReasonFenced, "another process is in charge")
	}
	for n, open := range k.intents {
		if open.GetOrderId() == i.GetOrderId() {
			k.intents[n] = i
			return accepted()
		}
	}
	k.intents = append(k.intents, i)
	return accepted()
}

func (k *StateMachine) applyIntentOutcome(o *state.IntentOutcome) *wire.ProposeReply {
	kept := make([]*state.Intent, 0, len(k.intents))
	for _, i := range k.intents {
		if i.GetOrderId() != o.GetOrderId() {
			kept = append(kept, i)
		}
	}
	k.intents = kept
	return accepted()
}

// OpenIntents returns the orders whose outcome is unknown.
func (k *StateMachine) OpenIntents() []*state.Intent {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return append([]*state.Intent(nil), k.intents...)
}

// Fence returns the latest fencing number and its holder.
func (k *StateMachine) Fence() (uint64, string) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.fence, k.holder
}
