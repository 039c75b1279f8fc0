// Package logger provides the structured log of the daemons: one JSON line for each
// event. Logging never blocks: if the output is slow and the buffer full, lines are
// dropped, those about served requests first.
package logger

import (
	"io"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// splitCore writes the lines of loggers named ServedRequests to served, whose lines are
// dropped first, and all others to Core.
type splitCore struct {
	zapcore.Core
	served zapcore.Core
}

// ServedRequests is the name of loggers for lines about served requests.
const ServedRequests = "served"

// New returns a JSON logger for a process with the given role and host, and its
// writer, which the caller must close.
func New(out io.Writer, level, role, host string) (*zap.Logger, *Writer, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parsing the log level")
	}
	w := NewWriter(out)
	return newLogger(parsed, w).With(zap.String("role", role), zap.String("host", host)), w, nil
}

func newLogger(level zapcore.Level, w *Writer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.CallerKey = zapcore.OmitKey
	core := func(write func([]byte) (int, error)) zapcore.Core {
		return zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(writeFunc(write)), level)
	}
	return zap.New(&splitCore{Core: core(w.Write), served: core(w.WriteServed)})
}

type writeFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writeFunc) Write(line []byte) (int, error) { return f(line) }

// With implements zapcore.Core.
func (c *splitCore) With(fields []zapcore.Field) zapcore.Core {
	return &splitCore{Core: c.Core.With(fields), served: c.served.With(fields)}
}

// Check implements zapcore.Core.
func (c *splitCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core. It omits the stack traces of errors, which would make
// up most of a line.
func (c *splitCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	fields = withoutStacks(fields)
	if e.LoggerName == ServedRequests {
		return c.served.Write(e, fields)
	}
	return c.Core.Write(e, fields)
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields = slices.Clone(fields)
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}
