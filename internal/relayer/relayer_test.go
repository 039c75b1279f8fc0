package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	awaitTimeout = 10 * time.Second
	// cancelLimit is the time within which the work on a cancelled request ends.
	cancelLimit  = 500 * time.Millisecond
	writeTimeout = 5 * time.Second
	deadline     = 5 * time.Second
)

// testPeer is a process that takes requests.
type testPeer struct {
	address  string
	receiver *Receiver

	mu    sync.Mutex
	conns []net.Conn
}

// trackingListener keeps the connections that it accepts.
type trackingListener struct {
	net.Listener
	peer *testPeer
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.peer.mu.Lock()
		l.peer.conns = append(l.peer.conns, conn)
		l.peer.mu.Unlock()
	}
	return conn, err
}

// breakConnections closes all connections of the peer.
func (p *testPeer) breakConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func startPeer(t *testing.T, handle http.HandlerFunc) *testPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{address: l.Addr().String(), receiver: &Receiver{
		Handler: handle, CutOff: func() bool { return false }, NotReady: func() string { return "" }, MaxHeaderBytes: 1 << 10, Log: zap.NewNop(),
	}}
	server := messenger.NewServer(&trackingListener{Listener: l, peer: p}, messenger.Security{}, func(context.Context, *wire.Request) *wire.Reply {
		return &wire.Reply{Failure: &wire.Failure{Reason: "invalid"}}
	})
	server.HandleRelay = p.receiver.Handle
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return p
}

func startSender(t *testing.T) *Sender {
	t.Helper()
	s := NewSender(messenger.Security{})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return s
}

func testRelay() *wire.Relay {
	return &wire.Relay{
		Method: http.MethodPost, RequestUri: "/a%2Fb?c=d", HostHeader: "shop.example", Body: []byte("body"),
		Headers:        []*wire.HeaderField{{Name: "One", Value: "1"}, {Name: "One", Value: "2"}},
		DeadlineMillis: deadline.Milliseconds(),
	}
}

// TestRelaysRequestAndResponse checks that a request arrives as it was sent, and its response.
func TestRelaysRequestAndResponse(t *testing.T) {
	p := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		w.Header().Set("Seen", fmt.Sprint(r.Method, r.RequestURI, r.URL.Path, r.Host, r.Header["One"], string(body), err, From(r.Context()) != nil))
		w.Header()["Two"] = []string{"a", "b"}
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, strings.Repeat("x", 3*maxPieceBytes))
	})
	response, err := startSender(t).Send(t.Context(), p.address, testRelay())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	w := httptest.NewRecorder()
	if err = response.Copy(w, writeTimeout); err != nil {
		t.Fatal(err)
	}
	if want := "POST/a%2Fb?c=d/a/bshop.example[1 2]body<nil>true"; strings.ReplaceAll(w.Header().Get("Seen"), " ", "") != strings.ReplaceAll(want, " ", "") {
		t.Errorf("the handler has seen %q, want %q", w.Header().Get("Seen"), want)
	}
	if w.Code != http.StatusTeapot || w.Body.Len() != 3*maxPieceBytes || len(w.Header()["Two"]) != 2 {
		t.Errorf("status %d with %d bytes and header %v", w.Code, w.Body.Len(), w.Header())
	}
}

// TestRelaysEventsOneByOne guards against events of a stream that are held back until a later one.
func TestRelaysEventsOneByOne(t *testing.T) {
	received := make(chan struct{})
	p := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		for range 3 {
			_, _ = io.WriteString(w, "data: x\n\n")
			_ = control.Flush()
			select {
			case <-received:
			case <-r.Context().Done():
				return
			}
		}
	})
	s := startSender(t)
	client := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := s.Send(r.Context(), p.address, testRelay())
		if err != nil {
			t.Error(err)
			return
		}
		defer response.Close()
		if err = response.Copy(w, writeTimeout); err != nil {
			t.Error(err)
		}
	}))
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	event := make([]byte, len("data: x\n\n"))
	for n := range 3 {
		if _, err = io.ReadFull(response.Body, event); err != nil {
			t.Fatalf("event %d: %v", n, err)
		}
		received <- struct{}{}
	}
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
		t.Errorf("rest %q, error %v", rest, err)
	}
}

// TestUntakenRequests guards against a request that has run and is said not to have run, and against one
// that was not taken and is said to have run perhaps.
func TestUntakenRequests(t *testing.T) {
	tests := map[string]struct {
		prepare  func(*testPeer)
		handle   func(*testPeer, http.ResponseWriter)
		large    bool
		notTaken bool
	}{
		"cut off":                           {prepare: func(p *testPeer) { p.receiver.CutOff = func() bool { return true } }, notTaken: true},
		"shutting down":                     {prepare: func(p *testPeer) { p.receiver.NotReady = func() string { return "shutting down" } }, notTaken: true},
		"large headers":                     {large: true, notTaken: true},
		"unreachable":                       {prepare: func(p *testPeer) { p.address = "127.0.0.1:1" }, notTaken: true},
		"connection breaks before the head": {handle: func(p *testPeer, _ http.ResponseWriter) { p.breakConnections() }},
		"handler aborts before the head":    {handle: func(*testPeer, http.ResponseWriter) { panic(http.ErrAbortHandler) }},
		"handler fails":                     {handle: func(*testPeer, http.ResponseWriter) { panic("fault") }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			var p *testPeer
			p = startPeer(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				test.handle(p, w)
				<-r.Context().Done()
			})
			if test.prepare != nil {
				test.prepare(p)
			}
			relay := testRelay()
			if test.large {
				relay.Headers = append(relay.Headers, &wire.HeaderField{Name: "Large", Value: strings.Repeat("x", 2<<10)})
			}
			_, err := startSender(t).Send(t.Context(), p.address, relay)
			if err == nil || NotTaken(err) != test.notTaken || (runs.Load() > 0) == test.notTaken {
				t.Errorf("error %v, not taken: %t, runs: %d; want not taken: %t", err, NotTaken(err), runs.Load(), test.notTaken)
			}
		})
	}
}

// TestIncompleteResponse guards against a response that looks complete although it was broken off.
func TestIncompleteResponse(t *testing.T) {
	for name, end := range map[string]func(*testPeer){
		"handler aborts":    func(*testPeer) { panic(http.ErrAbortHandler) },
		"connection breaks": (*testPeer).breakConnections,
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			var p *testPeer
			p = startPeer(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "half")
				<-proceed
				end(p)
				<-r.Context().Done()
			})
			response, err := startSender(t).Send(t.Context(), p.address, testRelay())
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			close(proceed)
			w := httptest.NewRecorder()
			err = response.Copy(w, writeTimeout)
			if !errors.As(err, new(*IncompleteError)) || w.Body.String() != "half" {
				t.Errorf("body %q, error %v", w.Body.String(), err)
			}
		})
	}
}

// TestCancelEndsWork guards against work that goes on at the other process after the client has gone.
func TestCancelEndsWork(t *testing.T) {
	for name, begins := range map[string]bool{"before the head": false, "during the response": true} {
		t.Run(name, func(t *testing.T) {
			running, ended := make(chan struct{}), make(chan struct{})
			p := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				if begins {
					_, _ = io.WriteString(w, "x")
				}
				close(running)
				<-r.Context().Done()
			})
			ctx, cancel := context.WithCancel(t.Context())
			s := startSender(t)
			var sending sync.WaitGroup
			sending.Go(func() {
				if response, err := s.Send(ctx, p.address, testRelay()); err == nil {
					_ = response.Copy(httptest.NewRecorder(), writeTimeout)
					response.Close()
				}
			})
			<-running
			cancel()
			select {
			case <-ended:
			case <-time.After(cancelLimit):
				t.Errorf("the work goes on %v after the cancellation", cancelLimit)
			}
			sending.Wait()
		})
	}
}

// TestSlowClientHoldsBackResponse guards against a response that fills the memory because its client
// reads slowly.
func TestSlowClientHoldsBackResponse(t *testing.T) {
	const maxHeldBytes = 1 << 20
	var written atomic.Int64
	blocked := make(chan struct{})
	p := startPeer(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(blocked)
		control := http.NewResponseController(w)
		for written.Load() < 8*maxHeldBytes {
			_ = control.SetWriteDeadline(time.Now().Add(cancelLimit))
			n, err := w.Write(make([]byte, maxPieceBytes))
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	response, err := startSender(t).Send(t.Context(), p.address, testRelay())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	<-blocked
	if written.Load() > maxHeldBytes {
		t.Errorf("%d bytes were sent to a client that reads nothing", written.Load())
	}
}

// TestHeadTimeout guards against waiting for a process that is connected and does not respond.
func TestHeadTimeout(t *testing.T) {
	p := startPeer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	relay := testRelay()
	relay.DeadlineMillis = 1
	began := time.Now()
	_, err := startSender(t).Send(t.Context(), p.address, relay)
	if took := time.Since(began); !errors.As(err, new(*headTimeoutError)) || NotTaken(err) || took > deadlineMargin+cancelLimit {
		t.Errorf("error %v after %v", err, took)
	}
}

// TestStopAwaitsRequests guards against a shutdown that breaks requests which others have passed on.
func TestStopAwaitsRequests(t *testing.T) {
	running, proceed := make(chan struct{}), make(chan struct{})
	p := startPeer(t, func(http.ResponseWriter, *http.Request) {
		close(running)
		<-proceed
	})
	s := startSender(t)
	done := make(chan error, 1)
	go func() {
		response, err := s.Send(t.Context(), p.address, testRelay())
		if err == nil {
			response.Close()
		}
		done <- err
	}()
	<-running
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.receiver.Stop(t.Context())
	}()
	close(proceed)
	if err := <-done; err != nil {
		t.Error(err)
	}
	select {
	case <-stopped:
	case <-time.After(awaitTimeout):
		t.Error("the receiver does not stop")
	}
	if _, err := s.Send(t.Context(), p.address, testRelay()); !NotTaken(err) {
		t.Errorf("a stopped receiver has taken a request: %v", err)
	}
}
