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

// maxUpstreamRefusals is the number of refusals by upstreams after which a call is given up.
const maxUpstreamRefusals = 5

type (
	// responseControllerKey is the context key of the client connection's *http.ResponseController.
	responseControllerKey struct{}

	// exchange is the state of one call: its attempts so far and what of the
	// response the client has received.
	exchange struct {
		router *Router
		call   *call
		log    *zap.Logger
		// requestID identifies the call in log lines: the client's attempt id, or a generated one.
		requestID AttemptID
		// claimed reports that the claim was committed.
		claimed bool
		// claimID is the attempt id that the claim was proposed with; empty if none was.
		claimID AttemptID

		// attempts does not count those that the upstream is known not to have run.
		attempts int
		// upstreamRefusals counts the attempts that an upstream refused to run.
		upstreamRefusals int
		// sent reports that the call may have reached an upstream.
		sent bool
		// failedUpstreams are avoided by further attempts.
		failedUpstreams []registrar.UpstreamID
		// current is the attempt whose response is relayed; nil if there is none.
		current *attempt
		// startRecorded reports that recordStart has counted the call.
		startRecorded bool

		// lastEventID is the last stream event that the client has received.
		lastEventID EventID
		// inputTokens and outputTokens are the work that has not been added to the
		// usage counters yet.
		inputTokens  TokenCount
		outputTokens TokenCount
	}

	// clientResponse is the result of handleCall that encodeResponse writes to the client.
	clientResponse struct {
		exchange *exchange
		// stored is the response of an earlier call with the same idempotency key;
		// nil if the exchange's current attempt is relayed.
		stored *storedResponse
	}
)

// clientHandler returns the handler of client requests.
func (r *Router) clientHandler() http.Handler {
	server := kithttp.NewServer(r.handleCall, r.decodeCall, r.encodeResponse,
		kithttp.ServerErrorEncoder(r.encodeRefusal))
	limits := r.settings.GetEntry().GetCallerLimits()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer r.inProgress.Add(-1)
		if r.inProgress.Add(1) > int64(limits.GetRequestsInProgress()) {
			r.encodeRefusal(request.Context(), refuseWithRetryAfter(http.StatusServiceUnavailable, CodeOverloaded,
				"too many requests in progress", time.Second), w)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Time{})
		_ = control.SetReadDeadline(time.Now().Add(limits.GetBodyTimeout().AsDuration()))
		ctx := context.WithValue(request.Context(), responseControllerKey{}, control)
		server.ServeHTTP(w, request.WithContext(ctx))
	})
}

// handleCall runs a call until an upstream has sent its response headers. It
// returns a *clientResponse.
func (r *Router) handleCall(ctx context.Context, request any) (any, error) {
	c, _ := request.(*call)
	if control, ok := ctx.Value(responseControllerKey{}).(*http.ResponseController); ok {
		// The body has been read. Without a read deadline net/http detects when
		// the client disconnects.
		_ = control.SetReadDeadline(time.Time{})
	}
	x := &exchange{router: r, call: c, log: r.log, requestID: c.Attempt, lastEventID: c.LastEventID}
	if x.requestID == "" {
		x.requestID = AttemptID(uuid.NewString())
	}
	if refusal := r.resolve(c); refusal != nil {
		return nil, x.recordRefusal(refusal)
	}
	out, refusal := x.start(ctx)
	if refusal != nil {
		x.releaseClaim(refusal)
		return nil, x.recordRefusal(refusal)
	}
	return out, nil
}

// start commits the call's claim if it needs one, and sends attempts until an
// upstream responds or the call is given up.
func (x *exchange) start(ctx context.Context) (*clientResponse, *RefusalError) {
	waitCtx, cancel := context.WithTimeout(ctx, x.call.deadline-x.router.dispatcher.now())
	defer cancel()
	for {
		g, refusal := x.acquireUpstream(waitCtx)
		if refusal != nil {
			return nil, refusal
		}
		if !x.call.retryable && x.call.IdempotencyKey != "" && !x.claimed {
			stored, claimRefusal := x.reserveRun(waitCtx)
			if claimRefusal != nil || stored != nil {
				x.router.dispatcher.release(g, outcomeAbandoned, 0)
				return &clientResponse{exchange: x, stored: stored}, claimRefusal
			}
		}
		err := x.sendAttempt(ctx, g)
		if err == nil {
			return &clientResponse{exchange: x}, nil
		}
		if !x.shouldRetry(ctx, err) {
			return nil, x.giveUp(err)
		}
		x.router.metrics.retries.Inc(1)
	}
}

// acquireUpstream waits for an upstream and then checks the key again, since it
// may have been withdrawn in the meantime.
func (x *exchange) acquireUpstream(ctx context.Context) (*grant, *RefusalError) {
	c := x.call
	g, refusal := x.router.dispatcher.acquire(ctx, dispatchRequest{
		pool:         c.pool,
		class:        c.class,
		tier:         c.rank,
		organisation: c.client.organisation,
		arrived:      c.arrived,
		deadline:     c.deadline,
		interrupted:  x.sent,
		prompt:       x.prompt(),
		pick: picker.Request{
			Prefix:    c.prefixID(),
			Retryable: c.retryable,
			Avoid:     x.failedUpstreams,
		},
	})
	if refusal != nil {
		return nil, x.setRun(refusal)
	}
	if refusal = x.router.authority.checkKey(&c.client); refusal != nil {
		x.router.dispatcher.release(g, outcomeAbandoned, 0)
		return nil, x.setRun(refusal)
	}
	return g, nil
}

// prompt returns the description of the prompt by which an upstream is chosen;
// nil if the request has none.
func (x *exchange) prompt() *picker.PromptRequest {
	c := x.call
	if len(c.Prompt.Parts) == 0 {
		return nil
	}
	return &picker.PromptRequest{
		Class:            picker.Class(c.class.GetName()),
		Parts:            c.Prompt.Parts,
		PromptTokens:     int(c.Prompt.InputTokens),
		MaxOutputTokens:  int(c.Prompt.MaxOutputTokens),
		FirstTokenTarget: c.class.GetTarget().GetFirstToken().AsDuration(),
		TimeLimit:        c.deadline - c.arrived,
		Rank:             int(c.rank) - 1,
		Ranks:            int(c.ranks),
		Avoid:            x.failedUpstreams,
	}
}

// sendAttempt sends one attempt, which becomes the current one if the upstream
// responds with a status that is not retried.
func (x *exchange) sendAttempt(ctx context.Context, g *grant) error {
	x.attempts++
	at, err := x.router.attempter.send(ctx, x.call, g, x.lastEventID)
	if err != nil {
		x.handleFailedAttempt(g, err)
		return err
	}
	x.sent = true
	if !x.call.stream || at.response.StatusCode >= http.StatusMultipleChoices {
		// An error response also counts as a start: the upstream has processed the
		// request. A successful stream starts with its first event.
		x.recordStart()
	}
	if x.call.retryable && x.router.dialect.IsRetryableStatus(at.response.StatusCode) {
		err = &attemptError{Attempt: at.id, Cause: errors.Errorf("upstream answered %d", at.response.StatusCode)}
		x.log.Info("attempt failed", append(x.placementFields(g), zap.Int("attempts", x.attempts), zap.Error(err))...)
		at.close(err)
		x.failedUpstreams = append(x.failedUpstreams, g.upstream.ID)
		x.router.dispatcher.release(g, outcomeOverloaded, 0)
		return err
	}
	x.router.dispatcher.headersReceived(g, at.timeToHeaders, at.load)
	x.current = at
	return nil
}

// handleFailedAttempt records an attempt that failed without a usable response,
// and releases its grant.
func (x *exchange) handleFailedAttempt(g *grant, err error) {
	var (
		failure *attemptError
		crossed *attemptMismatchError
		silent  *silentConnectionError
	)
	outcome := failureOutcome(err)
	switch {
	case !errors.As(err, &failure) || !failure.NotRun:
		x.sent = true
		x.recordStart()
	case failure.Refused:
		outcome = outcomeOverloaded
	default:
		outcome = outcomeUnreachable
	}
	if errors.As(err, &crossed) {
		x.router.metrics.crossed.Inc(1)
	}
	if errors.As(err, &silent) {
		x.router.metrics.silent.Inc(1)
	}
	if errors.Is(err, context.Canceled) {
		outcome = outcomeAbandoned
	}
	x.failedUpstreams = append(x.failedUpstreams, g.upstream.ID)
	x.router.dispatcher.release(g, outcome, 0)
	x.log.Info("attempt failed", append(x.placementFields(g), zap.Int("attempts", x.attempts), zap.Error(err))...)
}

// failureOutcome distinguishes a connection whose peer stopped acknowledging
// data or keep-alive probes from other failures.
func failureOutcome(err error) attemptOutcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return outcomeTimedOut
	}
	return outcomeFailed
}

func isOverloadStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// shouldRetry reports whether another attempt follows one that failed with err.
// An attempt that the upstream is known not to have run may always be repeated
// and does not count as an attempt: without a connection it put no load on the
// upstream, whose circuit is open now, so the retry budget does not apply
// either; a refusal by the upstream is limited by maxUpstreamRefusals and the
// retry budget. After any other failure only retryable calls are sent again,
// within the attempt limit and the retry budget.
func (x *exchange) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.router.dispatcher.now() >= x.call.deadline {
		return false
	}
	var failure *attemptError
	if errors.As(err, &failure) && failure.NotRun {
		x.attempts--
		if !failure.Refused {
			return true
		}
		x.upstreamRefusals++
		return x.upstreamRefusals < maxUpstreamRefusals && x.router.dispatcher.takeRetry()
	}
	limit := int(x.router.settings.GetEntry().GetUpstreamLimits().GetAttempts())
	if routeLimit := int(x.call.route.GetAttempts()); routeLimit > 0 {
		limit = routeLimit
	}
	return x.call.retryable && x.attempts < limit && x.router.dispatcher.takeRetry()
}

// giveUp returns the refusal of a call whose last attempt failed with err.
func (x *exchange) giveUp(err error) *RefusalError {
	refusal := refuseWithRetryAfter(http.StatusBadGateway, CodeUpstreamFailed, err.Error(), time.Second)
	if errors.As(err, new(*deadlineError)) {
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
	return x.setRun(refusal)
}

// setRun changes the refusal to MayHaveRun if the call may have reached an upstream.
func (x *exchange) setRun(refusal *RefusalError) *RefusalError {
	if x.sent {
		refusal.Run = MayHaveRun
	}
	return refusal
}

// recordRefusal counts and logs a refusal, and returns it.
func (x *exchange) recordRefusal(refusal *RefusalError) *RefusalError {
	x.router.metrics.refused(refusal.Code)
	x.log.Info("request refused", x.requestIDField(), zap.String("attempt", string(refusal.Attempt)),
		zap.String("code", refusal.Code),
		zap.Int("status", refusal.Status), zap.String("run", string(refusal.Run)),
		zap.Duration("retryAfter", refusal.RetryAfter), zap.Int("attempts", x.attempts),
		zap.Uint64("revision", uint64(x.router.authority.revision())), zap.Duration("since", x.age()),
		zap.String("organisation", string(x.call.client.organisation)), zap.String("class", x.call.class.GetName()),
		zap.String("pool", x.call.pool.name), zap.String("reason", refusal.Detail))
	return refusal
}

// finishAttempt closes the current attempt and releases its grant with the
// number of tokens as its cost.
func (x *exchange) finishAttempt(outcome attemptOutcome, cause error) {
	at := x.current
	if outcome == outcomeAnswered {
		x.logServed(at.grant, at.response.StatusCode, at.timeToHeaders)
	}
	x.current = nil
	if cause == nil {
		at.drain()
	}
	at.close(cause)
	cost := scheduler.Cost(x.inputTokens + x.outputTokens)
	x.router.dispatcher.release(at.grant, outcome, max(cost, 1))
}

// recordStart counts the call in its usage window when an upstream has started
// to run it. Later calls of recordStart do nothing.
func (x *exchange) recordStart() {
	if x.startRecorded {
		return
	}
	x.startRecorded = true
	if x.current != nil {
		x.router.dispatcher.firstTokenReceived(x.current.grant)
	}
	x.router.windows.add(x.call.client)
}

// recordUsage adds the call and its tokens to the usage counters.
func (x *exchange) recordUsage() {
	x.router.usage.add(x.call.client, configurer.ClassName(x.call.class.GetName()), x.inputTokens, x.outputTokens)
	x.inputTokens = 0
	x.outputTokens = 0
}
