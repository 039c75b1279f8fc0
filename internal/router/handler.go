package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/counter"
	"github.com/comfreybend/comfreybend/internal/forwarder"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/pkg/scheduler"
)

type (
	// responseControllerKey is the context key of the client connection's *http.ResponseController.
	responseControllerKey struct{}

	// callHandler handles one call: it sends attempts to upstreams and relays the
	// response of one of them to the client.
	callHandler struct {
		router *Router
		call   *call
		log    *zap.Logger
		// requestID identifies the call in log lines: the attempt id chosen by the
		// client, or a generated id.
		requestID translator.AttemptID
		// claimed reports that the claim was committed.
		claimed bool
		// claimID is the generated id that identifies the call in its claim; empty if
		// no claim was proposed. Attempts have other ids.
		claimID translator.AttemptID

		// attempts is the number of attempts sent, without those that the upstream is
		// known not to have run.
		attempts int
		// upstreamRefusals is the number of attempts that an upstream refused to run.
		upstreamRefusals int
		// mayHaveRun reports that an upstream may have started to run the call.
		mayHaveRun bool
		// failedUpstreams are the upstreams that further attempts avoid if they can.
		failedUpstreams []registrar.UpstreamID
		// current is the attempt whose response is relayed; nil if there is none.
		current *attempt
		// endedRuns are the runs of engines that ended under the call, earlyEnds those that had not begun to answer.
		// engineEnded reports that the latest attempt's did, endsReported that this is known to the isolation.
		endedRuns, earlyEnds      []isolator.Run
		engineEnded, endsReported bool
		// promptEnds is the number of them that speak against the prompt, and progressed reports
		// that the client has received a part of a stream.
		promptEnds int
		progressed bool
		// endedBefore is the run that was known to have ended last under the same request when the
		// call began.
		endedBefore isolator.RunID
		// responded reports that an engine has survived the prompt.
		responded bool
		// startRecorded reports that the call was counted in its usage window.
		startRecorded bool

		// bound reports that the stream is bound to the version that began it, which is in origin;
		// that is nil if the version is not certain, so that the stream cannot be resumed.
		bound  bool
		origin *matcher.Origin
		// stream identifies the stream, and reported says that its origin was reported.
		stream   matcher.Stream
		reported bool
		// lastEventID is the id of the last stream event that the client has received.
		lastEventID scanner.EventID
		// inputTokens and outputTokens are the token counts of the call that have not
		// been added to the usage counters yet.
		inputTokens  counter.TokenCount
		outputTokens counter.TokenCount

		// counted reports that the call was counted in the retry budget, refusedElsewhere that other
		// entry processes did not take it.
		counted, refusedElsewhere bool
		// countedForCopies reports that the call was counted in the number of copies allowed.
		countedForCopies bool
		// sending counts the attempts of races that have not returned. They read the call, so it must not be
		// changed before.
		sending sync.WaitGroup
	}

	// clientResponse is the result of handleCall, which encodeResponse writes to the client.
	clientResponse struct {
		handler *callHandler
		// stored is the response of an earlier call with the same idempotency key;
		// nil if the response to the handler's current attempt is relayed.
		stored *storedResponse
		// passedOn is the response of another entry process; nil if there is none.
		passedOn *forwarder.Response
	}
)

// clientHandler returns the handler of client requests.
func (r *Router) clientHandler() http.Handler {
	server := kithttp.NewServer(r.handleCall, r.decodeCall, r.encodeResponse,
		kithttp.ServerErrorEncoder(r.encodeRefusal))
	limits := r.settings.GetEntry().GetCallerLimits()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer r.inProgress.Add(-1)
		r.inProgress.Add(1)
		if r.admitted.Load() >= int64(limits.GetRequestsInProgress()) {
			ingester.Abandon(w, request)
			r.refuseAdmission(w, request)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Time{})
		_ = control.SetReadDeadline(time.Now().Add(limits.GetBodyTimeout().AsDuration()))
		body, err := r.bodies.Read(request)
		if err != nil {
			r.refuseRequestBody(w, request, err)
			return
		}
		defer body.Release()
		defer r.admitted.Add(-1)
		if r.admitted.Add(1) > int64(limits.GetRequestsInProgress()) {
			r.refuseAdmission(w, request)
			return
		}
		ctx := context.WithValue(request.Context(), responseControllerKey{}, control)
		server.ServeHTTP(w, request.WithContext(context.WithValue(ctx, bodyKey{}, body)))
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
	h := r.newCallHandler(c)
	if refusal := r.resolve(c); refusal != nil {
		return nil, h.recordRefusal(refusal)
	}
	out, refusal := h.passOn(ctx)
	if out == nil && refusal == nil {
		out, refusal = h.serveHere(ctx)
	}
	if refusal != nil {
		h.releaseClaim(refusal)
		return nil, h.recordRefusal(refusal)
	}
	return out, nil
}

// sendAttempts commits the call's claim if it needs one, and sends attempts until an
// upstream responds or the call is given up.
func (h *callHandler) sendAttempts(ctx context.Context) (*clientResponse, *translator.RefusalError) {
	waitCtx, cancel := h.waitContext(ctx)
	defer cancel()
	for {
		g, refusal := h.acquireUpstream(waitCtx)
		if refusal != nil {
			return nil, refusal
		}
		if !h.call.retryable && h.call.IdempotencyKey != "" && !h.claimed {
			stored, claimRefusal := h.commitClaim(waitCtx)
			if claimRefusal != nil || stored != nil {
				h.router.dispatcher.release(g, outcomeAbandoned, 0)
				return &clientResponse{handler: h, stored: stored}, claimRefusal
			}
		}
		err := h.sendAttempt(ctx, g)
		if err == nil {
			return &clientResponse{handler: h}, nil
		}
		if !h.allowRetry(ctx, err) {
			return nil, h.giveUp(err)
		}
		h.router.metrics.Retries.Inc(1)
	}
}

// dispatchRequest returns what an upstream is chosen by.
func (h *callHandler) dispatchRequest() dispatchRequest {
	c := h.call
	return dispatchRequest{
		call:         c,
		pool:         c.pool,
		class:        c.class,
		rank:         c.rank,
		organisation: c.client.organisation,
		arrived:      c.arrived,
		deadline:     c.deadline,
		interrupted:  h.mayHaveRun,
		version:      h.boundVersion(),
		prompt:       h.prompt(),
		probe:        c.probe,
		mayLeave:     h.mayLeave(),
		declinable:   c.relay != nil && !h.mayHaveRun && !h.claimed,
		counted:      h.counted,
		pick: picker.Request{
			Prefix:    c.prefixID(),
			Retryable: c.retryable,
			Avoid:     h.failedUpstreams,
		},
	}
}

// acquireUpstream waits for a grant of an upstream and then checks the key again,
// since it may have been withdrawn in the meantime.
func (h *callHandler) acquireUpstream(ctx context.Context) (*grant, *translator.RefusalError) {
	h.sending.Wait()
	c, request := h.call, h.dispatchRequest()
	if h.router.forwarder.CutOff() {
		if refusal := refuseCutOff(request, h.router.forwarder.Available()); refusal != nil {
			return nil, h.setRun(refusal)
		}
	}
	h.counted = true
	g, refusal := h.router.dispatcher.acquire(ctx, request)
	if refusal != nil {
		return nil, h.setRun(refusal)
	}
	if refusal = h.router.controlPlane.checkKey(&c.client); refusal == nil {
		refusal = h.router.isolation.admit(c)
	}
	if refusal != nil {
		h.router.dispatcher.release(g, outcomeAbandoned, 0)
		return nil, h.setRun(refusal)
	}
	return g, nil
}

// prompt returns the description of the prompt by which an upstream is chosen;
// nil if the request has none.
func (h *callHandler) prompt() *picker.PromptRequest {
	c := h.call
	if len(c.Prompt.Parts) == 0 {
		return nil
	}
	return &picker.PromptRequest{
		Class:            picker.Class(c.class.GetName()),
		Parts:            c.Prompt.Parts,
		PromptTokens:     int(c.Prompt.InputTokens),
		MaxOutputTokens:  int(c.Prompt.MaxOutputTokens),
		FirstTokenTarget: c.class.GetTarget().GetFirstToken().AsDuration(),
		PauseTarget:      c.class.GetTarget().GetBetweenTokens().AsDuration(),
		TimeLimit:        c.deadline - c.arrived,
		Rank:             int(c.rank) - 1, // picker counts ranks from 0.
		Ranks:            int(c.ranks),
		Avoid:            h.failedUpstreams,
	}
}

// sendAttempt sends one attempt, which becomes the current one if the upstream
// responds with a status that is not retried.
func (h *callHandler) sendAttempt(ctx context.Context, g *grant) error {
	h.attempts++
	if h.mayCopy() {
		return h.race(ctx, g)
	}
	at, err := h.router.upstreamClient.send(ctx, h.call, g, h.lastEventID)
	return h.finishSend(ctx, g, at, err)
}

// finishSend records what became of an attempt that was sent, and makes it the current one if its
// response is relayed.
func (h *callHandler) finishSend(ctx context.Context, g *grant, at *attempt, err error) error {
	if err != nil {
		h.handleFailedAttempt(ctx, g, err)
		return err
	}
	h.mayHaveRun = true
	if !h.call.stream || at.response.StatusCode >= http.StatusMultipleChoices {
		// An error response also counts as a start: the upstream has processed the
		// request. A successful stream starts with its first event.
		h.recordStart()
	}
	if h.isUnusable(at.response.StatusCode) {
		err = at.failure(attemptError{Cause: errors.Errorf("upstream answered %d", at.response.StatusCode)})
		h.log.Info("attempt failed", append(h.placementFields(g), h.partsField(), zap.Int("attempts", h.attempts), exchangeField(err), zap.Error(err))...)
		if at.response.StatusCode == http.StatusInternalServerError {
			// The engine failed, but it goes on.
			h.recordSurvival()
		}
		at.close(err)
		h.failedUpstreams = append(h.failedUpstreams, g.upstream.ID)
		h.router.dispatcher.release(g, outcomeOverloaded, 0)
		return err
	}
	h.router.dispatcher.headersReceived(g, at.timeToHeaders, at.load)
	h.current = at
	return nil
}

// isUnusable reports whether a response with a status is not relayed to the client.
func (h *callHandler) isUnusable(status int) bool {
	if h.call.retryable {
		return h.router.dialect.IsRetryableStatus(status)
	}
	return h.router.dialect.PromisesNotRun(status)
}

// handleFailedAttempt records an attempt that failed without a usable response,
// and releases its grant.
func (h *callHandler) handleFailedAttempt(ctx context.Context, g *grant, err error) {
	var (
		failure  *attemptError
		mismatch *attemptMismatchError
		silent   *silentConnectionError
	)
	outcome := failureOutcome(err)
	switch {
	case !errors.As(err, &failure) || !failure.NotRun:
		h.mayHaveRun = true
		h.recordStart()
	case failure.Refused:
		outcome = outcomeOverloaded
	case errors.As(err, new(*restrainer.LimitError)), errors.As(err, new(*leavingUpstreamError)), errors.As(err, new(*evacuatedDomainError)):
		outcome = outcomeAbandoned
	default:
		outcome = outcomeUnreachable
	}
	if errors.As(err, &mismatch) {
		h.router.metrics.MismatchedResponses.Inc(1)
	}
	if errors.As(err, &silent) {
		h.router.metrics.SilentConnections.Inc(1)
	}
	if errors.Is(err, context.Canceled) {
		outcome = outcomeAbandoned
	}
	h.recordBreak(ctx, g, nil, err)
	h.failedUpstreams = append(h.failedUpstreams, g.upstream.ID)
	h.router.dispatcher.release(g, outcome, 0)
	h.log.Info("attempt failed", append(h.placementFields(g), h.partsField(), h.identityField(),
		zap.Bool("upstreamEnded", h.router.isolation.upstreamEnded(ctx, g, err)), zap.Int("attempts", h.attempts), exchangeField(err), zap.Error(err))...)
}

// giveUp returns the refusal of a call whose last attempt failed with err.
func (h *callHandler) giveUp(err error) *translator.RefusalError {
	refusal := translator.RefuseWithRetryAfter(http.StatusBadGateway, translator.CodeUpstreamFailed, err.Error(), time.Second)
	if errors.As(err, new(*deadlineError)) {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Code = translator.CodeDeadline
	}
	if !h.mayHaveRun {
		refusal.Status = http.StatusServiceUnavailable
		refusal.Code = translator.CodeOverloaded
	}
	var held *heldPartError
	if errors.As(err, &held) {
		refusal = refuseHeld(held)
	}
	var failure *attemptError
	if errors.As(err, &failure) {
		refusal.Attempt = failure.Attempt
	}
	refusal.Cause = err
	return h.setRun(refusal)
}

// setRun sets the refusal's Run to translator.MayHaveRun if an upstream may have run the call.
func (h *callHandler) setRun(refusal *translator.RefusalError) *translator.RefusalError {
	if h.mayHaveRun {
		refusal.Run = translator.MayHaveRun
	}
	return refusal
}

// recordRefusal counts and logs a refusal, and returns it.
func (h *callHandler) recordRefusal(refusal *translator.RefusalError) *translator.RefusalError {
	h.reportEnds()
	h.router.metrics.Refused(refusal.Code)
	h.log.Info("request refused", h.requestIDField(), zap.String("attempt", string(refusal.Attempt)),
		zap.String("code", refusal.Code),
		zap.Int("status", refusal.Status), zap.String("run", string(refusal.Run)),
		zap.Duration("retryAfter", refusal.RetryAfter), zap.Int("attempts", h.attempts),
		zap.Uint64("revision", uint64(h.router.controlPlane.revision())), zap.Duration("since", h.age()),
		zap.String("organisation", string(h.call.client.organisation)), zap.String("class", h.call.class.GetName()),
		zap.String("pool", h.call.pool.name), zap.String("reason", refusal.Detail))
	return refusal
}

// finishAttempt closes the current attempt and releases its grant. The cost of
// the request is its number of tokens, at least 1.
func (h *callHandler) finishAttempt(outcome attemptOutcome, cause error) {
	at := h.current
	if outcome == outcomeAnswered {
		h.recordSurvival()
		h.logServed(at.grant, at.response.StatusCode, at.timeToHeaders)
	}
	h.current = nil
	if cause == nil && at.awaitBodyEnd() {
		h.log.Warn("upstream stream goes on after its end marker", h.requestIDField(), zap.String("attempt", string(at.id)),
			zap.String("upstream", string(at.grant.upstream.ID)), zap.Uint64("events", at.eventsRelayed.Load()))
	}
	at.close(cause)
	cost := scheduler.Cost(h.inputTokens + h.outputTokens)
	h.router.dispatcher.release(at.grant, outcome, max(cost, 1))
}

// recordStart records that an upstream has started to run the call, by counting
// it in its usage window. If this is known from the first event of a stream, the
// only case with a current attempt, it also ends the prefill of the grant.
// It has no effect the second time.
func (h *callHandler) recordStart() {
	if h.startRecorded {
		return
	}
	h.startRecorded = true
	if h.current != nil {
		h.router.dispatcher.firstTokenReceived(h.current.grant)
	}
	h.router.windows.Add(reporter.Organisation(h.call.client.organisation))
}

// recordUsage adds the call and its tokens to the usage counters.
func (h *callHandler) recordUsage() {
	h.router.usage.Add(h.call.client.organisation, configurer.ClassName(h.call.class.GetName()), h.inputTokens, h.outputTokens)
	h.inputTokens = 0
	h.outputTokens = 0
}
