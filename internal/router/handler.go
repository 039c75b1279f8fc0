package router

import (
	"context"
	"net/http"
	"syscall"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

// maximumRefusals bounds the upstreams that a call is offered to while they refuse to run it.
const maximumRefusals = 5

type (
	controllerContextKey struct{}

	// exchange is the life of one call: its attempts and what the caller has got.
	exchange struct {
		router *Router
		call   *call
		log    *zap.Logger
		// id is the same in all lines of the log: the client's, or one made here.
		id      AttemptID
		claimed bool
		// claim is the attempt id under which the call's run is reserved.
		claim AttemptID

		attempts int
		// refusals counts the upstreams that refused to run the call.
		refusals int
		// sent reports that a byte of the call may have reached an upstream.
		sent    bool
		avoid   []registrar.UpstreamID
		current *attempt
		// begun reports that the request was counted as running.
		begun bool

		// delivered is the last event that the caller has.
		delivered EventID
		tokensIn  TokenCount
		tokensOut TokenCount
	}

	// answer is what the encoder writes to the caller.
	answer struct {
		exchange *exchange
		// stored is set when an earlier call's answer is given again.
		stored *storedAnswer
	}
)

// callerHandler serves callers.
func (r *Router) callerHandler() http.Handler {
	server := kithttp.NewServer(r.callEndpoint, r.decodeCall, r.encodeAnswer,
		kithttp.ServerErrorEncoder(r.encodeRefusal))
	limits := r.settings.GetEntry().GetCallerLimits()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer r.inProgress.Add(-1)
		if r.inProgress.Add(1) > int64(limits.GetRequestsInProgress()) {
			r.encodeRefusal(request.Context(), refuseUntil(http.StatusServiceUnavailable, CodeOverloaded,
				"too many requests in progress", time.Second), w)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Time{})
		_ = control.SetReadDeadline(time.Now().Add(limits.GetBodyTimeout().AsDuration()))
		ctx := context.WithValue(request.Context(), controllerContextKey{}, control)
		server.ServeHTTP(w, request.WithContext(ctx))
	})
}

// callEndpoint runs a call until the first response headers of an upstream.
func (r *Router) callEndpoint(ctx context.Context, request any) (any, error) {
	c, _ := request.(*call)
	if control, ok := ctx.Value(controllerContextKey{}).(*http.ResponseController); ok {
		// The body is read; without a deadline the connection is watched for the caller's leaving.
		_ = control.SetReadDeadline(time.Time{})
	}
	x := &exchange{router: r, call: c, log: r.log, id: c.Attempt, delivered: c.Delivered}
	if x.id == "" {
		x.id = AttemptID(uuid.NewString())
	}
	if refusal := r.resolve(c); refusal != nil {
		return nil, x.refused(refusal)
	}
	out, refusal := x.begin(ctx)
	if refusal != nil {
		x.settleClaim(refusal)
		return nil, x.refused(refusal)
	}
	return out, nil
}

// begin reserves the call's run where needed and starts the first attempt that succeeds.
func (x *exchange) begin(ctx context.Context) (*answer, *RefusalError) {
	limit, cancel := context.WithTimeout(ctx, x.call.deadline-x.router.dispatcher.now())
	defer cancel()
	for {
		g, refusal := x.acquire(limit)
		if refusal != nil {
			return nil, refusal
		}
		if !x.call.repeatable && x.call.Idempotency != "" && !x.claimed {
			stored, claimRefusal := x.reserve(limit)
			if claimRefusal != nil || stored != nil {
				x.router.dispatcher.release(g, verdictAbandoned, 0)
				return &answer{exchange: x, stored: stored}, claimRefusal
			}
		}
		err := x.try(ctx, g)
		if err == nil {
			return &answer{exchange: x}, nil
		}
		if !x.mayTryAgain(ctx, err) {
			return nil, x.gaveUp(err)
		}
		x.router.metrics.retries.Inc(1)
	}
}

// acquire waits for an upstream and checks the key again, since it may have
// been withdrawn while the request waited.
func (x *exchange) acquire(ctx context.Context) (*grant, *RefusalError) {
	c := x.call
	g, refusal := x.router.dispatcher.submit(ctx, order{
		pool:         c.pool,
		class:        c.class,
		tier:         c.rank,
		organisation: c.who.organisation,
		arrived:      c.arrived,
		deadline:     c.deadline,
		begun:        x.sent,
		prompt:       x.prompt(),
		pick: picker.Request{
			Prefix:  c.prefix(),
			Retryable: c.repeatable,
			Avoid:   x.avoid,
		},
	})
	if refusal != nil {
		return nil, x.markSent(refusal)
	}
	if refusal = x.router.authority.check(&c.who); refusal != nil {
		x.router.dispatcher.release(g, verdictAbandoned, 0)
		return nil, x.markSent(refusal)
	}
	return g, nil
}

// prompt describes the work of a model request; nil for other requests.
func (x *exchange) prompt() *picker.PromptRequest {
	c := x.call
	if len(c.Prompt.Parts) == 0 {
		return nil
	}
	return &picker.PromptRequest{
		Class:      picker.Class(c.class.GetName()),
		Parts:      c.Prompt.Parts,
		PromptTokens:         int(c.Prompt.In),
		MaxOutputTokens:        int(c.Prompt.Out),
		FirstTokenTarget: c.class.GetTarget().GetFirstToken().AsDuration(),
		TimeLimit:  c.deadline - c.arrived,
		Rank:       int(c.rank) - 1,
		Ranks:      int(c.ranks),
		Avoid:      x.avoid,
	}
}

// try sends one attempt and keeps it as the current one if the upstream answered.
func (x *exchange) try(ctx context.Context, g *grant) error {
	x.attempts++
	at, err := x.router.attempter.send(ctx, x.call, g, x.delivered)
	if err != nil {
		x.failed(g, err)
		return err
	}
	x.sent = true
	if !x.call.stream || at.response.StatusCode >= http.StatusMultipleChoices {
		// An upstream that answers with a failure of its own has run the request.
		x.began()
	}
	if x.call.repeatable && x.router.dialect.Retries(at.response.StatusCode) {
		err = &attemptError{Attempt: at.id, Cause: errors.Errorf("upstream answered %d", at.response.StatusCode)}
		x.log.Info("attempt failed", append(x.inputs(g), zap.Int("attempts", x.attempts), zap.Error(err))...)
		at.close(err)
		x.avoid = append(x.avoid, g.upstream.ID)
		x.router.dispatcher.release(g, verdictOverloaded, 0)
		return err
	}
	x.router.dispatcher.answered(g, at.firstByte, at.load)
	x.current = at
	return nil
}

// failed ends the grant of an attempt that got no answer.
func (x *exchange) failed(g *grant, err error) {
	var (
		failure *attemptError
		crossed *crossedError
		silent  *silentError
	)
	v := failureVerdict(err)
	switch {
	case !errors.As(err, &failure) || !failure.NotRun:
		x.sent = true
		x.began()
	case failure.Refused:
		v = verdictOverloaded
	default:
		v = verdictUnreachable
	}
	if errors.As(err, &crossed) {
		x.router.metrics.crossed.Inc(1)
	}
	if errors.As(err, &silent) {
		x.router.metrics.silent.Inc(1)
	}
	if errors.Is(err, context.Canceled) {
		v = verdictAbandoned
	}
	x.avoid = append(x.avoid, g.upstream.ID)
	x.router.dispatcher.release(g, v, 0)
	x.log.Info("attempt failed", append(x.inputs(g), zap.Int("attempts", x.attempts), zap.Error(err))...)
}

// failureVerdict tells a connection that was cut off without a word from other failures.
func failureVerdict(err error) verdict {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return verdictSilent
	}
	return verdictFailed
}

func overloadedStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// mayTryAgain decides whether a failed attempt is followed by another one. An
// attempt that got no connection put no load on an upstream, so it counts
// neither against the attempts nor against the retry budget; its upstream's
// circuit is open now. A call that may not be repeated is tried again only
// after such an attempt.
func (x *exchange) mayTryAgain(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.router.dispatcher.now() >= x.call.deadline {
		return false
	}
	var failure *attemptError
	if errors.As(err, &failure) && failure.NotRun {
		x.attempts--
		if !failure.Refused {
			return true
		}
		x.refusals++
		return x.refusals < maximumRefusals && x.router.dispatcher.mayRetry()
	}
	limit := int(x.router.settings.GetEntry().GetUpstreamLimits().GetAttempts())
	if own := int(x.call.route.GetAttempts()); own > 0 {
		limit = own
	}
	return x.call.repeatable && x.attempts < limit && x.router.dispatcher.mayRetry()
}

// gaveUp makes the final answer of a call whose attempts have failed.
func (x *exchange) gaveUp(err error) *RefusalError {
	refusal := refuseUntil(http.StatusBadGateway, CodeUpstreamFailed, err.Error(), time.Second)
	if errors.As(err, new(*expiredError)) {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Code = CodeDeadline
	}
	if !x.sent {
		refusal.Status = http.StatusServiceUnavailable
		refusal.Code = CodeOverloaded
	}
	var failure *attemptError
	if errors.As(err, &failure) {
		refusal.Attempt = failure.Attempt
	}
	refusal.cause = err
	return x.markSent(refusal)
}

// markSent makes a refusal true for a call of which a byte may have left.
func (x *exchange) markSent(refusal *RefusalError) *RefusalError {
	if x.sent {
		refusal.Run = MayHaveRun
	}
	return refusal
}

func (x *exchange) refused(refusal *RefusalError) *RefusalError {
	x.router.metrics.refused(refusal.Code)
	x.log.Info("request refused", x.idField(), zap.String("attempt", string(refusal.Attempt)),
		zap.String("code", refusal.Code),
		zap.Int("status", refusal.Status), zap.String("run", string(refusal.Run)),
		zap.Duration("retryAfter", refusal.RetryAfter), zap.Int("attempts", x.attempts),
		zap.Uint64("revision", uint64(x.router.authority.revision())), zap.Duration("since", x.age()),
		zap.String("organisation", string(x.call.who.organisation)), zap.String("class", x.call.class.GetName()),
		zap.String("pool", x.call.pool.name), zap.String("reason", refusal.Detail))
	return refusal
}

// finish ends the current attempt and counts the work.
func (x *exchange) finish(v verdict, cause error) {
	at := x.current
	if v == verdictAnswered {
		x.served(at.grant, at.response.StatusCode, at.firstByte)
	}
	x.current = nil
	if cause == nil {
		at.drain()
	}
	at.close(cause)
	cost := scheduler.Cost(x.tokensIn + x.tokensOut)
	x.router.dispatcher.release(at.grant, v, max(cost, 1))
}

// began counts a request that has begun to run, once.
func (x *exchange) began() {
	if x.begun {
		return
	}
	x.begun = true
	if x.current != nil {
		x.router.dispatcher.firstToken(x.current.grant)
	}
	x.router.windows.add(x.call.who)
}

// count adds the call and its work to the usage counters.
func (x *exchange) count() {
	x.router.usage.add(x.call.who, configurer.ClassName(x.call.class.GetName()), x.tokensIn, x.tokensOut)
	x.tokensIn = 0
	x.tokensOut = 0
}
