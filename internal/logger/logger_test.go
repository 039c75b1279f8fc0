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

// blockingOutput collects what is written to it. Write waits until blocked is closed,
// unless blocked is nil.
type blockingOutput struct {
	mu      sync.Mutex
	blocked chan struct{}
	content bytes.Buffer
}

func (o *blockingOutput) Write(data []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.Write(data)
}

func (o *blockingOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.String()
}

func TestLinesAreValidJSON(t *testing.T) {
	o := &blockingOutput{}
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

// TestBlockedOutput checks that logging does not block while the output does, that
// dropped lines are counted, and that lines about served requests are dropped first.
func TestBlockedOutput(t *testing.T) {
	// The refused lines fill half of the reserve, so none of them may be dropped.
	const served, refused = 3 * bufferedLines, bufferedLines / (2 * reserveDivisor)
	o := &blockingOutput{blocked: make(chan struct{})}
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
		t.Fatal("logging blocks while the output is blocked")
	}
	if w.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(o.blocked)
	w.Close()
	if n := strings.Count(o.String(), "request refused"); n != refused {
		t.Errorf("%d of %d lines about refused requests were written", n, refused)
	}
	if n := strings.Count(o.String(), "\n") + int(w.Dropped()); n != served+refused {
		t.Errorf("%d of %d lines were written or counted as dropped", n, served+refused)
	}
}

// TestErrorsWithoutStacks checks that the line of an error with a stack trace has only
// the text of the error.
func TestErrorsWithoutStacks(t *testing.T) {
	o := &blockingOutput{}
	w := NewWriter(o)
	err := errors.Wrap(errors.New("reset"), "reading")
	newLogger(zapcore.InfoLevel, w).Info("upstream stream was interrupted", zap.Error(err), zap.NamedError("cause", err))
	w.Close()
	line := o.String()
	if !strings.Contains(line, `"error":"reading: reset"`) || !strings.Contains(line, `"cause":"reading: reset"`) {
		t.Errorf("the line lacks the texts of the errors: %s", line)
	}
	if strings.Contains(line, ".go:") || strings.Contains(line, "Verbose") {
		t.Errorf("the line has a stack trace: %s", line)
	}
}

func BenchmarkServedLine(b *testing.B) {
	w := NewWriter(&blockingOutput{})
	log := newLogger(zapcore.InfoLevel, w).Named(ServedRequests)
	for b.Loop() {
		log.Info("request served", zap.String("requestId", "9c41d07be2a35f68"), zap.String("class", "chat"),
			zap.Duration("firstByte", time.Second), zap.Int("attempts", 1))
	}
	w.Close()
}
