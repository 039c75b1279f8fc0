package replicator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	inboxSize    = 1024
	proposalSize = 1024
	// batchProposals bounds the proposals that share one sync.
	batchProposals = 512
	// ticksPerHeartbeat is how often the clock is read within a heartbeat interval.
	ticksPerHeartbeat = 4
	// refusedPause is the time between attempts at a write that the disk refuses.
	refusedPause = 100 * time.Millisecond
	// snapshotPause is the time between attempts at a snapshot that the disk refuses.
	snapshotPause = time.Second
)

type (
	// NodeConfig holds the settings and seams of a Node whose commands have results of type R.
	NodeConfig[R any] struct {
		Core     Config
		InitialState InitialState
		// Now reads a monotonic clock that also counts while the machine is suspended.
		Now func() time.Duration
		// Append makes a record durable.
		Append func(*replication.Record) error
		// SaveSnapshot makes a snapshot durable in place of the records before it.
		SaveSnapshot func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error
		// Retryable reports that an error of Append or SaveSnapshot has changed nothing,
		// so that the call is made again. Nil stands for none.
		Retryable func(error) bool
		// Send hands messages to the network. It must not block; messages may be lost.
		Send func([]*replication.Message)
		// Apply applies a committed command to the state machine.
		Apply func(Index, []byte) R
		// Snapshot encodes the state machine.
		Snapshot func() ([]byte, error)
		// Restore replaces the state machine.
		Restore func([]byte) error
		// SnapshotEntries is the number of applied entries after which a snapshot is taken.
		SnapshotEntries int
		// SnapshotBytes is the payload of applied entries after which a snapshot is
		// taken; zero for no such bound.
		SnapshotBytes int
	}

	// Node drives a Core: it keeps its journal, applies what is committed and
	// answers proposals and reads.
	Node[R any] struct {
		config NodeConfig[R]
		core   *Core

		inbox       chan *replication.Message
		proposals   chan *proposal[R]
		memberships chan *replication.Membership
		readers     chan *reader
		stopped     chan struct{}
		stopCause   error

		waiting  map[Index]*proposal[R]
		reading  map[ReadID]*reader
		readOnce ReadID
		// confirmed reads wait until their index is applied.
		confirmed []*reader

		applied    Index
		snapshotAt Index
		// appliedBytes is the payload that was applied since the last snapshot.
		appliedBytes int
		lastSnapshot *replication.Snapshot
		status       atomic.Pointer[Status]
		// running is the context of Run, which ends the waits for a disk.
		running context.Context //nolint:containedctx // It is Run's own.
		// snapshotDue is the time before which no other snapshot is tried.
		snapshotDue time.Duration
	}

	// Status is a consistent view of a node.
	Status struct {
		ID         MemberID
		Role       Role
		Term       Term
		Leader     MemberID
		Commit     Index
		Applied    Index
		LastIndex  Index
		Membership *replication.Membership
		// MembershipCommitted reports that no membership change is in progress.
		MembershipCommitted bool
		// LeaseUntil is the time until which no other member can be leader; zero if this one is none.
		LeaseUntil time.Duration
		// Matches holds, at a leader, the index up to which each member's log is known to be identical.
		Matches map[MemberID]Index
		// LastContact holds, at a leader, the sending time of the latest message that each other member answered.
		LastContact map[MemberID]time.Duration
	}

	proposal[R any] struct {
		data     []byte
		position Position
		done     chan proposalResult[R]
	}

	proposalResult[R any] struct {
		value R
		err   error
	}

	reader struct {
		index Index
		done  chan error
	}
)

// NewNode returns a node that continues from its durable state. snapshot is
// the one that Restored describes, or nil; its data is restored here.
func NewNode[R any](config NodeConfig[R], snapshot *replication.Snapshot) (*Node[R], error) {
	n := &Node[R]{
		config:       config,
		core:         NewCore(config.Core, config.InitialState, config.Now()),
		inbox:        make(chan *replication.Message, inboxSize),
		proposals:    make(chan *proposal[R], proposalSize),
		memberships:  make(chan *replication.Membership, 1),
		readers:      make(chan *reader, proposalSize),
		stopped:      make(chan struct{}),
		waiting:      map[Index]*proposal[R]{},
		reading:      map[ReadID]*reader{},
		lastSnapshot: snapshot,
	}
	if snapshot != nil {
		n.applied = Index(snapshot.GetHeader().GetIndex())
		n.snapshotAt = n.applied
	}
	if len(snapshot.GetData()) > 0 {
		if err := config.Restore(snapshot.GetData()); err != nil {
			return nil, errors.Wrap(err, "restoring the snapshot")
		}
	}
	n.publish()
	return n, nil
}

// Run drives the node until ctx ends or the journal fails.
func (n *Node[R]) Run(ctx context.Context) error {
	ticker := time.NewTicker(n.config.Core.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	n.running = ctx
	err := n.finish()
	for err == nil {
		select {
		case <-ctx.Done():
			err = ctx.Err()
			continue
		case <-ticker.C:
			n.step(Tick{})
		case m := <-n.inbox:
			n.receive(m)
		case p := <-n.proposals:
			n.propose(p)
		case m := <-n.memberships:
			n.step(ProposeMembership{Membership: m})
		case r := <-n.readers:
			n.read(r)
		}
		err = n.finish()
	}
	n.stop(err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Deliver hands a message from another member to the node; it is dropped when the inbox is full.
func (n *Node[R]) Deliver(m *replication.Message) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Status returns the latest published view.
func (n *Node[R]) Status() *Status {
	return n.status.Load()
}

// Propose appends a command and waits until it is applied. The error is a
// *NotLeaderError or *NotCommittedError when the command has no effect, and an
// *InDoubtError when that is not known.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var none R
	p := &proposal[R]{data: data, done: make(chan proposalResult[R], 1)}
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return none, &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return none, &NotLeaderError{}
	}
	select {
	case result := <-p.done:
		return result.value, result.err
	case <-n.stopped:
		return none, &InDoubtError{Cause: &StoppedError{Cause: n.stopCause}}
	case <-ctx.Done():
		return none, &InDoubtError{Cause: ctx.Err()}
	}
}

// ProposeMembership asks for a change of the membership; whether it takes
// effect shows in Status.
func (n *Node[R]) ProposeMembership(m *replication.Membership) {
	select {
	case n.memberships <- m:
	default:
	}
}

// Barrier returns once the state machine holds everything that was committed
// when it was called, confirmed by a majority.
func (n *Node[R]) Barrier(ctx context.Context) error {
	r := &reader{done: make(chan error, 1)}
	select {
	case n.readers <- r:
	case <-n.stopped:
		return &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-r.done:
		return err
	case <-n.stopped:
		return &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node[R]) step(e Event) {
	n.core.Step(n.config.Now(), e)
}

func (n *Node[R]) receive(first *replication.Message) {
	n.step(Receive{Message: first})
	for range len(n.inbox) {
		n.step(Receive{Message: <-n.inbox})
	}
}

// propose appends every waiting proposal, so that they share one sync.
func (n *Node[R]) propose(first *proposal[R]) {
	batch := []*proposal[R]{first}
	for len(batch) < batchProposals && len(n.proposals) > 0 {
		batch = append(batch, <-n.proposals)
	}
	if n.core.Role() != Leader {
		for _, p := range batch {
			p.done <- proposalResult[R]{err: &NotLeaderError{Leader: n.core.Leader()}}
		}
		return
	}
	payloads := make([][]byte, 0, len(batch))
	for _, p := range batch {
		payloads = append(payloads, p.data)
	}
	start := n.core.LastIndex()
	for i, p := range batch {
		p.position = Position{Index: start + Index(i) + 1, Term: n.core.Term()}
		n.waiting[p.position.Index] = p
	}
	n.step(Propose{Payloads: payloads})
}

func (n *Node[R]) read(first *reader) {
	n.startRead(first)
	for range len(n.readers) {
		n.startRead(<-n.readers)
	}
}

func (n *Node[R]) startRead(r *reader) {
	n.readOnce++
	n.reading[n.readOnce] = r
	n.step(Read{ID: n.readOnce})
}

// finish does what the core asked for, in the order that keeps its promises.
func (n *Node[R]) finish() error {
	for {
		out := n.core.Take()
		if err := n.persist(out); err != nil {
			return err
		}
		n.attachSnapshots(out.Messages)
		if len(out.Messages) > 0 {
			n.config.Send(out.Messages)
		}
		n.apply(out.Committed)
		n.answerReads(out.Reads)
		if n.core.Role() != Leader {
			n.abandonProposals()
		}
		if err := n.takeSnapshot(); err != nil {
			return err
		}
		n.publish()
		if len(out.Committed) == 0 && len(out.Messages) == 0 && out.Record == nil {
			return nil
		}
	}
}

func (n *Node[R]) persist(out Output) error {
	if out.Install != nil {
		return n.install(out.Install)
	}
	if out.Record == nil {
		return nil
	}
	return n.insist(func() error { return n.config.Append(out.Record) })
}

// insist makes a call again and again while the disk refuses it. Meanwhile the
// member is silent: it acknowledges nothing, and others lead.
func (n *Node[R]) insist(call func() error) error {
	for {
		err := call()
		if err == nil || !n.refused(err) {
			return err
		}
		select {
		case <-n.running.Done():
			return n.running.Err()
		case <-time.After(refusedPause):
		}
	}
}

func (n *Node[R]) refused(err error) bool {
	return n.config.Retryable != nil && n.config.Retryable(err)
}

// install replaces journal and state machine by a leader's snapshot.
func (n *Node[R]) install(s *replication.Snapshot) error {
	index := Index(s.GetHeader().GetIndex())
	err := n.insist(func() error {
		return n.config.SaveSnapshot(s, n.core.HardState(), n.core.EntriesAfter(index))
	})
	if err != nil {
		return err
	}
	if err := n.config.Restore(s.GetData()); err != nil {
		return errors.Wrap(err, "restoring a leader's snapshot")
	}
	n.applied = index
	n.snapshotAt = index
	n.appliedBytes = 0
	n.lastSnapshot = s
	return nil
}

func (n *Node[R]) attachSnapshots(messages []*replication.Message) {
	for _, m := range messages {
		if m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.Snapshot = n.lastSnapshot
		}
	}
}

func (n *Node[R]) apply(entries []*replication.Entry) {
	for _, e := range entries {
		index := Index(e.GetIndex())
		var value R
		if len(e.GetData()) > 0 {
			value = n.config.Apply(index, e.GetData())
			n.appliedBytes += len(e.GetData())
		}
		n.applied = index
		n.answerProposal(index, Term(e.GetTerm()), value)
	}
	n.releaseReads()
}

func (n *Node[R]) answerProposal(index Index, term Term, value R) {
	p, found := n.waiting[index]
	if !found {
		return
	}
	delete(n.waiting, index)
	if p.position.Term != term {
		p.done <- proposalResult[R]{err: &NotCommittedError{Index: index}}
		return
	}
	p.done <- proposalResult[R]{value: value}
}

// abandonProposals answers the proposals of a leader that was deposed.
func (n *Node[R]) abandonProposals() {
	for index, p := range n.waiting {
		delete(n.waiting, index)
		p.done <- proposalResult[R]{err: &InDoubtError{Cause: &NotLeaderError{Leader: n.core.Leader()}}}
	}
}

func (n *Node[R]) answerReads(results []ReadResult) {
	for _, result := range results {
		r := n.reading[result.ID]
		delete(n.reading, result.ID)
		if result.Refused {
			r.done <- &NotLeaderError{Leader: n.core.Leader()}
			continue
		}
		r.index = result.Index
		n.confirmed = append(n.confirmed, r)
	}
	n.releaseReads()
}

func (n *Node[R]) releaseReads() {
	kept := n.confirmed[:0]
	for _, r := range n.confirmed {
		if r.index > n.applied {
			kept = append(kept, r)
			continue
		}
		r.done <- nil
	}
	n.confirmed = kept
}

func (n *Node[R]) takeSnapshot() error {
	full := n.config.SnapshotBytes > 0 && n.appliedBytes > n.config.SnapshotBytes
	if n.applied < n.snapshotAt+Index(n.config.SnapshotEntries) && !full {
		return nil
	}
	if n.config.Now() < n.snapshotDue {
		return nil
	}
	keep := n.config.SnapshotEntries
	if full {
		keep = 0
	}
	data, err := n.config.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encoding a snapshot")
	}
	s := &replication.Snapshot{Header: n.core.SnapshotHeader(n.applied), Data: data}
	err = n.config.SaveSnapshot(s, n.core.HardState(), n.core.EntriesAfter(n.applied))
	if err != nil && n.refused(err) {
		n.snapshotDue = n.config.Now() + snapshotPause
		return nil
	}
	if err != nil {
		return err
	}
	n.lastSnapshot = s
	n.snapshotAt = n.applied
	n.appliedBytes = 0
	n.step(Compact{Index: n.applied, Keep: keep})
	return nil
}

func (n *Node[R]) publish() {
	s := &Status{
		ID:         n.config.Core.ID,
		Role:       n.core.Role(),
		Term:       n.core.Term(),
		Leader:     n.core.Leader(),
		Commit:     n.core.Commit(),
		Applied:    n.applied,
		LastIndex:  n.core.LastIndex(),
		Membership: n.core.Membership(),
		LeaseUntil: n.core.LeaseUntil(n.config.Now()),

		MembershipCommitted: n.core.MembershipCommitted(),
	}
	if s.Role == Leader {
		s.Matches = map[MemberID]Index{}
		s.LastContact = n.core.LastContact()
		for _, m := range s.Membership.GetMembers() {
			s.Matches[MemberID(m.GetId())] = n.core.Match(MemberID(m.GetId()))
		}
	}
	n.status.Store(s)
}

func (n *Node[R]) stop(cause error) {
	n.stopCause = cause
	close(n.stopped)
}
