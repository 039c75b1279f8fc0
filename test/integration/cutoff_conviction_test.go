package integration

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

const (
	// convictionCuts is the number of short cuts, more than the ends of engines after which a request is
	// held.
	convictionCuts = 4
	// convictionLength is the length of a cut, longer than a client waits, convictionPause the time
	// between two cuts.
	convictionLength = cutoffRequestTimeout + time.Second
	convictionPause  = 700 * time.Millisecond
	// convictionBody is a popular request: many are in progress whenever a cut begins.
	convictionBody    = `{"model":"m","stream":true,"max_tokens":30,"messages":[{"role":"user","content":"popular"}]}`
	convictionClients = 6
)

// TestCutsConvictNobody guards against an entry host whose own path to all upstreams is reset taking the
// engines for ended, and the requests that were in progress there for the cause.
func TestCutsConvictNobody(t *testing.T) {
	c := newCutoff(t, 3, "a", "b")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var (
		clients sync.WaitGroup
		broken  atomic.Int64
	)
	request := func(e *entryProcess) clientResponse {
		limited, stop := context.WithTimeout(context.Background(), cutoffRequestTimeout)
		defer stop()
		return e.do(limited, http.MethodPost, "/v1/chat/completions", c.key, convictionBody)
	}
	for range convictionClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				if a := request(c.entries[0]); a.err != nil || a.status != http.StatusOK {
					broken.Add(1)
					timer.Sleep(ctx, pollInterval)
				}
			}
		})
	}
	for range convictionCuts {
		timer.Sleep(ctx, convictionPause)
		before := broken.Load()
		for _, p := range c.paths[0] {
			p.cut(pathResets)
		}
		timer.Sleep(ctx, convictionLength)
		for _, p := range c.paths[0] {
			p.heal()
		}
		t.Logf("%d requests failed in a cut", broken.Load()-before)
		eventually(t, waitTimeout, func() error { return checkStatus(c.entries[0].complete(c.key, 1), http.StatusOK) })
	}
	cancel()
	clients.Wait()
	t.Logf("attempts whose engine was taken for ended: %d", bytes.Count(c.entries[0].log(), []byte(`"upstreamEnded":true`)))
	for _, e := range c.entries {
		if a := request(e); a.status != http.StatusOK {
			t.Errorf("%s responded with %d: %s", e.id, a.status, a.body)
		}
	}
	for _, p := range c.processes() {
		for _, conviction := range []string{"prompt part is held", "a prompt part crashes engines"} {
			if n := bytes.Count(p.log(), []byte(fmt.Sprintf("%q", conviction))); n > 0 {
				t.Errorf("%s logged %q %d times", p.name, conviction, n)
			}
		}
	}
}

// processes returns the entry and control processes.
func (s *system) processes() []*process {
	var out []*process
	for _, e := range s.entries {
		out = append(out, e.process)
	}
	for _, c := range s.controls {
		out = append(out, c.process)
	}
	return out
}
