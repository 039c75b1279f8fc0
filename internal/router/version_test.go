package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/matcher"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	streamService = "streams"
	streamEvents  = 6
	// cutEvents is the number of events after which the first upstream breaks off.
	cutEvents = 3
)

// versionUpstream is an upstream of one software version with numbered events that name it.
type versionUpstream struct {
	server *httptest.Server
	calls  atomic.Int64
	// cutAfter is the number of events after which it breaks off, streamEvents for none.
	cutAfter atomic.Int64
	// beforeCut is called before it breaks off, beforeFirst before its first event.
	beforeCut, beforeFirst func()
	// run is the run that it says it is; empty for none. It refuses requests for others if
	// refuseOthers is set.
	run          string
	refuseOthers bool
}

func newVersionUpstream(t *testing.T, version string) *versionUpstream {
	u := &versionUpstream{beforeCut: func() {}, beforeFirst: func() {}}
	u.cutAfter.Store(streamEvents)
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.calls.Add(1)
		if u.run != "" {
			w.Header().Set(translator.HeaderIncarnation, u.run)
		}
		if u.refuseOthers && r.Header.Get(translator.HeaderIncarnation) != u.run {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		after, _ := strconv.Atoi(r.Header.Get(translator.HeaderLastEventID))
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		u.beforeFirst()
		for n := after + 1; n <= int(u.cutAfter.Load()); n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
		}
		_ = http.NewResponseController(w).Flush()
		if u.cutAfter.Load() < streamEvents {
			u.beforeCut()
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(u.server.Close)
	return u
}

func (u *versionUpstream) announcement(id, version string, incarnation registrar.Incarnation, now time.Duration) registrar.Upstream {
	return registrar.Upstream{
		ID: registrar.UpstreamID(id), Incarnation: incarnation, Sequence: 1, URL: u.server.URL, FailureDomain: "a", Kind: registrar.KindService,
		Serves: []string{streamService}, State: registrar.Serving, Version: registrar.Version(version), AnnouncedAt: now, Load: registrar.Load{Slots: 8},
	}
}

// newVersionRouter returns an entry process with a route for streams that may be resumed, and its
// server.
func newVersionRouter(t *testing.T) (*Router, *httptest.Server) {
	t.Helper()
	r := newTestRouter(t)
	err := r.controlPlane.applyConfiguration(&wire.SyncReply{Revision: 1, Whole: true, Configuration: &state.Configuration{
		Classes: []*state.Class{{Name: "c", Tier: 1}},
		Routes: []*state.Route{{
			Name: "r", PathPrefix: "/", Kind: configurer.KindService, Service: streamService, Classes: []string{"c"},
			OpenToAll: true, EventStream: true, Resumable: true, Attempts: 4, Timeout: durationpb.New(10 * time.Second),
		}},
	}}, delivery{})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(r.clientHandler())
	t.Cleanup(server.Close)
	return r, server
}

// readStream sends a request and returns the status and the data of the events received.
func readStream(t *testing.T, url string, headers ...string) (status int, events []string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/stream", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			events = append(events, data)
		}
	}
	return response.StatusCode, events
}

// TestBrokenStreamKeepsItsVersion guards against streams that go on at another software version
// than the one that began them.
func TestBrokenStreamKeepsItsVersion(t *testing.T) {
	begun := strings.Repeat("v1 ", cutEvents)
	tests := map[string]struct {
		// arrange changes the upstreams: the one that begins the stream, and another one.
		arrange func(r *Router, first, second *versionUpstream)
		// second is the version of the other upstream.
		second, want string
	}{
		"at another upstream of the version": {second: "v1", want: strings.Repeat("v1 ", streamEvents)},
		"another version alone is left":      {second: "v2", want: begun},
		"an upstream without a version":      {second: "", want: begun},
		"before the first event": {second: "v2", want: strings.Repeat("v2 ", streamEvents), arrange: func(_ *Router, first, _ *versionUpstream) {
			first.cutAfter.Store(0)
		}},
		"the upstream started again before its first event": {second: "v1", want: begun, arrange: func(r *Router, first, _ *versionUpstream) {
			first.beforeFirst = func() {
				u := first.announcement("one", "v1", 2, r.dispatcher.now())
				r.dispatcher.applyAnnouncement(u)
			}
		}},
		"another run that was not announced begins it": {second: "v1", want: begun, arrange: func(_ *Router, first, _ *versionUpstream) {
			first.run = "2"
		}},
		"the announced run begins it": {second: "v1", want: strings.Repeat("v1 ", streamEvents), arrange: func(_ *Router, first, _ *versionUpstream) {
			first.run = "1"
		}},
		"another run that was not announced would go on": {second: "v1", want: begun, arrange: func(_ *Router, _, second *versionUpstream) {
			second.run = "2"
		}},
		"another run refuses to go on": {second: "v1", want: begun, arrange: func(_ *Router, _, second *versionUpstream) {
			second.run, second.refuseOthers = "2", true
		}},
		"the version changed within the run": {second: "v1", want: begun, arrange: func(r *Router, first, _ *versionUpstream) {
			first.beforeFirst = func() {
				u := first.announcement("one", "v9", 1, r.dispatcher.now())
				u.Sequence = 2
				r.dispatcher.applyAnnouncement(u)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server := newVersionRouter(t)
			first, second := newVersionUpstream(t, "v1"), newVersionUpstream(t, test.second)
			first.cutAfter.Store(cutEvents)
			first.beforeCut = func() {
				r.dispatcher.applyAnnouncement(second.announcement("two", test.second, 1, r.dispatcher.now()))
				r.dispatcher.withdraw(&registrar.Upstream{ID: "one", Incarnation: 1})
			}
			if test.arrange != nil {
				test.arrange(r, first, second)
			}
			r.dispatcher.applyAnnouncement(first.announcement("one", "v1", 1, r.dispatcher.now()))
			r.dispatcher.startedAt -= startupTime
			before := r.dispatcher.now()
			_, events := readStream(t, server.URL)
			if got := strings.Join(events, " "); got != strings.TrimSpace(test.want) {
				t.Errorf("events %q, want %q", got, strings.TrimSpace(test.want))
			}
			if took := r.dispatcher.now() - before; took > time.Second {
				t.Errorf("the stream ended after %v, want at once", took)
			}
		})
	}
}

// TestTakenUpStream guards against streams that a client takes up and that go on at another version
// or service than the one that began them, and against requests that are bound although they take up
// nothing.
func TestTakenUpStream(t *testing.T) {
	const stream = translator.AttemptID("begun")
	known := matcher.Origin{Pool: "service/" + streamService, Version: "v1"}
	tests := map[string]struct {
		headers []string
		origin  matcher.Origin
		status  int
		want    string
	}{
		"known":                       {headers: []string{translator.HeaderLastEventID, "2", translator.HeaderResumes, string(stream)}, origin: known, status: http.StatusOK, want: "v1 v1 v1 v1"},
		"of another version":          {headers: []string{translator.HeaderLastEventID, "2", translator.HeaderResumes, string(stream)}, origin: matcher.Origin{Pool: known.Pool, Version: "v2"}, status: http.StatusOK, want: "v2 v2 v2 v2"},
		"of a version that has left":  {headers: []string{translator.HeaderLastEventID, "2", translator.HeaderResumes, string(stream)}, origin: matcher.Origin{Pool: known.Pool, Version: "v3"}, status: http.StatusGone},
		"of another service":          {headers: []string{translator.HeaderLastEventID, "2", translator.HeaderResumes, string(stream)}, origin: matcher.Origin{Pool: "service/other", Version: "v1"}, status: http.StatusGone},
		"unknown, without a majority": {headers: []string{translator.HeaderLastEventID, "2", translator.HeaderResumes, "another"}, origin: known, status: http.StatusServiceUnavailable},
		"named by two values":         {headers: []string{translator.HeaderLastEventID, "2", translator.HeaderResumes, string(stream), translator.HeaderResumes, "another"}, origin: known, status: http.StatusServiceUnavailable},
		"the attempt is not named":    {headers: []string{translator.HeaderLastEventID, "2"}, origin: known, status: http.StatusServiceUnavailable},
		"no event is named":           {headers: []string{translator.HeaderResumes, string(stream)}, origin: known, status: http.StatusOK, want: "6"},
		"the event is no number":      {headers: []string{translator.HeaderLastEventID, "two", translator.HeaderResumes, string(stream)}, origin: known, status: http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server := newVersionRouter(t)
			for id, version := range map[string]string{"one": "v1", "two": "v2"} {
				r.dispatcher.applyAnnouncement(newVersionUpstream(t, version).announcement(id, version, 1, r.dispatcher.now()))
			}
			r.dispatcher.startedAt -= startupTime
			r.tracker.Report(matcher.StreamOf(string(stream), ""), test.origin, false)
			status, events := readStream(t, server.URL, test.headers...)
			got := strings.Join(events, " ")
			if test.want == strconv.Itoa(len(events)) {
				got = test.want
			}
			if status != test.status || status == http.StatusOK && got != test.want {
				t.Errorf("status %d, events %q; want %d, %q", status, got, test.status, test.want)
			}
		})
	}
}

// TestResponseOfOtherRun guards against requests to an upstream that has started again and has not
// announced itself: what it refuses goes elsewhere as not run, what it has run is delivered, and it gets
// nothing more for the run that is over.
func TestResponseOfOtherRun(t *testing.T) {
	tests := map[string]struct {
		run          string
		refuseOthers bool
		status       int
		calls        int64
	}{
		"the announced run":                {run: "1", refuseOthers: true, status: http.StatusOK, calls: 2},
		"says no run":                      {status: http.StatusOK, calls: 2},
		"says one that cannot be read":     {run: "one", status: http.StatusOK, calls: 2},
		"another run that refuses":         {run: "2", refuseOthers: true, status: http.StatusServiceUnavailable, calls: 1},
		"another run that does not refuse": {run: "2", status: http.StatusOK, calls: 1},
		"a run with the greatest number":   {run: "18446744073709551615", status: http.StatusOK, calls: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, server := newVersionRouter(t)
			u := newVersionUpstream(t, "v1")
			u.run, u.refuseOthers = test.run, test.refuseOthers
			r.dispatcher.applyAnnouncement(u.announcement("one", "v1", 1, r.dispatcher.now()))
			if status, _ := readStream(t, server.URL); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			if _, _ = readStream(t, server.URL); u.calls.Load() != test.calls {
				t.Errorf("%d requests, want %d", u.calls.Load(), test.calls)
			}
			if test.calls > 1 {
				return
			}
			r.dispatcher.applyAnnouncement(u.announcement("one", "v1", 2, r.dispatcher.now()))
			u.run = "2"
			if status, _ := readStream(t, server.URL); status != http.StatusOK {
				t.Errorf("status %d from the run that has announced itself, want 200", status)
			}
		})
	}
}

// TestAnnouncementOfUncommittedVersion guards against requests to an upstream for the version that it
// had before it started again, while the control processes cannot commit the new one.
func TestAnnouncementOfUncommittedVersion(t *testing.T) {
	tests := map[string]struct {
		version     string
		incarnation registrar.Incarnation
		serving     int
	}{
		"a later run of another version":    {version: "v2", incarnation: 2, serving: 0},
		"a later run of the same version":   {version: "v1", incarnation: 2, serving: 1},
		"an earlier run of another version": {version: "v2", incarnation: 0, serving: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := newVersionRouter(t)
			r.tracker.Propose = func(context.Context, *state.Command) (*wire.ProposeReply, error) {
				return nil, errors.New("no majority")
			}
			u := newVersionUpstream(t, "v1")
			r.dispatcher.applyAnnouncement(u.announcement("one", "v1", 1, r.dispatcher.now()))
			announced := u.announcement("one", test.version, test.incarnation, r.dispatcher.now())
			if _, err := r.announceEndpoint(t.Context(), announcer.ToWire(&announced, r.dispatcher.now())); err == nil {
				t.Error("the announcement is accepted although its version is not committed")
			}
			if serving := r.dispatcher.registry.Serving(registrar.KindService, streamService); len(serving) != test.serving {
				t.Errorf("%d upstreams serve, want %d", len(serving), test.serving)
			}
		})
	}
}

// TestUnknownFields guards against upstreams of later versions that are rejected for what they send
// besides.
func TestUnknownFields(t *testing.T) {
	tests := map[string]struct{ path, body string }{
		"announcement": {
			path: "/upstream/v1/announcements",
			body: `{"id":"one","url":"http://127.0.0.1:1","kind":"service","serves":["s"],"state":"serving","load":{"slots":4,"later":1},"later":{"a":[1]}}`,
		},
		"cache event": {path: "/upstream/v1/cacheEvents", body: `{"upstream":"one","sequence":"1","stored":["p"],"later":true}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := newVersionRouter(t)
			r.tracker.Propose = func(context.Context, *state.Command) (*wire.ProposeReply, error) {
				return &wire.ProposeReply{Outcome: &state.Outcome{Accepted: true}}, nil
			}
			request := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			response := httptest.NewRecorder()
			r.announcementHandler().ServeHTTP(response, request)
			if response.Code != http.StatusNoContent {
				t.Errorf("status %d, body %s", response.Code, response.Body)
			}
		})
	}
}
