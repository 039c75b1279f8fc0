package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/digester"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/internal/proposer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/writer"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// maxStoredBodyBytes is the size up to which a response body is stored with a claim.
	maxStoredBodyBytes = 64 << 10
	// inDoubtRetryAfter is the Retry-After of a call whose claim cannot be
	// committed, or for whose idempotency key an earlier call has no known outcome.
	inDoubtRetryAfter = time.Second
	// claimOutcomeTimeout bounds the retries to commit the outcome of a claim.
	claimOutcomeTimeout       = 30 * time.Second
	claimOutcomeRetryInterval = 200 * time.Millisecond
)

// storedResponse is the response of an earlier call with the same idempotency key.
type storedResponse struct {
	// claimID is the id in the claim of the earlier call.
	claimID  translator.AttemptID
	response *state.StoredAnswer
}

// write replays the response to the client.
func (s *storedResponse) write(w http.ResponseWriter) {
	h := w.Header()
	if s.response.GetContentType() != "" {
		h.Set("Content-Type", s.response.GetContentType())
	}
	h.Set(translator.HeaderAttempt, string(s.claimID))
	h.Set(translator.HeaderReplayed, "true")
	w.WriteHeader(int(s.response.GetStatus()))
	_, _ = w.Write(s.response.GetBody())
}

// commitClaim commits the claim of a call, which reserves its single run, before the
// call is sent. It returns the stored response if an earlier call with the same
// idempotency key has run.
func (h *callHandler) commitClaim(ctx context.Context) (*storedResponse, *translator.RefusalError) {
	c := h.call
	if h.claimID == "" {
		h.claimID = translator.AttemptID(uuid.NewString())
	}
	claim := &state.Claim{
		Organisation:   string(c.client.organisation),
		Route:          c.route.GetName(),
		IdempotencyKey: c.IdempotencyKey,
		Fingerprint:    digester.Fingerprint(c.method, c.path, c.rawQuery, c.body),
		Attempt:        string(h.claimID),
	}
	reply, err := h.router.proposer.Propose(ctx, &state.Command{Kind: &state.Command_Claim{Claim: claim}})
	if err != nil {
		// The claim may have been committed although no reply arrived. The call
		// was not sent, so the claim is released.
		go h.commitClaimOutcome(&state.ClaimOutcome{NotRun: true})
		return nil, translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNoQuorum,
			"the idempotency key cannot be reserved: "+err.Error(), inDoubtRetryAfter)
	}
	if reply.GetOutcome().GetAccepted() {
		h.claimed = true
		return nil, h.router.controlPlane.checkKey(&c.client)
	}
	return h.resolveExistingClaim(reply.GetOutcome().GetReason(), reply.GetClaim())
}

// resolveExistingClaim returns the stored response or the refusal for a claim
// that was rejected for the given reason.
func (h *callHandler) resolveExistingClaim(reason string, earlier *state.ClaimState) (*storedResponse, *translator.RefusalError) {
	earlierClaimID := translator.AttemptID(earlier.GetClaim().GetAttempt())
	switch reason {
	case keeper.ReasonTooManyClaims:
		return nil, translator.RefuseWithRetryAfter(http.StatusTooManyRequests, translator.CodeTooManyClaims,
			"the organisation holds too many idempotency keys", time.Minute)
	case keeper.ReasonReusedKey:
		return nil, translator.Refuse(http.StatusUnprocessableEntity, translator.CodeIdempotencyReuse,
			"the idempotency key was used for another call")
	}
	// Earlier versions stored the response whatever its status.
	if writer.IsFinalStatus(int(earlier.GetAnswer().GetStatus())) {
		return &storedResponse{claimID: earlierClaimID, response: earlier.GetAnswer()}, nil
	}
	refusal := translator.RefuseWithRetryAfter(http.StatusConflict, translator.CodeInDoubt,
		"an earlier call with the idempotency key may have run; its outcome is not known", inDoubtRetryAfter)
	refusal.Run = translator.MayHaveRun
	refusal.Attempt = earlierClaimID
	return nil, refusal
}

// storeResponse tries once, for at most proposer.Timeout, to commit the response of
// a claimed call before the client gets it. If that fails, it is retried in the
// background and the client gets the response first. A body that is incomplete or
// too large is left out.
func (h *callHandler) storeResponse(body []byte, complete bool) {
	if !h.claimed {
		return
	}
	at := h.current
	stored := &state.StoredAnswer{
		Status:      int32(at.response.StatusCode),
		ContentType: at.response.Header.Get("Content-Type"),
	}
	if complete && len(body) <= maxStoredBodyBytes {
		stored.Body = body
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposer.Timeout)
	defer cancel()
	outcome := &state.ClaimOutcome{Answer: stored}
	if !h.proposeClaimOutcome(ctx, outcome) {
		go h.commitClaimOutcome(outcome)
	}
}

// releaseClaim releases the claim of a refused call that has not run. The claim
// of a call that may have run remains in doubt.
func (h *callHandler) releaseClaim(refusal *translator.RefusalError) {
	if h.claimed && refusal.Run == translator.NotRun {
		go h.commitClaimOutcome(&state.ClaimOutcome{NotRun: true})
	}
}

// commitClaimOutcome proposes the outcome of a claim until it is committed or
// claimOutcomeTimeout has passed.
func (h *callHandler) commitClaimOutcome(outcome *state.ClaimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), claimOutcomeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if h.proposeClaimOutcome(ctx, outcome) {
			return
		}
		timer.Sleep(ctx, claimOutcomeRetryInterval)
	}
	h.log.Warn("the outcome of a claim was not committed; the claim stays in doubt", h.requestIDField(),
		zap.String("attempt", string(h.claimID)))
}

// proposeClaimOutcome proposes the outcome of the call's claim once, and reports
// whether a control process replied.
func (h *callHandler) proposeClaimOutcome(ctx context.Context, outcome *state.ClaimOutcome) bool {
	outcome.Organisation = string(h.call.client.organisation)
	outcome.Route = h.call.route.GetName()
	outcome.IdempotencyKey = h.call.IdempotencyKey
	outcome.Attempt = string(h.claimID)
	_, err := h.router.proposer.Propose(ctx, &state.Command{Kind: &state.Command_ClaimOutcome{ClaimOutcome: outcome}})
	return err == nil
}
