package replicator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/schema/replication"
)

const (
	// inboxCapacity is the number of received messages that may be queued for Run.
	inboxCapacity = 1024
	// requestQueueCapacity is the number of proposals, and of reads, that may be
	// queued for Run.
	requestQueueCapacity = 1024
	// maxProposalsPerBatch is the number of proposals that may share one synced
	// write of the journal.
	maxProposalsPerBatch = 512
	// ticksPerHeartbeat is the number of Tick events in a heartbeat interval.
	ticksPerHeartbeat = 4
	// diskRetryInterval is the time between attempts at a write that fails with a
	// retryable error, for example on a full disk.
	diskRetryInterval = 100 * time.Millisecond
	// snapshotRetryInterval is the least time from a snapshot that failed with a
	// retryable error to the next attempt.
	snapshotRetryInterval = time.Second
	// maxWaitingBytes is the size of the entries waiting to be written above which a node
	// takes no messages and proposals.
	maxWaitingBytes = 16 << 20
)

type (
	// NodeConfig configures a Node whose commands have results of type R. Append and
	// SaveSnapshot are called one at a time, and so are the other functions; NewNode calls
	// Now and Restore before Run does.
	NodeConfig[R any] struct {
		Core         Config
		InitialState InitialState
		// Now reads a monotonic clock that also advances while the host is suspended.
		Now func() time.Duration
		// Append appends a record to the journal and makes it durable.
		Append func(*replication.Record) error
		// SaveSnapshot makes a snapshot durable. The hard state and the entries
		// after the snapshot replace all earlier records of the journal.
		SaveSnapshot func(*replication.Snapshot, *replication.HardState, []*replication.Entry) error
		// Retryable reports whether the call of Append or SaveSnapshot that returned
		// the error is to be made again. It may be true only if the journal still
		// holds all earlier records and no part of the failed one; a failed
		// SaveSnapshot may have stored the snapshot. If Retryable is nil, no error is
		// retryable.
		Retryable func(error) bool
		// Send sends messages to other members. It must not block; messages may be lost.
		Send func([]*replication.Message)
		// Apply applies a committed command to the state machine and returns its result.
		Apply func(Index, []byte) R
		// Snapshot encodes the state machine.
		Snapshot func() ([]byte, error)
		// Restore replaces the state machine by the one that Snapshot encoded.
		Restore func([]byte) error
		// SnapshotEntries is the number of entries applied since the last snapshot
		// at which a new one is taken. The last SnapshotEntries entries that the new
		// snapshot covers stay in memory for slow followers.
		SnapshotEntries int
		// SnapshotBytes is the total size, in bytes, of the commands applied since
		// the last snapshot above which a new one is taken. None of the entries that
		// this snapshot covers stays in memory. Zero means no limit.
		SnapshotBytes int
	}

	// Node drives a Core: it writes the journal, sends messages, applies committed
	// commands and completes proposals and reads. It goes on while the journal is written,
	// so that slow disks do not interrupt the heartbeats. Run must be called once; the
	// other methods are safe for concurrent use.
	Node[R any] struct {
		config NodeConfig[R]
		core   *Core
		writer *journalWriter

		inbox               chan *replication.Message
		proposals           chan *proposal[R]
		membershipProposals chan *replication.Membership
		readRequests        chan *readRequest
		// stopped is closed when Run ends, after stopCause is set.
		stopped   chan struct{}
		stopCause error

		// pendingProposals holds the proposals in the log that are not yet applied.
		pendingProposals map[Index]*proposal[R]
		// pendingReads holds the reads that the core has neither confirmed nor refused.
		pendingReads map[ReadID]*readRequest
		lastReadID   ReadID
		// confirmedReads holds the reads that a majority has confirmed and that wait
		// until their index is applied.
		confirmedReads []*readRequest

		// applied is the index of the last applied entry.
		applied Index
		// snapshotIndex is the index of the last entry that the latest snapshot covers.
		snapshotIndex Index
		// savingSnapshot reports that a snapshot is being written.
		savingSnapshot bool
		// bytesSinceSnapshot is the total size, in bytes, of the commands applied
		// since the latest snapshot.
		bytesSinceSnapshot int
		// bytesInSnapshot is how much of that the snapshot being written covers.
		bytesInSnapshot int
		lastSnapshot    *replication.Snapshot
		status          atomic.Pointer[Status]
		// runContext is the context of Run. Retries of writes stop when it ends.
		runContext context.Context //nolint:containedctx // It is Run's own.
		// nextSnapshotAt is the time before which no snapshot is taken after a
		// retryable error.
		nextSnapshotAt time.Duration
	}

	// Status is a consistent view of a node at one point in time. Readers must not
	// modify it.
	Status struct {
		ID   MemberID
		Role Role
		Term Term
		// Leader is the leader of the term, or zero if it is not known.
		Leader MemberID
		// Commit is the highest index known to be committed.
		Commit Index
		// Applied is the index of the last applied entry.
		Applied Index
		// LastIndex is the index of the last entry in the log.
		LastIndex Index
		// Membership is the latest one in the log, committed or not.
		Membership *replication.Membership
		// MembershipCommitted reports whether Membership is committed, so that no
		// change is in progress.
		MembershipCommitted bool
		// LeaseUntil is the time of the node's clock until which no other member can
		// be elected leader. It is zero if this member is not the leader or has not
		// yet committed an entry of its term.
		LeaseUntil time.Duration
		// Matches holds, at a leader, each member's match index: the highest index up
		// to which its log is known to be identical to the leader's.
		Matches map[MemberID]Index
		// LastContact holds, at a leader, the sending time of the latest message that
		// each other member has answered, by the node's clock. For a member that has
		// not answered in this term, it is when the member joined or the leader was
		// elected.
		LastContact map[MemberID]time.Duration
		// Contacts holds, at a leader, whether each other member answers.
		Contacts map[MemberID]Contact
	}

	// proposal is a call of Propose.
	proposal[R any] struct {
		data     []byte
		position Position
		done     chan proposalResult[R]
	}

	proposalResult[R any] struct {
		value R
		err   error
	}

	// readRequest is a call of Barrier.
	readRequest struct {
		// index must be applied before the read completes.
		index Index
		done  chan error
	}
)

// NewNode returns a node that continues from its durable state. snapshot is the
// one whose header InitialState holds, or nil. If it has data, NewNode restores
// the state machine from it, and returns an error if this fails.
func NewNode[R any](config NodeConfig[R], snapshot *replication.Snapshot) (*Node[R], error) {
	n := &Node[R]{
		config:              config,
		core:                NewCore(config.Core, config.InitialState, config.Now()),
		inbox:               make(chan *replication.Message, inboxCapacity),
		proposals:           make(chan *proposal[R], requestQueueCapacity),
		membershipProposals: make(chan *replication.Membership, 1),
		readRequests:        make(chan *readRequest, requestQueueCapacity),
		stopped:             make(chan struct{}),
		pendingProposals:    map[Index]*proposal[R]{},
		pendingReads:        map[ReadID]*readRequest{},
		lastSnapshot:        snapshot,
	}
	n.writer = newJournalWriter(config.Append, config.SaveSnapshot, n.isRetryable)
	if snapshot != nil {
		n.applied = Index(snapshot.GetHeader().GetIndex())
		n.snapshotIndex = n.applied
	}
	if len(snapshot.GetData()) > 0 {
		if err := config.Restore(snapshot.GetData()); err != nil {
			return nil, errors.Wrap(err, "restoring the snapshot")
		}
	}
	n.publish()
	return n, nil
}

// Run drives the node until ctx ends, the journal fails or the state machine
// cannot be encoded or restored. It returns nil if ctx was canceled.
func (n *Node[R]) Run(ctx context.Context) error {
	ticker := time.NewTicker(n.config.Core.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	n.runContext = ctx
	err := n.handleOutput()
	for err == nil {
		inbox, proposals := n.inbox, n.proposals
		if n.writer.waitingBytes > maxWaitingBytes {
			inbox, proposals = nil, nil
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
			continue
		case <-ticker.C:
			n.step(Tick{})
		case m := <-inbox:
			n.receive(m)
		case p := <-proposals:
			n.propose(p)
		case m := <-n.membershipProposals:
			n.step(ProposeMembership{Membership: m})
		case r := <-n.readRequests:
			n.read(r)
		case result := <-n.writer.done:
			err = n.finishWrites(result)
		}
		if err == nil {
			err = n.handleOutput()
		}
	}
	if writeErr := n.writer.wait(); errors.Is(err, context.Canceled) && writeErr != nil && !n.isRetryable(writeErr) {
		err = writeErr
	}
	n.stop(err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Deliver passes a message from another member to the node. It does not block: if
// too many messages are queued, this one is dropped, which the protocol tolerates.
func (n *Node[R]) Deliver(m *replication.Message) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Status returns the latest published view of the node, which is never nil.
func (n *Node[R]) Status() *Status {
	return n.status.Load()
}

// Propose appends a command to the log, waits until this node has applied it and
// returns the result of Apply.
//
// An *InDoubtError means that the command may or may not take effect. It can wrap
// a *NotLeaderError or *StoppedError, so test for it first. Otherwise a
// *NotLeaderError, *NotCommittedError or *StoppedError means that the command has
// and will have no effect. A *NotLeaderError without a leader is also returned if
// ctx ends before the proposal is queued.
func (n *Node[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var zero R
	p := &proposal[R]{data: data, done: make(chan proposalResult[R], 1)}
	select {
	case n.proposals <- p:
	case <-n.stopped:
		return zero, &StoppedError{Cause: n.stopCause}
	case <-ctx.Done():
		return zero, &NotLeaderError{}
	}
	select {
	case result := <-p.done:
		return result.value, result.err
	case <-n.stopped:
		return zero, &InDoubtError{Cause: &StoppedError{Cause: n.stopCause}}
	case <-ctx.Done():
		return zero, &InDoubtError{Cause: ctx.Err()}
	}
}

// ProposeMembership asks for a change of the membership without waiting for it;
// see the event of that name for its conditions. The request is dropped if
// another one is queued. Status shows whether it took effect.
func (n *Node[R]) ProposeMembership(m *replication.Membership) {
	select {
	case n.membershipProposals <- m:
	default:
	}
}

// Barrier returns nil once the state machine has applied everything that was
// committed when Barrier was called and a majority of the voters has confirmed
// that this member was still the leader. A read of the state machine is then
// linearizable. The error is a *NotLeaderError, a *StoppedError or ctx.Err().
func (n *Node[R]) Barrier(ctx context.Context) error {
	r := &readRequest{done: make(chan error, 1)}
	select {
	case n.readRequests <- r:
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

// step passes an event to the core at the current time.
func (n *Node[R]) step(e Event) {
	n.core.Step(n.config.Now(), e)
}

// receive passes the given message and all other queued ones to the core, so that
// they share one synced write of the journal.
func (n *Node[R]) receive(first *replication.Message) {
	n.step(Receive{Message: first})
	for range len(n.inbox) {
		n.step(Receive{Message: <-n.inbox})
	}
}

// propose appends the given proposal and other queued ones, up to
// maxProposalsPerBatch, so that they share one synced write of the journal. If
// this member is not the leader, it fails them.
func (n *Node[R]) propose(first *proposal[R]) {
	batch := []*proposal[R]{first}
	for len(batch) < maxProposalsPerBatch && len(n.proposals) > 0 {
		batch = append(batch, <-n.proposals)
	}
	if n.core.Role() != Leader {
		for _, p := range batch {
			p.done <- proposalResult[R]{err: &NotLeaderError{Leader: n.core.Leader()}}
		}
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.data)
	}
	start := n.core.LastIndex()
	for i, p := range batch {
		p.position = Position{Index: start + Index(i) + 1, Term: n.core.Term()}
		n.pendingProposals[p.position.Index] = p
	}
	n.step(Propose{Commands: commands})
}

// read starts the given read and all other queued ones.
func (n *Node[R]) read(first *readRequest) {
	n.startRead(first)
	for range len(n.readRequests) {
		n.startRead(<-n.readRequests)
	}
}

func (n *Node[R]) startRead(r *readRequest) {
	n.lastReadID++
	n.pendingReads[n.lastReadID] = r
	n.step(Read{ID: n.lastReadID})
}

// handleOutput does what the core asks for until it asks for nothing more.
func (n *Node[R]) handleOutput() error {
	for {
		out := n.core.TakeOutput()
		if err := n.persist(out); err != nil {
			return err
		}
		n.send(out.Messages)
		n.apply(out.Committed)
		n.handleReadResults(out.Reads)
		if n.core.Role() != Leader {
			n.failPendingProposals()
		}
		if err := n.takeSnapshot(); err != nil {
			return err
		}
		n.writer.start(n.runContext)
		n.publish()
		if len(out.Committed) == 0 && len(out.Messages) == 0 && out.Persisted == nil {
			return nil
		}
	}
}

// persist starts to make a record durable, or waits until a leader's snapshot is. The
// messages that acknowledge it follow.
func (n *Node[R]) persist(out Output) error {
	if out.InstallSnapshot != nil {
		if err := n.installSnapshot(out.InstallSnapshot); err != nil {
			return err
		}
		n.step(*out.Persisted)
	}
	switch {
	case out.InstallSnapshot == nil && out.Record != nil:
		n.writer.add(journalWrite{record: out.Record, persisted: out.Persisted, messages: out.AfterRecord})
	case n.writer.isIdle():
		n.send(out.AfterRecord)
	case len(out.AfterRecord) > 0:
		n.writer.add(journalWrite{messages: out.AfterRecord})
	}
	return nil
}

// finishWrites does what follows writes to the journal that have ended with a result.
func (n *Node[R]) finishWrites(result error) error {
	for _, write := range n.writer.takeStarted() {
		if write.snapshot != nil {
			if err := n.finishSnapshot(write.snapshot, result); err != nil {
				return err
			}
			continue
		}
		if result != nil {
			return result
		}
		n.send(write.messages)
		if write.persisted != nil {
			n.step(*write.persisted)
		}
	}
	return nil
}

func (n *Node[R]) isRetryable(err error) bool {
	return n.config.Retryable != nil && n.config.Retryable(err)
}

// send sends messages to other members.
func (n *Node[R]) send(messages []*replication.Message) {
	n.attachSnapshots(messages)
	if len(messages) > 0 {
		n.config.Send(messages)
	}
}

// installSnapshot replaces the journal and the state machine by a leader's snapshot, after
// all writes to the journal.
func (n *Node[R]) installSnapshot(s *replication.Snapshot) error {
	for !n.writer.isIdle() {
		n.writer.start(n.runContext)
		if err := n.finishWrites(<-n.writer.done); err != nil {
			return err
		}
	}
	index := Index(s.GetHeader().GetIndex())
	err := n.writer.retry(n.runContext, func() error {
		return n.config.SaveSnapshot(s, n.core.HardState(), n.core.EntriesAfter(index))
	})
	if err != nil {
		return err
	}
	if err := n.config.Restore(s.GetData()); err != nil {
		return errors.Wrap(err, "restoring a leader's snapshot")
	}
	n.applied = index
	n.snapshotIndex = index
	n.bytesSinceSnapshot = 0
	n.bytesInSnapshot = 0
	n.lastSnapshot = s
	return nil
}

// attachSnapshots adds the latest snapshot to the snapshot messages.
func (n *Node[R]) attachSnapshots(messages []*replication.Message) {
	for _, m := range messages {
		if m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.Snapshot = n.lastSnapshot
		}
	}
}

// apply applies committed entries and completes the proposals and reads that
// waited for them.
func (n *Node[R]) apply(entries []*replication.Entry) {
	for _, e := range entries {
		index := Index(e.GetIndex())
		var value R
		if len(e.GetData()) > 0 {
			value = n.config.Apply(index, e.GetData())
			n.bytesSinceSnapshot += len(e.GetData())
		}
		n.applied = index
		n.completeProposal(index, Term(e.GetTerm()), value)
	}
	n.completeAppliedReads()
}

// completeProposal completes the proposal at the index of an applied entry, if
// there is one. If the entry's term differs, another leader's entry has taken the
// proposal's place.
func (n *Node[R]) completeProposal(index Index, term Term, value R) {
	p, ok := n.pendingProposals[index]
	if !ok {
		return
	}
	delete(n.pendingProposals, index)
	if p.position.Term != term {
		p.done <- proposalResult[R]{err: &NotCommittedError{Index: index}}
		return
	}
	p.done <- proposalResult[R]{value: value}
}

// failPendingProposals completes all pending proposals with an error, after this
// member has ceased to be the leader. Whether the next leader commits them is not
// known.
func (n *Node[R]) failPendingProposals() {
	for index, p := range n.pendingProposals {
		delete(n.pendingProposals, index)
		p.done <- proposalResult[R]{err: &InDoubtError{Cause: &NotLeaderError{Leader: n.core.Leader()}}}
	}
}

// handleReadResults completes the reads that the core refused with an error and
// lets the confirmed ones wait until their index is applied.
func (n *Node[R]) handleReadResults(results []ReadResult) {
	for _, result := range results {
		r := n.pendingReads[result.ID]
		delete(n.pendingReads, result.ID)
		if result.Refused {
			r.done <- &NotLeaderError{Leader: n.core.Leader()}
			continue
		}
		r.index = result.Index
		n.confirmedReads = append(n.confirmedReads, r)
	}
	n.completeAppliedReads()
}

// completeAppliedReads completes the confirmed reads whose index is applied.
func (n *Node[R]) completeAppliedReads() {
	kept := n.confirmedReads[:0]
	for _, r := range n.confirmedReads {
		if r.index > n.applied {
			kept = append(kept, r)
			continue
		}
		r.done <- nil
	}
	n.confirmedReads = kept
}

// takeSnapshot starts to save a snapshot of the state machine if enough entries or bytes
// were applied since the last one.
func (n *Node[R]) takeSnapshot() error {
	if n.applied < n.snapshotIndex+Index(n.config.SnapshotEntries) && !n.isOverSnapshotBytes() {
		return nil
	}
	if n.savingSnapshot || n.config.Now() < n.nextSnapshotAt {
		return nil
	}
	data, err := n.config.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encoding a snapshot")
	}
	n.savingSnapshot = true
	n.bytesInSnapshot = n.bytesSinceSnapshot
	n.writer.add(journalWrite{
		snapshot: &replication.Snapshot{Header: n.core.SnapshotHeader(n.applied), Data: data},
		record:   &replication.Record{HardState: n.core.HardState(), Entries: n.core.EntriesAfter(n.applied)},
	})
	return nil
}

func (n *Node[R]) isOverSnapshotBytes() bool {
	return n.config.SnapshotBytes > 0 && n.bytesSinceSnapshot > n.config.SnapshotBytes
}

// finishSnapshot compacts the log after a snapshot was saved. After a retryable error a
// snapshot is taken again later.
func (n *Node[R]) finishSnapshot(s *replication.Snapshot, result error) error {
	n.savingSnapshot = false
	if result != nil && n.isRetryable(result) {
		n.nextSnapshotAt = n.config.Now() + snapshotRetryInterval
		return nil
	}
	if result != nil {
		return result
	}
	keep := n.config.SnapshotEntries
	if n.isOverSnapshotBytes() {
		keep = 0
	}
	n.lastSnapshot = s
	n.snapshotIndex = Index(s.GetHeader().GetIndex())
	n.bytesSinceSnapshot -= n.bytesInSnapshot
	n.step(Compact{Index: n.snapshotIndex, Keep: keep})
	return nil
}

// publish updates the view that Status returns.
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
		s.Contacts = n.core.contacts(n.config.Now())
		for _, m := range s.Membership.GetMembers() {
			s.Matches[MemberID(m.GetId())] = n.core.Match(MemberID(m.GetId()))
		}
	}
	n.status.Store(s)
}

// stop makes the calls that wait for Run, and all later ones, fail with the cause.
func (n *Node[R]) stop(cause error) {
	n.stopCause = cause
	close(n.stopped)
}
