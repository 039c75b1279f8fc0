package router

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	// maxStoredBodyBytes is the size up to which a response body is stored with a claim.
	maxStoredBodyBytes = 64 << 10
	// inDoubtRetryAfter is the Retry-After of a call whose claim cannot be
	// committed or whose earlier run has no known outcome.
	inDoubtRetryAfter = time.Second
	// claimOutcomeTimeout bounds the retries to commit the outcome of a claim.
	claimOutcomeTimeout       = 30 * time.Second
	claimOutcomeRetryInterval = 200 * time.Millisecond
)

// storedResponse is the response of an earlier call with the same idempotency key.
type storedResponse struct {
	attempt  AttemptID
	response *state.StoredAnswer
}

// write replays the response to the client.
func (s *storedResponse) write(w http.ResponseWriter) {
	h := w.Header()
	if s.response.GetContentType() != "" {
		h.Set("Content-Type", s.response.GetContentType())
	}
	h.Set(HeaderAttempt, string(s.attempt))
	h.Set(HeaderReplayed, "true")
	w.WriteHeader(int(s.response.GetStatus()))
	_, _ = w.Write(s.response.GetBody())
}

// reserveRun commits the claim for the single run of a call before the call is
// sent. It returns the stored response if the call has run before.
func (x *exchange) reserveRun(ctx context.Context) (*storedResponse, *RefusalError) {
	c := x.call
	if x.claimID == "" {
		x.claimID = AttemptID(uuid.NewString())
	}
	claim := &state.Claim{
		Organisation:   string(c.client.organisation),
		Route:          c.route.GetName(),
		IdempotencyKey: c.IdempotencyKey,
		Fingerprint:    c.fingerprint(),
		Attempt:        string(x.claimID),
	}
	reply, err := x.router.authority.propose(ctx, &state.Command{Kind: &state.Command_Claim{Claim: claim}})
	if err != nil {
		// The claim may have been committed although no reply arrived. The call
		// was not sent, so the claim is released.
		go x.commitClaimOutcome(&state.ClaimOutcome{NotRun: true})
		return nil, refuseWithRetryAfter(http.StatusServiceUnavailable, CodeNoQuorum,
			"the idempotency key cannot be reserved: "+err.Error(), inDoubtRetryAfter)
	}
	if reply.GetOutcome().GetAccepted() {
		x.claimed = true
		return nil, x.router.authority.checkKey(&c.client)
	}
	return x.resolveExistingClaim(reply.GetOutcome().GetReason(), reply.GetClaim())
}

// resolveExistingClaim returns the stored response or the refusal for a claim
// that was rejected for the given reason.
func (x *exchange) resolveExistingClaim(reason string, earlier *state.ClaimState) (*storedResponse, *RefusalError) {
	attempt := AttemptID(earlier.GetClaim().GetAttempt())
	switch reason {
	case keeper.ReasonTooManyClaims:
		return nil, refuseWithRetryAfter(http.StatusTooManyRequests, CodeTooManyClaims,
			"the organisation holds too many idempotency keys", time.Minute)
	case keeper.ReasonReusedKey:
		return nil, refuse(http.StatusUnprocessableEntity, CodeIdempotencyReuse,
			"the idempotency key was used for another call")
	}
	if earlier.GetAnswer().GetStatus() != 0 {
		return &storedResponse{attempt: attempt, response: earlier.GetAnswer()}, nil
	}
	refusal := refuseWithRetryAfter(http.StatusConflict, CodeInDoubt,
		"an earlier call with the idempotency key may have run; its outcome is not known", inDoubtRetryAfter)
	refusal.Run = MayHaveRun
	refusal.Attempt = attempt
	return nil, refusal
}

// storeResponse commits the response of a claimed call before the client gets
// it. A body that is incomplete or too large is left out.
func (x *exchange) storeResponse(body []byte, whole bool) {
	if !x.claimed {
		return
	}
	at := x.current
	stored := &state.StoredAnswer{
		Status:      int32(at.response.StatusCode),
		ContentType: at.response.Header.Get("Content-Type"),
	}
	if whole && len(body) <= maxStoredBodyBytes {
		stored.Body = body
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	outcome := &state.ClaimOutcome{Answer: stored}
	if !x.proposeClaimOutcome(ctx, outcome) {
		go x.commitClaimOutcome(outcome)
	}
}

// releaseClaim releases the claim of a refused call that has not run. The claim
// of a call that may have run remains in doubt.
func (x *exchange) releaseClaim(refusal *RefusalError) {
	if x.claimed && refusal.Run == NotRun {
		go x.commitClaimOutcome(&state.ClaimOutcome{NotRun: true})
	}
}

// commitClaimOutcome proposes the outcome of a claim until it is committed or
// claimOutcomeTimeout has passed.
func (x *exchange) commitClaimOutcome(outcome *state.ClaimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), claimOutcomeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if x.proposeClaimOutcome(ctx, outcome) {
			return
		}
		timer.Sleep(ctx, claimOutcomeRetryInterval)
	}
	x.log.Warn("the outcome of a claim was not committed; the claim stays in doubt", x.requestIDField(),
		zap.String("attempt", string(x.claimID)))
}

// proposeClaimOutcome proposes the outcome of the call's claim once, and reports
// whether a control process replied.
func (x *exchange) proposeClaimOutcome(ctx context.Context, outcome *state.ClaimOutcome) bool {
	outcome.Organisation = string(x.call.client.organisation)
	outcome.Route = x.call.route.GetName()
	outcome.IdempotencyKey = x.call.IdempotencyKey
	outcome.Attempt = string(x.claimID)
	_, err := x.router.authority.propose(ctx, &state.Command{Kind: &state.Command_ClaimOutcome{ClaimOutcome: outcome}})
	return err == nil
}
