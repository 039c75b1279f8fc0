package keeper

import (
	"bytes"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which a claim is refused.
const (
	// ReasonClaimed means that an earlier call holds the claim; its state is in the reply.
	ReasonClaimed = "claimed"
	// ReasonReusedKey means that an earlier, different call used the idempotency key.
	ReasonReusedKey = "reusedKey"
	// ReasonTooManyClaims means that the organisation holds as many claims as it may.
	ReasonTooManyClaims = "full"
)

type claimKey struct {
	organisation string
	route        string
	key          string
}

func keyOfClaim(c *state.Claim) claimKey {
	return claimKey{organisation: c.GetOrganisation(), route: c.GetRoute(), key: c.GetIdempotencyKey()}
}

func (k *StateMachine) applyClaim(c *state.Claim, limits *state.Limits) *wire.ProposeReply {
	k.expireClaims(limits.GetClaimRetentionMillis())
	key := keyOfClaim(c)
	if first := k.claims[key]; first != nil {
		if first.GetClaim().GetAttempt() == c.GetAttempt() {
			return accepted()
		}
		reason := ReasonClaimed
		if !bytes.Equal(first.GetClaim().GetFingerprint(), c.GetFingerprint()) {
			reason = ReasonReusedKey
		}
		reply := refused(reason, "an earlier call used the idempotency key")
		reply.Claim = first
		return reply
	}
	if k.claimCount[c.GetOrganisation()] >= int(limits.GetClaimsPerOrganisation()) {
		return refused(ReasonTooManyClaims, "the organisation holds as many claims as it may")
	}
	k.addClaim(&state.ClaimState{Claim: c, AtMillis: k.clock})
	return accepted()
}

func (k *StateMachine) applyClaimOutcome(o *state.ClaimOutcome) *wire.ProposeReply {
	key := claimKey{organisation: o.GetOrganisation(), route: o.GetRoute(), key: o.GetIdempotencyKey()}
	c := k.claims[key]
	if c == nil || c.GetClaim().GetAttempt() != o.GetAttempt() {
		return refused(ReasonInvalid, "no such claim")
	}
	if o.GetNotRun() {
		k.removeClaim(key, c)
		return accepted()
	}
	if c.GetAnswer() == nil {
		// The state may be shared with a snapshot in progress, so it is replaced.
		updated := &state.ClaimState{Claim: c.GetClaim(), AtMillis: c.GetAtMillis(), Answer: o.GetAnswer()}
		k.claims[key] = updated
		for i := range k.claimOrder {
			if k.claimOrder[i] == c {
				k.claimOrder[i] = updated
			}
		}
	}
	return accepted()
}

func (k *StateMachine) addClaim(c *state.ClaimState) {
	k.claims[keyOfClaim(c.GetClaim())] = c
	k.claimOrder = append(k.claimOrder, c)
	k.claimCount[c.GetClaim().GetOrganisation()]++
}

func (k *StateMachine) removeClaim(key claimKey, c *state.ClaimState) {
	delete(k.claims, key)
	k.claimCount[key.organisation]--
	for i := range k.claimOrder {
		if k.claimOrder[i] == c {
			k.claimOrder = append(append([]*state.ClaimState(nil), k.claimOrder[:i]...), k.claimOrder[i+1:]...)
			return
		}
	}
}

// expireClaims removes the claims that are older than the retention.
func (k *StateMachine) expireClaims(retention int64) {
	expired := 0
	for expired < len(k.claimOrder) && k.claimOrder[expired].GetAtMillis()+retention < k.clock {
		claim := k.claimOrder[expired].GetClaim()
		delete(k.claims, keyOfClaim(claim))
		k.claimCount[claim.GetOrganisation()]--
		expired++
	}
	k.claimOrder = k.claimOrder[expired:]
}
