package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/wire"
)

type (
	// Receiver takes requests that other processes pass on.
	Receiver struct {
		// Handler handles a request as if the client had sent it here. From returns what it was
		// passed on with.
		Handler http.Handler
		// CutOff reports whether this process cannot reach any upstream.
		CutOff func() bool
		// NotReady returns the reason why this process takes no requests, or an empty string.
		NotReady func() string
		// MaxHeaderBytes bounds the headers of a request.
		MaxHeaderBytes int
		Log            *zap.Logger

		mu       sync.Mutex
		stopped  bool
		requests sync.WaitGroup
	}

	// refusedError reports a request that is not taken.
	refusedError struct {
		Reason, Detail string
	}
)

// Error implements error.
func (e *refusedError) Error() string { return e.Reason + ": " + e.Detail }

// Handle handles a request that another process passes on, and sends its response. It is the
// HandleRelay of a messenger.Server.
func (v *Receiver) Handle(ctx context.Context, relay *wire.Relay, x *messenger.Exchange) {
	if reason := v.begin(); reason != "" {
		v.refuse(x, &refusedError{Reason: reasonNotReady, Detail: reason})
		return
	}
	defer v.requests.Done()
	if v.CutOff() {
		// A response that cannot be sent leaves the sender with a request that may have run.
		_ = x.Send(cutOffReply())
		return
	}
	request, err := v.newRequest(ctx, relay)
	if err != nil {
		v.refuse(x, &refusedError{Reason: reasonInvalid, Detail: err.Error()})
		return
	}
	w := &responseWriter{exchange: x, header: http.Header{}}
	if v.serve(w, request) {
		w.finish()
	}
}

// cutOffReply returns the reply to a request that is not taken since no upstream can be reached.
func cutOffReply() *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Relay{Relay: &wire.RelayPart{CutOff: true}}}
}

// Stop makes the receiver refuse further requests and waits for those in progress until ctx is done.
func (v *Receiver) Stop(ctx context.Context) {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.requests.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// begin counts a request, or returns the reason why it is not taken.
func (v *Receiver) begin() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return "stopped"
	}
	if reason := v.NotReady(); reason != "" {
		return reason
	}
	v.requests.Add(1)
	return ""
}

func (v *Receiver) refuse(x *messenger.Exchange, refused *refusedError) {
	// A refusal that cannot be sent leaves the sender with a request that may have run.
	_ = x.Send(&wire.Reply{Failure: &wire.Failure{Reason: refused.Reason, Detail: refused.Detail}})
}

// serve reports whether the response is complete.
func (v *Receiver) serve(w *responseWriter, request *http.Request) (complete bool) {
	defer func() {
		cause := recover()
		if err, _ := cause.(error); cause != nil && !errors.Is(err, http.ErrAbortHandler) {
			v.Log.Error("handling a relayed request failed", zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	v.Handler.ServeHTTP(w, request)
	return true
}

func (v *Receiver) newRequest(ctx context.Context, relay *wire.Relay) (*http.Request, error) {
	size := len(relay.GetRequestUri()) + len(relay.GetHostHeader())
	for _, f := range relay.GetHeaders() {
		size += len(f.GetName()) + len(f.GetValue())
	}
	if size > v.MaxHeaderBytes {
		return nil, errors.Errorf("the headers have %d bytes, more than %d", size, v.MaxHeaderBytes)
	}
	uri, err := url.ParseRequestURI(relay.GetRequestUri())
	if err != nil {
		return nil, errors.Wrap(err, "parsing the request URI")
	}
	request, err := http.NewRequestWithContext(context.WithValue(ctx, relayKey{}, relay), relay.GetMethod(), "/", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "making the request")
	}
	request.URL, request.RequestURI, request.Host = uri, relay.GetRequestUri(), relay.GetHostHeader()
	request.Header = header(relay.GetHeaders())
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(relay.GetBody())), int64(len(relay.GetBody()))
	return request, nil
}
