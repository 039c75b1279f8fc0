package keeper

import (
	"bytes"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which a claim is refused.
const (
	// ReasonClaimed means that an earlier request with the same key and fingerprint holds
	// the claim. The reply carries the state of the claim.
	ReasonClaimed = "claimed"
	// ReasonReusedKey means that an earlier request with another fingerprint used the
	// idempotency key.
	ReasonReusedKey = "reusedKey"
	// ReasonTooManyClaims means that the organisation has reached its limit of claims.
	ReasonTooManyClaims = "full"
)

// claimKey identifies a claim.
type claimKey struct {
	organisation string
	route        string
	key          string
}

func claimKeyOf(c *state.Claim) claimKey {
	return claimKey{organisation: c.GetOrganisation(), route: c.GetRoute(), key: c.GetIdempotencyKey()}
}

// applyClaim reserves the single run of a non-idempotent request. A claim that is
// proposed again with the same attempt id is accepted, for example after a lost reply.
func (m *StateMachine) applyClaim(c *state.Claim, limits *state.Limits) *wire.ProposeReply {
	m.expireClaims(limits.GetClaimRetentionMillis())
	key := claimKeyOf(c)
	if first := m.claims[key]; first != nil {
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
	if m.claimCounts[c.GetOrganisation()] >= int(limits.GetClaimsPerOrganisation()) {
		return refused(ReasonTooManyClaims, "the organisation holds as many claims as it may")
	}
	m.addClaim(&state.ClaimState{Claim: c, AtMillis: m.latestMillis})
	return accepted()
}

// applyClaimOutcome stores the response to a claimed request, or releases the claim
// if the request did not run. The first stored response is final.
func (m *StateMachine) applyClaimOutcome(o *state.ClaimOutcome) *wire.ProposeReply {
	key := claimKey{organisation: o.GetOrganisation(), route: o.GetRoute(), key: o.GetIdempotencyKey()}
	c := m.claims[key]
	if c == nil || c.GetClaim().GetAttempt() != o.GetAttempt() {
		return refused(ReasonInvalid, "no such claim")
	}
	if o.GetNotRun() {
		m.removeClaim(key, c)
		return accepted()
	}
	if c.GetAnswer() == nil {
		// Snapshots share the claim states, so the state is replaced instead of modified.
		updated := &state.ClaimState{Claim: c.GetClaim(), AtMillis: c.GetAtMillis(), Answer: o.GetAnswer()}
		m.claims[key] = updated
		for i := range m.claimsByAge {
			if m.claimsByAge[i] == c {
				m.claimsByAge[i] = updated
			}
		}
	}
	return accepted()
}

func (m *StateMachine) addClaim(c *state.ClaimState) {
	m.claims[claimKeyOf(c.GetClaim())] = c
	m.claimsByAge = append(m.claimsByAge, c)
	m.claimCounts[c.GetClaim().GetOrganisation()]++
}

func (m *StateMachine) removeClaim(key claimKey, c *state.ClaimState) {
	delete(m.claims, key)
	m.claimCounts[key.organisation]--
	for i := range m.claimsByAge {
		if m.claimsByAge[i] == c {
			m.claimsByAge = append(append([]*state.ClaimState(nil), m.claimsByAge[:i]...), m.claimsByAge[i+1:]...)
			return
		}
	}
}

// expireClaims removes the claims that are older than the retention time.
func (m *StateMachine) expireClaims(retentionMillis int64) {
	expired := 0
	for expired < len(m.claimsByAge) && m.claimsByAge[expired].GetAtMillis()+retentionMillis < m.latestMillis {
		claim := m.claimsByAge[expired].GetClaim()
		delete(m.claims, claimKeyOf(claim))
		m.claimCounts[claim.GetOrganisation()]--
		expired++
	}
	m.claimsByAge = m.claimsByAge[expired:]
}
