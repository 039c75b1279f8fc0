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
	// maxStoredBodyBytes bounds the body of an answer that is kept with a claim.
	maxStoredBodyBytes = 64 << 10
	// inDoubtRetryAfter is when to ask again about a call whose outcome is not known.
	inDoubtRetryAfter = time.Second
	// outcomeTimeout bounds how long the outcome of a claim is offered to the control processes.
	outcomeTimeout = 30 * time.Second
	outcomeRetryInterval   = 200 * time.Millisecond
)

// storedResponse is the answer of an earlier call with the same idempotency key.
type storedResponse struct {
	attempt AttemptID
	response  *state.StoredAnswer
}

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

// reserveRun commits the claim for the single run of a call before it is sent. It
// returns the earlier answer if the call has run before.
func (x *exchange) reserveRun(ctx context.Context) (*storedResponse, *RefusalError) {
	c := x.call
	if x.claimID == "" {
		x.claimID = AttemptID(uuid.NewString())
	}
	claim := &state.Claim{
		Organisation:   string(c.identity.organisation),
		Route:          c.route.GetName(),
		IdempotencyKey: c.IdempotencyKey,
		Fingerprint:    c.fingerprint(),
		Attempt:        string(x.claimID),
	}
	reply, err := x.router.authority.propose(ctx, &state.Command{Kind: &state.Command_Claim{Claim: claim}})
	if err != nil {
		// The claim may have been committed; the call was not sent, so it is released.
		go x.commitOutcome(&state.ClaimOutcome{NotRun: true})
		return nil, refuseWithRetryAfter(http.StatusServiceUnavailable, CodeNoQuorum,
			"the idempotency key cannot be reserved: "+err.Error(), inDoubtRetryAfter)
	}
	if reply.GetOutcome().GetAccepted() {
		x.claimed = true
		return nil, x.router.authority.checkKey(&c.identity)
	}
	return x.resolveExistingClaim(reply.GetOutcome().GetReason(), reply.GetClaim())
}

func (x *exchange) resolveExistingClaim(reason string, earlier *state.ClaimState) (*storedResponse, *RefusalError) {
	attempt := AttemptID(earlier.GetClaim().GetAttempt())
	switch reason {
	case keeper.ReasonFull:
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

// storeResponse commits the answer of a claimed call before the caller gets it.
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
	if !x.proposeOutcome(ctx, outcome) {
		go x.commitOutcome(outcome)
	}
}

// releaseClaim releases the claim of a call that was refused without having
// run. One that may have run stays in doubt.
func (x *exchange) releaseClaim(refusal *RefusalError) {
	if x.claimed && refusal.Run == NotRun {
		go x.commitOutcome(&state.ClaimOutcome{NotRun: true})
	}
}

// commitOutcome offers the outcome of a claim until it is committed.
func (x *exchange) commitOutcome(outcome *state.ClaimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if x.proposeOutcome(ctx, outcome) {
			return
		}
		timer.Sleep(ctx, outcomeRetryInterval)
	}
	x.log.Warn("the outcome of a claim was not committed; it stays in doubt", x.idField(),
		zap.String("attempt", string(x.claimID)))
}

func (x *exchange) proposeOutcome(ctx context.Context, outcome *state.ClaimOutcome) bool {
	outcome.Organisation = string(x.call.identity.organisation)
	outcome.Route = x.call.route.GetName()
	outcome.IdempotencyKey = x.call.IdempotencyKey
	outcome.Attempt = string(x.claimID)
	_, err := x.router.authority.propose(ctx, &state.Command{Kind: &state.Command_ClaimOutcome{ClaimOutcome: outcome}})
	return err == nil
}
