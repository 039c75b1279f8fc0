package router

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/dialer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// A connection whose other end is cut off is found in two to three seconds,
	// by probes or by bytes that are not acknowledged: less than callers wait.
	tcpKeepAliveIdle     = time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveCount    = 2
	tcpUserTimeout       = 1500 * time.Millisecond
	maxIdleConnsPerUpstream      = 256
	upstreamIdleTimeout  = 30 * time.Second
	// drainTimeout bounds the wait for the end of a body whose content is complete.
	drainTimeout = 100 * time.Millisecond
	// noEventID is the event id before the first event of a stream.
	noEventID EventID = 0
)

type (
	// AttemptID identifies one attempt at an upstream.
	AttemptID string
	// EventID numbers the events of a stream from 1.
	EventID uint64

	// upstreamClient sends attempts.
	upstreamClient struct {
		limits  *settings.UpstreamLimits
		dialect Dialect
		now     func() time.Duration
		// pooled reuses connections; net/http may send a request on a reused
		// connection again, so it carries repeatable calls only.
		pooled *http.Transport
		// unpooled uses a new connection for each attempt.
		unpooled *http.Transport
		probeClient  *http.Client
		// unpooledNonRetryable gives each call that may not be repeated a connection of its own.
		unpooledNonRetryable bool
	}

	// attempt is one try of a call at one upstream.
	attempt struct {
		id       AttemptID
		grant    *grant
		response *http.Response
		cancel   context.CancelCauseFunc
		started    time.Duration
		// timeToHeaders is the time to the response headers.
		timeToHeaders time.Duration
		// load is the upstream's load as the answer told; nil if it did not.
		load *registrar.Load
		// connected reports that a connection was obtained, so that bytes may have left.
		connected atomic.Bool
		// lastActivity is when bytes were received last, on the monotonic clock.
		lastActivity atomic.Int64
		// writingToClient reports that the attempt waits for the caller and not for the upstream.
		writingToClient atomic.Bool
		// eventsReceived counts the events of the stream.
		eventsReceived atomic.Uint64
		done     chan struct{}
		// deadlineTimer ends an attempt that is not answered by the call's deadline.
		deadlineTimer *time.Timer
	}

	// deadlineError reports an attempt that was not answered by the call's deadline.
	deadlineError struct{}

	// attemptError says why an attempt failed.
	attemptError struct {
		Attempt AttemptID
		// NotRun reports that no byte reached the upstream.
		NotRun bool
		// Refused reports that the upstream itself refused to run the request.
		Refused bool
		Cause   error
	}

	// attemptMismatchError reports an answer that belongs to another attempt.
	attemptMismatchError struct {
		Echoed string
	}

	// silentConnectionError reports a connection that was given up after it had fallen silent.
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
func (e *deadlineError) Error() string { return "not answered by the deadline" }

// Error implements error.
func (e *attemptMismatchError) Error() string { return "answer carries the attempt id " + e.Echoed }

// Error implements error.
func (e *silentConnectionError) Error() string { return "connection fell silent: " + e.Reason }

func newUpstreamClient(e *settings.Entry, dialect Dialect) *upstreamClient {
	l := e.GetUpstreamLimits()
	direct := &net.Dialer{
		Timeout: l.GetConnectTimeout().AsDuration(),
		Control: dialer.UserTimeout(tcpUserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     tcpKeepAliveIdle,
			Interval: tcpKeepAliveInterval,
			Count:    tcpKeepAliveCount,
		},
	}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         direct.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
			IdleConnTimeout:     upstreamIdleTimeout,
			DisableCompression:  true,
		}
	}
	a := &upstreamClient{limits: l, dialect: dialect, now: timer.Now, pooled: transport(), unpooled: transport(), unpooledNonRetryable: !e.GetFollowControl()}
	a.unpooled.DisableKeepAlives = true
	probe := transport()
	probe.DisableKeepAlives = true
	a.probeClient = &http.Client{Transport: probe, Timeout: l.GetProbeTimeout().AsDuration()}
	return a
}

// send sends a call to the granted upstream and waits for the response
// headers. last is the last event that the caller has, for streams that are
// resumed. The error is an *attemptError.
func (a *upstreamClient) send(ctx context.Context, c *call, g *grant, last EventID) (*attempt, error) {
	id := c.AttemptID
	if id == "" {
		id = AttemptID(uuid.NewString())
	}
	at := &attempt{id: id, grant: g, started: a.now(), done: make(chan struct{})}
	at.recordActivity(at.started)
	ctx, at.cancel = context.WithCancelCause(ctx)
	at.deadlineTimer = time.AfterFunc(c.deadline-at.started, func() { at.cancel(&deadlineError{}) })
	request, err := a.newRequest(ctx, c, at, last)
	if err != nil {
		at.close(err)
		return nil, &attemptError{Attempt: at.id, NotRun: true, Cause: err}
	}
	if c.stream && !c.route.GetEventStream() {
		go a.watch(ctx, at)
	}
	transport := a.pooled
	if !c.retryable && (a.unpooledNonRetryable || isReplayable(c.method)) {
		transport = a.unpooled
	}
	response, err := transport.RoundTrip(request) //nolint:bodyclose // attempt.close closes it.
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		at.close(err)
		return nil, &attemptError{Attempt: at.id, NotRun: !at.connected.Load(), Cause: err}
	}
	if c.stream && !c.route.GetEventStream() {
		at.deadlineTimer.Stop()
	}
	at.response = response
	at.timeToHeaders = a.now() - at.started
	at.recordActivity(a.now())
	if err = a.checkResponse(at); err != nil {
		at.close(err)
		return nil, err
	}
	return at, nil
}

// checkResponse looks at an answer's headers. The error is an *attemptError.
func (a *upstreamClient) checkResponse(at *attempt) error {
	j := a.dialect.ParseResponse(at.response)
	at.load = j.Load
	status := at.response.StatusCode
	switch {
	case j.AttemptID != "" && j.AttemptID != at.id:
		return &attemptError{Attempt: at.id, Cause: &attemptMismatchError{Echoed: string(j.AttemptID)}}
	case j.NotRun:
		return &attemptError{
			Attempt: at.id, NotRun: true, Refused: true,
			Cause: errors.Errorf("upstream refused with status %d", status),
		}
	case j.Spurious:
		return &attemptError{Attempt: at.id, Cause: errors.Errorf("answer with status %d is not the upstream's own", status)}
	default:
		return nil
	}
}

// isReplayable reports methods whose requests net/http may send again on its own
// when a reused connection breaks.
func isReplayable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

func (a *upstreamClient) newRequest(ctx context.Context, c *call, at *attempt, last EventID) (*http.Request, error) {
	target, err := url.ParseRequestURI(at.grant.upstream.URL + c.requestURI)
	if err != nil {
		return nil, errors.Wrap(err, "making the upstream request")
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { at.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, c.method, at.grant.upstream.URL, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "making the upstream request")
	}
	request.URL = target
	if !c.retryable {
		// Without GetBody net/http cannot send the body a second time.
		request.GetBody = nil
	}
	if a.dialect.PreserveHost {
		request.Host = c.hostHeader
	}
	request.Header = c.upstreamHeader(a.dialect.DropsRequestHeader)
	a.dialect.SetAttemptHeaders(request.Header, AttemptInfo{
		ID:           at.id,
		Organisation: string(c.identity.organisation),
		Class:        c.class.GetName(),
		Tier:         c.tier,
		Rank:         c.rank,
		Ranks:        c.ranks,
		Prefix:       c.prefixID(),
		Upstream:     at.grant.upstream.ID,
		TimeLeft:         c.deadline - a.now(),
		LastEventID:    last,
	})
	return request, nil
}

func (at *attempt) recordActivity(now time.Duration) {
	at.lastActivity.Store(int64(now))
}

// drain reads the end of a body whose content is complete, so that the connection can be used again.
func (at *attempt) drain() {
	limit := time.AfterFunc(drainTimeout, func() { at.cancel(nil) })
	defer limit.Stop()
	_, _ = at.response.Body.Read(make([]byte, 1))
}

// close ends the attempt; a connection whose exchange is not complete is closed with it.
func (at *attempt) close(cause error) {
	select {
	case <-at.done:
		return
	default:
		close(at.done)
	}
	at.deadlineTimer.Stop()
	at.cancel(cause)
	if at.response != nil {
		_ = at.response.Body.Close()
	}
}
