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
	"github.com/comfreybend/comfreybend/internal/translator"
)

// clientResponse is the response that a client received, up to err if that is set.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// run returns the value of the header that tells whether a refused request was run.
func (a clientResponse) run() translator.RunStatus {
	return translator.RunStatus(a.header.Get(translator.HeaderRun))
}

// do sends a request with an API key, if one is given. headers holds names and values in turn.
func (e *entryProcess) do(ctx context.Context, method, path, key, body string, headers ...string) clientResponse {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.clientAddress+path, strings.NewReader(body))
	if err != nil {
		return clientResponse{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return clientResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (e *entryProcess) get(path, key string) clientResponse {
	return e.do(context.Background(), http.MethodGet, path, key, "")
}

func (e *entryProcess) placeOrder(key, reference string, headers ...string) clientResponse {
	body := fmt.Sprintf(`{"reference":%q}`, reference)
	return e.do(context.Background(), http.MethodPost, "/orders", key, body, headers...)
}

// promptCount makes every prompt different, so that prefix affinity does not tie requests to one engine.
var promptCount atomic.Int64

func completionBody(tokens int) string {
	const format = `{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"prompt %d"}]}`
	return fmt.Sprintf(format, tokens, promptCount.Add(1))
}

// complete requests a streamed completion and returns the whole response.
func (e *entryProcess) complete(key string, tokens int, headers ...string) clientResponse {
	return e.do(context.Background(), http.MethodPost, "/v1/chat/completions", key, completionBody(tokens), headers...)
}

// completionStream is a streamed completion that is being read.
type completionStream struct {
	response *http.Response
	reader   *bufio.Reader
	cancel   context.CancelFunc
	raw      strings.Builder
}

func (e *entryProcess) openStream(t *testing.T, key string, tokens int) *completionStream {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.clientAddress+"/v1/chat/completions",
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
	return &completionStream{response: response, reader: bufio.NewReader(response.Body), cancel: cancel}
}

// readTokens reads until n token events have arrived in total.
func (s *completionStream) readTokens(t *testing.T, n int) {
	t.Helper()
	for strings.Count(s.raw.String(), `"delta"`) < n {
		line, err := s.reader.ReadString('\n')
		s.raw.WriteString(line)
		if err != nil {
			t.Fatalf("stream ended early: %v", err)
		}
	}
}

// readRest reads the rest of the stream and returns the whole response.
func (s *completionStream) readRest() clientResponse {
	data, err := io.ReadAll(s.reader)
	s.raw.Write(data)
	return clientResponse{status: s.response.StatusCode, header: s.response.Header, body: s.raw.String(), err: err}
}

// checkTokens fails the test unless a response holds each token exactly once, in
// order, and ends with the done marker.
func checkTokens(t *testing.T, a clientResponse, tokens int) {
	t.Helper()
	if a.err != nil || a.status != http.StatusOK {
		t.Fatalf("response: status %d, error %v, body %.300s", a.status, a.err, a.body)
	}
	next := 1
	for line := range strings.Lines(a.body) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found || data == "[DONE]" || !strings.Contains(data, `"delta"`) {
			continue
		}
		if want := fmt.Sprintf(`"token%d "`, next); !strings.Contains(data, want) {
			t.Fatalf("token %d is missing or duplicated: got %s", next, data)
		}
		next++
	}
	if next != tokens+1 {
		t.Fatalf("got %d tokens instead of %d", next-1, tokens)
	}
	if !strings.HasSuffix(strings.TrimSpace(a.body), "data: [DONE]") {
		t.Fatalf("response does not end with the done marker: %.200q", a.body[max(0, len(a.body)-200):])
	}
}

// setFaults sets the faults of an emulated upstream.
func (u *upstreamProcess) setFaults(t testing.TB, f emulator.InjectedFaults) {
	t.Helper()
	if err := u.trySetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// trySetFaults sets the faults of an emulated upstream, or returns an error if it does not respond.
func (u *upstreamProcess) trySetFaults(f emulator.InjectedFaults) error {
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

// checkStatus returns an error unless a response has the given status.
func checkStatus(a clientResponse, status int) error {
	if a.status != status {
		return fmt.Errorf("status %d, body %s, error %w", a.status, a.body, errors.Join(a.err))
	}
	return nil
}
