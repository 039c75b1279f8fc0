package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/schema/settings"
)

// reloadInterval is the time between checks of the settings file's modification time.
const reloadInterval = 2 * time.Second

// reloadOnChange starts a goroutine that rereads the settings on SIGHUP, and when the
// file's modification time has changed, and passes them to apply. Settings that
// cannot be read or have faults change nothing; the error is logged.
func (f *daemonFlags) reloadOnChange(ctx context.Context, log *zap.Logger, apply func(*settings.Settings)) {
	sighup := make(chan os.Signal, 1)
	// The signal stays caught after ctx is done: its default action would terminate
	// a process that is still completing its requests.
	signal.Notify(sighup, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		lastModified := f.modifiedAt()
		for {
			select {
			case <-ctx.Done():
				return
			case <-sighup:
			case <-ticker.C:
				if f.modifiedAt().Equal(lastModified) {
					continue
				}
			}
			lastModified = f.modifiedAt()
			s, err := f.read()
			if err != nil {
				log.Error("settings were not reloaded", zap.Error(err))
				continue
			}
			log.Info("settings reloaded")
			apply(s)
		}
	}()
}

// modifiedAt returns the modification time of the settings file, or the zero time if
// the file cannot be examined.
func (f *daemonFlags) modifiedAt() time.Time {
	info, err := os.Stat(f.path())
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
