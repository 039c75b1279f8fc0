package journaler

import "fmt"

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
