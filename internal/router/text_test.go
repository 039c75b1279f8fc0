package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// protocolTexts are texts that mean something in a protocol of the router, as a model may write them.
var protocolTexts = []string{
	"[DONE]", " [DONE] ", `{"usage":{"prompt_tokens":0,"completion_tokens":0}}`, "data: [DONE]", "id: 9", "event: error", ": comment", "0\r", "", "[DONE]",
}

// textEvents returns numbered events with each of the protocol texts.
func textEvents() []string {
	var out []string
	for _, text := range protocolTexts {
		for _, form := range []string{"id: %d\ndata: %s\n\n", "id: %d\nevent: error\ndata: a\ndata: %s\n\n"} {
			out = append(out, fmt.Sprintf(form, len(out)+1, text))
		}
	}
	return out
}

// TestTextEndsNoStream guards against streams of services that end as complete where the text of an event is
// the end marker of models' streams, whichever attempt wrote the event.
func TestTextEndsNoStream(t *testing.T) {
	events := textEvents()
	whole, half := strings.Join(events, ""), len(events)/2
	steps := func(from, to int) []streamStep {
		var out []streamStep
		for _, e := range events[from:to] {
			out = append(out, streamStep{text: e})
		}
		return out
	}
	type handle = func(http.ResponseWriter, *http.Request)
	all := len(events)
	tests := map[string]struct {
		handles []handle
		// after is the last event that the client has, from an earlier request.
		after int
	}{
		"in one attempt":            {handles: []handle{stream("", steps(0, all)...)}},
		"resumed after the marker":  {handles: []handle{stream("breaks", steps(0, 1)...), stream("", steps(1, all)...)}},
		"resumed in the middle":     {handles: []handle{stream("breaks", steps(0, half)...), stream("", steps(half, all)...)}},
		"marker skipped as known":   {handles: []handle{stream("breaks", steps(0, 3)...), stream("", steps(0, all)...)}},
		"first event of the copy":   {handles: []handle{stream("hangs"), stream("", steps(0, all)...)}},
		"slow after the marker":     {handles: []handle{stream("", append(steps(0, 1), streamStep{300 * time.Millisecond, strings.Join(events[1:], "")})...)}},
		"taken up by the client":    {handles: []handle{stream("", steps(half, all)...)}, after: half},
		"taken up before a marker":  {handles: []handle{stream("", steps(2, all)...)}, after: 2},
		"taken up, and breaks then": {handles: []handle{stream("breaks", steps(1, half)...), stream("", steps(half, all)...)}, after: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCopyFixture(t, 4, nil, func(r *state.Route) { r.EventStream, r.Resumable, r.Attempts = true, true, 3 })
			f.router.dispatcher.startedAt -= startupTime
			f.router.tracker.Report(matcher.StreamOf("begun", ""), matcher.Origin{Pool: "service/" + noticeService}, false)
			f.set(func(n int, w http.ResponseWriter, request *http.Request) { test.handles[n-1](w, request) })
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+"/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			want := whole
			if test.after > 0 {
				request.Header.Set(translator.HeaderLastEventID, fmt.Sprint(test.after))
				request.Header.Set(translator.HeaderResumes, "begun")
				want = strings.Join(events[test.after:], "")
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if response.StatusCode != http.StatusOK || err != nil || string(body) != want {
				t.Errorf("status %d, error %v, body %q, want 200 with %q", response.StatusCode, err, body, want)
			}
		})
	}
}

// TestTextEndsNoRelayedStream guards against the same where the stream is passed on from a host that reaches no
// upstream.
func TestTextEndsNoRelayedStream(t *testing.T) {
	g := startRelayGroup(t, 2)
	g.hosts[0].cut(t, linkResets)
	events := strings.Join(textEvents(), "")
	g.setRespond(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events)
	})
	status, body := g.hosts[0].send(t.Context(), "/stream/x", "relayed")
	if status != http.StatusOK || body != events || len(g.hosts[0].passedOn("relayed")) == 0 {
		t.Errorf("status %d, body %q, %d passed on, want 200 with %q", status, body, len(g.hosts[0].passedOn("relayed")), events)
	}
}

// TestTextSetsNoCounts guards against token counts that the text of a service's response sets: only a model's
// response states them.
func TestTextSetsNoCounts(t *testing.T) {
	const (
		usage = `{"usage":{"prompt_tokens":700,"completion_tokens":9000}}`
		plain = "application/json"
		sse   = "text/event-stream"
	)
	type tokens struct{ in, out uint64 }
	tests := map[string]struct {
		kind, contentType, body string
		eventStream             bool
		want                    tokens
	}{
		"whole response of a service":        {kind: configurer.KindService, contentType: plain, body: usage},
		"numbered stream of a service":       {kind: configurer.KindService, contentType: sse, body: "id: 1\ndata: a\n\nid: 2\ndata: " + usage + "\n\n", eventStream: true, want: tokens{out: 2}},
		"stream of a service":                {kind: configurer.KindService, contentType: sse, body: "data: a\n\ndata: " + usage + "\n\n", want: tokens{out: 2}},
		"whole response of a model":          {kind: configurer.KindModel, contentType: plain, body: usage, want: tokens{in: 700, out: 9000}},
		"stream of a model":                  {kind: configurer.KindModel, contentType: sse, body: "data: a\n\ndata: " + usage + "\n\ndata: [DONE]\n\n", want: tokens{in: 700, out: 9000}},
		"usage on one of several data lines": {kind: configurer.KindModel, contentType: sse, body: "data: a\ndata: " + usage + "\n\ndata: [DONE]\n\n", want: tokens{in: 4, out: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server := newTextRouter(t, test.kind, test.eventStream, test.contentType, test.body)
			status, body, err := postModel(t, server)
			if status != http.StatusOK || err != nil || body != test.body {
				t.Fatalf("status %d, error %v, body %q, want 200 with %q", status, err, body, test.body)
			}
			counters := r.usage.Snapshot("e", "i", false).GetCounters()
			if len(counters) != 1 {
				t.Fatalf("counters %v, want those of one class", counters)
			}
			if got := (tokens{counters[0].GetTokensIn(), counters[0].GetTokensOut()}); got != test.want {
				t.Errorf("counted %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestEndOfStream guards against streams that end elsewhere than their interface says: those of models at an
// event that is nothing but the end marker, all others where the framing of their body ends.
func TestEndOfStream(t *testing.T) {
	tests := map[string]struct {
		kind, body, want string
		broken           bool
	}{
		"of a model":                                      {kind: configurer.KindModel, body: "data: a\n\ndata: [DONE]\n\n", want: "data: a\n\ndata: [DONE]\n\n"},
		"of a model, events after the marker":             {kind: configurer.KindModel, body: "data: [DONE]\n\ndata: a\n\n", want: "data: [DONE]\n\n"},
		"of a model, marker on a second line":             {kind: configurer.KindModel, body: "data: a\ndata: [DONE]\n\ndata: [DONE]\n\n", want: "data: a\ndata: [DONE]\n\ndata: [DONE]\n\n"},
		"of a model, marker inside a text":                {kind: configurer.KindModel, body: "data: [DONE] a\n\n", broken: true},
		"of a service":                                    {kind: configurer.KindService, body: "data: a\n\n", want: "data: a\n\n"},
		"of a service, marker in the middle":              {kind: configurer.KindService, body: "data: [DONE]\n\ndata: a\n\n", want: "data: [DONE]\n\ndata: a\n\n"},
		"of a service, ids that are no numbers of events": {kind: configurer.KindService, body: "id: 7\ndata: a\n\nid: 3\ndata: b\n\n", want: "id: 7\ndata: a\n\nid: 3\ndata: b\n\n"},
		"of a service, no empty line at its end":          {kind: configurer.KindService, body: "data: a\n\ndata: b", want: "data: a\n\ndata: b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, server := newTextRouter(t, test.kind, false, "text/event-stream", test.body)
			status, body, err := postModel(t, server)
			if status != http.StatusOK || (err != nil) != test.broken || !test.broken && body != test.want {
				t.Errorf("status %d, error %v, body %q, want 200 with %q, broken: %t", status, err, body, test.want, test.broken)
			}
		})
	}
}

// newTextRouter returns an entry process with one upstream of a model or service, all of whose responses are alike.
func newTextRouter(t *testing.T, kind string, eventStream bool, contentType, body string) (*Router, string) {
	t.Helper()
	r, server, _ := newNoticeRouter(t)
	document := engineDocument()
	route := document.GetConfiguration().GetRoutes()[0]
	route.Kind, route.Service, route.EventStream, route.Resumable, route.Attempts = kind, noticeService, eventStream, false, 1
	if err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 2, Whole: true, Configuration: document.GetConfiguration()}, delivery{}); err != nil {
		t.Fatal(err)
	}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(upstream.Close)
	a := noticeAnnouncement("one", upstream.URL, 1, 1, r.dispatcher.now())
	a.Kind = registrar.Kind(kind)
	r.dispatcher.applyAnnouncement(a)
	return r, server.URL
}

// postModel sends a request that both a model and a service take, and returns the response.
func postModel(t *testing.T, url string) (status int, body string, err error) {
	t.Helper()
	response, err := http.Post(url+"/x", "application/json", strings.NewReader(`{"model":"`+noticeService+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}
