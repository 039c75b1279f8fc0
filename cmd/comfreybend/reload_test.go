package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/schema/settings"
)

const reloadSettings = `{"host":{"id":"e","failureDomain":"a"},"entry":{"callerListen":"127.0.0.1:1",
	"upstreamListen":"127.0.0.1:2","statusListen":"127.0.0.1:3","peerListen":"127.0.0.1:4",
	"controlAddresses":["ADDRESS"]}}`

func writeSettings(t *testing.T, file, address string) {
	t.Helper()
	content := []byte(strings.Replace(reloadSettings, "ADDRESS", address, 1))
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestReload checks that SIGHUP reloads the settings, and that it does not terminate
// the process while it completes its requests after its context is done.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	writeSettings(t, file, "127.0.0.1:10")
	flags := &daemonFlags{file: file}
	applied := make(chan string, 10)
	ctx, stop := context.WithCancel(context.Background())
	flags.reloadOnChange(ctx, zap.NewNop(), func(s *settings.Settings) {
		applied <- s.GetEntry().GetControlAddresses()[0]
	})
	// The file is usually changed before its modification time is first read, so that
	// only the signal causes the reload.
	writeSettings(t, file, "127.0.0.1:11")
	sendHangup(t)
	select {
	case address := <-applied:
		if address != "127.0.0.1:11" {
			t.Errorf("reloaded address %s", address)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the settings were not reloaded")
	}
	stop()
	for range 3 {
		sendHangup(t)
	}
}

func sendHangup(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}
