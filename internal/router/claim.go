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
	// storedBytes bounds the body of an answer that is kept with a claim.
	storedBytes = 64 << 10
	// inDoubtRetry is when to ask again about a call whose outcome is not known.
	inDoubtRetry = time.Second
	// settleTimeout bounds how long the outcome of a claim is offered to the control processes.
	settleTimeout = 30 * time.Second
	settlePause   = 200 * time.Millisecond
)

// storedAnswer is the answer of an earlier call with the same idempotency key.
type storedAnswer struct {
	attempt AttemptID
	answer  *state.StoredAnswer
}

func (s *storedAnswer) write(w http.ResponseWriter) {
	h := w.Header()
	if s.answer.GetContentType() != "" {
		h.Set("Content-Type", s.answer.GetContentType())
	}
	h.Set(HeaderAttempt, string(s.attempt))
	h.Set(HeaderReplayed, "true")
	w.WriteHeader(int(s.answer.GetStatus()))
	_, _ = w.Write(s.answer.GetBody())
}

// reserve commits the claim for the single run of a call before it is sent. It
// returns the earlier answer if the call has run before.
func (x *exchange) reserve(ctx context.Context) (*storedAnswer, *RefusalError) {
	c := x.call
	if x.claim == "" {
		x.claim = AttemptID(uuid.NewString())
	}
	claim := &state.Claim{
		Organisation:   string(c.who.organisation),
		Route:          c.route.GetName(),
		IdempotencyKey: c.Idempotency,
		Fingerprint:    c.fingerprint(),
		Attempt:        string(x.claim),
	}
	reply, err := x.router.authority.propose(ctx, &state.Command{Kind: &state.Command_Claim{Claim: claim}})
	if err != nil {
		// The claim may have been committed; the call was not sent, so it is released.
		go x.settle(&state.ClaimOutcome{NotRun: true})
		return nil, refuseUntil(http.StatusServiceUnavailable, CodeNoQuorum,
			"the idempotency key cannot be reserved: "+err.Error(), inDoubtRetry)
	}
	if reply.GetOutcome().GetAccepted() {
		x.claimed = true
		return nil, x.router.authority.check(&c.who)
	}
	return x.earlierClaim(reply.GetOutcome().GetReason(), reply.GetClaim())
}

func (x *exchange) earlierClaim(reason string, earlier *state.ClaimState) (*storedAnswer, *RefusalError) {
	attempt := AttemptID(earlier.GetClaim().GetAttempt())
	switch reason {
	case keeper.ReasonTooManyClaims:
		return nil, refuseUntil(http.StatusTooManyRequests, CodeTooManyClaims,
			"the organisation holds too many idempotency keys", time.Minute)
	case keeper.ReasonReusedKey:
		return nil, refuse(http.StatusUnprocessableEntity, CodeIdempotencyReuse,
			"the idempotency key was used for another call")
	}
	if earlier.GetAnswer().GetStatus() != 0 {
		return &storedAnswer{attempt: attempt, answer: earlier.GetAnswer()}, nil
	}
	refusal := refuseUntil(http.StatusConflict, CodeInDoubt,
		"an earlier call with the idempotency key may have run; its outcome is not known", inDoubtRetry)
	refusal.Run = MayHaveRun
	refusal.Attempt = attempt
	return nil, refusal
}

// recordAnswer commits the answer of a claimed call before the caller gets it.
func (x *exchange) recordAnswer(body []byte, whole bool) {
	if !x.claimed {
		return
	}
	at := x.current
	stored := &state.StoredAnswer{
		Status:      int32(at.response.StatusCode),
		ContentType: at.response.Header.Get("Content-Type"),
	}
	if whole && len(body) <= storedBytes {
		stored.Body = body
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	outcome := &state.ClaimOutcome{Answer: stored}
	if !x.proposeOutcome(ctx, outcome) {
		go x.settle(outcome)
	}
}

// settleClaim releases the claim of a call that was refused without having
// run. One that may have run stays in doubt.
func (x *exchange) settleClaim(refusal *RefusalError) {
	if x.claimed && refusal.Run == NotRun {
		go x.settle(&state.ClaimOutcome{NotRun: true})
	}
}

// settle offers the outcome of a claim until it is committed.
func (x *exchange) settle(outcome *state.ClaimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if x.proposeOutcome(ctx, outcome) {
			return
		}
		timer.Sleep(ctx, settlePause)
	}
	x.log.Warn("the outcome of a claim was not committed; it stays in doubt", x.idField(),
		zap.String("attempt", string(x.claim)))
}

func (x *exchange) proposeOutcome(ctx context.Context, outcome *state.ClaimOutcome) bool {
	outcome.Organisation = string(x.call.who.organisation)
	outcome.Route = x.call.route.GetName()
	outcome.IdempotencyKey = x.call.Idempotency
	outcome.Attempt = string(x.claim)
	_, err := x.router.authority.propose(ctx, &state.Command{Kind: &state.Command_ClaimOutcome{ClaimOutcome: outcome}})
	return err == nil
}
