package ingester

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreybend/comfreybend/internal/bounder"
	"github.com/comfreybend/comfreybend/schema/settings"
)

// stalling returns a request whose body never comes, on a connection of its own.
func stalling(t *testing.T, size int64) *http.Request {
	t.Helper()
	conn, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(conn))
	r.ContentLength = size
	return r.WithContext((&bounder.Bounder{}).ConnContext(r.Context(), conn))
}

// TestStalledBodyMakesRoom guards against clients that keep others out with bodies that do not come: one place, or
// memory for one body.
func TestStalledBodyMakesRoom(t *testing.T) {
	const limit = 1 << 20
	tests := map[string]struct {
		bodies int32
		memory int64
		size   int
	}{
		"place":  {bodies: 1, memory: 4 * limit, size: 100},
		"memory": {bodies: 10, memory: limit, size: limit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var now atomic.Int64
			i := New(&settings.CallerLimits{BodyBytes: limit, BodyMemoryBytes: test.memory, Bodies: test.bodies},
				func() time.Duration { return time.Duration(now.Load()) })
			stalled := make(chan error, 1)
			go func() {
				_, err := i.Read(stalling(t, limit))
				stalled <- err
			}()
			for i.Left() == test.memory {
				time.Sleep(time.Millisecond)
			}
			post := func() (*Body, error) {
				return i.Read(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", test.size))))
			}
			now.Store(int64(minReadTime) - 1)
			if _, err := post(); err == nil {
				t.Error("a body was interrupted before its time")
			}
			now.Store(int64(minReadTime))
			body, err := post()
			if err != nil {
				t.Fatal(err)
			}
			if err = <-stalled; !errors.As(err, new(*NoPlaceError)) {
				t.Errorf("error %v of the body that was interrupted", err)
			}
			body.Release()
			if i.Left() != test.memory {
				t.Errorf("%d of %d bytes are left afterwards", i.Left(), test.memory)
			}
		})
	}
}

// TestIsWorse guards against a body that is interrupted although it comes faster than another one.
func TestIsWorse(t *testing.T) {
	const now = 10 * time.Second
	tests := map[string]struct{ worse, better reading }{
		"stalled, slow":         {worse: reading{bytes: 1 << 20, progressAt: 8 * time.Second}, better: reading{bytes: 1, progressAt: now}},
		"stalled longer":        {worse: reading{progressAt: 7 * time.Second}, better: reading{progressAt: 8 * time.Second}},
		"slower, as long":       {worse: reading{bytes: 1, progressAt: now}, better: reading{bytes: 2, progressAt: now}},
		"as many, in more time": {worse: reading{bytes: 1, progressAt: now}, better: reading{bytes: 1, startedAt: 5 * time.Second, progressAt: now}},
		"slower, though larger": {worse: reading{bytes: 9, progressAt: now}, better: reading{bytes: 5, startedAt: 5 * time.Second, progressAt: now}},
	}
	for name, test := range tests {
		if !test.worse.isWorse(&test.better, now) || test.better.isWorse(&test.worse, now) {
			t.Errorf("%s: the other one is interrupted first", name)
		}
	}
}

// TestDocumentsLeaveMessages guards against messages that are refused since documents take all there is for these.
func TestDocumentsLeaveMessages(t *testing.T) {
	const limit = 1 << 20
	s := NewSplitter(&settings.CallerLimits{BodyBytes: limit, BodyMemoryBytes: limit, Bodies: 2}, func() time.Duration { return 0 })
	s.Refuse = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	handler := s.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := Content(r, limit)
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(content)
	}))
	go func() { _, _ = s.documents.Read(stalling(t, limit)) }()
	for s.documents.Left() == limit {
		time.Sleep(time.Millisecond)
	}
	tests := map[string]struct {
		size     int
		declared bool
		status   int
	}{
		"message":                    {size: 100, declared: true, status: http.StatusOK},
		"message without a length":   {size: 100, status: http.StatusOK},
		"largest message":            {size: messageBytes, declared: true, status: http.StatusOK},
		"document":                   {size: messageBytes + 1, declared: true, status: http.StatusServiceUnavailable},
		"document without a length":  {size: messageBytes + 1, status: http.StatusServiceUnavailable},
		"none":                       {declared: true, status: http.StatusOK},
		"too large, with a length":   {size: limit + 1, declared: true, status: http.StatusServiceUnavailable},
		"nearly a document, no size": {size: messageBytes - 1, status: http.StatusOK},
	}
	for name, test := range tests {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", test.size)))
		if !test.declared {
			r.ContentLength = -1
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != test.status || w.Code == http.StatusOK && w.Body.Len() != test.size {
			t.Errorf("%s: status %d with %d bytes, want %d", name, w.Code, w.Body.Len(), test.status)
		}
	}
}
