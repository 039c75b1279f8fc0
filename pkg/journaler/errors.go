package journaler

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

type (
	// CorruptionError reports a file whose synced content has changed or is
	// missing. The member must not start from it: it could have lost votes and
	// log entries that it has acknowledged. Open describes which changes it cannot
	// detect.
	CorruptionError struct {
		// File is the path of the file, or of the data folder if it has a
		// snapshot but no segment. For a segment with an invalid name it is that name.
		File string
		// Offset is the position of the corrupt frame in the file, in bytes. It is
		// also zero if the error is about the file as a whole.
		Offset int64
		Detail string
	}

	// WriteError reports that writing or syncing a file or the data folder
	// failed. What the disk holds is unknown afterwards, so the member must stop.
	WriteError struct {
		// File is the path of the file or of the data folder.
		File  string
		Cause error
	}
)

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Detail)
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("writing %s failed, its content is unknown: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error {
	return e.Cause
}

// NoSpaceError reports that a write failed because the disk is full or the quota
// is exceeded. No record was appended and the current segment is still in use; the
// write may be retried. SaveSnapshot may have stored the snapshot before it failed.
type NoSpaceError struct {
	// File is the path of the file.
	File  string
	Cause error
}

// Error implements error.
func (e *NoSpaceError) Error() string {
	return "the disk refused a write to " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoSpaceError) Unwrap() error { return e.Cause }

// isNoSpace reports whether err says that the disk is full or the quota is exceeded.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
