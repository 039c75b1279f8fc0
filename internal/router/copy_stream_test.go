package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/state"
)

// copyEvents are the events of a whole stream.
var copyEvents = []string{"id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "id: 3\ndata: three\n\n"}

// streamStep is a part of a stream, sent after a time.
type streamStep struct {
	after time.Duration
	text  string
}

// stream sends headers and steps, and then ends, breaks off or hangs.
func stream(end string, steps ...streamStep) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		_ = control.Flush()
		for _, s := range steps {
			select {
			case <-time.After(s.after):
			case <-request.Context().Done():
				return
			}
			_, _ = io.WriteString(w, s.text)
			_ = control.Flush()
		}
		switch end {
		case "hangs":
			<-request.Context().Done()
		case "breaks":
			if conn, _, err := control.Hijack(); err == nil {
				_ = conn.Close()
			}
		}
	}
}

// TestCopyOfSlowStream guards against streams whose first event is slow and that are not copied, a stream of which
// two runs go on side by side or are joined, and copies of streams of which the client has a part.
func TestCopyOfSlowStream(t *testing.T) {
	const ms = time.Millisecond
	rest := func(first int) []streamStep {
		var out []streamStep
		for _, e := range copyEvents[first:] {
			out = append(out, streamStep{text: e})
		}
		return out
	}
	whole := strings.Join(copyEvents, "")
	type handle = func(http.ResponseWriter, *http.Request)
	tests := map[string]struct {
		handles  []handle
		attempts int32
		status   int
		arrivals int
		// resumedAfter is the Last-Event-ID of the last request.
		resumedAfter string
		fails        bool
	}{
		"headers without an event":              {handles: []handle{stream("hangs"), stream("", rest(0)...)}, status: 200, arrivals: 2},
		"part of an event":                      {handles: []handle{stream("hangs", streamStep{0, "id: 1\ndata: on"}), stream("", rest(0)...)}, status: 200, arrivals: 2},
		"no headers":                            {handles: []handle{hang, stream("", rest(0)...)}, status: 200, arrivals: 2},
		"the first wins":                        {handles: []handle{stream("", append([]streamStep{{150 * ms, copyEvents[0]}}, rest(1)...)...), stream("hangs")}, status: 200, arrivals: 2},
		"slow after the first event":            {handles: []handle{stream("", streamStep{0, copyEvents[0]}, streamStep{300 * ms, copyEvents[1] + copyEvents[2]})}, status: 200, arrivals: 1},
		"the first breaks off before an event":  {handles: []handle{stream("breaks", streamStep{150 * ms, "id: 1\n"}), stream("", append([]streamStep{{300 * ms, copyEvents[0]}}, rest(1)...)...)}, status: 200, arrivals: 2, fails: true},
		"the copy breaks off before an event":   {handles: []handle{stream("", append([]streamStep{{150 * ms, copyEvents[0]}}, rest(1)...)...), stream("breaks")}, status: 200, arrivals: 2, fails: true},
		"both break off":                        {handles: []handle{stream("breaks", streamStep{150 * ms, "id: 1\n"}), stream("breaks")}, attempts: 2, status: 502, arrivals: 2, fails: true},
		"both break off, and a third one":       {handles: []handle{stream("breaks", streamStep{150 * ms, "id: 1\n"}), stream("breaks"), stream("", rest(0)...)}, attempts: 3, status: 200, arrivals: 3, fails: true},
		"the copy wins and breaks off":          {handles: []handle{stream("hangs"), stream("breaks", rest(0)[0]), stream("", rest(1)...)}, attempts: 3, status: 200, arrivals: 3, resumedAfter: "1", fails: true},
		"the copy wins, breaks off, no attempt": {handles: []handle{stream("hangs"), stream("breaks", rest(0)[0]), nil}, attempts: 2, status: 0, arrivals: 2, fails: true},
		"an error does not win":                 {handles: []handle{stream("", append([]streamStep{{150 * ms, copyEvents[0]}}, rest(1)...)...), answerAfter(0, 500, "")}, status: 200, arrivals: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCopyFixture(t, 4, nil, func(r *state.Route) { r.EventStream, r.Resumable, r.Attempts = true, true, test.attempts })
			resumedAfter := ""
			f.set(func(n int, w http.ResponseWriter, request *http.Request) {
				if after := request.Header.Get(translator.HeaderLastEventID); after != "" {
					resumedAfter = after
				}
				test.handles[n-1](w, request)
			})
			status, body := f.get(t.Context())
			arrivals := f.arrived()
			if status != test.status || status == http.StatusOK && body != whole || len(arrivals) != test.arrivals || resumedAfter != test.resumedAfter {
				t.Fatalf("status %d with %q, %d arrivals, resumed after %q, want %d, %d, %q",
					status, body, len(arrivals), resumedAfter, test.status, test.arrivals, test.resumedAfter)
			}
			checkEnded(t, arrivals)
			if !test.fails {
				f.checkAtRest(t)
			}
		})
	}
}

// TestLosingStreamIsCancelled guards against a second run of a stream that goes on beside the one that is relayed.
func TestLosingStreamIsCancelled(t *testing.T) {
	f := newCopyFixture(t, 2, nil, func(r *state.Route) { r.EventStream, r.Resumable = true, true })
	late := make(chan bool, 1)
	f.set(func(n int, w http.ResponseWriter, request *http.Request) {
		if n == 1 {
			stream("hangs")(w, request)
			return
		}
		stream("", streamStep{0, copyEvents[0]})(w, request)
		select {
		case <-f.arrived()[0].cancelled:
			late <- false
		case <-time.After(cancelTime):
			late <- true
		}
	})
	if status, body := f.get(t.Context()); status != http.StatusOK || body != copyEvents[0] {
		t.Errorf("status %d with %q", status, body)
	}
	select {
	case tooLate := <-late:
		if tooLate {
			t.Errorf("the first run still goes on %v after the first event of the second", cancelTime)
		}
	case <-time.After(2 * cancelTime):
		t.Fatal("no copy was sent")
	}
	f.checkAtRest(t)
}

// TestClientLeavesStreamRace guards against upstreams that are held to have failed, or go on, when a client leaves
// before the first event.
func TestClientLeavesStreamRace(t *testing.T) {
	f := newCopyFixture(t, 3, nil, func(r *state.Route) { r.EventStream, r.Resumable = true, true })
	f.set(func(_ int, w http.ResponseWriter, request *http.Request) { stream("hangs")(w, request) })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.get(ctx)
	}()
	awaitCondition(t, "no copy arrives", func() bool { return len(f.arrived()) == 2 })
	time.Sleep(20 * time.Millisecond)
	cancel()
	checkEnded(t, f.arrived())
	<-ended
	f.checkAtRest(t)
}

// TestRetryWaitsForLosingAttempt guards against a call that is changed for its next attempt while an attempt that has
// lost a race still reads it.
func TestRetryWaitsForLosingAttempt(t *testing.T) {
	f := newCopyFixture(t, 4, nil, func(r *state.Route) { r.EventStream, r.Resumable, r.Attempts = true, true, 3 })
	var started atomic.Int64
	var returned, early atomic.Bool
	due, onStart := make(chan struct{}), f.router.upstreamClient.onStart
	f.router.upstreamClient.onStart = func(c *call, at *attempt) {
		if started.Add(1) == 2 {
			close(due)
			time.Sleep(200 * time.Millisecond)
			returned.Store(true)
		}
		onStart(c, at)
	}
	f.set(func(_ int, w http.ResponseWriter, request *http.Request) {
		if request.Header.Get(translator.HeaderLastEventID) != "" {
			early.Store(!returned.Load())
			stream("", streamStep{0, copyEvents[1]})(w, request)
			return
		}
		<-due
		stream("breaks", streamStep{0, copyEvents[0]})(w, request)
	})
	if status, body := f.get(t.Context()); status != http.StatusOK || body != copyEvents[0]+copyEvents[1] {
		t.Errorf("status %d with %q", status, body)
	}
	if early.Load() {
		t.Error("the next attempt was sent while one that had lost was starting")
	}
}
