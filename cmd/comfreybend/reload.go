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

// reloadInterval is the time between looks at whether the settings file has
// changed without a signal.
const reloadInterval = 2 * time.Second

// reloadOnChange reads the settings again on SIGHUP, and when the file has changed
// without one. Settings with faults change nothing.
func (f *daemonFlags) reloadOnChange(ctx context.Context, log *zap.Logger, apply func(*settings.Settings)) {
	hangup := make(chan os.Signal, 1)
	// The signal stays caught after ctx has ended: its default action would end
	// a process that is still finishing its requests.
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		changed := f.modifiedAt()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
			case <-ticker.C:
				if f.modifiedAt().Equal(changed) {
					continue
				}
			}
			changed = f.modifiedAt()
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

// modifiedAt returns when the settings file was written, or the zero time if that cannot be told.
func (f *daemonFlags) modifiedAt() time.Time {
	info, err := os.Stat(f.path())
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
