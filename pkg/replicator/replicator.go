// Package replicator keeps one log of commands identical on a group of
// processes. Core is the protocol as a pure state machine: it has no clock, no
// goroutine and no I/O, and its only inputs are Step's arguments. Node drives
// a Core with a journal and a network.
//
// The protocol is Raft with pre-vote, check-quorum, a leader lease, learners
// and membership changes of one member at a time. A member is one incarnation
// of a host's disk; a wiped disk comes back as a new member without a vote.
package replicator

import (
	"time"

	"github.com/comfreybend/comfreybend/schema/replication"
)

type (
	// MemberID identifies one incarnation of a process's disk. Zero is no member.
	MemberID uint64
	// Term numbers the elections.
	Term uint64
	// Index numbers the entries of the log from 1.
	Index uint64
	// ReadID names a pending read of the caller's choosing.
	ReadID uint64
	// Role is what a member does in its term.
	Role int

	// Event is an input of Core.Step.
	Event interface{ isEvent() }

	// Tick tells the core that time has passed.
	Tick struct{}

	// Receive delivers a message from another member.
	Receive struct {
		Message *replication.Message
	}

	// Propose asks for entries to be appended. Only a leader accepts it.
	Propose struct {
		Payloads [][]byte
	}

	// ProposeMembership asks for a change of the membership.
	ProposeMembership struct {
		Membership *replication.Membership
	}

	// Read asks for an index that a linearizable read must wait for.
	Read struct {
		ID ReadID
	}

	// Compact tells the core that a snapshot at Index was stored.
	Compact struct {
		Index Index
		// Keep is the number of entries before Index that stay for slow followers.
		Keep int
	}

	// ReadResult completes a Read.
	ReadResult struct {
		ID ReadID
		// Index must be applied before the read is served.
		Index Index
		// Refused means that this member is not a leader any more.
		Refused bool
	}

	// Position is where a proposed payload stands in the log.
	Position struct {
		Index Index
		Term  Term
	}

	// Output is what the driver must do after one or more steps, in the order
	// of the fields.
	Output struct {
		// Install replaces the state machine and the journal, before Record.
		Install *replication.Snapshot
		// Record must be synced before anything below is done.
		Record *replication.Record
		// Messages go to other members. A snapshot message has no snapshot; the
		// driver attaches the latest one.
		Messages []*replication.Message
		// Committed entries are applied in order.
		Committed []*replication.Entry
		// Accepted holds a position for each payload of accepted Propose events, in order.
		Accepted []Position
		// RefusedProposals counts the payloads that were refused.
		RefusedProposals int
		Reads            []ReadResult
	}

	// Config configures a Core.
	Config struct {
		ID MemberID
		// HeartbeatInterval is the time between a leader's heartbeats.
		HeartbeatInterval time.Duration
		// ElectionTimeout is the least time without a leader before an election,
		// and the time for which a follower refuses votes after a heartbeat.
		ElectionTimeout time.Duration
		// BatchBytes bounds the payload of one append message.
		BatchBytes int
		// Random returns a number from 0 to n-1.
		Random func(n int64) int64
	}

	// InitialState is the durable state that a Core starts from.
	InitialState struct {
		HardState *replication.HardState
		Snapshot  *replication.SnapshotHeader
		Entries   []*replication.Entry
	}
)

// The roles of a member.
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

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}
