package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const bytesPerToken = 4

type (
	completionRequest struct {
		Model     string          `json:"model"`
		Stream    bool            `json:"stream"`
		MaxTokens int             `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
	}

	completion struct {
		upstream *Upstream
		request  completionRequest
		attempt  *attemptState
		w        http.ResponseWriter
		r        *http.Request
		faults   Faults
		tokens   int
		promptIn int
	}
)

// serveCompletion answers one chat completion, resuming after Last-Event-ID.
func (u *Upstream) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c := &completion{upstream: u, w: w, r: r, faults: u.currentFaults(), tokens: u.config.Tokens}
	if err := json.NewDecoder(r.Body).Decode(&c.request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.request.MaxTokens > 0 {
		c.tokens = c.request.MaxTokens
	}
	c.promptIn = max(1, int(r.ContentLength)/bytesPerToken)
	id := r.Header.Get("Comfreybend-Attempt")
	c.attempt = u.beginAttempt(id)
	u.noteCachedPrefix(r.Header.Get("Comfreybend-Prefix"))
	priority, _ := strconv.Atoi(r.Header.Get("Comfreybend-Priority"))
	if !u.batch.enter(r.Context(), priority) {
		u.endAttempt(c.attempt, true)
		return
	}
	defer u.batch.leave()
	if c.faults.CrossAnswers {
		id = "another-attempt"
	}
	if id != "" {
		w.Header().Set("Comfreybend-Attempt", id)
	}
	var finished bool
	if c.request.Stream {
		finished = c.stream()
	} else {
		finished = c.whole()
	}
	u.endAttempt(c.attempt, !finished)
}

// noteCachedPrefix puts a prompt prefix into the cache.
func (u *Upstream) noteCachedPrefix(prefix string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cached[prefix] {
		u.stats.CacheHits++
		return
	}
	if prefix != "" {
		u.cached[prefix] = true
		u.stored = append(u.stored, prefix)
	}
}

// pause waits as the engine's speed says and reports false once the caller has left.
func (c *completion) pause(d time.Duration) bool {
	if c.faults.SlowFactor > 1 {
		d = time.Duration(float64(d) * c.faults.SlowFactor)
	}
	if d <= 0 {
		return c.r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

func (c *completion) stream() bool {
	u := c.upstream
	first, _ := strconv.Atoi(c.r.Header.Get("Last-Event-ID"))
	if first > 0 {
		u.mu.Lock()
		u.stats.Resumed++
		u.mu.Unlock()
		first += c.faults.SkipEvents
	}
	if c.faults.IgnoreResume {
		first = 0
	}
	if !c.pause(u.config.FirstToken) {
		return false
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	for n := first + 1; n <= c.tokens+2; n++ {
		c.faults = u.currentFaults()
		if n > first+1 && n <= c.tokens && !c.pause(u.config.TokenInterval) {
			return false
		}
		if c.faults.CutAfterEvents > 0 && n > c.faults.CutAfterEvents {
			panic(http.ErrAbortHandler)
		}
		if c.faults.StallAfterEvents > 0 && n > c.faults.StallAfterEvents {
			c.noteEvent()
			<-c.r.Context().Done()
			return false
		}
		if _, err := fmt.Fprintf(c.w, "id: %d\ndata: %s\n\n", n, c.eventData(n)); err != nil {
			return false
		}
		c.noteEvent()
		if err := http.NewResponseController(c.w).Flush(); err != nil {
			return false
		}
	}
	return true
}

func (c *completion) noteEvent() {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	c.attempt.events++
	c.upstream.stats.TokensSent++
}

// eventData returns the data of the n-th event: tokens, then usage, then the end.
func (c *completion) eventData(n int) string {
	const chunk = `{"id":"chatcmpl-emulated","object":"chat.completion.chunk","model":%q,"choices":[%s]%s}`
	switch {
	case c.faults.CrossAnswers && n <= c.tokens:
		return fmt.Sprintf(chunk, c.request.Model, `{"index":0,"delta":{"content":"of another request "}}`, "")
	case n <= c.tokens:
		choice := fmt.Sprintf(`{"index":0,"delta":{"content":"token%d "}}`, n)
		return fmt.Sprintf(chunk, c.request.Model, choice, "")
	case n == c.tokens+1:
		usage := fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, c.promptIn, c.tokens)
		return fmt.Sprintf(chunk, c.request.Model, "", usage)
	default:
		return "[DONE]"
	}
}

func (c *completion) whole() bool {
	total := c.upstream.config.FirstToken + time.Duration(c.tokens)*c.upstream.config.TokenInterval
	if !c.pause(total) {
		return false
	}
	var text strings.Builder
	for n := 1; n <= c.tokens; n++ {
		fmt.Fprintf(&text, "token%d ", n)
	}
	c.w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(c.w, `{"id":"chatcmpl-emulated","object":"chat.completion","model":%q,`+
		`"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`+"\n",
		c.request.Model, text.String(), c.promptIn, c.tokens)
	return err == nil
}
