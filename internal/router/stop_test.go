package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	stopDelay = 2 * time.Second
	stopGrace = 2 * time.Second
	// stopTimeout is the time allowed for requests, which is longer than the process has.
	stopTimeout = 10 * time.Second
)

type (
	// stopFixture is an entry process that is stopped, with upstreams of one slot each.
	stopFixture struct {
		router  *Router
		url     string
		stop    context.CancelFunc
		stopped chan struct{}

		mu      sync.Mutex
		respond http.HandlerFunc
		// arrived has a value for each request that an upstream has got.
		arrived chan struct{}
		// left is closed at the end of the test.
		left chan struct{}
	}

	stopAnswer struct {
		status int
		run    string
		body   string
		err    error
	}
)

func newStopFixture(t *testing.T, upstreams int, change func(*state.Route)) *stopFixture {
	t.Helper()
	f := &stopFixture{stopped: make(chan struct{}), arrived: make(chan struct{}, 2000), left: make(chan struct{})}
	r, _, _ := newNoticeRouter(t)
	f.router = r
	r.settings.Entry.ShutdownDelay, r.settings.Entry.ShutdownGrace = durationpb.New(stopDelay), durationpb.New(stopGrace)
	r.settings.Entry.Queue.Waiting = 10000
	document := engineDocument()
	route := document.GetConfiguration().GetRoutes()[0]
	route.Service, route.Timeout, route.EventStream, route.Resumable, route.Attempts = noticeService, durationpb.New(stopTimeout), false, false, 1
	document.GetConfiguration().GetClasses()[0].Target = nil
	if change != nil {
		change(route)
	}
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	f.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	for n := range upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(f.serveUpstream)}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		a := noticeAnnouncement(registrar.UpstreamID(fmt.Sprint("u", n)), "http://"+l.Addr().String(), 1, 1, r.dispatcher.now())
		a.Load.Slots = 1
		a.Kind = registrar.Kind(route.GetKind())
		r.dispatcher.applyAnnouncement(a)
	}
	clients := r.clientServer()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.url = "http://" + l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	running, end := context.WithCancel(context.Background())
	go func() { _ = clients.Serve(l) }()
	go func() { _ = r.dispatcher.run(running) }()
	go func() {
		defer close(f.stopped)
		_ = r.shutDown(ctx, running, clients)
	}()
	t.Cleanup(func() {
		close(f.left)
		cancel()
		<-f.stopped
		end()
	})
	return f
}

func (f *stopFixture) set(respond http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = respond
}

func (f *stopFixture) serveUpstream(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	f.mu.Lock()
	respond := f.respond
	f.mu.Unlock()
	f.arrived <- struct{}{}
	respond(w, request)
}

// hold answers once the request is cancelled, the test ends or the time has passed.
func (f *stopFixture) hold(limit time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		select {
		case <-request.Context().Done():
		case <-f.left:
		case <-time.After(limit):
			_, _ = io.WriteString(w, "done")
		}
	}
}

func (f *stopFixture) ask() stopAnswer {
	response, err := http.Post(f.url+"/x", "application/json", strings.NewReader(`{"model":"`+noticeService+`","stream":true}`))
	if err != nil {
		return stopAnswer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return stopAnswer{status: response.StatusCode, run: response.Header.Get(translator.HeaderRun), body: string(body), err: err}
}

// askAside sends a request and returns its answer later.
func (f *stopFixture) askAside() <-chan stopAnswer {
	answered := make(chan stopAnswer, 1)
	go func() { answered <- f.ask() }()
	return answered
}

// fill occupies the only slot for a time.
func (f *stopFixture) fill(limit time.Duration) {
	f.set(f.hold(limit))
	go f.ask()
	<-f.arrived
}

// part is an upstream that sends a part of a response and then nothing.
func (f *stopFixture) part(contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		f.hold(time.Minute)(w, request)
	}
}

// TestStopAnswersRequests guards against connections that are closed without an answer when a process stops, and
// against refusals of what could have been served: each request that the process has read gets an answer before its end,
// whatever it waits for.
func TestStopAnswersRequests(t *testing.T) {
	const notRun, mayHaveRun = string(translator.NotRun), string(translator.MayHaveRun)
	stream := func(r *state.Route) { r.EventStream = true }
	aside := func(f *stopFixture) <-chan stopAnswer {
		answered := f.askAside()
		<-f.arrived
		return answered
	}
	tests := map[string]struct {
		route     func(*state.Route)
		upstreams int
		// known lets the process learn how long responses take.
		known bool
		// begin sends the request before the signal, late after it.
		begin, late func(*stopFixture) <-chan stopAnswer
		status      int
		run         string
	}{
		"in the queue, responses are short": {known: true, status: 503, run: notRun, begin: func(f *stopFixture) <-chan stopAnswer {
			f.fill(time.Minute)
			return f.askAside()
		}},
		"in the queue, it is not known how long responses take": {status: 503, run: notRun, begin: func(f *stopFixture) <-chan stopAnswer {
			f.fill(time.Minute)
			return f.askAside()
		}},
		"in the queue, a slot comes free in time": {known: true, status: 200, begin: func(f *stopFixture) <-chan stopAnswer {
			f.fill(stopDelay)
			f.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
			return f.askAside()
		}},
		"in the queue, sent after the signal": {known: true, status: 503, run: notRun, begin: func(f *stopFixture) <-chan stopAnswer {
			f.fill(time.Minute)
			return nil
		}, late: (*stopFixture).askAside},
		"sent after the signal, served in time": {known: true, status: 200, late: (*stopFixture).askAside},
		"at an upstream that does not answer": {status: 502, run: mayHaveRun, begin: func(f *stopFixture) <-chan stopAnswer {
			f.set(f.hold(time.Minute))
			return aside(f)
		}},
		"at an upstream that answers in time": {status: 200, begin: func(f *stopFixture) <-chan stopAnswer {
			f.set(f.hold(stopDelay))
			return aside(f)
		}},
		"before the first event of a stream": {route: stream, status: 502, run: mayHaveRun, begin: func(f *stopFixture) <-chan stopAnswer {
			f.set(f.part("text/event-stream", "id: 1\ndata"))
			return aside(f)
		}},
		"inside a response that is not sent yet": {status: 502, run: mayHaveRun, begin: func(f *stopFixture) <-chan stopAnswer {
			f.set(f.part("text/plain", "do"))
			return aside(f)
		}},
		"between two attempts": {route: func(r *state.Route) { r.Attempts = 2 }, status: 503, run: mayHaveRun, begin: func(f *stopFixture) <-chan stopAnswer {
			// Another request takes the slot as soon as the first attempt has failed.
			f.set(func(http.ResponseWriter, *http.Request) {
				f.set(f.hold(time.Minute))
				go f.ask()
				for len(f.waiters()) == 0 {
					time.Sleep(time.Millisecond)
				}
				panic(http.ErrAbortHandler)
			})
			answered := aside(f)
			<-f.arrived
			return answered
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStopFixture(t, max(1, test.upstreams), test.route)
			if test.known {
				if a := f.ask(); a.status != http.StatusOK {
					t.Fatalf("%+v before the test, want 200", a)
				}
				<-f.arrived
			}
			var answered <-chan stopAnswer
			if test.begin != nil {
				answered = test.begin(f)
			}
			time.Sleep(100 * time.Millisecond)
			f.stop()
			if test.late != nil {
				for !f.router.shuttingDown.Load() {
					time.Sleep(time.Millisecond)
				}
				answered = test.late(f)
			}
			a := <-answered
			if a.err != nil || a.status != test.status || a.run != test.run || a.status == http.StatusOK && a.body != "done" {
				t.Errorf("%+v, want %d %s", a, test.status, test.run)
			}
		})
	}
}

// TestStopEndsStream guards against a stream that ends as complete, or outlives its process, when that ends in the middle.
func TestStopEndsStream(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	tests := map[string]struct {
		route func(*state.Route)
		// want follows the event.
		want string
	}{
		"of a service": {route: func(r *state.Route) { r.EventStream = true }},
		"of a model":   {route: func(r *state.Route) { r.Kind = configurer.KindModel }, want: "event: error\ndata: {"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStopFixture(t, 1, test.route)
			f.set(f.part("text/event-stream", event))
			answered := f.askAside()
			<-f.arrived
			f.stop()
			if a := <-answered; a.status != http.StatusOK || a.err == nil || a.body[:min(len(a.body), len(event+test.want))] != event+test.want {
				t.Errorf("%+v, want one event, %q and a broken connection", a, test.want)
			}
			select {
			case <-f.stopped:
			case <-time.After(stopDelay + stopGrace + finalSyncTimeout):
				t.Error("the process goes on")
			}
		})
	}
}

// TestStopOfPassedOnRequests guards against requests that get no answer when one of the two processes stops that
// handle them, and against refusals of what a third one can serve.
func TestStopOfPassedOnRequests(t *testing.T) {
	const requests = 10
	tests := map[string]struct {
		// stopped is the host that stops, 0 is the one that passes requests on.
		stopped int
		holds   bool
		status  int
	}{
		"the one that passed it on":                  {stopped: 0, holds: true, status: http.StatusBadGateway},
		"the one that took it":                       {stopped: 1, holds: true, status: http.StatusBadGateway},
		"the one that it waits at, another takes it": {stopped: 1, status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts := 3
			if test.holds {
				hosts = 2
			}
			g := startRelayGroup(t, hosts)
			g.hosts[0].cut(t, linkResets)
			stop := func() { g.hosts[test.stopped].router.stopper.Stop(t.Context(), 40*time.Millisecond) }
			arrived := make(chan struct{}, requests)
			g.setRespond(func(w http.ResponseWriter, request *http.Request) {
				arrived <- struct{}{}
				if test.holds {
					<-request.Context().Done()
					return
				}
				_, _ = io.WriteString(w, "done")
			})
			if !test.holds {
				stop()
			}
			var sending sync.WaitGroup
			for n := range requests {
				sending.Go(func() {
					if status, body := g.hosts[0].send(t.Context(), "/order/x", fmt.Sprint("stopped", n)); status != test.status {
						t.Errorf("%d %q, want %d", status, body, test.status)
					}
				})
			}
			for range requests {
				<-arrived
			}
			if test.holds {
				stop()
			}
			sending.Wait()
		})
	}
}

// TestStopAnswersAll guards against answers that are not written in time when many requests wait, some of them
// of clients that read slowly.
func TestStopAnswersAll(t *testing.T) {
	const (
		requests = 1000
		slow     = 50
	)
	f := newStopFixture(t, 1, nil)
	if a := f.ask(); a.status != http.StatusOK {
		t.Fatalf("%+v before the test, want 200", a)
	}
	<-f.arrived
	f.fill(time.Minute)
	var (
		waiting          sync.WaitGroup
		refused, without atomic.Int64
	)
	for n := range requests {
		waiting.Go(func() {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
			var answer []byte
			buffer := make([]byte, 4096)
			if n < slow {
				buffer = buffer[:16]
			}
			for err == nil {
				var read int
				read, err = conn.Read(buffer)
				answer = append(answer, buffer[:read]...)
				if n < slow {
					time.Sleep(20 * time.Millisecond)
				}
			}
			if strings.Contains(string(answer), " 503 ") && strings.Contains(string(answer), "Retry-After: ") {
				refused.Add(1)
			} else {
				without.Add(1)
			}
		})
	}
	for len(f.waiters()) < requests {
		time.Sleep(20 * time.Millisecond)
	}
	f.stop()
	waiting.Wait()
	if refused.Load() != requests {
		t.Errorf("%d of %d were refused with a time to come back, %d got no such answer", refused.Load(), requests, without.Load())
	}
}

// waiters returns the requests in the queue.
func (f *stopFixture) waiters() []dispatchRequest {
	d := f.router.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []dispatchRequest
	for _, w := range d.waiters {
		out = append(out, w.request)
	}
	return out
}
