package replicator

import "fmt"

type (
	// NotLeaderError means that a proposal or read was refused because the member
	// is not the leader. A refused proposal was not appended to the log. An
	// InDoubtError can wrap a NotLeaderError; test for InDoubtError first.
	NotLeaderError struct {
		// Leader is the leader to ask instead, or zero if none is known. The error
		// text then names 0 as the leader.
		Leader MemberID
	}

	// NotCommittedError means that another leader's entry was committed in place
	// of a proposal, which will not be applied.
	NotCommittedError struct {
		// Index is the index that the proposal had in the log.
		Index Index
	}

	// InDoubtError means that it is not known whether a proposal was or will be
	// committed and applied. It unwraps to its cause, so errors.As finds a
	// NotLeaderError or StoppedError in it too: test for InDoubtError first.
	InDoubtError struct {
		// Cause is why the outcome is unknown: a *NotLeaderError, a *StoppedError or
		// the error of the caller's context.
		Cause error
	}

	// StoppedError means that Node.Run has returned. An InDoubtError can wrap a
	// StoppedError; test for InDoubtError first.
	StoppedError struct {
		// Cause is the error that ended Node.Run.
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
