package journaler

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

type (
	// DamageError reports a file whose synced content has changed. A voter
	// with a damaged file must not start.
	DamageError struct {
		File   string
		Offset int64
		Detail string
	}

	// SyncError reports that a write or sync failed. What the disk holds is
	// unknown afterwards, so the voter must stop.
	SyncError struct {
		File  string
		Cause error
	}
)

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Detail)
}

// Error implements error.
func (e *SyncError) Error() string {
	return fmt.Sprintf("writing %s failed, its content is unknown: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error {
	return e.Cause
}

// NoSpaceError says that the disk refused a write, for example because it is
// full. Nothing has changed.
type NoSpaceError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *NoSpaceError) Error() string {
	return "the disk refused a write to " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoSpaceError) Unwrap() error { return e.Cause }

// refusedByDisk reports errors of a disk that has no room.
func refusedByDisk(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
