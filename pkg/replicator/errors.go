package replicator

import "fmt"

type (
	// NotLeaderError refuses a proposal or read; nothing was appended.
	NotLeaderError struct {
		// Leader is the member to ask instead, or zero if none is known.
		Leader MemberID
	}

	// NotCommittedError says that a proposal was replaced by another entry and never takes effect.
	NotCommittedError struct {
		Index Index
	}

	// InDoubtError says that a proposal may or may not take effect.
	InDoubtError struct {
		Cause error
	}

	// StoppedError says that the node does not run any more.
	StoppedError struct {
		Cause error
	}
)

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this member is not the leader; the leader is %d", e.Leader)
}

// Error implements error.
func (e *NotCommittedError) Error() string {
	return fmt.Sprintf("entry %d was replaced and never takes effect", e.Index)
}

// Error implements error.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("the proposal may or may not take effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("the node has stopped: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }
