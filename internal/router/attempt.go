package router

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/delimiter"
	"github.com/comfreybend/comfreybend/internal/dialer"
	"github.com/comfreybend/comfreybend/internal/restrainer"
	"github.com/comfreybend/comfreybend/internal/retirer"
	"github.com/comfreybend/comfreybend/internal/scanner"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/writer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	maxIdleConnsPerUpstream = 256
	upstreamIdleTimeout     = 30 * time.Second
	// bodyEndTimeout bounds the wait for the end of a body after its last content byte.
	bodyEndTimeout = 100 * time.Millisecond
)

type (
	// upstreamClient sends attempts to upstreams.
	upstreamClient struct {
		limits  *settings.UpstreamLimits
		dialect translator.Dialect
		now     func() time.Duration
		// keepAlive reuses connections. When a reused connection breaks, net/http may
		// resend a request on its own, so calls that must not run twice use it only
		// as described at nonRetryableSingleUse, and no request to an upstream with a
		// request limit uses it.
		keepAlive *http.Transport
		// singleUse opens a new connection for each attempt.
		singleUse *http.Transport
		// probe asks upstreams about attempts whose connection is silent.
		probe *http.Client
		dial  dialer.DialFunc
		// onReached is called when bytes of an upstream arrive on a connection that the attempt has
		// established, onUnreached when it could not be established or ended before.
		onReached   func()
		onUnreached func(*registrar.Upstream)
		// onEnd calls a function when attempts must end, since the process stops.
		onEnd func(end func(cause error)) (release func() bool)
		// nonRetryableSingleUse sends all calls that must not run twice through
		// singleUse. If it is false, only those with a method that net/http resends
		// on its own (see retirer.IsResent) use singleUse.
		nonRetryableSingleUse bool
		// onResponse is called with the headers of every response before it is used.
		onResponse func(*attempt, translator.ResponseInfo)
		// admit is called before every request. It returns an error if the upstream's request
		// limit does not allow it, and reports whether there is one.
		admit func(*registrar.Upstream, restrainer.Reservation) (limited bool, err error)
		// askWarmUp is called before admit, and asks the upstream whether it is cold if need be.
		askWarmUp func(context.Context, *registrar.Upstream)
		// checkLeaving is called before an attempt is sent, and again when a connection for it has
		// been established. It returns an error if the upstream is leaving or its failure domain is
		// evacuated.
		checkLeaving func(*registrar.Upstream) error
		// onStart is called for every attempt before it is sent.
		onStart func(*call, *attempt)
	}

	// destinationKey is the context key of the destination that a connection is established for.
	destinationKey struct{}

	destination struct {
		upstream       *registrar.Upstream
		connectTimeout time.Duration
	}

	// leavingUpstreamError reports an attempt that was not sent because its upstream has become
	// known to be leaving.
	leavingUpstreamError struct {
		Upstream registrar.UpstreamID
	}

	// attempt is one try of a call at one upstream.
	attempt struct {
		id       translator.AttemptID
		grant    *grant
		response *http.Response
		cancel   context.CancelCauseFunc
		// startedAt is the monotonic time at which the attempt was started.
		startedAt time.Duration
		// timeToHeaders is the time from the start of the attempt to the response headers.
		timeToHeaders time.Duration
		// otherRun reports that the response comes from another run of the upstream than the one
		// that was chosen.
		otherRun bool
		// load is the upstream's load as reported in the response; nil if it was not.
		load *registrar.Load
		// answerID is how the id of the answer compares; empty as long as there is none.
		answerID answerID
		// connected reports that a connection was obtained that is not kept, so that a part of the
		// request may have been sent.
		connected atomic.Bool
		// request tells whether a response that ends with its connection is whole.
		request delimiter.Request
		// fresh reports that the connection was established for the attempt, and that no bytes have
		// arrived on it.
		fresh atomic.Bool
		// exchange is the latest one on a connection that is kept.
		exchange atomic.Pointer[retirer.Exchange]
		// lastActivity is the monotonic time in nanoseconds at which the upstream
		// last sent headers or an event, at first the start of the attempt.
		lastActivity atomic.Int64
		// writingToClient reports that the relay is writing to the client, so that
		// silence is not the upstream's fault.
		writingToClient atomic.Bool
		// eventsRelayed counts the stream's events that were relayed to the client,
		// without those skipped because the client already had them.
		eventsRelayed atomic.Uint64
		// settle is done once, by startRelay or cancelUnlessRelayed.
		settle  sync.Once
		relayed bool
		// done is closed by close.
		done chan struct{}
		// deadlineTimer cancels the attempt at the call's deadline. For the stream of
		// a model it is stopped once the response headers have arrived.
		deadlineTimer *time.Timer
		// onClose is called by close, and so is release, of upstreamClient.onEnd.
		onClose func()
		release func() bool
	}

	// deadlineError reports an attempt that was cancelled at the call's deadline.
	deadlineError struct{}

	// attemptError is the failure of an attempt.
	attemptError struct {
		Attempt translator.AttemptID
		// NotRun reports that the upstream has not run the request: it was not sent
		// or the upstream refused it.
		NotRun bool
		// Refused reports that the upstream responded that it does not run the
		// request. It implies NotRun.
		Refused bool
		Cause   error
		// carried is the number of exchanges that the connection has carried before, -1 if there
		// was none. answer is how the id of the answer compares.
		carried int
		answer  answerID
	}

	// otherRunError reports a response of another run of the upstream than the one that the request
	// was sent to.
	otherRunError struct {
		Upstream       registrar.UpstreamID
		Expected, Runs registrar.Incarnation
	}

	// silentConnectionError reports a connection that was abandoned because a probe
	// on a new connection failed or showed that the response had not arrived.
	silentConnectionError struct {
		Reason string
	}
)

// Error implements error.
func (e *attemptError) Error() string {
	return fmt.Sprintf("attempt %s failed (not run: %t): %v", e.Attempt, e.NotRun, e.Cause)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *leavingUpstreamError) Error() string {
	return "upstream " + string(e.Upstream) + " is leaving"
}

// Error implements error.
func (e *deadlineError) Error() string { return "not answered by the deadline" }

// Error implements error.
func (e *otherRunError) Error() string {
	return fmt.Sprintf("run %d of upstream %s answered a request to run %d", e.Runs, e.Upstream, e.Expected)
}

// Error implements error.
func (e *silentConnectionError) Error() string { return "connection fell silent: " + e.Reason }

// newUpstreamClient returns a client that connects directly, without a proxy.
func newUpstreamClient(e *settings.Entry, dialect translator.Dialect) *upstreamClient {
	l := e.GetUpstreamLimits()
	u := &upstreamClient{limits: l, dialect: dialect, now: timer.Now, nonRetryableSingleUse: !e.GetFollowControl(), onResponse: func(*attempt, translator.ResponseInfo) {}, onStart: func(*call, *attempt) {}}
	u.dial = dialer.Resetting(l.GetConnectTimeout().AsDuration(), dialer.LocalAddr(e.GetUpstreamLocalAddress()))
	u.onEnd = func(func(error)) func() bool { return func() bool { return true } }
	u.onReached, u.onUnreached = func() {}, func(*registrar.Upstream) {}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         u.dialUpstream,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
			IdleConnTimeout:     upstreamIdleTimeout,
			DisableCompression:  true,
			// The bound also ends heads that come without end.
			MaxResponseHeaderBytes: int64(l.GetHeaderBytes()),
		}
	}
	u.keepAlive, u.singleUse = transport(), transport()
	u.keepAlive.DialContext = retirer.Wrap(u.keepAlive.DialContext)
	u.checkLeaving = func(*registrar.Upstream) error { return nil }
	u.admit = func(*registrar.Upstream, restrainer.Reservation) (bool, error) { return false, nil }
	u.askWarmUp = func(context.Context, *registrar.Upstream) {}
	u.singleUse.DisableKeepAlives = true
	probe := transport()
	probe.DisableKeepAlives = true
	u.probe = &http.Client{Transport: probe, Timeout: l.GetProbeTimeout().AsDuration()}
	return u
}

// dialUpstream establishes a connection, and closes it if its upstream is found to be leaving.
func (u *upstreamClient) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	to, known := ctx.Value(destinationKey{}).(destination)
	if !known {
		return u.dial(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, to.connectTimeout)
	defer cancel()
	conn, err := u.dial(ctx, network, address)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			u.onUnreached(to.upstream)
		}
		return nil, err
	}
	if err = u.checkLeaving(to.upstream); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// send sends a call to the granted upstream and waits for the response
// headers. A stream is resumed after lastEventID, the id of the last event that
// the client has received. The error is an *attemptError.
func (u *upstreamClient) send(ctx context.Context, c *call, g *grant, lastEventID scanner.EventID) (*attempt, error) {
	id := c.Attempt
	if id == "" {
		id = translator.AttemptID(uuid.NewString())
	}
	at := &attempt{id: id, grant: g, startedAt: u.now(), done: make(chan struct{}), onClose: func() {}}
	at.recordActivity(at.startedAt)
	ctx, at.cancel = context.WithCancelCause(ctx)
	at.release = u.onEnd(func(cause error) {
		if c.format.ReportsErrors() {
			at.cancel(cause)
		}
		// Without an error to report, the rest of a response may still come in time.
		at.cancelUnlessRelayed(cause)
	})
	at.deadlineTimer = time.AfterFunc(c.deadline-at.startedAt, func() { at.cancel(&deadlineError{}) })
	u.onStart(c, at)
	request, err := u.newRequest(ctx, c, at, lastEventID)
	if err != nil {
		at.close(err)
		return nil, at.failure(attemptError{NotRun: true, Cause: err})
	}
	limited, err := u.checkSend(ctx, g)
	if err != nil {
		at.close(err)
		return nil, at.failure(attemptError{NotRun: true, Cause: err})
	}
	if c.stream && c.format.OutlivesDeadline() {
		go u.watchSilence(ctx, at)
	}
	transport := u.keepAlive
	if limited || u.mixesAnswers(g) || !c.retryable && (u.nonRetryableSingleUse || retirer.IsResent(c.method)) {
		transport = u.singleUse
	}
	response, err := transport.RoundTrip(request) //nolint:bodyclose // attempt.close closes it.
	if err != nil && at.isUnsent(err) && ctx.Err() == nil {
		if request, err = u.newRequest(ctx, c, at, lastEventID); err == nil {
			response, err = u.singleUse.RoundTrip(request) //nolint:bodyclose // attempt.close closes it.
		}
	}
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else if at.fresh.Load() {
			u.onUnreached(g.upstream)
		}
		at.close(err)
		return nil, at.failure(attemptError{NotRun: !at.mayHaveArrived(), Cause: err})
	}
	if c.stream && c.format.OutlivesDeadline() {
		at.deadlineTimer.Stop()
	}
	at.response = response
	at.timeToHeaders = u.now() - at.startedAt
	at.recordActivity(u.now())
	if err = u.checkResponse(at, lastEventID); err != nil {
		at.close(err)
		return nil, err
	}
	return at, nil
}

// checkSend returns an error if a request may not be sent to the granted upstream any more, and
// reports whether that has a request limit.
func (u *upstreamClient) checkSend(ctx context.Context, g *grant) (limited bool, err error) {
	u.askWarmUp(ctx, g.upstream)
	if err = u.checkLeaving(g.upstream); err != nil {
		return false, err
	}
	return u.admit(g.upstream, g.reserved)
}

// checkResponse takes the load from the response headers and returns an
// *attemptError if the response must not be relayed. One of another run must not go on with a
// stream, since its version is not known.
func (u *upstreamClient) checkResponse(at *attempt, lastEventID scanner.EventID) error {
	info := u.dialect.ParseResponse(at.response)
	at.answerID = compareID(at.id, info.EchoedAttempt)
	if at.answerID == answerIDForeign {
		at.grant.state.foreignAnswerAt.Store(int64(u.now()))
		return at.failure(attemptError{Cause: &attemptMismatchError{EchoedAttempt: string(info.EchoedAttempt)}})
	}
	status := at.response.StatusCode
	at.otherRun = at.isFromOtherRun(info)
	misdirected := at.otherRun && status == http.StatusMisdirectedRequest
	if (misdirected || info.NotRun) && !at.isNamed() {
		return at.failure(attemptError{Cause: &unnamedRefusalError{Status: status}})
	}
	if !writer.IsFinalStatus(status) {
		return at.failure(attemptError{Cause: errors.Errorf("%d is not the status of a response", status)})
	}
	at.request.Guard(at.response)
	at.load = info.Load
	u.onResponse(at, info)
	switch {
	case misdirected, at.otherRun && lastEventID != scanner.NoEventID:
		return at.failure(attemptError{NotRun: misdirected, Refused: misdirected, Cause: &otherRunError{
			Upstream: at.grant.upstream.ID, Expected: at.grant.upstream.Incarnation, Runs: info.Incarnation,
		}})
	case info.NotRun:
		return at.failure(attemptError{NotRun: true, Refused: true, Cause: errors.Errorf("upstream refused with status %d", status)})
	case info.FromIntermediary:
		return at.failure(attemptError{Cause: errors.Errorf("answer with status %d is not the upstream's own", status)})
	default:
		return nil
	}
}

func (u *upstreamClient) newRequest(ctx context.Context, c *call, at *attempt, lastEventID scanner.EventID) (*http.Request, error) {
	requestURI, err := url.ParseRequestURI(at.grant.upstream.URL + c.requestURI)
	if err != nil {
		return nil, errors.Wrap(err, "making the upstream request")
	}
	trace := &httptrace.ClientTrace{GotConn: at.beginExchange, GotFirstResponseByte: func() {
		if at.fresh.Swap(false) {
			u.onReached()
		}
	}}
	at.request.Observe(trace)
	to := destination{upstream: at.grant.upstream, connectTimeout: dialer.TimeoutFor(c.class.GetTarget(), u.limits.GetConnectTimeout().AsDuration())}
	ctx = context.WithValue(httptrace.WithClientTrace(ctx, trace), destinationKey{}, to)
	request, err := http.NewRequestWithContext(ctx, c.method, at.grant.upstream.URL, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "making the upstream request")
	}
	request.URL = requestURI
	if !c.retryable {
		// Without GetBody net/http cannot resend the body.
		request.GetBody = nil
	}
	if u.dialect.PreserveHost {
		request.Host = c.hostHeader
	}
	request.Header = c.upstreamHeader(u.dialect.DropsRequestHeader)
	u.dialect.SetAttemptHeaders(request.Header, translator.AttemptInfo{
		ID:           at.id,
		Organisation: string(c.client.organisation),
		Class:        c.class.GetName(),
		Tier:         c.tier,
		Rank:         c.rank,
		Ranks:        c.ranks,
		Prefix:       c.prefixID(),
		Upstream:     at.grant.upstream.ID,
		Incarnation:  at.grant.upstream.Incarnation,
		TimeLeft:     c.deadline - u.now(),
		LastEventID:  lastEventID,
	})
	return request, nil
}

// isFromOtherRun reports whether a response comes from another run of the upstream than the one that
// the attempt was sent to, or from another upstream at its address.
func (at *attempt) isFromOtherRun(info translator.ResponseInfo) bool {
	expected := at.grant.upstream.Incarnation
	return expected != 0 && info.Incarnation != 0 && info.Incarnation != expected
}

// startRelay keeps cancelUnlessRelayed from cancelling the attempt from now on. If it already
// has, startRelay returns its cause and the response must not be relayed to the client.
func (at *attempt) startRelay() error {
	at.settle.Do(func() { at.relayed = true })
	if at.relayed {
		return nil
	}
	return context.Cause(at.response.Request.Context())
}

// cancelUnlessRelayed cancels the attempt unless its response is being relayed to the client.
func (at *attempt) cancelUnlessRelayed(cause error) {
	at.settle.Do(func() { at.cancel(cause) })
}

// recordActivity sets the time of the last activity of the upstream.
func (at *attempt) recordActivity(now time.Duration) {
	at.lastActivity.Store(int64(now))
}

// awaitBodyEnd waits for the end of a body whose content is complete, so that the
// connection can be reused. It reports whether more content came instead.
func (at *attempt) awaitBodyEnd() (goesOn bool) {
	limit := time.AfterFunc(bodyEndTimeout, func() { at.cancel(nil) })
	defer limit.Stop()
	n, _ := at.response.Body.Read(make([]byte, 1))
	return n > 0
}

// close cancels the attempt. Its connection is closed too if the attempt has failed, or unless the
// body was read to its end.
func (at *attempt) close(cause error) {
	select {
	case <-at.done:
		return
	default:
		close(at.done)
	}
	at.deadlineTimer.Stop()
	at.cancel(cause)
	if cause != nil {
		at.exchange.Load().Retire()
	}
	at.onClose()
	at.release()
	if at.response != nil {
		_ = at.response.Body.Close()
	}
}
