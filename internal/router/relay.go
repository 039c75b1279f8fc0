package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/forwarder"
	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/relayer"
	"github.com/comfreybend/comfreybend/internal/scrubber"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/diverter"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// maxDiversions is the number of times that a call is taken from the queue to be passed on.
const maxDiversions = 3

// cutOffError reports a call that is to be passed on to another entry process.
type cutOffError struct{}

// Error implements error.
func (e *cutOffError) Error() string { return "no upstream can be reached from this host" }

// setUpRelay sets up how calls are passed on to other entry processes and taken from them.
func (r *Router) setUpRelay(security messenger.Security) {
	host := r.settings.GetHost()
	self := diverter.Host{ID: diverter.HostID(host.GetId()), FailureDomain: registrar.FailureDomain(host.GetFailureDomain())}
	r.forwarder = forwarder.New(self, security, r.controlClients.All, r.random, r.log, r.instruments.Scope)
	r.forwarder.Dial, r.forwarder.Upstreams = r.upstreamClient.dial, r.dispatcher.allUpstreams
	r.forwarder.Divert = func(available bool) {
		r.dispatcher.refuseWaiting(func(request dispatchRequest) *translator.RefusalError { return refuseCutOff(request, available) })
	}
	r.forwarder.Locator.Self, r.controlPoller.self = r.entryHost, r.entryHost
	r.dispatcher.onTimedOut = r.forwarder.Failed
	r.upstreamClient.onReached, r.upstreamClient.onUnreached = r.forwarder.Connected, r.forwarder.Failed
	r.receiver = &relayer.Receiver{
		Handler: r.clientHandler(), CutOff: r.forwarder.CutOff, NotReady: r.notReadyReason,
		MaxHeaderBytes: int(r.settings.GetEntry().GetCallerLimits().GetHeaderBytes()), Log: r.log,
	}
}

// allUpstreams returns all upstreams in the registry.
func (d *dispatcher) allUpstreams() []*registrar.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.All()
}

// entryHost describes this process to others that may pass calls on to it; nil while it takes none.
func (r *Router) entryHost() *wire.EntryHost {
	if r.notReadyReason() != "" || r.settings.GetEntry().GetPeerListen() == "" {
		return nil
	}
	return &wire.EntryHost{
		Host: r.settings.GetHost().GetId(), FailureDomain: r.settings.GetHost().GetFailureDomain(),
		Address: r.settings.GetEntry().GetPeerListen(), CutOff: r.forwarder.CutOff(), Requests: int32(r.inProgress.Load()),
	}
}

// refuseCutOff refuses a call that may be passed on, if another entry process is available, or that was
// passed on to this one.
func refuseCutOff(request dispatchRequest, available bool) *translator.RefusalError {
	if !request.declinable && (!available || !request.mayLeave) {
		return nil
	}
	refusal := translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNoUpstream, (&cutOffError{}).Error(), time.Second)
	refusal.Cause = &cutOffError{}
	return refusal
}

// mayLeave reports whether the call may be passed on if no upstream can be reached: it has not been
// passed on before, the client has no part of a response, and it has not run or may run again.
func (h *callHandler) mayLeave() bool {
	return h.call.relay == nil && !h.refusedElsewhere && !h.progressed && h.lastEventID == h.call.LastEventID &&
		(!h.mayHaveRun || h.call.retryable)
}

// mayPassOn reports whether the call is passed on instead of being refused.
func (h *callHandler) mayPassOn(refusal *translator.RefusalError) bool {
	if !h.mayLeave() {
		return false
	}
	return errors.As(refusal.Cause, new(*cutOffError)) || h.router.forwarder.Available() &&
		refusal.Run == translator.NotRun && (refusal.Code == translator.CodeOverloaded || refusal.Code == translator.CodeNoUpstream)
}

// passOn passes the call on to another entry process if no upstream can be reached. It returns nil
// twice if the call must be served here.
func (h *callHandler) passOn(ctx context.Context) (*clientResponse, *translator.RefusalError) {
	if !h.router.forwarder.CutOff() || !h.mayLeave() {
		return nil, nil
	}
	if h.claimed {
		h.commitClaimOutcome(&state.ClaimOutcome{NotRun: true})
		h.claimed = false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := h.router.stopper.OnEnd(cancel)
	response, err := h.router.forwarder.PassOn(ctx, h.newRelay(), h.call.deadline)
	release()
	switch {
	case err == nil:
		return &clientResponse{handler: h, passedOn: response}, nil
	case relayer.NotTaken(err):
		h.refusedElsewhere = true
		return nil, nil
	case errors.As(err, new(*forwarder.NoHostError)):
		return nil, nil
	default:
		h.mayHaveRun = true
		return nil, h.giveUp(err)
	}
}

// newRelay returns the call as another entry process receives it, without the key.
func (h *callHandler) newRelay() *wire.Relay {
	c := h.call
	relay := &wire.Relay{
		Method: c.method, RequestUri: c.requestURI, HostHeader: c.hostHeader, Body: c.body,
		Organisation: string(c.client.organisation), Attempts: int32(h.attempts), AgeMillis: h.age().Milliseconds(),
		Counted: h.counted, RequestId: string(h.requestID),
	}
	if c.client.hasKey {
		relay.KeyDigest = c.client.hash[:]
	}
	relay.Headers = relayer.HeaderFields(scrubber.Request(c.header, c.Key, func(string) bool { return false }))
	return relay
}

// relayPassedOn writes the response of another entry process to the client.
func (h *callHandler) relayPassedOn(w http.ResponseWriter, response *forwarder.Response) {
	defer response.Close()
	if err := response.Copy(w, h.router.settings.GetEntry().GetCallerLimits().GetWriteTimeout().AsDuration()); err != nil {
		h.abortClient(err)
	}
}

// newCallHandler returns the handler of a call.
func (r *Router) newCallHandler(c *call) *callHandler {
	h := &callHandler{router: r, call: c, log: r.log, requestID: c.Attempt, lastEventID: c.LastEventID}
	if c.relay != nil {
		h.requestID, h.attempts = translator.AttemptID(c.relay.GetRequestId()), int(c.relay.GetAttempts())
		h.mayHaveRun, h.startRecorded, h.counted = h.attempts > 0, h.attempts > 0, c.relay.GetCounted()
		h.log = r.log.With(zap.String("from", c.relay.GetHost()), zap.String("fromDomain", c.relay.GetFailureDomain()))
	}
	if h.requestID == "" {
		h.requestID = translator.AttemptID(uuid.NewString())
	}
	return h
}

// serveHere sends attempts from this process. If it is cut off meanwhile, it passes the call on.
func (h *callHandler) serveHere(ctx context.Context) (*clientResponse, *translator.RefusalError) {
	r, c := h.router, h.call
	if refusal := h.findOrigin(ctx); refusal != nil {
		return nil, refusal
	}
	r.isolation.awaitVerdict(ctx, c)
	if refusal := r.isolation.admit(c); refusal != nil {
		return nil, refusal
	}
	h.endedBefore = r.isolation.latestEnd(c)
	for diversions := 0; ; diversions++ {
		out, refusal := h.sendAttempts(ctx)
		if refusal == nil || diversions == maxDiversions || !h.mayPassOn(refusal) {
			return out, refusal
		}
		if passed, failure := h.passOn(ctx); passed != nil || failure != nil {
			return passed, failure
		}
	}
}
