package replicator

import "fmt"

type (
	// NotLeaderError means that a proposal or read was refused because the member
	// is not the leader. A refused proposal was not appended to the log.
	NotLeaderError struct {
		// Leader is the leader to ask instead, or zero if none is known.
		Leader MemberID
	}

	// NotCommittedError means that another leader's entry was committed in place
	// of a proposal, which will not be applied.
	NotCommittedError struct {
		// Index is the index that the proposal had in the log.
		Index Index
	}

	// InDoubtError means that it is not known whether a proposal was or will be
	// committed and applied.
	InDoubtError struct {
		// Cause is why the outcome is unknown.
		Cause error
	}

	// StoppedError means that Node.Run has returned.
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
