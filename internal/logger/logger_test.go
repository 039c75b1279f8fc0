package logger

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// output collects lines; while blocked it takes none.
type output struct {
	mu      sync.Mutex
	blocked chan struct{}
	content bytes.Buffer
}

func (o *output) Write(data []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.Write(data)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.String()
}

func TestLinesAreWhole(t *testing.T) {
	o := &output{}
	w := NewWriter(o)
	log := newLogger(zapcore.InfoLevel, w)
	log.Info("started", zap.String("host", "h"))
	log.Debug("not written")
	log.Named(ServedRequests).Info("request served", zap.Int("attempts", 1))
	w.Close()
	lines := strings.Split(strings.TrimSpace(o.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines: %s", len(lines), o)
	}
	for _, line := range lines {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["msg"] == "" || fields["time"] == "" {
			t.Errorf("line %s: %v", line, err)
		}
	}
}

// TestBlockedOutput blocks the output for good: nobody who writes a line waits,
// what does not fit is counted, and lines of served requests go first.
func TestBlockedOutput(t *testing.T) {
	const served, refused = 3 * bufferedLines, bufferedLines / (2 * reserve)
	o := &output{blocked: make(chan struct{})}
	w := NewWriter(o)
	log := newLogger(zapcore.InfoLevel, w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range served {
			log.Named(ServedRequests).Info("request served")
		}
		for range refused {
			log.Info("request refused")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a line waits for the output")
	}
	if w.Dropped() == 0 {
		t.Error("no line is counted as dropped")
	}
	close(o.blocked)
	w.Close()
	if n := strings.Count(o.String(), "request refused"); n != refused {
		t.Errorf("%d of %d lines about refusals were written", n, refused)
	}
	if n := strings.Count(o.String(), "\n") + int(w.Dropped()); n != served+refused {
		t.Errorf("%d of %d lines are written or counted", n, served+refused)
	}
}

// TestErrorsWithoutStacks writes an error that has a stack: the line has its text only.
func TestErrorsWithoutStacks(t *testing.T) {
	o := &output{}
	w := NewWriter(o)
	err := errors.Wrap(errors.New("reset"), "reading")
	newLogger(zapcore.InfoLevel, w).Info("upstream stream was interrupted", zap.Error(err), zap.NamedError("cause", err))
	w.Close()
	line := o.String()
	if !strings.Contains(line, `"error":"reading: reset"`) || !strings.Contains(line, `"cause":"reading: reset"`) {
		t.Errorf("the errors' texts are missing: %s", line)
	}
	if strings.Contains(line, ".go:") || strings.Contains(line, "Verbose") {
		t.Errorf("the line has a stack: %s", line)
	}
}

func BenchmarkServedLine(b *testing.B) {
	w := NewWriter(&output{})
	log := newLogger(zapcore.InfoLevel, w).Named(ServedRequests)
	for b.Loop() {
		log.Info("request served", zap.String("requestId", "9c41d07be2a35f68"), zap.String("class", "chat"),
			zap.Duration("firstByte", time.Second), zap.Int("attempts", 1))
	}
	w.Close()
}
