package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/router"
)

// answered is what a caller got.
type answered struct {
	status int
	header http.Header
	body   string
	err    error
}

// run returns what a refusal says about the run.
func (a answered) run() router.RunStatus { return router.RunStatus(a.header.Get(router.HeaderRun)) }

func (e *entryProcess) do(ctx context.Context, method, path, key, body string, headers ...string) answered {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.caller+path, strings.NewReader(body))
	if err != nil {
		return answered{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (e *entryProcess) get(path, key string) answered {
	return e.do(context.Background(), http.MethodGet, path, key, "")
}

func (e *entryProcess) order(key, reference string, headers ...string) answered {
	body := fmt.Sprintf(`{"reference":%q}`, reference)
	return e.do(context.Background(), http.MethodPost, "/orders", key, body, headers...)
}

// prompts numbers the prompts, so that prefix affinity does not tie requests to one engine.
var prompts atomic.Int64

func completionBody(tokens int) string {
	const form = `{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d"}]}`
	return fmt.Sprintf(form, tokens, prompts.Add(1))
}

// complete asks for a streamed completion and returns the whole answer.
func (e *entryProcess) complete(key string, tokens int, headers ...string) answered {
	return e.do(context.Background(), http.MethodPost, "/v1/chat/completions", key, completionBody(tokens), headers...)
}

// stream is a completion that is being read.
type stream struct {
	response *http.Response
	reader   *bufio.Reader
	cancel   context.CancelFunc
	raw      strings.Builder
}

func (e *entryProcess) open(t *testing.T, key string, tokens int) *stream {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller+"/v1/chat/completions",
		strings.NewReader(completionBody(tokens)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Fatalf("stream refused: %s", response.Status)
	}
	return &stream{response: response, reader: bufio.NewReader(response.Body), cancel: cancel}
}

// events reads until n token events have arrived.
func (s *stream) events(t *testing.T, n int) {
	t.Helper()
	for strings.Count(s.raw.String(), `"delta"`) < n {
		line, err := s.reader.ReadString('\n')
		s.raw.WriteString(line)
		if err != nil {
			t.Fatalf("stream ended early: %v", err)
		}
	}
}

// rest reads to the end and returns everything.
func (s *stream) rest() answered {
	data, err := io.ReadAll(s.reader)
	s.raw.Write(data)
	return answered{status: s.response.StatusCode, header: s.response.Header, body: s.raw.String(), err: err}
}

// checkTokens fails unless an answer holds each token exactly once, in order, and a clean end.
func checkTokens(t *testing.T, a answered, tokens int) {
	t.Helper()
	if a.err != nil || a.status != http.StatusOK {
		t.Fatalf("answer: status %d, error %v, body %.300s", a.status, a.err, a.body)
	}
	next := 1
	for line := range strings.Lines(a.body) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found || data == "[DONE]" || !strings.Contains(data, `"delta"`) {
			continue
		}
		if want := fmt.Sprintf(`"token%d "`, next); !strings.Contains(data, want) {
			t.Fatalf("token %d is missing or doubled: got %s", next, data)
		}
		next++
	}
	if next != tokens+1 {
		t.Fatalf("got %d tokens instead of %d", next-1, tokens)
	}
	if !strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]") {
		t.Fatalf("answer does not end with the done marker: %.200q", a.body[max(0, len(a.body)-200):])
	}
}

// fault makes a stand-in fail.
func (u *upstreamProcess) fault(t testing.TB, f emulator.Faults) {
	t.Helper()
	if err := u.tryFault(f); err != nil {
		t.Fatal(err)
	}
}

// tryFault makes a stand-in fail if it answers.
func (u *upstreamProcess) tryFault(f emulator.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post(u.url+"/emulator/v1/faults", "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// statusIs returns nil if an answer has a status.
func statusIs(a answered, status int) error {
	if a.status != status {
		return fmt.Errorf("status %d, body %s, error %w", a.status, a.body, errors.Join(a.err))
	}
	return nil
}
