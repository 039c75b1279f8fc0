package collector

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/pkg/journaler"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const storeTimeout = 10 * time.Second

// endedThrice returns evidence by which a request is held, and a request limit.
func endedThrice(now time.Time) *wire.Evidence {
	limit := 1.0
	e := &wire.Evidence{
		Parts:  []*wire.PartEvidence{{Id: "request-1"}},
		Limits: []*wire.RequestLimit{{Upstream: "u", Incarnation: 1, Limit: &limit, AtMillis: now.UnixMilli()}},
	}
	for n := range uint64(3) {
		e.Runs = append(e.Runs, &wire.EndedRun{Id: n + 1, EndedAtMillis: now.Add(time.Duration(n)*time.Second - time.Minute).UnixMilli()})
		e.Parts[0].Runs = append(e.Parts[0].Runs, n+1)
	}
	return e
}

// awaitSaved waits until a file holds evidence about a request.
func awaitSaved(t *testing.T, path string) *wire.Evidence {
	t.Helper()
	deadline := time.After(storeTimeout)
	for {
		saved := &wire.Evidence{}
		if found, err := journaler.NewFile(path, journaler.OSDisk()).Read(saved); found && err == nil && len(saved.GetParts()) > 0 {
			return saved
		}
		select {
		case <-time.After(time.Millisecond):
		case <-deadline:
			t.Fatal("the evidence was not saved")
		}
	}
}

// TestStore guards against a held request that is forgotten, or known by another identity, when all
// processes have ended, also if the disk took nothing for some time.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "evidence")
	var full atomic.Bool
	full.Store(true)
	writes := make(chan struct{}, 100)
	disk := journaler.OSDisk()
	disk.Write = func(f *os.File, data []byte) (int, error) {
		writes <- struct{}{}
		if full.Load() {
			return 0, syscall.ENOSPC
		}
		return f.Write(data)
	}
	table := NewTable()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- NewStore(table, journaler.NewFile(path, disk), zap.NewNop()).Run(ctx) }()
	<-writes
	now := time.Now()
	table.Merge(now, endedThrice(now))
	<-writes
	full.Store(false)
	saved := awaitSaved(t, path)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if len(saved.GetLimits()) > 0 {
		t.Errorf("the limits %v were saved", saved.GetLimits())
	}
	restarted := NewTable()
	NewStore(restarted, journaler.NewFile(path, journaler.OSDisk()), zap.NewNop()).Load(time.Now())
	if held := restarted.NewlyHeld(); len(held) != 1 || held[0].Part != "request-1" {
		t.Errorf("held after the restart: %v", held)
	}
	if !proto.Equal(restarted.key.Key(), table.key.Key()) {
		t.Error("the key has changed")
	}
}

// TestStoreWithoutUsableFile guards against a process that does not work without its saved evidence.
func TestStoreWithoutUsableFile(t *testing.T) {
	tests := map[string][]byte{"no file": nil, "empty file": {}, "changed file": []byte("not a frame")}
	for name, content := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "evidence")
			if content != nil {
				if err := os.WriteFile(path, content, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			table := NewTable()
			store := NewStore(table, journaler.NewFile(path, journaler.OSDisk()), zap.NewNop())
			store.Load(time.Now())
			if accused := fmt.Sprint(table.Accused()); accused != "[]" {
				t.Errorf("evidence %v from %s", accused, name)
			}
			now := time.Now()
			table.Merge(now, endedThrice(now))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- store.Run(ctx) }()
			awaitSaved(t, path)
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
