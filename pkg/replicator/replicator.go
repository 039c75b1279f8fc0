// Package replicator replicates a log of commands among a group of processes.
// Core implements the protocol as a deterministic state machine without a clock,
// goroutines or I/O: its inputs are the state and Config given to NewCore and the
// arguments of Step. Node drives a Core with a journal, a network and the state
// machine that the commands apply to.
//
// The protocol is Raft with pre-vote, check-quorum, a leader lease, learners and
// membership changes of one voter at a time. A member of the group is one
// incarnation of a host's disk. A process whose disk was lost joins again as a
// new member without a vote, since it may have forgotten votes and entries that
// it acknowledged.
//
// All times are readings of a member's own monotonic clock as durations since an
// arbitrary origin. The clocks of the members need not agree, but the leader
// lease requires that their rates differ by less than one eighth.
package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

type (
	// MemberID identifies one incarnation of a host's disk. Zero stands for no
	// member.
	MemberID uint64
	// Term is a Raft term. Each term has at most one leader.
	Term uint64
	// Index is the index of an entry in the log. The first entry has index 1.
	Index uint64
	// ReadID identifies a pending read. The driver chooses it.
	ReadID uint64
	// Role is the role of a member in its current term.
	Role int

	// Event is an input of Core.Step.
	Event interface{ isEvent() }

	// Tick lets the core act on the passage of time. The driver passes it to
	// Step several times in a heartbeat interval.
	Tick struct{}

	// Receive delivers a message from another member.
	Receive struct {
		Message *replication.Message
	}

	// Propose asks for an entry to be appended for each command. Only a leader
	// accepts it.
	Propose struct {
		Commands [][]byte
	}

	// ProposeMembership asks for a change of the membership. It has no effect
	// unless this member is the leader and has committed an entry of its term, no
	// other change is in progress and at most one voter is added or removed.
	ProposeMembership struct {
		Membership *replication.Membership
	}

	// Read asks for the index that must be applied before a linearizable read is
	// served. A ReadResult answers it.
	Read struct {
		ID ReadID
	}

	// Compact reports that a snapshot of the state machine after entry Index is
	// durable, so that the core can remove the entries up to Index from memory.
	Compact struct {
		Index Index
		// Keep is the number of entries up to Index that stay in memory for slow
		// followers, which would need the snapshot otherwise.
		Keep int
	}

	// Persisted reports that a Record or an installed snapshot is durable. Output holds the
	// event to pass to Step then.
	Persisted struct {
		// Term is the one of the hard state.
		Term Term
		// Last is the index of the last entry that is durable, zero if there are no entries.
		Last Index
		// rewrites is the number of times that entries of the log had been removed.
		rewrites uint64
	}

	// ReadResult answers a Read.
	ReadResult struct {
		ID ReadID
		// Index must be applied before the read is served.
		Index Index
		// Refused means that this member is not, or is no longer, the leader.
		Refused bool
	}

	// Position is the index and term of an entry. It identifies the entry: two
	// entries at the same position are identical.
	Position struct {
		Index Index
		Term  Term
	}

	// Output is what the driver must do after one or more steps, in the order
	// of the fields. It need not wait until the record is durable before it goes on with the
	// fields after AfterRecord, and with the next step.
	Output struct {
		// InstallSnapshot, if not nil, is a leader's snapshot that replaces the
		// state machine and the journal, once all earlier records are durable. The new
		// journal starts with the current hard state and the entries after the snapshot, so
		// Record need not be appended as well. It must be durable before the next step.
		InstallSnapshot *replication.Snapshot
		// Record, if not nil, is to be made durable after those of all earlier outputs.
		Record *replication.Record
		// Persisted is the event for the time when Record or InstallSnapshot is durable. It
		// is nil if there is neither.
		Persisted *Persisted
		// AfterRecord are messages to be sent to other members once Record and those of
		// all earlier outputs are durable.
		AfterRecord []*replication.Message
		// Messages are to be sent to other members. A snapshot message lacks its
		// snapshot; the driver adds the latest one.
		Messages []*replication.Message
		// Committed are the entries to apply, in this order. Entries without data
		// have no command.
		Committed []*replication.Entry
		// Accepted holds the position of the entry of each command of accepted
		// Propose events, in order.
		Accepted []Position
		// RefusedProposals is the number of commands of refused Propose events.
		RefusedProposals int
		// Reads answers Read events.
		Reads []ReadResult
	}

	// Config configures a Core.
	Config struct {
		ID MemberID
		// HeartbeatInterval is the time between a leader's heartbeats.
		HeartbeatInterval time.Duration
		// ElectionTimeout is the least time without contact with a leader before a
		// member campaigns, and the time for which it rejects vote requests after
		// such contact. A leader steps down after this time without contact with a
		// majority of the voters.
		ElectionTimeout time.Duration
		// BatchBytes limits the entry data in one append message, in bytes. A
		// single entry may exceed it.
		BatchBytes int
		// Random returns a random number from 0 to n-1.
		Random func(n int64) int64
	}

	// InitialState is the durable state that a Core starts from. For a process
	// that has not been a member before, all fields are empty, or only Snapshot is
	// set and holds the initial membership of a new group.
	InitialState struct {
		HardState *replication.HardState
		Snapshot  *replication.SnapshotHeader
		// Entries are the entries after the snapshot, without gaps.
		Entries []*replication.Entry
	}
)

// The roles of a member. A PreCandidate asks for votes before it starts an
// election, so that a member that cannot win does not raise the term. Learners
// are followers too.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (Tick) isEvent()              {}
func (Receive) isEvent()           {}
func (Propose) isEvent()           {}
func (ProposeMembership) isEvent() {}
func (Read) isEvent()              {}
func (Compact) isEvent()           {}
func (Persisted) isEvent()         {}

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}
