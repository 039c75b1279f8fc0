package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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
		upstream     *Upstream
		request      completionRequest
		attempt      *attemptState
		w            http.ResponseWriter
		r            *http.Request
		faults       InjectedFaults
		tokens       int
		promptTokens int
		// crashes reports that the engine ends when the response begins.
		crashes bool
	}
)

// serveCompletion serves a chat completion. A stream resumes after Last-Event-ID.
func (u *Upstream) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c := &completion{upstream: u, w: w, r: r, faults: u.currentFaults(), tokens: u.config.Tokens}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &c.request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.crashes = u.config.CrashOnText != "" && bytes.Contains(body, []byte(u.config.CrashOnText))
	if c.request.MaxTokens > 0 {
		c.tokens = c.request.MaxTokens
	}
	c.promptTokens = max(1, int(r.ContentLength)/bytesPerToken)
	id := r.Header.Get("Comfreybend-Attempt")
	c.attempt = u.startAttempt(id)
	u.cachePrefix(r.Header.Get("Comfreybend-Prefix"))
	priority, _ := strconv.Atoi(r.Header.Get("Comfreybend-Priority"))
	if !u.batch.acquireSlot(r.Context(), priority) {
		u.finishAttempt(c.attempt, true)
		return
	}
	defer u.batch.releaseSlot()
	if c.faults.MismatchAttempts {
		id = "another-attempt"
	}
	if id != "" {
		w.Header().Set("Comfreybend-Attempt", id)
	}
	var finished bool
	if c.request.Stream {
		finished = c.sendStream()
	} else {
		finished = c.sendWhole()
	}
	u.finishAttempt(c.attempt, !finished)
}

// cachePrefix adds a prompt prefix to the cache, or counts a hit if it is there.
func (u *Upstream) cachePrefix(prefix string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cachedPrefixes[prefix] {
		u.stats.CacheHits++
		return
	}
	if prefix != "" {
		u.cachedPrefixes[prefix] = true
		u.unpublishedPrefixes = append(u.unpublishedPrefixes, prefix)
	}
}

// sleep waits for d, multiplied by the slow factor, and reports whether the client is
// still connected.
func (c *completion) sleep(d time.Duration) bool {
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

// sendStream sends the response as server-sent events and reports whether it completed.
func (c *completion) sendStream() bool {
	u := c.upstream
	lastID, _ := strconv.Atoi(c.r.Header.Get("Last-Event-ID"))
	if lastID > 0 {
		u.mu.Lock()
		u.stats.Resumed++
		u.mu.Unlock()
		lastID += c.faults.SkipEvents
	}
	if c.faults.IgnoreResume {
		lastID = 0
	}
	if !c.sleep(u.config.FirstToken) {
		return false
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	if c.crashes {
		_ = http.NewResponseController(c.w).Flush()
		return c.crash()
	}
	for n := lastID + 1; n <= c.tokens+2; n++ {
		c.faults = u.currentFaults()
		if n > lastID+1 && n <= c.tokens && !c.sleep(u.config.TokenInterval) {
			return false
		}
		if c.faults.CutAfterEvents > 0 && n > c.faults.CutAfterEvents {
			panic(http.ErrAbortHandler)
		}
		if c.faults.StallAfterEvents > 0 && n > c.faults.StallAfterEvents {
			// The event counts as generated, though it is not sent.
			c.recordEvent()
			<-c.r.Context().Done()
			return false
		}
		if _, err := fmt.Fprintf(c.w, "id: %d\ndata: %s\n\n", n, c.eventData(n)); err != nil {
			return false
		}
		c.recordEvent()
		if err := http.NewResponseController(c.w).Flush(); err != nil {
			return false
		}
	}
	return true
}

// crash ends the upstream, and returns false once the connection is closed.
func (c *completion) crash() bool {
	c.upstream.crashOnce.Do(func() { close(c.upstream.crash) })
	<-c.r.Context().Done()
	return false
}

func (c *completion) recordEvent() {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	c.attempt.events++
	c.upstream.stats.EventsGenerated++
}

// eventData returns the data of the n-th event: first the tokens, then the usage, then
// the end marker.
func (c *completion) eventData(n int) string {
	const chunk = `{"id":"chatcmpl-emulated","object":"chat.completion.chunk","model":%q,"choices":[%s]%s}`
	switch {
	case c.faults.MismatchAttempts && n <= c.tokens:
		return fmt.Sprintf(chunk, c.request.Model, `{"index":0,"delta":{"content":"of another request "}}`, "")
	case n <= c.tokens:
		choice := fmt.Sprintf(`{"index":0,"delta":{"content":"token%d%s "}}`, n, c.upstream.config.Version)
		return fmt.Sprintf(chunk, c.request.Model, choice, "")
	case n == c.tokens+1:
		usage := fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d}`, c.promptTokens, c.tokens)
		return fmt.Sprintf(chunk, c.request.Model, "", usage)
	default:
		return "[DONE]"
	}
}

// sendWhole sends the response as one JSON document and reports whether it completed.
func (c *completion) sendWhole() bool {
	if c.crashes {
		return c.crash()
	}
	total := c.upstream.config.FirstToken + time.Duration(c.tokens)*c.upstream.config.TokenInterval
	if !c.sleep(total) {
		return false
	}
	var text strings.Builder
	for n := 1; n <= c.tokens; n++ {
		fmt.Fprintf(&text, "token%d%s ", n, c.upstream.config.Version)
	}
	c.w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(c.w, `{"id":"chatcmpl-emulated","object":"chat.completion","model":%q,`+
		`"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`+"\n",
		c.request.Model, text.String(), c.promptTokens, c.tokens)
	return err == nil
}
