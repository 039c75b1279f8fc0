package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/withholder"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// heldEvidence returns evidence because of which a part is held.
func heldEvidence(part string) *wire.Evidence {
	e := &wire.Evidence{Parts: []*wire.PartEvidence{{Id: part}}}
	for id := uint64(1); id <= 3; id++ {
		e.Runs = append(e.Runs, &wire.EndedRun{Id: id, EndedAtMillis: time.Now().Add(-time.Duration(id) * time.Second).UnixMilli()})
		e.Parts[0].Runs = append(e.Parts[0].Runs, id)
	}
	return e
}

func promptOf(parts ...string) translator.Prompt {
	p := translator.Prompt{InputTokens: 100}
	for _, id := range parts {
		p.Parts = append(p.Parts, picker.PromptPart{ID: picker.PrefixID(id), Tokens: 10})
	}
	return p
}

// closedPort returns the URL of a port that refuses connections.
func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

// TestBreaksThatSpeakAgainstPrompts guards against sound prompt parts that are held because
// connections broke for another reason than the end of an engine that had just begun.
func TestBreaksThatSpeakAgainstPrompts(t *testing.T) {
	alive := httptest.NewServer(http.NotFoundHandler())
	defer alive.Close()
	ended := closedPort(t)
	const firstByte = 10 * time.Millisecond
	// writingFor returns an attempt whose response headers came some time ago.
	writingFor := func(now, age time.Duration) *attempt {
		return &attempt{startedAt: now - age - firstByte, timeToHeaders: firstByte}
	}
	tests := map[string]struct {
		url     string
		stream  bool
		age     time.Duration
		noReply bool
		err     error
		leaving bool
		parts   []string
		// want reports that the end speaks against the prompt, ended that it counts for the call.
		want, ended bool
	}{
		"ended when it had begun":               {url: ended, stream: true, err: io.ErrUnexpectedEOF, parts: []string{"a", "own"}, want: true, ended: true},
		"reset when it had begun":               {url: ended, stream: true, err: syscall.ECONNRESET, parts: []string{"a", "own"}, want: true, ended: true},
		"ended without a stream":                {url: ended, noReply: true, err: io.EOF, parts: []string{"a", "own"}, want: true, ended: true},
		"ended before the stream began":         {url: ended, stream: true, noReply: true, err: io.EOF, parts: []string{"a", "own"}, ended: true},
		"ended long after the stream began":     {url: ended, stream: true, age: 2 * beginTime, err: io.ErrUnexpectedEOF, parts: []string{"a", "own"}},
		"broke off, but goes on":                {url: alive.URL, stream: true, err: io.ErrUnexpectedEOF, parts: []string{"a", "own"}},
		"ended when it had said that it leaves": {url: ended, stream: true, err: io.ErrUnexpectedEOF, leaving: true, parts: []string{"a", "own"}},
		"the client has left":                   {url: ended, stream: true, err: context.Canceled, parts: []string{"a", "own"}},
		"the deadline has passed":               {url: ended, stream: true, err: &deadlineError{}, parts: []string{"a", "own"}},
		"the path is cut":                       {url: ended, stream: true, err: syscall.ETIMEDOUT, parts: []string{"a", "own"}},
		"no part is shared":                     {url: ended, stream: true, err: io.ErrUnexpectedEOF, parts: []string{"own"}, ended: true},
		"ended, and a resend was refused": {
			url: ended, noReply: true, err: &attemptError{Cause: syscall.ECONNREFUSED}, parts: []string{"a", "own"}, want: true, ended: true,
		},
		"refused before anything was sent": {
			url: ended, noReply: true, err: &attemptError{NotRun: true, Cause: syscall.ECONNREFUSED}, parts: []string{"a", "own"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			now := r.dispatcher.now()
			u := registrar.Upstream{ID: "u", Incarnation: 1, Sequence: 1, URL: test.url, Kind: registrar.KindService, Serves: []string{"s"}, State: registrar.Serving, AnnouncedAt: now}
			r.dispatcher.applyAnnouncement(u)
			if test.leaving {
				u.State, u.Sequence = registrar.Leaving, 2
				r.dispatcher.applyAnnouncement(u)
			}
			c := &call{stream: test.stream, RequestInfo: translator.RequestInfo{Prompt: promptOf(test.parts...)}}
			var at *attempt
			if !test.noReply {
				at = writingFor(now, test.age)
			}
			got, against := r.isolation.attemptBroke(t.Context(), c, &grant{upstream: &u}, at, errors.Wrap(test.err, "reading the stream"))
			if got != test.ended || against != test.want || r.isolation.accused.Load() != test.want {
				t.Errorf("counts: %t, evidence: %t, want %t and %t", got, r.isolation.accused.Load(), test.ended, test.want)
			}
		})
	}
}

// TestStreamThatWentOnSpeaksForItsPrompt guards against a popular part that is accused although engines had
// gone on with it for long when they ended for another reason.
func TestStreamThatWentOnSpeaksForItsPrompt(t *testing.T) {
	tests := map[string]struct {
		// active is how long the stream went on after its headers.
		active  time.Duration
		cleared bool
	}{
		"it went on":                     {active: beginTime, cleared: true},
		"nothing came after the headers": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			now := r.dispatcher.now()
			u := registrar.Upstream{ID: "u", Incarnation: 1, Sequence: 1, URL: closedPort(t), Kind: registrar.KindService, Serves: []string{"s"}, State: registrar.Serving, AnnouncedAt: now}
			r.dispatcher.applyAnnouncement(u)
			r.isolation.merge(heldEvidence("popular"))
			c := &call{stream: true, RequestInfo: translator.RequestInfo{Prompt: promptOf("popular", "own")}}
			at := &attempt{startedAt: now - 2*beginTime}
			at.recordActivity(at.startedAt + test.active)
			if ended, against := r.isolation.attemptBroke(t.Context(), c, &grant{upstream: &u}, at, io.ErrUnexpectedEOF); ended || against {
				t.Errorf("counts: %t, evidence: %t, want neither", ended, against)
			}
			run := announcer.RunOf(u.ID, u.Incarnation)
			awaitCondition(t, "the end is not known", func() bool {
				e, _ := r.isolation.since(0)
				return slices.ContainsFunc(e.GetRuns(), func(r *wire.EndedRun) bool { return r.GetId() == uint64(run) && r.GetAside() })
			})
			r.isolation.mu.Lock()
			defer r.isolation.mu.Unlock()
			if got := len(r.isolation.held) == 0; got != test.cleared {
				t.Errorf("cleared: %t, want %t", got, test.cleared)
			}
		})
	}
}

// TestHeldPartEndsRequests guards against requests with a held part that still reach engines:
// those that wait or that no engine has answered yet are ended when the part is held, later
// ones at once, each with a final refusal. One that is being answered goes on.
func TestHeldPartEndsRequests(t *testing.T) {
	// A new upstream takes one request at a time at first.
	r, server, upstreams := newNoticeRouter(t, "one", "two", "three")
	document := engineDocument()
	document.Configuration.Routes[0].Service, document.Configuration.Routes[0].EventStream = noticeService, false
	document.Configuration.Routes[0].Timeout = durationpb.New(setupTimeout)
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	var started atomic.Int64
	respond := func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if strings.Contains(string(body), "answered") {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		started.Add(1)
		select {
		case <-release:
		case <-request.Context().Done():
		}
		if strings.Contains(string(body), "answered") {
			_, _ = fmt.Fprint(w, "id: 2\ndata: [DONE]\n\n")
		}
	}
	for _, u := range upstreams {
		u.set(respond)
	}
	type result struct {
		status int
		body   string
	}
	ask := func(text, parts string) chan result {
		out := make(chan result, 1)
		go func() {
			request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(text))
			if err != nil {
				t.Error(err)
				return
			}
			request.Header.Set(translator.HeaderPromptParts, parts)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				out <- result{}
				return
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			out <- result{status: response.StatusCode, body: string(body)}
		}()
		return out
	}
	unanswered, answered := ask("silent", "a:1,bad:1,x:1"), ask("answered", "a:1,bad:1,y:1")
	sound := ask("silent", "a:1,good:1,z:1")
	for end := timer.Now() + setupTimeout; started.Load() < 3 || relaying(r) < 1; timer.Sleep(t.Context(), time.Millisecond) {
		if timer.Now() > end {
			t.Fatalf("%d of 3 requests have reached the upstream, %d responses are being relayed", started.Load(), relaying(r))
		}
	}
	r.isolation.merge(heldEvidence("bad"))
	if got := <-unanswered; got.status != http.StatusUnprocessableEntity || !strings.Contains(got.body, translator.CodePartHeld) || !strings.Contains(got.body, string(translator.MayHaveRun)) {
		t.Errorf("request that was sent: %+v, want a final refusal that says that it may have run", got)
	}
	if got := <-ask("silent", "a:1,bad:1,w:1"); got.status != http.StatusUnprocessableEntity || !strings.Contains(got.body, string(translator.NotRun)) {
		t.Errorf("later request: %+v, want a final refusal that says that it has not run", got)
	}
	close(release)
	if got := <-answered; got.status != http.StatusOK || !strings.Contains(got.body, "[DONE]") {
		t.Errorf("request that was being answered: %+v, want the whole response", got)
	}
	if got := <-sound; got.status != http.StatusOK {
		t.Errorf("request without the part: %+v, want its response", got)
	}
	// The response that was received speaks for the part.
	if got := <-ask("silent", "a:1,bad:1,v:1"); got.status != http.StatusOK {
		t.Errorf("request after a response: %+v, want its response", got)
	}
}

// relaying returns the number of attempts whose response is being relayed to the client.
func relaying(r *Router) int {
	r.isolation.mu.Lock()
	defer r.isolation.mu.Unlock()
	count := 0
	for at := range r.isolation.inProgress {
		if at.eventsRelayed.Load() > 0 {
			count++
		}
	}
	return count
}

// holdingWriter holds a prompt part when the first byte of a body is written to the client.
type holdingWriter struct {
	http.ResponseWriter
	hold func()
}

func (w *holdingWriter) Write(p []byte) (int, error) {
	w.hold()
	return w.ResponseWriter.Write(p)
}

func (w *holdingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestHeldPartSparesBegunResponses guards against responses that are cut after their first
// bytes because a part of their prompt is held in the moment in which these are written.
func TestHeldPartSparesBegunResponses(t *testing.T) {
	// The rest exceeds what is buffered before a response is relayed.
	rest := strings.Repeat("x", 2*maxBufferedBytes)
	tests := map[string]struct{ contentType, first, rest string }{
		"stream":   {contentType: "text/event-stream", first: "id: 1\ndata: x\n\n", rest: "id: 2\ndata: [DONE]\n\n"},
		"document": {contentType: "text/plain", first: rest, rest: rest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _, upstreams := newNoticeRouter(t, "one")
			held := make(chan struct{})
			upstreams["one"].set(func(w http.ResponseWriter, request *http.Request) {
				w.Header().Set("Content-Type", test.contentType)
				_, _ = io.WriteString(w, test.first)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-held:
				case <-request.Context().Done():
				}
				_, _ = io.WriteString(w, test.rest)
			})
			hold := sync.OnceFunc(func() {
				r.isolation.merge(heldEvidence("bad"))
				close(held)
			})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				r.clientHandler().ServeHTTP(&holdingWriter{ResponseWriter: w, hold: hold}, request)
			}))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(translator.HeaderPromptParts, "a:1,bad:1,own:1")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if want := test.first + test.rest; err != nil || string(body) != want {
				t.Errorf("%d bytes, error %v, ending %q, want all %d bytes", len(body), err, body[max(0, len(body)-200):], len(want))
			}
		})
	}
}

// TestHeldPartRefusesWaitingRequests guards against requests that wait for an upstream until
// their deadline although a part of their prompt is held.
func TestHeldPartRefusesWaitingRequests(t *testing.T) {
	r := newTestRouter(t)
	d := r.dispatcher
	now := d.now()
	d.applyAnnouncement(registrar.Upstream{
		ID: "u", Incarnation: 1, Sequence: 1, URL: "http://127.0.0.1:1", Kind: registrar.KindService, Serves: []string{"s"},
		State: registrar.Serving, AnnouncedAt: now, Load: registrar.Load{Slots: 1},
	})
	wait := func(parts ...string) *waiter {
		prompt := promptOf(parts...)
		d.mu.Lock()
		d.upstreamStates["u"].circuit.PauseUntil(now, now+time.Minute)
		d.mu.Unlock()
		w, refusal := d.enqueue(dispatchRequest{
			pool: poolKey{kind: registrar.KindService, name: "s"}, arrived: now, deadline: now + time.Hour,
			call:   &call{RequestInfo: translator.RequestInfo{Prompt: prompt}},
			prompt: &picker.PromptRequest{Parts: prompt.Parts, PromptTokens: 100, TimeLimit: time.Hour},
		})
		if refusal != nil {
			t.Fatal(refusal)
		}
		return w
	}
	with, without := wait("a", "bad", "x"), wait("a", "good", "bad")
	r.isolation.merge(heldEvidence("bad"))
	select {
	case refusal := <-with.refused:
		if refusal.Code != translator.CodePartHeld || refusal.Run != translator.NotRun {
			t.Errorf("refusal %v, want one because of the part", refusal)
		}
	default:
		t.Error("the request with the part still waits")
	}
	select {
	case refusal := <-without.refused:
		t.Errorf("a request whose own part has the same id was refused: %v", refusal)
	default:
	}
}

// TestEvidenceReachesRestartedControl guards against evidence that is lost when a control
// process is restarted: entry processes report all of theirs to it again.
func TestEvidenceReachesRestartedControl(t *testing.T) {
	var (
		table    atomic.Uint64
		reported = make(chan *wire.Evidence, 100)
	)
	table.Store(7)
	address := startControl(t, func(_ context.Context, request *wire.Request) *wire.Reply {
		f := request.GetFollow()
		if f == nil {
			return nil
		}
		// The process that takes the evidence is the one that replies.
		own := table.Load()
		if f.GetEvidence() != nil {
			reported <- f.GetEvidence()
		}
		return &wire.Reply{Kind: &wire.Reply_Follow{Follow: &wire.FollowReply{Table: own, Position: 1}}}
	})
	r := startEntryBehind(t, &slowLink{}, []string{address})
	awaitReport := func(what string) {
		t.Helper()
		select {
		case e := <-reported:
			if len(e.GetParts()) != 1 || e.GetParts()[0].GetId() != "bad" || len(e.GetRuns()) != 3 {
				t.Errorf("%s: %v, want all evidence", what, e)
			}
		case <-time.After(setupTimeout):
			t.Fatal(what + ": nothing was reported")
		}
	}
	r.isolation.merge(heldEvidence("bad"))
	awaitReport("new evidence")
	table.Store(8)
	awaitReport("after a restart")
}

// TestSharedParts checks that the last part of a prompt does not count as shared.
func TestSharedParts(t *testing.T) {
	if ids := (&call{RequestInfo: translator.RequestInfo{Prompt: promptOf("a", "b", "own")}}).sharedIDs(); fmt.Sprint(ids) != fmt.Sprint([]isolator.PartID{"a", "b"}) {
		t.Errorf("shared parts %v, want all but the last", ids)
	}
}

// TestDoubtIsNoFinalRefusal guards against proper requests that are told never to come back, for a part or as
// a whole, although engines end for other reasons too.
func TestDoubtIsNoFinalRefusal(t *testing.T) {
	tests := map[string]struct {
		part              string
		doubtful          bool
		code              string
		status            int
		leastRetry, inAll time.Duration
	}{
		"certain":            {part: "popular", code: translator.CodePartHeld, status: http.StatusUnprocessableEntity},
		"in doubt":           {part: "popular", doubtful: true, code: translator.CodePartSuspected, status: http.StatusServiceUnavailable, leastRetry: time.Second, inAll: time.Minute},
		"a request in doubt": {part: "request-1", doubtful: true, code: translator.CodeRequestSuspected, status: http.StatusServiceUnavailable, leastRetry: time.Second, inAll: time.Minute},
		"a request, certain": {part: "request-1", code: translator.CodeRequestHeld, status: http.StatusUnprocessableEntity},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			e := heldEvidence(test.part)
			if test.doubtful {
				for n, known := range e.GetRuns() {
					e.Runs = append(e.Runs, &wire.EndedRun{Id: uint64(100 + n), EndedAtMillis: known.GetEndedAtMillis() + 400, Aside: true})
				}
			}
			r.isolation.merge(e)
			c := &call{RequestInfo: translator.RequestInfo{Prompt: promptOf(test.part, "own")}}
			h := &callHandler{router: r, call: c, log: r.log}
			refusals := map[string]*translator.RefusalError{
				"new":       r.isolation.admit(c),
				"waiting":   r.isolation.heldRefusal(r.isolation.suspectIDs(c)),
				"cancelled": h.giveUp(&attemptError{NotRun: true, Cause: withholder.NewHeldError(r.isolation.held[isolator.PartID(test.part)], r.windows.Now())}),
			}
			for when, refusal := range refusals {
				if refusal == nil {
					t.Fatalf("%s: not refused", when)
				}
				if refusal.Status != test.status || refusal.Code != test.code || refusal.Run != translator.NotRun || refusal.RetryAfter < test.leastRetry || refusal.RetryAfter > test.inAll {
					t.Errorf("%s: %d %v, come back after %v; want %d %s", when, refusal.Status, refusal, refusal.RetryAfter, test.status, test.code)
				}
			}
		})
	}
}
