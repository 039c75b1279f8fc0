// Package logger makes the structured log that every daemon writes to standard error.
package logger

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a JSON logger for one process of a host.
func New(level, role, host string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := config.Build()
	if err != nil {
		return nil, errors.Wrap(err, "building the logger")
	}
	return log.With(zap.String("role", role), zap.String("host", host)), nil
}
