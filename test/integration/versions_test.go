package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	versionTokens        = 40
	versionTokenInterval = 25 * time.Millisecond
)

var (
	// tokenPattern matches the tokens of emulated engines: a number and the engine's version.
	tokenPattern = regexp.MustCompile(`^token(\d+)(\S*) $`)
	// retryAfterPattern matches the time after which a refused client is to come back.
	retryAfterPattern = regexp.MustCompile(`"retryAfterMillis":\d+`)
)

// resumableStream is a streamed completion of a client that takes it up again when it breaks.
type resumableStream struct {
	key, body string
	// attempt is the one that brought the first event.
	attempt string
	// lastEvent is the id of the last event received.
	lastEvent int
	// versions holds, for each token received, the version of the engine that made it.
	versions []string
	complete bool
	problem  error
}

func newResumableStream(key string) *resumableStream {
	return newLongStream(key, versionTokens)
}

func newLongStream(key string, tokens int) *resumableStream {
	return &resumableStream{key: key, body: completionBody(tokens)}
}

// read sends the request, as the one that resumes the stream if events have been received, and
// reads until the stream ends or breaks. It returns the status, zero if there is none. onEvent is
// called after each event.
func (s *resumableStream) read(ctx context.Context, e *entryProcess, onEvent func()) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.clientAddress+"/v1/chat/completions", strings.NewReader(s.body))
	if err != nil {
		s.problem = err
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	if s.lastEvent > 0 {
		request.Header.Set("Last-Event-ID", strconv.Itoa(s.lastEvent))
		request.Header.Set("Comfreybend-Resumes", s.attempt)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode
	}
	lines := bufio.NewScanner(response.Body)
	id := 0
	for lines.Scan() && !s.complete && s.problem == nil {
		if lines.Text() == "event: error" {
			// The stream ends here although it is not complete.
			break
		}
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			id, _ = strconv.Atoi(text)
		} else if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			s.addEvent(id, data, response.Header.Get(translator.HeaderAttempt))
			onEvent()
		}
	}
	return response.StatusCode
}

// addEvent checks and records an event.
func (s *resumableStream) addEvent(id int, data, attempt string) {
	if id != s.lastEvent+1 {
		s.problem = fmt.Errorf("event %d follows event %d", id, s.lastEvent)
		return
	}
	if s.lastEvent == 0 {
		s.attempt = attempt
	}
	s.lastEvent = id
	if data == "[DONE]" {
		s.complete = true
		return
	}
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return
	}
	if token := tokenPattern.FindStringSubmatch(chunk.Choices[0].Delta.Content); token != nil {
		s.versions = append(s.versions, token[2])
	}
}

// joined reports whether the stream holds tokens of two versions.
func (s *resumableStream) joined() bool {
	for _, v := range s.versions {
		if v != s.versions[0] {
			return true
		}
	}
	return false
}

// startVersions starts a number of engines of each version, spread over the failure domains of
// the entry processes.
func (s *system) startVersions(engines int, versions ...string) map[string][]*upstreamProcess {
	s.t.Helper()
	out := map[string][]*upstreamProcess{}
	for _, version := range versions {
		for i := range engines {
			u := s.startUpstream(fmt.Sprintf("engine-%s-%d", version, i), s.entries[i%len(s.entries)].domain, "model", "m", s.entries,
				"--software-version", version, "--slots", "64", "--token-interval", versionTokenInterval.String(), "--first-token", "10ms")
			out[version] = append(out[version], u)
		}
	}
	return out
}

// allowRetries lets as many requests of a test be retried as a process by itself allows.
func allowRetries(s *settings.Settings) {
	if s.Entry.UpstreamLimits == nil {
		s.Entry.UpstreamLimits = &settings.UpstreamLimits{}
	}
	s.Entry.UpstreamLimits.RetryPercent = 100
}

// checkStreams fails the test if streams were joined, and returns how many are complete.
func checkStreams(t *testing.T, streams []*resumableStream) int {
	t.Helper()
	complete, joined := 0, 0
	for _, s := range streams {
		if s.problem != nil {
			t.Error(s.problem)
		}
		if s.joined() {
			joined++
		}
		if s.complete {
			complete++
		}
	}
	if joined > 0 {
		t.Errorf("%d of %d streams hold tokens of two versions", joined, len(streams))
	}
	return complete
}

// TestResumedStreamKeepsItsVersion guards against streams that break and are resumed by the
// router at an upstream of another software version: their two parts do not fit together.
func TestResumedStreamKeepsItsVersion(t *testing.T) {
	const streams = 40
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}, adjustEntry: allowRetries})
	s.configure()
	engines := s.startVersions(2, "v1", "v2")
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one").Key
	s.awaitKey(key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key)
	}
	for _, ofVersion := range engines {
		ofVersion[0].setFaults(t, emulator.InjectedFaults{CutAfterEvents: 5})
	}
	var (
		wait sync.WaitGroup
		all  []*resumableStream
	)
	for i := range streams {
		stream := newResumableStream(key)
		all = append(all, stream)
		wait.Go(func() { stream.read(t.Context(), s.entries[i%len(s.entries)], func() {}) })
	}
	wait.Wait()
	if complete := checkStreams(t, all); complete < streams {
		t.Errorf("%d of %d streams are complete, although each version has an upstream that works", complete, streams)
	}
}

// TestStreamTakenUpKeepsItsVersion guards against streams that break with their entry host, are
// taken up by their clients at another one, and go on at an upstream of another software
// version. All entry processes end at the same time, and with them what they know.
func TestStreamTakenUpKeepsItsVersion(t *testing.T) {
	const streams = 40
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	s.startVersions(2, "v1", "v2")
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one").Key
	s.awaitKey(key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key)
	}
	all := s.breakStreams(key, streams)
	for _, e := range s.entries {
		e.start()
	}
	s.awaitKey(key, s.entries...)
	s.takeUp(all, s.otherEntries()...)
	if complete := checkStreams(t, all); complete < streams {
		t.Errorf("%d of %d streams are complete, although each version has two upstreams", complete, streams)
	}
}

// breakStreams begins streams at all entry processes and kills these in the middle of them.
func (s *system) breakStreams(key string, streams int) []*resumableStream {
	s.t.Helper()
	var (
		wait, begun sync.WaitGroup
		all         []*resumableStream
	)
	for i := range streams {
		stream := newResumableStream(key)
		all = append(all, stream)
		begun.Add(1)
		wait.Go(func() {
			var once sync.Once
			stream.read(s.t.Context(), s.entries[i%len(s.entries)], func() { once.Do(begun.Done) })
			once.Do(begun.Done)
		})
	}
	begun.Wait()
	for _, e := range s.entries {
		e.kill()
	}
	wait.Wait()
	for _, stream := range all {
		if stream.complete || stream.lastEvent == 0 {
			s.t.Fatalf("a stream has %d events and is complete: %t, want one that broke", stream.lastEvent, stream.complete)
		}
	}
	return all
}

// takeUp takes up streams at entry processes, again while it is told to come back. It returns the
// number of streams that were refused.
func (s *system) takeUp(streams []*resumableStream, at ...*entryProcess) (refused int) {
	s.t.Helper()
	var (
		wait sync.WaitGroup
		mu   sync.Mutex
	)
	for i, stream := range streams {
		wait.Go(func() {
			eventually(s.t, waitTimeout, func() error {
				status := stream.read(s.t.Context(), at[i%len(at)], func() {})
				if status == http.StatusServiceUnavailable || status == 0 {
					return fmt.Errorf("status %d", status)
				}
				if status != http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					refused++
				}
				return nil
			})
		})
	}
	wait.Wait()
	return refused
}

// otherEntries returns the entry processes in the order in which streams of breakStreams, taken up
// one after the other, each go to another one than they began at.
func (s *system) otherEntries() []*entryProcess {
	return append(slices.Clone(s.entries[1:]), s.entries[0])
}

// TestStreamsAfterLossOfAllMemory guards against streams that are joined when all entry and control
// processes have been killed at the same time: which version began a stream is not known any more,
// unless there was only one. That there were two must not be forgotten.
func TestStreamsAfterLossOfAllMemory(t *testing.T) {
	const streams = 20
	tests := map[string]struct {
		versions []string
		goOn     bool
	}{
		"one version":  {versions: []string{"v1"}, goOn: true},
		"two versions": {versions: []string{"v1", "v2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
			s.configure()
			s.startVersions(2, test.versions...)
			s.startUpstream("orders-1", "a", "service", "orders", s.entries)
			key := s.grant("one").Key
			s.awaitKey(key, s.entries...)
			for _, e := range s.entries {
				s.awaitCompletion(e, key)
			}
			all := s.breakStreams(key, streams)
			for _, c := range s.controls {
				c.kill()
			}
			for _, c := range s.controls {
				c.start()
			}
			for _, e := range s.entries {
				e.start()
			}
			s.awaitKey(key, s.entries...)
			refused := s.takeUp(all, s.otherEntries()...)
			complete := checkStreams(t, all)
			if test.goOn && complete < streams || !test.goOn && refused < streams {
				t.Errorf("%d of %d streams are complete, %d were refused", complete, streams, refused)
			}
		})
	}
}

// TestStreamsOutliveControlMemory guards against streams that are refused when their entry host is lost
// after control processes have been killed and are back: these have forgotten which version
// began a stream, and the entry processes that know it have to tell them again.
func TestStreamsOutliveControlMemory(t *testing.T) {
	const (
		streams = 30
		// streamTokens is the length of the streams, which go on through the whole test.
		streamTokens = 600
		// settleTime is the time between the last restart of a control process and the loss of the
		// entry host: contact_ms of the users' platform.
		settleTime = 3 * time.Second
		// restartInterval is the time between the restarts of two control processes.
		restartInterval = 2 * time.Second
	)
	restart := func(controls ...*controlProcess) {
		for _, c := range controls {
			c.kill()
		}
		for _, c := range controls {
			c.start()
		}
	}
	tests := map[string]func(t *testing.T, s *system){
		"all at once": func(_ *testing.T, s *system) { restart(s.controls...) },
		"one after the other": func(t *testing.T, s *system) {
			for _, c := range s.controls {
				restart(c)
				timer.Sleep(t.Context(), restartInterval)
			}
		},
		"two of three": func(_ *testing.T, s *system) { restart(s.controls[0], s.controls[2]) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}, adjustEntry: allowRetries})
			s.configure()
			s.startVersions(2, "v1", "v2")
			s.startUpstream("orders-1", "a", "service", "orders", s.entries)
			key := s.grant("one").Key
			s.awaitKey(key, s.entries...)
			for _, e := range s.entries {
				s.awaitCompletion(e, key)
			}
			var (
				wait, begun sync.WaitGroup
				all         []*resumableStream
			)
			for range streams {
				stream := newLongStream(key, streamTokens)
				all = append(all, stream)
				begun.Add(1)
				wait.Go(func() {
					var once sync.Once
					stream.read(t.Context(), s.entries[0], func() { once.Do(begun.Done) })
					once.Do(begun.Done)
				})
			}
			begun.Wait()
			lose(t, s)
			s.leader()
			timer.Sleep(t.Context(), settleTime)
			s.entries[0].kill()
			wait.Wait()
			refused := s.takeUp(all, s.entries[1])
			if complete := checkStreams(t, all); complete < streams {
				t.Errorf("%d of %d streams are complete, %d were refused", complete, streams, refused)
			}
		})
	}
}

// TestStreamOfVersionThatLeft guards against streams that go on at another version because theirs
// has left, and against clients that are told to come back for them.
func TestStreamOfVersionThatLeft(t *testing.T) {
	const streams = 20
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	engines := s.startVersions(2, "v1", "v2")
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one").Key
	s.awaitKey(key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key)
	}
	all := s.breakStreams(key, streams)
	for _, u := range engines["v1"] {
		u.kill()
	}
	for _, e := range s.entries {
		e.start()
	}
	s.awaitKey(key, s.entries...)
	refused := s.takeUp(all, s.otherEntries()...)
	checkStreams(t, all)
	for _, stream := range all {
		if stream.complete != (stream.versions[0] == "v2") {
			t.Errorf("a stream of %s is complete: %t", stream.versions[0], stream.complete)
		}
	}
	if refused == 0 {
		t.Error("no stream was refused for good although a version has left")
	}
}

// TestStreamOfAnotherOrganisation guards against a client that takes up a stream of another
// organisation, or that learns from the response whether there is one.
func TestStreamOfAnotherOrganisation(t *testing.T) {
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "b"}})
	s.configure()
	s.startVersions(2, "v1", "v2")
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key, foreign := s.grant("one").Key, s.grant("two").Key
	s.awaitKey(key, s.entries...)
	s.awaitKey(foreign, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key)
	}
	stream := s.breakStreams(key, 1)[0]
	for _, e := range s.entries {
		e.start()
	}
	s.awaitKey(key, s.entries...)
	takeUp := func(key, attempt string) clientResponse {
		return s.entries[1].do(t.Context(), http.MethodPost, "/v1/chat/completions", key, stream.body,
			"Last-Event-ID", strconv.Itoa(stream.lastEvent), translator.HeaderResumes, attempt)
	}
	var existing, invented clientResponse
	eventually(t, waitTimeout, func() error {
		existing, invented = takeUp(foreign, stream.attempt), takeUp(foreign, "invented")
		if existing.status != http.StatusServiceUnavailable {
			return nil
		}
		// Control processes that have just started may still be told of either stream. The time after
		// which the client is to come back is random.
		a, b := retryAfterPattern.ReplaceAllString(existing.body, ""), retryAfterPattern.ReplaceAllString(invented.body, "")
		if invented.status == http.StatusServiceUnavailable && a != b {
			t.Errorf("body %s, want the same as for an invented attempt: %s", existing.body, invented.body)
		}
		return fmt.Errorf("refused for now: %s", existing.body)
	})
	if existing.status != http.StatusGone || existing.body != invented.body || existing.run() != translator.NotRun {
		t.Errorf("status %d with body %s, want the same refusal as for an invented attempt: %d, %s", existing.status, existing.body, invented.status, invented.body)
	}
	if own := takeUp(key, stream.attempt); own.status != http.StatusOK {
		t.Errorf("status %d for the client's own stream, body %s", own.status, own.body)
	}
}

// TestStreamAvoidsUnannouncedRun guards against streams that are begun or taken up at an upstream
// that has started again with another software version under its id and address, and has not
// announced itself yet: the processes still hold it for the version that it had.
func TestStreamAvoidsUnannouncedRun(t *testing.T) {
	const (
		streams = 20
		// tokens makes the streams last until the end of the test.
		tokens = 160
	)
	s := startSystem(t, layout{controls: 3, entries: []string{"a", "a"}, adjustEntry: allowRetries})
	s.configure()
	engines := s.startVersions(2, "v1", "v2")
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	key := s.grant("one").Key
	s.awaitKey(key, s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, key)
	}
	var all []*resumableStream
	var reading sync.WaitGroup
	begin := func() {
		var begun sync.WaitGroup
		for range streams {
			stream := newResumableStream(key)
			stream.body = completionBody(tokens)
			all = append(all, stream)
			begun.Add(1)
			reading.Go(func() {
				var once sync.Once
				stream.read(t.Context(), s.entries[0], func() { once.Do(begun.Done) })
				once.Do(begun.Done)
			})
		}
		begun.Wait()
	}
	begin()
	restarted := engines["v1"][0]
	restarted.kill()
	restarted.args = unannounced(restarted.args, freeAddress(t), "v2")
	restarted.start()
	restarted.awaitStart()
	begin()
	s.entries[0].kill()
	reading.Wait()
	s.takeUp(all, s.entries[1])
	if complete := checkStreams(t, all); complete < len(all) {
		t.Errorf("%d of %d streams are complete, although each version has an upstream that is known", complete, len(all))
	}
}

// unannounced returns the arguments of an emulated upstream of a version whose announcements go to
// an address at which nothing listens.
func unannounced(args []string, address, version string) []string {
	out := slices.Clone(args)
	for i := range out[:len(out)-1] {
		switch out[i] {
		case "--announce":
			out[i+1] = "http://" + address
		case "--software-version":
			out[i+1] = version
		}
	}
	return out
}
