package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/relayer"
	"github.com/comfreybend/comfreybend/pkg/diverter"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Outcomes of passing a request on, as logged and counted.
const (
	outcomeRelayed    = "relayed"
	outcomeCutOff     = "cutOff"
	outcomeNotTaken   = "notTaken"
	outcomeCancelled  = "cancelled"
	outcomeIncomplete = "incomplete"
	outcomeClientLeft = "clientLeft"
)

type (
	// Response is the response to a request that was passed on. It must be closed.
	Response struct {
		relayed *relayer.Response
		try     *try
	}

	// NoHostError reports that no other process can take a request.
	NoHostError struct{}

	// try is one host to which a request is passed on.
	try struct {
		forwarder  *Forwarder
		requestID  string
		host       diverter.Host
		candidates int
		began      time.Duration
		status     int
		firstByte  time.Duration
		finish     sync.Once
	}
)

// Error implements error.
func (e *NoHostError) Error() string { return "no other entry process can take the request" }

// PassOn passes a request on to another entry process and waits for the head of the response. The
// request must be answered by deadline. relayer.NotTaken says of the error whether another process
// may have handled it; it is a *NoHostError if there is none to pass it on to.
func (f *Forwarder) PassOn(ctx context.Context, relay *wire.Relay, deadline time.Duration) (*Response, error) {
	var failure error = &NoHostError{}
	// All hosts are candidates at first.
	candidates := func(hosts []diverter.Host) []diverter.Host { return hosts }
	relay.Host, relay.FailureDomain = string(f.self.ID), string(f.self.FailureDomain)
	for range diverter.MaxTries {
		host, considered, found := f.choose(candidates)
		left := deadline - f.now()
		if !found || left <= 0 {
			return nil, failure
		}
		relay.DeadlineMillis = left.Milliseconds()
		t := f.begin(relay.GetRequestId(), host, considered)
		response, err := f.sender.Send(ctx, host.Address, relay)
		if err == nil {
			t.status, t.firstByte = response.Status, f.now()-t.began
			return &Response{relayed: response, try: t}, nil
		}
		t.end(outcomeOf(ctx, err), err)
		if failure = err; !relayer.NotTaken(err) || ctx.Err() != nil {
			return nil, failure
		}
		candidates = f.candidatesAfter(host, err)
	}
	return nil, failure
}

// choose returns another host that can take requests, and the number of hosts that were considered.
func (f *Forwarder) choose(candidates func([]diverter.Host) []diverter.Host) (host diverter.Host, considered int, found bool) {
	hosts := candidates(f.Locator.Hosts())
	f.mu.Lock()
	defer f.mu.Unlock()
	host, found = diverter.Choose(f.self, hosts, f.inProgress, f.random)
	return host, len(hosts), found
}

// candidatesAfter records that a host has not taken a request, and returns the choice of the hosts for the
// next try.
func (f *Forwarder) candidatesAfter(host diverter.Host, err error) func([]diverter.Host) []diverter.Host {
	if errors.As(err, new(*relayer.CutOffError)) {
		f.Locator.MarkCutOff(host.ID)
		return func(hosts []diverter.Host) []diverter.Host { return diverter.Outside(host.FailureDomain, hosts) }
	}
	f.Locator.MarkUnreachable(host.ID)
	return func(hosts []diverter.Host) []diverter.Host {
		return slices.DeleteFunc(hosts, func(h diverter.Host) bool { return h.ID == host.ID })
	}
}

// begin counts a request at a host.
func (f *Forwarder) begin(requestID string, host diverter.Host, candidates int) *try {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inProgress[host.ID]++
	f.passedOn++
	return &try{forwarder: f, requestID: requestID, host: host, candidates: candidates, began: f.now()}
}

func outcomeOf(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return outcomeCancelled
	case errors.As(err, new(*relayer.CutOffError)):
		return outcomeCutOff
	case relayer.NotTaken(err):
		return outcomeNotTaken
	default:
		return outcomeIncomplete
	}
}

// end counts and logs the outcome, once.
func (t *try) end(outcome string, err error) {
	t.finish.Do(func() {
		f := t.forwarder
		f.mu.Lock()
		if f.inProgress[t.host.ID]--; f.inProgress[t.host.ID] == 0 {
			delete(f.inProgress, t.host.ID)
		}
		f.mu.Unlock()
		f.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_passed_on").Inc(1)
		f.log.Info("request passed on", zap.String("requestId", t.requestID), zap.String("to", string(t.host.ID)),
			zap.String("toDomain", string(t.host.FailureDomain)), zap.Duration("age", t.host.Age), zap.Int("load", t.host.Requests),
			zap.Int("candidates", t.candidates), zap.String("outcome", outcome), zap.Int("status", t.status),
			zap.Duration("firstByte", t.firstByte), zap.Duration("whole", f.now()-t.began), zap.Error(err))
	})
}

// Copy writes the response to a client, each part as it comes; see relayer.Response.Copy.
func (r *Response) Copy(w http.ResponseWriter, writeTimeout time.Duration) error {
	err := r.relayed.Copy(w, writeTimeout)
	switch {
	case err == nil:
		r.try.end(outcomeRelayed, nil)
	case errors.As(err, new(*relayer.IncompleteError)) && !errors.Is(err, context.Canceled):
		r.try.end(outcomeIncomplete, err)
	default:
		r.try.end(outcomeClientLeft, err)
	}
	return err
}

// Close ends the work on the request at the other process, unless it is complete.
func (r *Response) Close() {
	r.relayed.Close()
	r.try.end(outcomeCancelled, nil)
}
