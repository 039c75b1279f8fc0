package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/internal/writer"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// connectTimeout bounds the connection to another entry process.
	connectTimeout = 300 * time.Millisecond
	// deadlineMargin is the time after a request's deadline by which the head of its response must
	// have come.
	deadlineMargin = 500 * time.Millisecond
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout   = time.Minute
	idleChecks    = 4
	idleCheckTime = idleTimeout / idleChecks
)

type (
	// Sender passes requests on. It keeps a connection to each process that it has passed requests
	// on to lately, and is safe for concurrent use.
	Sender struct {
		security   messenger.Security
		connecting singleflight.Group

		mu    sync.Mutex
		peers map[string]*peer
	}

	// peer is a process that requests are passed on to.
	peer struct {
		client *messenger.Client
		// requests counts those in progress.
		requests int
		usedAt   time.Duration
	}

	// Response is the response to a request that was passed on. It must be closed.
	Response struct {
		Status int
		Header http.Header

		address  string
		exchange *messenger.Exchange
		part     *wire.RelayPart
		release  func()
	}

	// headTimeoutError reports a request whose response has not begun in time.
	headTimeoutError struct{}
)

// Error implements error.
func (e *headTimeoutError) Error() string { return "no response by the deadline" }

// NewSender returns a sender whose connections are secured in the same way as others between
// processes.
func NewSender(security messenger.Security) *Sender {
	return &Sender{security: security, peers: map[string]*peer{}}
}

// Run closes idle connections, and all once ctx is done.
func (s *Sender) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer.Sleep(ctx, idleCheckTime)
		s.closeIdle(timer.Now() - idleTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.client.Close()
	}
	return nil
}

// closeIdle closes the connections that have not been used since a time.
func (s *Sender) closeIdle(since time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.peers {
		if p.requests == 0 && p.usedAt < since {
			p.client.Close()
			delete(s.peers, address)
		}
	}
}

// Send passes a request on to the process at an address, and waits for the head of the response.
// NotTaken says of the error whether the request may have been handled there. The work there ends
// with ctx, or when the response is closed.
func (s *Sender) Send(ctx context.Context, address string, r *wire.Relay) (*Response, error) {
	client, release := s.acquire(address)
	ctx, cancel := context.WithCancelCause(ctx)
	response := &Response{address: address, release: sync.OnceFunc(func() {
		cancel(nil)
		release()
	})}
	head := time.AfterFunc(time.Duration(r.GetDeadlineMillis())*time.Millisecond+deadlineMargin, func() { cancel(&headTimeoutError{}) })
	defer head.Stop()
	if err := response.open(ctx, s, client, r); err != nil {
		if cause := context.Cause(ctx); cause != nil && !NotTaken(err) {
			err = &IncompleteError{Address: address, Cause: cause}
		}
		response.Close()
		return nil, err
	}
	return response, nil
}

func (s *Sender) acquire(address string) (client *messenger.Client, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[address]
	if p == nil {
		p = &peer{client: messenger.NewClient(address, s.security, connectTimeout)}
		s.peers[address] = p
	}
	p.requests++
	return p.client, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.requests--
		p.usedAt = timer.Now()
	}
}

// connect connects to a process. Requests that wait for the same connection fail together.
func (s *Sender) connect(ctx context.Context, client *messenger.Client) error {
	connected := s.connecting.DoChan(client.Address(), func() (any, error) {
		return nil, client.Connect(context.WithoutCancel(ctx))
	})
	select {
	case result := <-connected:
		return result.Err
	case <-ctx.Done():
		return &messenger.UnreachableError{Address: client.Address(), Cause: ctx.Err()}
	}
}

func (r *Response) open(ctx context.Context, s *Sender, client *messenger.Client, relay *wire.Relay) error {
	if err := s.connect(ctx, client); err != nil {
		return err
	}
	var err error
	if r.exchange, err = client.Open(ctx, &wire.Request{Kind: &wire.Request_Relay{Relay: relay}}); err != nil {
		return err
	}
	if r.part, err = r.receive(); err != nil {
		return err
	}
	if r.part.GetCutOff() {
		return &CutOffError{Address: r.address}
	}
	r.Status, r.Header = int(r.part.GetStatus()), header(r.part.GetHeaders())
	// Entry processes of earlier versions pass on whatever status an upstream sends.
	if !writer.IsFinalStatus(r.Status) {
		return &IncompleteError{Address: r.address, Cause: errors.Errorf("the response begins with status %d", r.Status)}
	}
	return nil
}

func (r *Response) receive() (*wire.RelayPart, error) {
	reply, err := r.exchange.Receive()
	if err != nil {
		return nil, err
	}
	if reply.GetRelay() == nil {
		return nil, &IncompleteError{Address: r.address, Cause: errors.New("a reply is no part of a response")}
	}
	return reply.GetRelay(), nil
}

// Copy writes the response to a client, each part as it comes. A write may take writeTimeout. An
// error is an *IncompleteError if the response is not complete, and otherwise the client's.
func (r *Response) Copy(w http.ResponseWriter, writeTimeout time.Duration) error {
	client := writer.New(w, writeTimeout)
	for name, values := range r.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.Status)
	for {
		if data := r.part.GetData(); len(data) > 0 {
			if err := client.Write(data); err != nil {
				return err
			}
		}
		if r.part.GetLast() {
			return nil
		}
		if err := client.Flush(); err != nil {
			return err
		}
		var err error
		if r.part, err = r.receive(); err != nil {
			return &IncompleteError{Address: r.address, Cause: err}
		}
	}
}

// Close ends the work on the request at the other process, unless it is complete.
func (r *Response) Close() {
	if r.exchange != nil {
		r.exchange.Close()
	}
	r.release()
}
